//! Handles the calls of operators.
//!
//! Invariant: a write is validated against the whole active configuration before it
//! is sent to the platform; an accepted write is active on this node at once and is
//! pushed to peers.

use std::sync::Arc;
use std::time::Duration;

use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::process::dump;
use crate::process::experiments;
use crate::process::report;
use crate::process::state::Process;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Preference;
use conf::verify;
use peer::record::Departure;
use peer::record::Record;
use rpc::failure::Failure;
use rpc::handler::Handler;
use rpc::handler::Pending;
use rpc::handler::Precondition;
use rpc::handler::Target;
use rpc::handler::WriteRequest;
use rpc::proto;
use rpc::proto::operator_client::OperatorClient;
use store::api;
use store::api::Store;
use store::write;

/// The timeout of a write, including its read-back.
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);
/// The timeout of connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Passes the calls of operators to the process.
pub struct OperatorHandler(pub Arc<Process>);

impl Handler for OperatorHandler {
    fn write(&self, write: WriteRequest) -> Pending<'_, Object> {
        Box::pin(self.write_object(write))
    }

    fn get(&self, key: Key) -> Pending<'_, Object> {
        Box::pin(async move {
            let stored = self.0.store.get(&key).await.map_err(|error| unavailable(&error))?;
            let live = stored.map(|stored| stored.object).filter(|object| object.spec.is_some());
            live.ok_or_else(|| Failure::NotFound(key.to_string()))
        })
    }

    fn list(&self, kind: Option<Kind>) -> Pending<'_, Vec<Object>> {
        Box::pin(async move {
            let kinds = kind.map_or(Kind::ALL.to_vec(), |kind| vec![kind]);
            let mut objects = Vec::new();
            for kind in kinds {
                let listing = self.0.store.list(kind).await.map_err(|error| unavailable(&error))?;
                let all = listing.objects.into_iter().map(|stored| stored.object);
                objects.extend(all.filter(|object| object.spec.is_some()));
            }
            Ok(objects)
        })
    }

    fn status(&self) -> Pending<'_, proto::StatusReply> {
        Box::pin(async move { Ok(self.status_reply()) })
    }

    fn drain(&self, target: Target) -> Pending<'_, String> {
        Box::pin(async move {
            match target {
                Target::Node(name) => self.drain_node(name).await,
                Target::Server(name) => self.drain_server(&name),
            }
        })
    }

    fn dump(&self) -> Pending<'_, proto::DumpReply> {
        Box::pin(async move {
            Ok(proto::DumpReply {
                node: self.0.settings.name.to_string(),
                state_json: dump::state(&self.0).to_string(),
            })
        })
    }

    fn explain(&self, request: String) -> Pending<'_, String> {
        Box::pin(self.explain_request(request))
    }

    fn report(&self, experiment: String) -> Pending<'_, proto::ReportReply> {
        Box::pin(self.report_experiment(experiment))
    }
}

impl OperatorHandler {
    async fn write_object(&self, write: WriteRequest) -> Result<Object, Failure> {
        if !self.0.is_synced() {
            return Err(Failure::unavailable("this node does not hold the configuration yet"));
        }
        let object = Object { key: write.key.clone(), revision: 0, spec: write.spec.clone() };
        let issues = verify::object(&self.0.catalog(), &object);
        if !issues.is_empty() {
            return Err(Failure::Invalid(issues));
        }
        let operation: Arc<str> = Arc::from(write.operation);
        let request = write::Request {
            key: write.key.clone(),
            expected: expected(write.expected),
            spec: write.spec,
            operation: Arc::clone(&operation),
        };
        let seed = self.0.next_request();
        let outcome = write::run(&*self.0.store, request, WRITE_TIMEOUT, seed).await;
        let result = write_result(outcome, &write.key, object, &operation);
        if let (Ok(object), Some(mesh)) = (&result, self.0.mesh()) {
            mesh.push(vec![object.clone()]);
        }
        result
    }

    async fn report_experiment(&self, name: String) -> Result<proto::ReportReply, Failure> {
        let catalog = self.0.catalog();
        let Some(experiment) = catalog.experiment(&name) else {
            return Err(Failure::NotFound(format!("experiment/{name}")));
        };
        let Some(mesh) = self.0.mesh() else {
            return Err(Failure::unavailable("this node has not joined yet"));
        };
        let service = catalog.service(&experiment.service);
        let preference = service.map_or_else(Preference::default, |service| service.preference);
        let total = experiments::collect(mesh, &name).await;
        Ok(report::reply(&name, experiment, preference, total))
    }

