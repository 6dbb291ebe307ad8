//! The operators' calls: the code of `schema/operator.proto`, what a node
//! implements to answer them, and the translation between both.

#![deny(missing_docs)]

pub mod convert;
pub mod failure;
pub mod handler;
pub mod service;

/// The code that `cargo run -p rpc --example generate` makes of
/// `schema/operator.proto`.
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::use_self)]
#[rustfmt::skip]
#[path = "generated/heatherseam.operator.v1.rs"]
pub mod proto;
