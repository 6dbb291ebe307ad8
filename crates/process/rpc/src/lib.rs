//! The gRPC API for operators: the code generated from `schema/operator.proto`, the
//! trait that a node implements, and the conversions between their types.

#![deny(missing_docs)]

pub mod convert;
pub mod failure;
pub mod handler;
pub mod service;

/// The code that `cargo run -p rpc --example generate` generates from
/// `schema/operator.proto`.
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::use_self)]
#[rustfmt::skip]
#[path = "generated/heatherseam.operator.v1.rs"]
pub mod proto;
