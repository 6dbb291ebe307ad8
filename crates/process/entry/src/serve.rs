//! Handles callers' requests: reads, plans and runs each one, records the outcome and
//! builds the answer.

use std::cell::Cell;
use std::cell::OnceCell;
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

use crate::breaks;
use crate::customers;
use crate::drive;
use crate::exchange::CallerRequest;
use crate::exchange::Reply;
use crate::forward;
use crate::homes;
use crate::inbound::Connection;
use crate::members::present_capacity;
use crate::process::Process;
use crate::process::RouteStats;
use crate::read;
use crate::read::AdmittedRequest;
use crate::read::Rejection;
use crate::serving::SEND_COST;
use crate::trace::Trace;
use crate::usage::Token;
use base::entity::Service;
use base::region;
use base::time::Time;
use customer::book::Customer;
use gather::event;
use gather::event::Cause;
use gather::event::Outcome;
use gather::machine::Machine;
use gather::merge;
use gather::plan::Plan;
use gather::refusal;
use site::router::Route;
use site::router::Router;

/// An answer to a caller, with its whole body in memory.
pub(crate) type Answer = Response<Full<Bytes>>;

/// The `Retry-After` of requests that were not run.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The `Retry-After` of a node that has lost its path to the servers, or stops: other nodes serve.
pub(crate) const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(5);
/// The assumed network time between the caller and this node, in one direction.
const CALLER_NETWORK_TIME: Duration = Duration::from_millis(4);
/// The part of the latency objective that is reserved for this node's own work on the
/// answer.
const ANSWER_PROCESSING_TIME: Duration = Duration::from_millis(5);
/// The part of the timeout that is reserved for sending the answer to the caller.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// The assumed timeout of a caller that doesn't send one.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// The fraction of the less urgent requests that leave a reserve to the others.
const RESERVING_FRACTION: f64 = 0.5;

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// Handles a caller's request; passes it on to another node if this one reaches too few servers.
pub(crate) async fn handle(
    process: Rc<Process>,
    request: Request<Incoming>,
    connection: &Rc<Connection>,
) -> Answer {
    handle_with(process, request, connection, true).await
}

/// Handles a request that another node has passed on.
pub(crate) async fn handle_forwarded(
    process: Rc<Process>,
    request: Request<Incoming>,
    connection: &Rc<Connection>,
) -> Answer {
    handle_with(process, request, connection, false).await
}

async fn handle_with(
    process: Rc<Process>,
    request: Request<Incoming>,
    connection: &Rc<Connection>,
    may_pass_on: bool,
) -> Answer {
    let arrived = process.clock.now();
    let _active = ActiveRequest::new(&process);
    let request_headers = process.protocol.read_request(request.headers());
    let caller_timeout = request_headers.timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    connection.set_patience(caller_timeout);
    let router = process.router.borrow().clone();
    let read_result = match router {
        Some(_) if process.stop.is_too_late(arrived) => Err(Rejection::Stopping.into()),
        Some(router) => {
            let reading = read::Reading {
                router: &router,
                headers: &request_headers,
                caller_timeout,
                connection,
            };
            let result = read::read(&process, reading, request);
            let result = process.stop.run_until_due(result).await;
            result.unwrap_or_else(|| Err(Rejection::Stopping.into()))
        }
        None => Err(Rejection::NoConfig.into()),
    };
    let AdmittedRequest { router, route, id, customer, parts, body, held } = match read_result {
        Ok(admitted) => admitted,
        Err(rejected) => {
            let id = request_headers.request_id.as_ref();
            return rejected.why.into_answer(&process, id, rejected.customer.as_deref());
        }
    };
    connection.run();
    let customer_homes = customer.as_ref().map_or(region::Set::ANY, |customer| customer.homes);
    let Some(homes) = homes::common(route.homes, customer_homes) else {
        return Rejection::NoCommonRegion.into_answer(&process, Some(&id), customer.as_deref());
    };
    let mut headers = parts.headers;
    remove_hop_by_hop(&mut headers);
    // Afterwards, because a caller may name any header as one of its connection.
    if router.customers.is_some() {
        let name = customer.as_ref().map(|customer| customer.name.as_ref());
        process.protocol.write_customer(&mut headers, name);
    }
    let leaves_reserve = leaves_reserve(&process, &route, customer.as_deref());
    let caller_request = Rc::new(CallerRequest {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        _held: held,
        id,
        credential: request_headers.credential,
        customer,
        caller_deadline: arrived + caller_timeout,
        leaves_reserve,
        homes,
        may_be_passed_on: may_pass_on,
        possible_runs: Cell::new(0),
        answered: Cell::new(false),
        broke_off: Cell::new(false),
        is_trial: Cell::new(false),
        was_passed_on: Cell::new(false),
        identity: OnceCell::new(),
    });
    let answer = run(&process, &router, &route, Rc::clone(&caller_request), arrived);
    let answer = process.stop.run_until_due(answer).await;
    answer.unwrap_or_else(|| end_for_stop(&caller_request))
}

