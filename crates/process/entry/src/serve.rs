//! Answers callers' requests: plans and runs each one that was read, and tells
//! what came of it.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::HeaderName;
use hyper::http::HeaderValue;

use crate::drive;
use crate::exchange::Message;
use crate::exchange::Reply;
use crate::process::Process;
use crate::process::Seen;
use crate::read;
use crate::read::Read;
use crate::read::Unread;
use crate::trace::Trace;
use base::time::Time;
use gather::event;
use gather::event::Cause;
use gather::event::Outcome;
use gather::machine::Machine;
use gather::merge;
use gather::plan::Plan;
use site::router::Route;
use site::router::Router;

/// A reply whose body is held in memory.
pub(crate) type Answer = Response<Full<Bytes>>;

/// How long a caller is told to stay away when nothing more is known.
const COME_BACK: Duration = Duration::from_millis(300);
/// The way of a request from its caller, and of the answer back.
const CALLER_WAY: Duration = Duration::from_millis(4);
/// What is kept of the objective for the node's own work on an answer.
const ANSWER_WORK: Duration = Duration::from_millis(5);
/// What is kept of the time limit for the answer to be on its way.
const LIMIT_MARGIN: Duration = Duration::from_millis(20);
/// The patience that is assumed of a caller that tells none.
const UNTOLD_PATIENCE: Duration = Duration::from_secs(10);

/// Headers that concern only one connection.
const OWN_CONNECTION: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// Answers one request.
pub(crate) async fn handle(process: Rc<Process>, request: Request<Incoming>) -> Answer {
    let arrived = process.clock.now();
    let _busy = Busy::new(&process);
    let ask = process.protocol.read_request(request.headers());
    let patience = ask.timeout.unwrap_or(UNTOLD_PATIENCE);
    let snapshot = process.snapshot.borrow().clone();
    let read = match snapshot {
        Some(snapshot) => read::read(&snapshot, &ask, patience, request).await,
        None => Err(Unread::NoConfig),
    };
    let Read { snapshot, route, id, parts, body } = match read {
        Ok(read) => read,
        Err(unread) => return unread.answer(&process, ask.request_id.as_ref()),
    };
    let deadline = arrived + patience;
    let mut headers = parts.headers;
    strip(&mut headers);
    let message = Message { method: parts.method, uri: parts.uri, headers, body, id, deadline };
    let seen = process.routes.borrow_mut().of(&route.name, route.objective);
    let plan = plan(&process, &route, arrived, patience, &seen);
    let machine = Machine::new(plan);
    let message = Rc::new(message);
    let mut trace = Trace::default();
    let last = drive::run(&process, machine, Rc::clone(&message), seen, &mut trace).await;
    if !tell(&process, &snapshot, &route, &message, arrived, &last) {
        trace.tell(&process, &message, arrived, route.objective);
    }
    answer(&process, &route, last)
}

/// The terms of a request that arrived at `arrived`.
fn plan(
    process: &Process,
    route: &Route,
    arrived: Time,
    patience: Duration,
    seen: &RefCell<Seen>,
) -> Plan {
    let mut seen = seen.borrow_mut();
    seen.patience = seen.patience.max(patience);
    let service_time = seen.service_time.mean();
    let draw = process.table.borrow_mut().random_fraction();
    let services = route.fanout.services(draw);
    let min_services = match &route.fanout {
        site::router::Fanout::All { min_shards, .. } => *min_shards,
        site::router::Fanout::One(_) => services.len(),
    };
    let limit = patience.min(route.timeout).saturating_sub(LIMIT_MARGIN);
    // A caller that comes back has less patience than at its first try, and has
    // spent the difference of its objective.
    let spent = seen.patience.saturating_sub(patience).min(route.objective);
    let left = route.objective.saturating_sub(spent + CALLER_WAY * 2 + ANSWER_WORK);
    Plan {
        services,
        min_services,
        idempotent: route.idempotent,
        max_attempts: route.attempts,
        soft_deadline: arrived + left,
        deadline: arrived + limit,
        service_time,
    }
}

