//! Says which nodes callers should use, whether this one is ready, and what it
//! has counted.

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

use crate::members::Standing;
use crate::process::Process;
use crate::protocol::Lookup;
use crate::serve;
use crate::serve::Answer;

/// Asks for the metrics.
const METRICS_PATH: &str = "/metrics";
/// The most addresses that one answer names.
const MOST_ADDRESSES: usize = 64;
/// How long callers keep an answer: a stopping node goes on accepting for longer.
pub(crate) const KEEP: Duration = Duration::from_secs(2);

/// Answers a lookup, a readiness question or a scrape.
pub(crate) fn answer(process: &Process, request: &Request<Incoming>) -> Answer {
    if process.protocol.is_readiness(request.uri()) {
        let status =
            if process.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return serve::refusal(status, None);
    }
    if request.uri().path() == METRICS_PATH {
        return Answer::new(Full::new(Bytes::from(process.metrics.text())));
    }
    let Some(lookup) = process.protocol.lookup(request.uri()) else {
        return serve::refusal(StatusCode::NOT_FOUND, None);
    };
    let addresses = addresses(process, &lookup);
    if addresses.is_empty() {
        return serve::refusal(StatusCode::SERVICE_UNAVAILABLE, None);
    }
    let body = process.protocol.lookup_body(&addresses, KEEP.min(process.settings.lookup_ttl));
    let mut answer = Answer::new(Full::new(Bytes::from(body)));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// The addresses of the ready nodes nearest to the caller.
fn addresses(process: &Process, lookup: &Lookup) -> Vec<SocketAddr> {
    let now = process.clock.now();
    let members = process.members.borrow();
    let ready = members.heard(now).filter(|(_, standing)| *standing == Standing::Ready);
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
    found.truncate(MOST_ADDRESSES);
    found
}

/// Those of `nodes` that are in the caller's data centre; where there is none,
/// those in its region; where there is none either, all.
fn nearest(
    nodes: &[(SocketAddr, Arc<str>)],
    lookup: &Lookup,
    regions: &HashMap<Arc<str>, Arc<str>>,
) -> Vec<SocketAddr> {
    let here = |data_centre: &Arc<str>| lookup.data_centre.as_deref() == Some(&**data_centre);
    let near = |data_centre: &Arc<str>| {
        lookup.region.is_some()
            && lookup.region.as_deref() == regions.get(data_centre).map(|r| &**r)
    };
    let all = |_: &Arc<str>| true;
    let rings: [&dyn Fn(&Arc<str>) -> bool; 3] = [&here, &near, &all];
    let within = |ring: &dyn Fn(&Arc<str>) -> bool| -> Vec<SocketAddr> {
        nodes.iter().filter(|(_, place)| ring(place)).map(|(address, _)| *address).collect()
    };
    rings.into_iter().map(within).find(|found| !found.is_empty()).unwrap_or_default()
}
