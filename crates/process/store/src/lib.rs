//! The `store` crate of heatherseam; see its README.

#![deny(missing_docs)]
