//! What operators decide: configuration objects, their checks, and the
//! immutable snapshot that a request runs under; and each process's settings.

#![deny(missing_docs)]

pub mod catalog;
pub mod object;
pub mod report;
pub mod settings;
pub mod value;
pub mod yaml;
