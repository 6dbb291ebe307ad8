//! Passes callers' requests on to other nodes while this node has lost its path to the servers.
//!
//! Invariants: a request is passed on only if no attempt of this node has left, and to one node
//! that gets it, in a region in which the request may be served. That node answers it by a
//! configuration that is not older than this node's, and does not pass it on again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::http::HeaderName;
use hyper::http::HeaderValue;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::exchange;
use crate::exchange::CallerRequest;
use crate::inbound::Connection as Inbound;
use crate::members::has_path;
use crate::process::Process;
use crate::serve;
use crate::serve::Answer;
use crate::upstream;
use base::region;

/// Marks a request that a node passes on; its value is the version of that node's configuration.
const FORWARDED: HeaderName = HeaderName::from_static("entry-forwarded");
/// Marks the refusal of a request that another node has passed on, and that was not read.
const NOT_TAKEN: HeaderName = HeaderName::from_static("entry-not-taken");
/// The timeout of a connect to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum number of nodes that are tried for a request.
const MAX_NODES_TRIED: usize = 2;
/// The maximum number of idle connections to another node that are kept.
const MAX_IDLE: usize = 8;

/// An open connection to another node.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The idle connections to other nodes.
#[derive(Default)]
pub(crate) struct Connections {
    idle: RefCell<HashMap<IpAddr, Vec<Connection>>>,
}

impl Connections {
    fn take(&self, ip: IpAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let of_node = idle.get_mut(&ip)?;
        while let Some(connection) = of_node.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn put(&self, ip: IpAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let of_node = idle.entry(ip).or_default();
        if of_node.len() < MAX_IDLE && !connection.sender.is_closed() {
            of_node.push(connection);
        }
    }

    /// Closes all.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// How passing a request on to one node ended.
enum Passed {
    Answered(Answer),
    /// The node did not get it.
    NotSent,
    /// It may have run.
    Unknown,
}

/// The version of the sender's configuration, if another node has passed this request on.
pub(crate) fn version_of<B>(request: &Request<B>) -> Option<u64> {
    request.headers().get(FORWARDED)?.to_str().ok()?.parse().ok()
}

/// Answers a request that another node has passed on.
pub(crate) async fn handle(
    process: Rc<Process>,
    mut request: Request<Incoming>,
    version: u64,
    connection: &Rc<Inbound>,
) -> Answer {
    request.headers_mut().remove(FORWARDED);
    if process.leaving.get() {
        log::info!(target: "request", "A request of another node was not taken over: this node stops.");
        return not_taken();
    }
    let own = process.router.borrow().as_ref().map(|router| router.version);
    if own < Some(version) {
        log::info!(target: "request", version = own, needed = version; "A request of another node was not taken over: this node's configuration is older than the sender's.");
        return not_taken();
    }
    serve::handle_forwarded(process, request, connection).await
}

/// Refuses a request that another node has passed on; that node may try a further one.
fn not_taken() -> Answer {
    let mut answer = serve::refusal();
    answer.headers_mut().insert(NOT_TAKEN, HeaderValue::from_static("1"));
    answer
}

/// Passes a request on to a node that has a path to the servers; `None` if none has got it. That
/// node may use all attempts of the route, so no other one gets the request after it.
pub(crate) async fn pass_on(
    process: &Process,
    caller_request: &CallerRequest,
    version: u64,
) -> Option<Answer> {
    for ip in nodes(process, caller_request.homes) {
        match send(process, ip, caller_request, version).await {
            Passed::Answered(answer) => {
                process.metrics.record_forward("answered");
                return Some(answer);
            }
            Passed::NotSent => process.metrics.record_forward("not sent"),
            Passed::Unknown => {
                process.metrics.record_forward("unknown");
                let id = caller_request.id.to_str().unwrap_or_default();
                log::info!(target: "request", id, node:% = ip; "A node to which the request was passed on did not answer; the request may have run.");
                return Some(serve::empty_answer(StatusCode::BAD_GATEWAY, None));
            }
        }
    }
    None
}

/// The nodes to try: the nearest ones with a path in `homes`, in random order.
fn nodes(process: &Process, homes: region::Set) -> Vec<IpAddr> {
    let now = process.clock.now();
    let members = process.members.borrow();
    let mut table = process.table.borrow_mut();
    let best = members.best_reach(now, process.reach.get());
    let mut nodes: Vec<_> = members
        .serving(now)
        .map(|member| &member.heartbeat)
        .filter(|node| has_path(node.reach, best) && node.reach > process.reach.get())
        .filter(|node| !node.is_slow())
        .filter(|node| homes.allows(table.region_of(&node.data_centre)))
        .collect::<Vec<_>>()
        .into_iter()
        .map(|node| {
            let order = (table.random_fraction() * f64::from(u32::MAX)) as u32;
            (members.distance(&node.data_centre), order, node.caller_address.ip())
        })
        .collect();
    nodes.sort();
    nodes.into_iter().take(MAX_NODES_TRIED).map(|(_, _, ip)| ip).collect()
}

async fn send(
    process: &Process,
    ip: IpAddr,
    caller_request: &CallerRequest,
    version: u64,
) -> Passed {
    let mut connection = match connect(process, ip).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(target: "members", node:% = ip, error = error.as_str(); "A request was not passed on: no connection to the node.");
            return Passed::NotSent;
        }
    };
    let left = caller_request.caller_deadline.since(process.clock.now());
    let mut request = Request::new(Full::new(caller_request.body.clone()));
    *request.method_mut() = caller_request.method.clone();
    *request.uri_mut() = caller_request.uri.clone();
    *request.headers_mut() = caller_request.headers.clone();
    process.protocol.write_timeout(request.headers_mut(), left);
    if let Some(credential) = &caller_request.credential {
        process.protocol.write_credential(request.headers_mut(), credential);
    }
    request.headers_mut().insert(FORWARDED, HeaderValue::from(version));
    caller_request.was_passed_on.set(true);
    let answer = async {
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let not_sent = error.take_message().is_some();
                return if not_sent { Passed::NotSent } else { Passed::Unknown };
            }
        };
        let (mut parts, body) = response.into_parts();
        if parts.headers.contains_key(NOT_TAKEN) {
            return Passed::NotSent;
        }
        // A node of an earlier build passes such statuses of servers on.
        if !exchange::is_final(parts.status) {
            return Passed::Unknown;
        }
        match exchange::read_body(process, body).await {
            Ok((body, _)) => {
                serve::remove_hop_by_hop(&mut parts.headers);
                Passed::Answered(Answer::from_parts(parts, Full::new(body)))
            }
            Err(_) => Passed::Unknown,
        }
    };
    let passed = timeout(left, answer).await.unwrap_or(Passed::Unknown);
    match passed {
        Passed::Answered(_) => process.forwards.put(ip, connection),
        Passed::NotSent => caller_request.was_passed_on.set(false),
        Passed::Unknown => {}
    }
    passed
}

/// An idle connection to a node, or a new one.
async fn connect(process: &Process, ip: IpAddr) -> Result<Connection, String> {
    if let Some(connection) = process.forwards.take(ip) {
        return Ok(connection);
    }
    let address = SocketAddr::new(ip, process.settings.peer_port);
    let opened = timeout(CONNECT_TIMEOUT, upstream::connect(address)).await;
    let (sender, connection) = opened
        .map_err(|_| format!("not opened within {} ms", CONNECT_TIMEOUT.as_millis()))?
        .map_err(|error| error.to_string())?;
    let task = spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "members", "The connection to {ip} closed: {error}.");
        }
    });
    Ok(Connection { sender, task: task.abort_handle() })
}
