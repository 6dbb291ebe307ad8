//! Answers lookups of nodes and readiness checks.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::HeaderValue;

use crate::inbound::Connection;
use crate::members::has_path;
use crate::members::present_capacity;
use crate::placement;
use crate::placement::Candidate;
use crate::process::Process;
use crate::protocol::Lookup;
use crate::serve;
use crate::serve::Answer;
use base::region;
use replica::table::Locality;

/// The maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// The longest time that callers may cache an answer, unless the settings have a shorter
/// one; a node accepts connections for longer than this after it starts to shut down.
pub(crate) const MAX_LOOKUP_TTL: Duration = Duration::from_secs(2);

/// Answers a lookup or a readiness check.
pub(crate) async fn handle(
    process: Rc<Process>,
    request: Request<Incoming>,
    connection: Rc<Connection>,
) -> Answer {
    connection.run();
    if process.protocol.is_readiness(request.uri()) {
        let status =
            if process.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return serve::empty_answer(status, None);
    }
    let Some(lookup) = process.protocol.lookup(request.uri()) else {
        return serve::empty_answer(StatusCode::NOT_FOUND, None);
    };
    let addresses = best_addresses(&process, &lookup);
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

/// The addresses of the serving nodes that suit the caller best, without those that have lost
/// their path to the servers; that of this node if no serving node is known.
fn best_addresses(process: &Process, lookup: &Lookup) -> Vec<SocketAddr> {
    let settings = &process.settings;
    // A caller that does not say where it is counts as being here.
    let data_centre = match &lookup.data_centre {
        Some(data_centre) => data_centre.as_str().into(),
        None => settings.data_centre.clone(),
    };
    let mut regions = settings.regions.clone();
    if let Some(region) = &lookup.region {
        regions.entry(data_centre.clone()).or_insert_with(|| region.as_str().into());
    }
    let table = process.table.borrow();
    let stated_region = match &lookup.data_centre {
        Some(_) => regions.get(&data_centre).map(|region| &**region),
        None => lookup.region.as_deref(),
    };
    let caller_region = match stated_region {
        Some(region) => table.regions().region(region),
        None => table.region_of(&data_centre),
    };
    let caller = Locality { data_centre, regions };
    let members = process.members.borrow();
    let now = process.clock.now();
    let own_reach = process.reach.get();
    let best_reach = members.best_reach(now, own_reach);
    let mut candidates: Vec<Candidate> = members
        .named(now)
        .map(|member| &member.heartbeat)
        .filter(|node| has_path(node.reach, best_reach))
        .map(|node| Candidate {
            address: node.caller_address,
            distance: caller.distance(&node.data_centre),
            region: table.region_of(&node.data_centre),
            capacity: node.present_capacity(),
            sends_per_second: node.sends_per_second,
        })
        .collect();
    let is_serving = process.role.borrow().is_serving();
    let is_candidate = is_serving && has_path(own_reach, best_reach);
    if process.is_ready() && (is_candidate || candidates.is_empty()) {
        candidates.push(Candidate {
            address: settings.caller_address,
            distance: caller.distance(&settings.data_centre),
            region: table.region_of(&settings.data_centre),
            capacity: present_capacity(settings.capacity, process.slowness.get()),
            sends_per_second: process.sends_per_second.get(),
        });
    }
    let candidates = placement::eligible(candidates, caller_region, homes(process, lookup));
    let mut found = placement::choose(&candidates, process.max_fan_out());
    found.truncate(MAX_ADDRESSES);
    found
}

/// The regions that all routes with homes of the caller's host allow.
fn homes(process: &Process, lookup: &Lookup) -> region::Set {
    let router = process.router.borrow();
    let (Some(router), Some(host)) = (router.as_ref(), &lookup.host) else {
        return region::Set::ANY;
    };
    // As for requests, the name may have a port that the routes lack.
    let without_port = host.rsplit_once(':').map_or(host.as_str(), |(name, _)| name);
    router.common_homes(host).intersect(router.common_homes(without_port))
}
