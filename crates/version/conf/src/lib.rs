//! Configuration: the objects that operators create, their checks, the immutable
//! snapshot that a request runs under, and the settings of a process.

#![deny(missing_docs)]

pub mod catalog;
pub mod document;
pub mod object;
pub mod report;
pub mod schema;
pub mod settings;
pub mod shape;
pub mod tree;
pub mod value;
pub mod verify;
pub mod yaml;