/// Answers a request that is still in progress when this node has to stop.
fn end_for_stop(caller_request: &CallerRequest) -> Answer {
    let may_have_run = caller_request.possible_runs.get() > 0
        || caller_request.answered.get()
        || caller_request.was_passed_on.get();
    log::info!(target: "request", id = caller_request.id.to_str().unwrap_or_default(), may_have_run; "A request was ended by the stop of this node.");
    if may_have_run {
        empty_answer(StatusCode::GATEWAY_TIMEOUT, None)
    } else {
        empty_answer(StatusCode::SERVICE_UNAVAILABLE, Some(OTHER_NODE_RETRY_AFTER))
    }
}

/// Runs a request that arrived at `arrived`, here or at another node.
async fn run(
    process: &Rc<Process>,
    router: &Router,
    route: &Route,
    caller_request: Rc<CallerRequest>,
    arrived: Time,
) -> Answer {
    let caller_timeout = caller_request.caller_deadline.since(arrived);
    let stats = process.route_stats.borrow_mut().get_or_insert(&route.name, route.objective);
    let plan = plan(process, route, arrived, caller_timeout, &stats);
    let pass_on = || forward::pass_on(process, &caller_request, router.version);
    if caller_request.may_be_passed_on && lacks_path(process, &plan) {
        if let Some(answer) = pass_on().await {
            return answer;
        }
        if !caller_request.homes.is_any() {
            if let Some(customer) = &caller_request.customer {
                process.customer_stats.borrow_mut().refused(&customer.name);
            }
            return refuse_without_path(process, route, &caller_request);
        }
    }
    let mut token = match customers::admit(process, &caller_request) {
        Ok(token) => token,
        Err(rejection) => {
            let customer = caller_request.customer.as_deref();
            return rejection.into_answer(process, Some(&caller_request.id), customer);
        }
    };
    breaks::begin(process, &caller_request);
    let mut trace = Trace::default();
    let request = Rc::clone(&caller_request);
    let response = drive::run(process, Machine::new(plan), request, stats, &mut trace).await;
    let Some(response) = response else {
        drop(token);
        if let Some(answer) = pass_on().await {
            return answer;
        }
        if let Some(customer) = &caller_request.customer {
            process.customer_stats.borrow_mut().refused_below(&customer.name);
        }
        return refuse_without_path(process, route, &caller_request);
    };
    if response.outcome == Outcome::NotRun {
        token.take().into_iter().for_each(Token::give_back);
    }
    // Its services may be lost without having been tried before.
    let found_no_server = response.outcome == Outcome::NotRun
        && response.missing.iter().all(|(_, cause)| cause.is_unserved());
    if caller_request.may_be_passed_on
        && found_no_server
        && process.is_outreached()
        && let Some(answer) = pass_on().await
    {
        return answer;
    }
    customers::record(process, &caller_request, &response);
    if !record_outcome(process, router, route, &caller_request, arrived, &response) {
        trace.log(process, &caller_request, arrived, route.objective);
    }
    answer(process, route, &caller_request, response)
}

/// Refuses a request that this node can't answer since it has lost its path, and that no node in
/// the request's homes has taken over.
fn refuse_without_path(process: &Process, route: &Route, caller_request: &CallerRequest) -> Answer {
    let customer = caller_request.customer.as_ref().map(|customer| customer.name.as_ref());
    log::info!(target: "request", id = caller_request.id.to_str().unwrap_or_default(), customer, route = route.name.as_ref(), homes = home_names(process, caller_request.homes); "A request was refused: this node has lost its path to the servers, and no node in the allowed regions took it over.");
    refusal()
}

