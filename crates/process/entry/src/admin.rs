//! Answers operators on the port of the metrics: the metrics, and the requests that are blocked
//! since they end servers.
//!
//!     GET /metrics
//!     GET /status                     evacuated data centres, cold servers, and the customers with
//!                                     the most requests and refusals, as JSON
//!     GET /blocked                    the blocked requests, as JSON
//!     DELETE /blocked/REQUEST         ends a block, at all nodes

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::HeaderValue;
use serde_json::Value;
use serde_json::json;

use crate::breaks;
use crate::inbound::Connection;
use crate::process::Process;
use crate::serve;
use crate::serve::Answer;
use base::entity::Server;
use poison::identity::Identity;
use share::limit::Limit;
use site::evacuation::Evacuation;

const METRICS_PATH: &str = "/metrics";
const STATUS_PATH: &str = "/status";
const BLOCKED_PATH: &str = "/blocked";

/// Answers a request of an operator.
pub(crate) async fn handle(
    process: Rc<Process>,
    request: Request<Incoming>,
    connection: Rc<Connection>,
) -> Answer {
    connection.run();
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::GET, METRICS_PATH) => {
            process.metrics.record_inbound(&process.inbound, process.reply_memory.used());
            Answer::new(Full::new(Bytes::from(process.metrics.encode())))
        }
        (&Method::GET, STATUS_PATH) => status(&process),
        (&Method::GET, BLOCKED_PATH) => list(&process),
        (&Method::DELETE, _) => match path.strip_prefix(BLOCKED_PATH) {
            Some(name) => release(&process, name.trim_start_matches('/')),
            None => serve::empty_answer(StatusCode::NOT_FOUND, None),
        },
        _ => serve::empty_answer(StatusCode::NOT_FOUND, None),
    }
}

/// The maximum number of cold servers in the state for operators.
const MAX_COLD_SERVERS: usize = 64;

fn status(process: &Process) -> Answer {
    json_answer(&json!({
        "customers": process.customer_stats.borrow().top(),
        "evacuated": evacuated(process),
        "cold": cold(process),
    }))
}

/// The evacuated data centres, and since which revision of the registry.
fn evacuated(process: &Process) -> Vec<Value> {
    let now = process.clock.now();
    let evacuations = process.evacuations.borrow();
    let entry = |(data_centre, evacuation): (&Arc<str>, &Evacuation)| {
        json!({
            "data_centre": &**data_centre,
            "revision": format!("{}.{}", evacuation.origin.era, evacuation.origin.revision),
            "since_ms": now.since(evacuation.since).as_millis() as u64,
        })
    };
    evacuations.iter().map(entry).collect()
}

/// The cold servers, and this node's part of what they bear.
fn cold(process: &Process) -> Vec<Value> {
    let now = process.clock.now();
    let table = process.table.borrow();
    let entry = |(server, limit): (Server, &Limit)| {
        let record = table.record(server);
        json!({
            "server": &*record.incarnation.id,
            "per_second": limit.per_second,
            "own_per_second": limit.rate(now),
            "left_ms": record.warmup_until.since(now).as_millis() as u64,
        })
    };
    table.cold(now).take(MAX_COLD_SERVERS).map(entry).collect()
}

fn json_answer(content: &Value) -> Answer {
    let mut answer = Answer::new(Full::new(Bytes::from(content.to_string())));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

fn list(process: &Process) -> Answer {
    let now = process.clock.now();
    let ledger = process.ledger.borrow();
    let table = process.table.borrow();
    let entry = |identity: Identity| -> Value {
        let ends = ledger.ended_servers(identity).into_iter();
        let servers: Vec<Value> = ends
            .map(|(server, at)| {
                json!({ "server": table.name_of(server), "ended_ms_ago": now.since(at).as_millis() as u64 })
            })
            .collect();
        let left = ledger.blocked_until(identity).since(now);
        json!({
            "request": identity.to_string(),
            "servers": servers,
            "tried_in_ms": left.as_millis() as u64
        })
    };
    let blocked: Vec<Value> = ledger.blocked(now).map(entry).collect();
    json_answer(&json!(blocked))
}

fn release(process: &Process, name: &str) -> Answer {
    let now = process.clock.now();
    let found = process.ledger.borrow().blocked(now).find(|identity| identity.to_string() == name);
    let Some(identity) = found else { return serve::empty_answer(StatusCode::NOT_FOUND, None) };
    log::info!(target: "poison", request = name; "An operator ends the block of a request.");
    breaks::release(process, identity);
    serve::empty_answer(StatusCode::NO_CONTENT, None)
}
