//! The operators' calls with the project's types.
//!
//! Invariant: each write has its own operation id, drawn here once and kept over
//! all nodes that are tried.

use crate::client::Client;
use crate::client::Connected;
use crate::command::Change;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use rpc::convert;
use rpc::failure::Failure;
use rpc::handler::Precondition;
use rpc::handler::Target;
use rpc::handler::WriteRequest;
use rpc::proto;

/// A deployment as `hsctl` reaches it.
#[derive(Clone, Debug)]
pub struct Remote {
    client: Client,
    /// The revision that changes are made from, if the operator gave it.
    pub revision: Option<u64>,
}

impl Remote {
    /// A deployment behind `client`.
    pub fn new(client: Client, revision: Option<u64>) -> Self {
        Self { client, revision }
    }

    /// A new operation id.
    pub fn operation(&self) -> String {
        format!("hsctl-{:032x}", rand::random::<u128>())
    }

    /// The live object, or `NotFound`.
    pub async fn get(&self, key: &Key) -> Result<Object, Failure> {
        let request = proto::GetRequest { key: Some(convert::key_to_proto(key)) };
        let call = async |mut node: Connected| node.get(request.clone()).await;
        convert::object_from_proto(self.client.read(call).await?)
    }

    /// The live objects of one kind or of all.
    pub async fn list(&self, kind: Option<Kind>) -> Result<Vec<Object>, Failure> {
        let kind = kind.map_or(proto::Kind::Unspecified, convert::kind_to_proto).into();
        let call = async |mut node: Connected| node.list(proto::ListRequest { kind }).await;
        let reply = self.client.read(call).await?;
        reply.objects.into_iter().map(convert::object_from_proto).collect()
    }

    /// Makes a write; returns the object or tombstone as accepted.
    pub async fn write(&self, write: WriteRequest) -> Result<Object, Failure> {
        let operation = write.operation;
        let key = Some(convert::key_to_proto(&write.key));
        let spec = write.spec.as_ref().map(convert::spec_to_json);
        let call = async |mut node: Connected| {
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

    /// Deletes an object at the revision that the operator gave, or at the one
    /// that it has now.
    pub async fn delete(&self, key: Key) -> Result<Object, Failure> {
        let revision = match self.revision {
            Some(revision) => revision,
            None => self.get(&key).await?.revision,
        };
        let expected = Precondition::Revision(revision);
        self.write(WriteRequest { operation: self.operation(), key, expected, spec: None }).await
    }

    /// Changes the stage of an experiment.
    pub async fn set_stage(&self, change: &Change, experiment: String) -> Result<Object, Failure> {
        let operation = self.operation();
        let expected_revision = self.revision;
        let call = async |mut node: Connected| {
            let (operation, experiment) = (operation.clone(), experiment.clone());
            let request = proto::StageRequest {
                operation: operation.clone(),
                experiment: experiment.clone(),
                expected_revision,
            };
            match change {
                Change::Start => node.start(request).await,
                Change::Stop => node.stop(request).await,
                Change::Conclude(winner) => {
                    let winner = winner.clone();
                    let request =
                        proto::ConcludeRequest { operation, experiment, expected_revision, winner };
                    node.conclude(request).await
                }
            }
        };
        convert::object_from_proto(self.client.write(&operation, call).await?)
    }

    /// What an experiment has shown.
    pub async fn report(&self, experiment: String) -> Result<proto::ReportReply, Failure> {
        let request = proto::ReportRequest { experiment };
        self.client.read(async |mut node: Connected| node.report(request.clone()).await).await
    }

    /// The nodes of the deployment.
    pub async fn status(&self) -> Result<proto::StatusReply, Failure> {
        self.client
            .read(async |mut node: Connected| node.status(proto::StatusRequest {}).await)
            .await
    }

    /// Begins a drain; returns in words what was begun. A drain that is asked
    /// for twice is one drain, but an unknown outcome is told all the same.
    pub async fn drain(&self, target: &Target) -> Result<String, Failure> {
        let target = Some(match target {
            Target::Node(name) => proto::drain_request::Target::Node(name.clone()),
            Target::Server(name) => proto::drain_request::Target::Server(name.clone()),
        });
        let request = proto::DrainRequest { target };
        let call = async |mut node: Connected| node.drain(request.clone()).await;
        Ok(self.client.write("drain", call).await?.message)
    }

    /// The whole state of the first node that answers.
    pub async fn dump(&self) -> Result<proto::DumpReply, Failure> {
        self.client.read(async |mut node: Connected| node.dump(proto::DumpRequest {}).await).await
    }

    /// What the first node that answers did for one request.
    pub async fn explain(&self, request: String) -> Result<String, Failure> {
        let request = proto::ExplainRequest { request };
        let call = async |mut node: Connected| node.explain(request.clone()).await;
        Ok(self.client.read(call).await?.trace)
    }
}