/// Takes out what concerns only the caller's connection.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in OWN_CONNECTION.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
}

/// What the caller is told.
fn answer(process: &Process, route: &Route, last: event::Response<Reply>) -> Answer {
    let missing = last.missing.len();
    match last.outcome {
        Outcome::Answer(replies) => match &route.fanout {
            site::router::Fanout::All { top_k, .. } => cover(process, &replies, missing, *top_k),
            site::router::Fanout::One(_) => match replies.into_iter().next() {
                Some(reply) => pass(reply),
                // A route that names no service asks nobody.
                None => refusal(StatusCode::SERVICE_UNAVAILABLE, Some(COME_BACK)),
            },
        },
        Outcome::Failure(reply) => pass(reply),
        Outcome::NotRun => refusal(StatusCode::SERVICE_UNAVAILABLE, Some(COME_BACK)),
        Outcome::Unknown if last.missing.iter().any(|(_, cause)| *cause == Cause::Timeout) => {
            refusal(StatusCode::GATEWAY_TIMEOUT, None)
        }
        Outcome::Unknown => refusal(StatusCode::BAD_GATEWAY, None),
    }
}

/// Counts a request, and tells the log if it did not go well; gives whether it
/// did.
fn tell(
    process: &Process,
    snapshot: &Router,
    route: &Route,
    message: &Message,
    arrived: Time,
    last: &event::Response<Reply>,
) -> bool {
    let outcome = match &last.outcome {
        Outcome::Answer(_) if last.missing.is_empty() => "answered",
        Outcome::Answer(_) => "answered in part",
        Outcome::Failure(_) => "the server failed",
        Outcome::NotRun => "refused, not run",
        Outcome::Unknown => "no answer, may have run",
    };
    let elapsed = process.clock.now().since(arrived);
    process.metrics.request(&route.name, outcome, elapsed);
    last.missing.iter().for_each(|(_, cause)| process.metrics.missing(cause.name()));
    let late = elapsed > route.objective;
    if outcome == "answered" && !late {
        return true;
    }
    let table = process.table.borrow();
    let missing: Vec<String> = last
        .missing
        .iter()
        .map(|(service, cause)| format!("{} {}", table.service_name(*service), cause.name()))
        .collect();
    log::info!(
        target: "request",
        id = message.id.to_str().unwrap_or_default(),
        route = route.name.as_ref(),
        elapsed_ms = elapsed.as_millis() as u64,
        aim_ms = route.objective.as_millis() as u64,
        late,
        patience_ms = message.deadline.since(arrived).as_millis() as u64,
        timeout_ms = route.timeout.as_millis() as u64,
        version = snapshot.version,
        missing = missing.join(", ");
        "{outcome}"
    );
    false
}

/// A server's own reply, unchanged.
fn pass(reply: Reply) -> Answer {
    let mut headers = reply.parts.headers.clone();
    strip(&mut headers);
    let mut answer = Response::new(Full::new(reply.body));
    *answer.status_mut() = reply.parts.status;
    *answer.headers_mut() = headers;
    answer
}

/// One answer over several services.
fn cover(process: &Process, replies: &[Reply], missing: usize, top: usize) -> Answer {
    let body = merge::top_k(replies.iter().map(|reply| reply.body.as_ref()), top);
    let stamps: Vec<HeaderValue> =
        replies.iter().filter_map(|reply| reply.facts.stamp.clone()).collect();
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    process.protocol.write_coverage(answer.headers_mut(), &stamps, missing);
    answer
}

/// An answer of our own, with when to come back.
pub(crate) fn refusal(status: StatusCode, come_back: Option<Duration>) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    if let Some(after) = come_back
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Counts a request while it runs.
struct Busy(Rc<Process>);

impl Busy {
    fn new(process: &Rc<Process>) -> Self {
        add(&process.busy, 1);
        Self(Rc::clone(process))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        add(&self.0.busy, -1);
    }
}

fn add(count: &Cell<usize>, by: isize) {
    count.set(count.get().saturating_add_signed(by));
}
