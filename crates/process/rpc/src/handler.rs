//! The trait that a node implements to answer operators' calls.
//!
//! Invariant: a write is validated in full before it is sent to the platform, and
//! is reported as accepted or conflicting only if that is certain, otherwise as
//! unknown; a retry in the handler keeps the expected revision and the operation id.

use std::future::Future;
use std::pin::Pin;

use crate::failure::Failure;
use crate::proto;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Spec;

/// The future of a call's result.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T, Failure>> + Send + 'a>>;

/// The state that the object must have for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// There is no live object.
    Absent,
    /// The live object at this revision.
    Revision(u64),
}

/// A conditional write of one object.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteRequest {
    /// The id of the write, the same for all its retries.
    pub operation: String,
    /// The key of the object.
    pub key: Key,
    /// The state that the object must have before the write.
    pub expected: Precondition,
    /// The new content; `None` deletes the object.
    pub spec: Option<Spec>,
}

/// The target of a drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// Shut down the entry node with this name.
    Node(String),
    /// Mark the upstream server with this name as leaving.
    Server(String),
}

/// Answers operators' calls. Every call may be made on any node.
pub trait Handler: Send + Sync + 'static {
    /// Executes a write and returns the object or tombstone that was written. Fails
    /// with `Invalid`, `Conflict`, `NotFound` (the object to change does not exist),
    /// `Unavailable` or `Unknown`.
    fn write(&self, write: WriteRequest) -> Pending<'_, Object>;

    /// Reads the live object from the platform. Fails with `NotFound` or
    /// `Unavailable`.
    fn get(&self, key: Key) -> Pending<'_, Object>;

    /// Lists the live objects of one kind, or of all kinds.
    fn list(&self, kind: Option<Kind>) -> Pending<'_, Vec<Object>>;

    /// Returns the status of the deployment's nodes, as far as this node has it.
    fn status(&self) -> Pending<'_, proto::StatusReply>;

    /// Begins a drain; returns a message for the operator that describes it.
    fn drain(&self, target: Target) -> Pending<'_, String>;

    /// Returns the complete state of the node.
    fn dump(&self) -> Pending<'_, proto::DumpReply>;

    /// Returns the trace of one request. Fails with `NotFound`.
    fn explain(&self, request: String) -> Pending<'_, String>;

    /// Returns the results of an experiment's arms so far.
    fn report(&self, experiment: String) -> Pending<'_, proto::ReportReply>;
}