/// The names of the regions in which a request may be served; `None` for any region.
fn home_names(process: &Process, homes: region::Set) -> Option<String> {
    if homes.is_any() {
        return None;
    }
    let table = process.table.borrow();
    Some(table.regions().names(homes).map(|name| &**name).collect::<Vec<_>>().join(", "))
}

/// Whether another node reaches more services than this one, which has lost its path to so many of
/// the request's that the others can't answer it.
fn lacks_path(process: &Process, plan: &Plan) -> bool {
    if !process.is_outreached() {
        return false;
    }
    let table = process.table.borrow();
    let reached = plan.services.iter().filter(|service| !table.reach().is_lost(**service));
    reached.count() < plan.min_services
}

/// Whether a request leaves a part of what limited servers take to more urgent ones. Some of the
/// less urgent ones don't, so that they are not starved.
fn leaves_reserve(process: &Process, route: &Route, customer: Option<&Customer>) -> bool {
    !route.is_most_urgent(customer)
        && process.table.borrow_mut().random_fraction() < RESERVING_FRACTION
}

/// Plans a request that arrived at `arrived`: its services, attempts and deadlines.
fn plan(
    process: &Process,
    route: &Route,
    arrived: Time,
    caller_timeout: Duration,
    stats: &RefCell<RouteStats>,
) -> Plan {
    let mut stats = stats.borrow_mut();
    stats.timeouts.add(caller_timeout);
    let usual_service_time = stats.service_time.mean();
    let random = process.table.borrow_mut().random_fraction();
    let services = route.fanout.services(random);
    let min_services = match &route.fanout {
        site::router::Fanout::All { min_shards, .. } => *min_shards,
        site::router::Fanout::One(_) => services.len(),
    };
    let capacity = present_capacity(process.settings.capacity, process.slowness.get()).max(1);
    let own_work = SEND_COST * services.len() as u32 * 1000 / capacity;
    let time_limit = caller_timeout.min(route.timeout).saturating_sub(DEADLINE_MARGIN);
    // Callers are assumed to use one timeout per route and to shorten it in a retry by the
    // time since their first attempt. The difference to the usual timeout is then the part of the
    // objective that has elapsed.
    let usual_timeout = stats.timeouts.usual().unwrap_or(caller_timeout);
    let elapsed_before = usual_timeout.saturating_sub(caller_timeout).min(route.objective);
    let left = route
        .objective
        .saturating_sub(elapsed_before + CALLER_NETWORK_TIME * 2 + ANSWER_PROCESSING_TIME);
    Plan {
        services,
        min_services,
        idempotent: route.idempotent,
        max_attempts: route.max_attempts,
        soft_deadline: arrived + left,
        deadline: process.stop.limit(arrived + time_limit),
        usual_service_time,
        own_work,
    }
}

/// Removes the headers that apply to one connection or describe the body's framing.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
}

/// The answer to the caller.
fn answer(
    process: &Process,
    route: &Route,
    caller_request: &CallerRequest,
    response: event::Response<Reply>,
) -> Answer {
    let missing = response.missing.len();
    match response.outcome {
        Outcome::Answer(replies) => match &route.fanout {
            site::router::Fanout::All { top_k, .. } => {
                merge_replies(process, &replies, missing, *top_k)
            }
            site::router::Fanout::One(_) => match replies.into_iter().next() {
                Some(reply) => forward_reply(reply),
                // A route without services sends no request.
                None => refusal(),
            },
        },
        Outcome::Failure(reply) => forward_reply(reply),
        Outcome::NotRun => {
            let blocked_until = breaks::blocked_until(process, caller_request);
            let after = match blocked_until {
                Some(until) => until.since(process.clock.now()),
                None => retry_after(process, route, caller_request.homes, &response.missing),
            };
            empty_answer(StatusCode::SERVICE_UNAVAILABLE, Some(after))
        }
        Outcome::Unknown if response.missing.iter().any(|(_, cause)| *cause == Cause::Timeout) => {
            empty_answer(StatusCode::GATEWAY_TIMEOUT, None)
        }
        Outcome::Unknown => empty_answer(StatusCode::BAD_GATEWAY, None),
    }
}

