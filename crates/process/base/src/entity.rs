//! Dense references in place of pointers between objects.
//!
//! Invariant: a reference is only valid for the table that made it; a [`Shard`]
//! or [`Server`] of one shard map means nothing in another.

use cranelift_entity::entity_impl;
use serde::Deserialize;
use serde::Serialize;

/// A shard (one group of replicas) of one shard map.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard(u32);
entity_impl!(Shard, "shard");

/// A server in a process's table of upstream servers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Server(u32);
entity_impl!(Server, "server");

/// One attempt of one request, numbered in the order of sending.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(u32);
entity_impl!(Attempt, "attempt");

/// A service: one set of interchangeable servers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Service(u32);
entity_impl!(Service, "service");
