//! Answers lookups of nodes, readiness checks and scrapes of the metrics.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::HeaderValue;

use crate::members::Status;
use crate::process::Process;
use crate::protocol::Lookup;
use crate::serve;
use crate::serve::Answer;

const METRICS_PATH: &str = "/metrics";
/// The maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// The longest time that callers may cache an answer, unless the settings have a shorter
/// one; a node accepts connections for longer than this after it starts to shut down.
pub(crate) const MAX_LOOKUP_TTL: Duration = Duration::from_secs(2);

/// Answers a lookup, a readiness check or a scrape.
pub(crate) fn handle(process: &Process, request: &Request<Incoming>) -> Answer {
    if process.protocol.is_readiness(request.uri()) {
        let status =
            if process.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return serve::empty_answer(status, None);
    }
    if request.uri().path() == METRICS_PATH {
        return Answer::new(Full::new(Bytes::from(process.metrics.encode())));
    }
    let Some(lookup) = process.protocol.lookup(request.uri()) else {
        return serve::empty_answer(StatusCode::NOT_FOUND, None);
    };
    let addresses = ready_addresses(process, &lookup);
    if addresses.is_empty() {
        return serve::empty_answer(StatusCode::SERVICE_UNAVAILABLE, None);
    }
    let body =
        process.protocol.lookup_body(&addresses, MAX_LOOKUP_TTL.min(process.settings.lookup_ttl));
    let mut answer = Answer::new(Full::new(Bytes::from(body)));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// The addresses of the ready nodes nearest to the caller.
fn ready_addresses(process: &Process, lookup: &Lookup) -> Vec<SocketAddr> {
    let now = process.clock.now();
    let members = process.members.borrow();
    let ready = members.live(now).filter(|(_, status)| *status == Status::Ready);
    let mut nodes: Vec<(SocketAddr, Arc<str>)> = ready
        .map(|(member, _)| {
            (member.heartbeat.caller_address, Arc::clone(&member.heartbeat.data_centre))
        })
        .collect();
    if process.is_ready() {
        let settings = &process.settings;
        nodes.push((settings.caller_address, Arc::clone(&settings.data_centre)));
    }
    let mut found = nearest(&nodes, lookup, &process.settings.regions);
    found.truncate(MAX_ADDRESSES);
    found
}

/// The addresses of the nodes in the caller's data centre; if there are none, of those in
/// its region; if there are none either, of all.
fn nearest(
    nodes: &[(SocketAddr, Arc<str>)],
    lookup: &Lookup,
    regions: &HashMap<Arc<str>, Arc<str>>,
) -> Vec<SocketAddr> {
    let in_data_centre =
        |data_centre: &Arc<str>| lookup.data_centre.as_deref() == Some(&**data_centre);
    let in_region = |data_centre: &Arc<str>| {
        lookup.region.is_some()
            && lookup.region.as_deref() == regions.get(data_centre).map(|r| &**r)
    };
    let all = |_: &Arc<str>| true;
    let scopes: [&dyn Fn(&Arc<str>) -> bool; 3] = [&in_data_centre, &in_region, &all];
    let within = |in_scope: &dyn Fn(&Arc<str>) -> bool| -> Vec<SocketAddr> {
        nodes
            .iter()
            .filter(|(_, data_centre)| in_scope(data_centre))
            .map(|(address, _)| *address)
            .collect()
    };
    scopes.into_iter().map(within).find(|found| !found.is_empty()).unwrap_or_default()
}
