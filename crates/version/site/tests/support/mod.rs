//! Entries for the tests of the fleet.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use site::register::Entry;
use site::register::Incarnation;

/// An incarnation of a server.
pub fn incarnation(id: &str, born: u64) -> Incarnation {
    Incarnation { id: Arc::from(id), born }
}

/// The entry of a server that is ready.
pub fn entry(id: &str, born: u64) -> Entry {
    Entry {
        incarnation: incarnation(id, born),
        service: Arc::from("desk"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: Arc::from("hall"),
        slots: 2,
        draining: false,
        warmup: Duration::ZERO,
    }
}
