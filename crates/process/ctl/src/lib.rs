//! `hsctl`, the command-line tool for operators.

#![deny(missing_docs)]

pub mod apply;
pub mod client;
pub mod command;
pub mod error;
pub mod local;
pub mod output;
pub mod remote;
pub mod run;
