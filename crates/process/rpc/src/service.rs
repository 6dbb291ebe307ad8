//! The tonic service that calls a [`Handler`].
//!
//! It validates and converts messages and turns a stage change into a conditional
//! write; everything else is left to the handler.
//!
//! Invariant: a stage change expects the revision at which the experiment was read,
//! so it never overwrites the change of another operator.

use std::sync::Arc;

use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::convert;
use crate::failure::Failure;
use crate::handler::Handler;
use crate::handler::Precondition;
use crate::handler::Target;
use crate::handler::WriteRequest;
use crate::proto;
use crate::proto::operator_server::Operator;
use crate::proto::operator_server::OperatorServer;
use conf::object::Experiment;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Spec;
use conf::object::Stage;

/// The maximum size of a message in either direction. An object has up to a
/// megabyte, a list or dump several.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

type Reply<T> = Result<Response<T>, Status>;

/// Implements the schema's service by calls to a handler.
#[derive(Clone)]
pub struct Service {
    handler: Arc<dyn Handler>,
}

impl Service {
    /// A service that calls `handler`.
    pub fn new(handler: Arc<dyn Handler>) -> Self {
        Self { handler }
    }

    /// Converts into a tonic service that can be added to a server.
    pub fn into_server(self) -> OperatorServer<Self> {
        OperatorServer::new(self)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    async fn write(&self, write: WriteRequest) -> Reply<proto::Object> {
        if write.operation.is_empty() {
            return Err(Failure::invalid("operation", "is missing").into());
        }
        log::info!(target: "rpc", "write {} of {}", write.operation, write.key);
        let object = self.handler.write(write).await?;
        Ok(Response::new(convert::object_to_proto(&object)))
    }

    async fn set_stage(
        &self,
        operation: String,
        name: &str,
        expected: Option<u64>,
        change: impl FnOnce(&mut Experiment),
    ) -> Reply<proto::Object> {
        let key = Key { kind: Kind::Experiment, name: Arc::from(name) };
        let object = self.handler.get(key.clone()).await?;
        if expected.is_some_and(|revision| revision != object.revision) {
            return Err(Failure::Conflict(Some(object)).into());
        }
        let Object { revision, spec: Some(Spec::Experiment(mut experiment)), .. } = object else {
            return Err(Failure::NotFound(key.to_string()).into());
        };
        let from = experiment.stage;
        change(&mut experiment);
        // The handler may check against an older state than the one just read.
        if !from.may_become(experiment.stage) {
            let (from, to) = (from.as_str(), experiment.stage.as_str());
            return Err(Failure::invalid("stage", format!("can't go from {from} to {to}")).into());
        }
        let spec = Some(Spec::Experiment(experiment));
        self.write(WriteRequest {
            operation,
            key,
            expected: Precondition::Revision(revision),
            spec,
        })
        .await
    }
}

#[tonic::async_trait]
impl Operator for Service {
    async fn create(&self, request: Request<proto::CreateRequest>) -> Reply<proto::Object> {
        let request = request.into_inner();
        let key = convert::key_from_proto(request.key)?;
        let spec = Some(convert::spec_from_json(key.kind, &request.spec_json)?);
        let operation = request.operation;
        self.write(WriteRequest { operation, key, expected: Precondition::Absent, spec }).await
    }

    async fn get(&self, request: Request<proto::GetRequest>) -> Reply<proto::Object> {
        let key = convert::key_from_proto(request.into_inner().key)?;
        let object = self.handler.get(key).await?;
        Ok(Response::new(convert::object_to_proto(&object)))
    }

    async fn list(&self, request: Request<proto::ListRequest>) -> Reply<proto::ListReply> {
        let kind = request.into_inner().kind;
        let parsed_kind = convert::kind_from_proto(kind);
        if parsed_kind.is_none() && kind != proto::Kind::Unspecified as i32 {
            return Err(Failure::invalid("kind", "is unknown").into());
        }
        let objects = self.handler.list(parsed_kind).await?;
        let objects = objects.iter().map(convert::object_to_proto).collect();
        Ok(Response::new(proto::ListReply { objects }))
    }

    async fn update(&self, request: Request<proto::UpdateRequest>) -> Reply<proto::Object> {
        let request = request.into_inner();
        let key = convert::key_from_proto(request.key)?;
        let spec = Some(convert::spec_from_json(key.kind, &request.spec_json)?);
        let expected = Precondition::Revision(request.expected_revision);
        self.write(WriteRequest { operation: request.operation, key, expected, spec }).await
    }

    async fn delete(&self, request: Request<proto::DeleteRequest>) -> Reply<proto::Object> {
        let request = request.into_inner();
        let key = convert::key_from_proto(request.key)?;
        let expected = Precondition::Revision(request.expected_revision);
        self.write(WriteRequest { operation: request.operation, key, expected, spec: None }).await
    }

    async fn start(&self, request: Request<proto::StageRequest>) -> Reply<proto::Object> {
        let request = request.into_inner();
        let change = |experiment: &mut Experiment| experiment.stage = Stage::Running;
        let expected = request.expected_revision;
        self.set_stage(request.operation, &request.experiment, expected, change).await
    }

    async fn stop(&self, request: Request<proto::StageRequest>) -> Reply<proto::Object> {
        let request = request.into_inner();
        let change = |experiment: &mut Experiment| experiment.stage = Stage::Stopped;
        let expected = request.expected_revision;
        self.set_stage(request.operation, &request.experiment, expected, change).await
    }

    async fn conclude(&self, request: Request<proto::ConcludeRequest>) -> Reply<proto::Object> {
        let request = request.into_inner();
        let winner = Arc::from(request.winner);
        let change = |experiment: &mut Experiment| {
            experiment.stage = Stage::Concluded;
            experiment.winner = Some(winner);
        };
        let expected = request.expected_revision;
        self.set_stage(request.operation, &request.experiment, expected, change).await
    }

    async fn report(&self, request: Request<proto::ReportRequest>) -> Reply<proto::ReportReply> {
        let reply = self.handler.report(request.into_inner().experiment).await?;
        Ok(Response::new(reply))
    }

    async fn status(&self, _request: Request<proto::StatusRequest>) -> Reply<proto::StatusReply> {
        Ok(Response::new(self.handler.status().await?))
    }

    async fn drain(&self, request: Request<proto::DrainRequest>) -> Reply<proto::DrainReply> {
        let target = match request.into_inner().target {
            Some(proto::drain_request::Target::Node(name)) => Target::Node(name),
            Some(proto::drain_request::Target::Server(name)) => Target::Server(name),
            None => return Err(Failure::invalid("target", "is missing").into()),
        };
        let message = self.handler.drain(target).await?;
        Ok(Response::new(proto::DrainReply { message }))
    }

    async fn dump(&self, _request: Request<proto::DumpRequest>) -> Reply<proto::DumpReply> {
        Ok(Response::new(self.handler.dump().await?))
    }

    async fn explain(&self, request: Request<proto::ExplainRequest>) -> Reply<proto::ExplainReply> {
        let trace = self.handler.explain(request.into_inner().request).await?;
        Ok(Response::new(proto::ExplainReply { trace }))
    }
}