/// When the caller of a request that was not run may come back: once the servers that turn
/// requests away are expected to accept it.
fn retry_after(
    process: &Process,
    route: &Route,
    homes: region::Set,
    missing: &[(Service, Cause)],
) -> Duration {
    let now = process.clock.now();
    let mut table = process.table.borrow_mut();
    let wait = |(service, cause): &(Service, Cause)| {
        let returns_at = match cause {
            Cause::Limited => table.return_at(now, *service, homes),
            _ => table.accepts_at(now, *service, homes),
        };
        returns_at.map_or(Duration::ZERO, |at| at.since(now))
    };
    // Other nodes, which lookups name, reach the servers.
    if missing.iter().all(|(_, cause)| cause.is_unserved()) && !process.has_path() {
        return OTHER_NODE_RETRY_AFTER;
    }
    let optional = route.fanout.width() - route.fanout.min_services();
    let wait = refusal::retry_after(missing.iter().map(wait).collect(), optional);
    wait.max(DEFAULT_RETRY_AFTER)
}

/// Records a request in the metrics, and logs it unless it was answered completely within
/// the objective. Returns whether it was answered completely and in time.
fn record_outcome(
    process: &Process,
    router: &Router,
    route: &Route,
    caller_request: &CallerRequest,
    arrived: Time,
    response: &event::Response<Reply>,
) -> bool {
    let outcome = match &response.outcome {
        Outcome::Answer(_) if response.missing.is_empty() => "answered",
        Outcome::Answer(_) => "answered in part",
        Outcome::Failure(_) => "the server failed",
        Outcome::NotRun => "refused, not run",
        Outcome::Unknown => "no answer, may have run",
    };
    let elapsed = process.clock.now().since(arrived);
    process.metrics.record_request(&route.name, outcome, elapsed);
    response
        .missing
        .iter()
        .for_each(|(_, cause)| process.metrics.record_missing_shard(cause.name()));
    let is_late = elapsed > route.objective;
    if outcome == "answered" && !is_late {
        return true;
    }
    let homes = home_names(process, caller_request.homes);
    let table = process.table.borrow();
    let missing: Vec<String> = response
        .missing
        .iter()
        .map(|(service, cause)| format!("{} {}", table.service_name(*service), cause.name()))
        .collect();
    log::info!(
        target: "request",
        id = caller_request.id.to_str().unwrap_or_default(),
        customer = caller_request.customer.as_ref().map(|customer| customer.name.as_ref()),
        route = route.name.as_ref(),
        elapsed_ms = elapsed.as_millis() as u64,
        aim_ms = route.objective.as_millis() as u64,
        late = is_late,
        patience_ms = caller_request.caller_deadline.since(arrived).as_millis() as u64,
        timeout_ms = route.timeout.as_millis() as u64,
        version = router.version,
        homes,
        missing = missing.join(", ");
        "{outcome}"
    );
    false
}

/// Forwards a server's reply unchanged.
fn forward_reply(reply: Reply) -> Answer {
    let mut headers = reply.parts.headers.clone();
    remove_hop_by_hop(&mut headers);
    let mut answer = Response::new(Full::new(reply.body));
    *answer.status_mut() = reply.parts.status;
    *answer.headers_mut() = headers;
    answer
}

/// Merges the replies of several services.
fn merge_replies(process: &Process, replies: &[Reply], missing: usize, top_k: usize) -> Answer {
    let body = merge::top_k(replies.iter().map(|reply| reply.body.as_ref()), top_k);
    let stamps: Vec<HeaderValue> =
        replies.iter().filter_map(|reply| reply.headers.stamp.clone()).collect();
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    process.protocol.write_coverage(answer.headers_mut(), &stamps, missing);
    answer
}

/// The refusal of a request that was not run.
pub(crate) fn refusal() -> Answer {
    empty_answer(StatusCode::SERVICE_UNAVAILABLE, Some(DEFAULT_RETRY_AFTER))
}

/// An answer without a body.
pub(crate) fn empty_answer(status: StatusCode, retry_after: Option<Duration>) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    if let Some(after) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Counts a request as active until it is dropped.
struct ActiveRequest(Rc<Process>);

impl ActiveRequest {
    fn new(process: &Rc<Process>) -> Self {
        adjust(&process.active_requests, 1);
        Self(Rc::clone(process))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        adjust(&self.0.active_requests, -1);
    }
}

fn adjust(count: &Cell<usize>, by: isize) {
    count.set(count.get().saturating_add_signed(by));
}
