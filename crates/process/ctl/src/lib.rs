//! The `ctl` crate of heatherseam; see its README.

#![deny(missing_docs)]
