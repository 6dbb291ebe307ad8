//! The customers as a version of the configuration has them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::key::Hash;
use crate::key::Salt;

/// All customers of one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customers {
    /// The salt of the keys' hashes.
    pub salt: Salt,
    /// The customers.
    pub customers: Vec<Customer>,
}

/// One customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: Arc<str>,
    /// The hashes of its keys, each of which is valid.
    pub keys: Vec<Hash>,
    /// Its priority, which goes before that of a route; zero is the most urgent.
    pub priority: Option<u32>,
    /// The requests per second that it may send to all nodes together; zero if there is no limit.
    pub rate_per_second: f64,
    /// The requests that it may send at once beyond the rate.
    pub burst: f64,
    /// The regions in which its requests may be served; empty if they may be in any.
    pub homes: Vec<Arc<str>>,
}
