//! Dense integer references, used in place of pointers between objects.
//!
//! Invariant: a reference is only valid for the table that created it; a
//! [`Shard`] or [`Server`] of one shard map has no meaning in another.

use cranelift_entity::entity_impl;
use serde::Deserialize;
use serde::Serialize;

/// A shard (a group of replicas) of a shard map.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard(u32);
entity_impl!(Shard, "shard");

/// A server in a process's table of upstream servers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Server(u32);
entity_impl!(Server, "server");

/// An attempt of a request, numbered in sending order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(u32);
entity_impl!(Attempt, "attempt");

/// A service: a set of interchangeable servers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Service(u32);
entity_impl!(Service, "service");
