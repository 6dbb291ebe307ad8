//! The `peer` crate of heatherseam; see its README.

#![deny(missing_docs)]
