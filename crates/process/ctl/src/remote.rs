//! The operator API of a deployment, with the types of `conf`.
//!
//! Invariant: each write has a unique operation id, which is generated here once and
//! sent to every node that is tried.

use crate::client::Client;
use crate::client::NodeClient;
use crate::command::StageChange;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use rpc::convert;
use rpc::failure::Failure;
use rpc::handler::Precondition;
use rpc::handler::Target;
use rpc::handler::WriteRequest;
use rpc::proto;

/// A deployment that is reached through any of its nodes.
#[derive(Clone, Debug)]
pub struct Remote {
    client: Client,
    /// The revision that a changed object must have, if `--revision` is given.
    pub revision: Option<u64>,
}

impl Remote {
    /// A deployment whose nodes `client` calls.
    pub fn new(client: Client, revision: Option<u64>) -> Self {
        Self { client, revision }
    }

    /// Generates a random operation id.
    pub fn new_operation_id(&self) -> String {
        format!("hsctl-{:032x}", rand::random::<u128>())
    }

    /// Reads a live object, or fails with `NotFound`.
    pub async fn get(&self, key: &Key) -> Result<Object, Failure> {
        let request = proto::GetRequest { key: Some(convert::key_to_proto(key)) };
        let call = async |mut node: NodeClient| node.get(request.clone()).await;
        convert::object_from_proto(self.client.read(call).await?)
    }

    /// Lists the live objects of one kind, or of all kinds.
    pub async fn list(&self, kind: Option<Kind>) -> Result<Vec<Object>, Failure> {
        let kind = kind.map_or(proto::Kind::Unspecified, convert::kind_to_proto).into();
        let call = async |mut node: NodeClient| node.list(proto::ListRequest { kind }).await;
        let reply = self.client.read(call).await?;
        reply.objects.into_iter().map(convert::object_from_proto).collect()
    }

    /// Executes a write; returns the object or tombstone that was written.
    pub async fn write(&self, write: WriteRequest) -> Result<Object, Failure> {
        let operation = write.operation;
        let key = Some(convert::key_to_proto(&write.key));
        let spec = write.spec.as_ref().map(convert::spec_to_json);
        let call = async |mut node: NodeClient| {
            let (operation, key) = (operation.clone(), key.clone());
            match (write.expected, spec.clone()) {
                (Precondition::Absent, spec) => {
                    let spec_json = spec.unwrap_or_default();
                    node.create(proto::CreateRequest { operation, key, spec_json }).await
                }
                (Precondition::Revision(expected_revision), Some(spec_json)) => {
                    let request =
                        proto::UpdateRequest { operation, key, expected_revision, spec_json };
                    node.update(request).await
                }
                (Precondition::Revision(expected_revision), None) => {
                    node.delete(proto::DeleteRequest { operation, key, expected_revision }).await
                }
            }
        };
        convert::object_from_proto(self.client.write(&operation, call).await?)
    }

    /// Deletes an object at the revision given with `--revision`, or else at its
    /// current revision.
    pub async fn delete(&self, key: Key) -> Result<Object, Failure> {
        let revision = match self.revision {
            Some(revision) => revision,
            None => self.get(&key).await?.revision,
        };
        let expected = Precondition::Revision(revision);
        self.write(WriteRequest { operation: self.new_operation_id(), key, expected, spec: None })
            .await
    }

    /// Changes the stage of an experiment.
    pub async fn set_stage(
        &self,
        change: &StageChange,
        experiment: String,
    ) -> Result<Object, Failure> {
        let operation = self.new_operation_id();
        let expected_revision = self.revision;
        let call = async |mut node: NodeClient| {
            let (operation, experiment) = (operation.clone(), experiment.clone());
            let request = proto::StageRequest {
                operation: operation.clone(),
                experiment: experiment.clone(),
                expected_revision,
            };
            match change {
                StageChange::Start => node.start(request).await,
                StageChange::Stop => node.stop(request).await,
                StageChange::Conclude(winner) => {
                    let winner = winner.clone();
                    let request =
                        proto::ConcludeRequest { operation, experiment, expected_revision, winner };
                    node.conclude(request).await
                }
            }
        };
        convert::object_from_proto(self.client.write(&operation, call).await?)
    }

    /// Reads the results of an experiment so far.
    pub async fn report(&self, experiment: String) -> Result<proto::ReportReply, Failure> {
        let request = proto::ReportRequest { experiment };
        self.client.read(async |mut node: NodeClient| node.report(request.clone()).await).await
    }

    /// Reads the status of the deployment's nodes.
    pub async fn status(&self) -> Result<proto::StatusReply, Failure> {
        self.client
            .read(async |mut node: NodeClient| node.status(proto::StatusRequest {}).await)
            .await
    }

    /// Begins a drain; returns the node's message for the operator. A drain is
    /// idempotent, but it is still reported if its outcome is unknown.
    pub async fn drain(&self, target: &Target) -> Result<String, Failure> {
        let target = Some(match target {
            Target::Node(name) => proto::drain_request::Target::Node(name.clone()),
            Target::Server(name) => proto::drain_request::Target::Server(name.clone()),
        });
        let request = proto::DrainRequest { target };
        let call = async |mut node: NodeClient| node.drain(request.clone()).await;
        Ok(self.client.write("drain", call).await?.message)
    }

    /// Reads the complete state of the first node that answers.
    pub async fn dump(&self) -> Result<proto::DumpReply, Failure> {
        self.client.read(async |mut node: NodeClient| node.dump(proto::DumpRequest {}).await).await
    }

    /// Reads the trace of one request from the first node that answers.
    pub async fn explain(&self, request: String) -> Result<String, Failure> {
        let request = proto::ExplainRequest { request };
        let call = async |mut node: NodeClient| node.explain(request.clone()).await;
        Ok(self.client.read(call).await?.trace)
    }
}
