//! What nodes tell each other of one request. Notices are repeated and may be lost, doubled or
//! late.

use serde::Deserialize;
use serde::Serialize;

use crate::identity::Identity;

/// What a node knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The request.
    pub identity: Identity,
    /// The servers that ended one after the other while they ran it.
    pub ends: Vec<End>,
    /// Servers whose end it did not cause: it has been answered since.
    pub refuted: Vec<u32>,
    /// How long ago a trial began, in milliseconds.
    pub trial_age_ms: Option<u32>,
}

/// The end of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The key of the server's incarnation, the same on all nodes.
    pub server: u32,
    /// How long ago it ended, in milliseconds.
    pub age_ms: u32,
}
