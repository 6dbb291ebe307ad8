//! The `route` crate of heatherseam; see its README.

#![deny(missing_docs)]
