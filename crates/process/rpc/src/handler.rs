//! What a node implements to answer operators.
//!
//! Invariant: a write is checked as a whole before it is sent to the platform,
//! and its outcome is told as it is known: accepted, conflict, or unknown; a
//! retry inside the handler keeps the expected revision and the operation.

use std::future::Future;
use std::pin::Pin;

use crate::failure::Failure;
use crate::proto;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Spec;

/// A reply that is being worked out.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T, Failure>> + Send + 'a>>;

/// What a write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No live object.
    Absent,
    /// The live object at this revision.
    Revision(u64),
}

/// A conditional write of one object.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteRequest {
    /// Names the write through all its retries.
    pub operation: String,
    /// The object.
    pub key: Key,
    /// What the write expects to find.
    pub expected: Precondition,
    /// What the object shall say; `None` deletes it.
    pub spec: Option<Spec>,
}

/// What is to be drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The entry node of this name makes a planned stop.
    Node(String),
    /// The upstream server of this name is marked as leaving.
    Server(String),
}

/// Answers operators. Each call may be made on any node.
pub trait Handler: Send + Sync + 'static {
    /// Makes a write; returns the object or tombstone as accepted. Fails with
    /// `Invalid`, `Conflict`, `NotFound` (the object to change is not there),
    /// `Unavailable` or `Unknown`.
    fn write(&self, write: WriteRequest) -> Pending<'_, Object>;

    /// The live object as the platform has it now, or `NotFound` or
    /// `Unavailable`.
    fn get(&self, key: Key) -> Pending<'_, Object>;

    /// The live objects of one kind or of all.
    fn list(&self, kind: Option<Kind>) -> Pending<'_, Vec<Object>>;

    /// The nodes of the deployment as this node sees them.
    fn status(&self) -> Pending<'_, proto::StatusReply>;

    /// Begins a drain; returns in words what was begun.
    fn drain(&self, target: Target) -> Pending<'_, String>;

    /// The node's whole state.
    fn dump(&self) -> Pending<'_, proto::DumpReply>;

    /// What this node did for one request, or `NotFound`.
    fn explain(&self, request: String) -> Pending<'_, String>;

    /// What the arms of an experiment have shown.
    fn report(&self, experiment: String) -> Pending<'_, proto::ReportReply>;
}