    fn status_reply(&self) -> proto::StatusReply {
        let process = &self.0;
        let mesh = process.mesh();
        let silence = process.platform_silence();
        let own_applied = process.catalog().revision();
        let withdrawals = process.upstreams.with(|table| table.withdrawals());
        let withdrawals = withdrawals.into_iter().map(|withdrawal| withdrawal.to_string());
        let members = mesh.map(|mesh| mesh.members()).unwrap_or_default();
        proto::StatusReply {
            node: process.settings.name.to_string(),
            members: members.iter().map(member).collect(),
            lowest_applied_revision: mesh.map_or(own_applied, |mesh| mesh.lowest_applied()),
            platform_reachable: silence.is_some_and(|span| span < MAX_PLATFORM_SILENCE),
            platform_silent_ms: silence.map(|span| span.as_millis() as u64),
            leaving_servers: withdrawals.collect(),
        }
    }

    async fn drain_node(&self, name: String) -> Result<String, Failure> {
        if *name == *self.0.settings.name {
            self.0.stop_requested.cancel();
            return Ok(format!("node {name} makes a planned stop"));
        }
        let record = self.find_node(|record| *record.name == *name)?;
        let target = Some(proto::drain_request::Target::Node(name));
        let mut client = client(&record).await?;
        let reply = client.drain(proto::DrainRequest { target }).await;
        reply.map(|reply| reply.into_inner().message).map_err(|status| Failure::from(&status))
    }

    fn drain_server(&self, name: &str) -> Result<String, Failure> {
        let server = self.0.upstreams.with(|table| table.find(name));
        let Some(server) = server else {
            return Err(Failure::NotFound(format!("server {name}")));
        };
        self.0.upstreams.update(|table| table.drain(server));
        Ok(format!("server {name} gets no new work in its present life"))
    }

    async fn explain_request(&self, request: String) -> Result<String, Failure> {
        if let Some(trace) = self.0.traces.get(&request) {
            return Ok(trace);
        }
        let unknown = || Failure::NotFound(format!("request {request}"));
        // The id starts with the incarnation of the node that ran the request.
        let incarnation = request.split('-').next().unwrap_or_default();
        if incarnation == self.0.incarnation.to_string() {
            return Err(unknown());
        }
        let record = self
            .find_node(|record| record.incarnation.to_string() == incarnation)
            .map_err(|_| unknown())?;
        let mut client = client(&record).await?;
        let reply = client.explain(proto::ExplainRequest { request: request.clone() }).await;
        reply.map(|reply| reply.into_inner().trace).map_err(|status| Failure::from(&status))
    }

    fn find_node(&self, matches: impl Fn(&Record) -> bool) -> Result<Record, Failure> {
        let members = self.0.mesh().map(|mesh| mesh.members()).unwrap_or_default();
        let found = members.into_iter().find(|record| record.is_up() && matches(record));
        found.ok_or_else(|| Failure::NotFound("no such node is up".to_owned()))
    }
}

/// The time without a response after which the platform counts as unreachable.
const MAX_PLATFORM_SILENCE: Duration = Duration::from_secs(5);

/// Connects before the call, so that a node that can't be reached is reported as
/// unavailable and not as an unknown outcome.
async fn client(record: &Record) -> Result<OperatorClient<Channel>, Failure> {
    let endpoint = Endpoint::from_shared(format!("http://{}", record.operator))
        .map_err(|error| Failure::unavailable(error.to_string()))?;
    let channel = endpoint.connect_timeout(CONNECT_TIMEOUT).connect().await;
    let channel = channel.map_err(|error| {
        Failure::unavailable(format!("node {} can't be reached: {error}", record.name))
    })?;
    Ok(OperatorClient::new(channel))
}

fn member(record: &Record) -> proto::Node {
    proto::Node {
        name: record.name.to_string(),
        data_centre: record.data_centre.to_string(),
        incarnation: record.incarnation.to_string(),
        peer_address: record.peer.to_string(),
        applied_revision: record.applied,
        fresh: record.fresh,
        leaving: record.leave != Departure::Staying,
        liveness: format!("{:?}", record.state).to_lowercase(),
        age_ms: 0,
    }
}

fn expected(expected: Precondition) -> api::Precondition {
    match expected {
        Precondition::Absent => api::Precondition::Absent,
        Precondition::Revision(revision) => api::Precondition::Revision(revision),
    }
}

fn unavailable(error: &api::Error) -> Failure {
    Failure::unavailable(format!("the platform: {error}"))
}

/// Converts the outcome of a write to the reply to the operator.
fn write_result(
    outcome: write::Outcome,
    key: &Key,
    object: Object,
    operation: &Arc<str>,
) -> Result<Object, Failure> {
    match outcome {
        write::Outcome::Accepted(revision) => Ok(Object { revision, ..object }),
        write::Outcome::Conflict(winner) => match winner {
            Some(winner) => Err(Failure::Conflict(Some(winner.object))),
            None => Err(Failure::Conflict(None)),
        },
        write::Outcome::NotWritten(error) => Err(unavailable(&error)),
        write::Outcome::Unknown(_) => Err(Failure::Unknown {
            message: format!("the platform did not tell whether {key} was written"),
            operation: operation.to_string(),
        }),
    }
}
