//! An attempt: one request to one server, and its reply.
//!
//! Invariant: every failure before the request is passed to the HTTP library is
//! [`AttemptOutcome::NotSent`]. After that the request may have run, unless the library
//! returns it unsent or the server certifies that it did not run it.

use std::cell::Cell;
use std::cell::OnceCell;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::HeaderName;
use hyper::http::HeaderValue;
use hyper::http::response::Parts;

use crate::breaks;
use crate::breaks::Sign;
use crate::buffer::Buffer;
use crate::in_flight::Run;
use crate::inbound;
use crate::limits;
use crate::process::Process;
use crate::protocol::ReplyHeaders;
use crate::reply_memory::Held;
use crate::upstream;
use crate::watcher;
use base::entity::Attempt;
use base::entity::Server;
use base::region;
use base::time::Time;
use customer::book::Customer;
use customer::key::Secret;
use poison::identity::Identity;
use poison::identity::Parts as IdentityParts;
use poison::ledger::Standing;
use replica::table::Observation;

/// The maximum size of a reply's body.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// The statuses that end an exchange.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Whether a status is a final one of HTTP; the HTTP library passes on others, too.
pub(crate) fn is_final(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// Whether a second reply begins within the value of a header: the first one was cut there.
fn has_status_line(value: &HeaderValue) -> bool {
    let is_digits = |code: &[u8]| code.iter().all(u8::is_ascii_digit);
    let is_line = |part: &[u8]| {
        part.starts_with(b"HTTP/1.")
            && part.get(8) == Some(&b' ')
            && part.get(9..12).is_some_and(is_digits)
    };
    (0..value.len()).any(|start| is_line(&value.as_bytes()[start..]))
}

/// The request that is sent by all its attempts.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The memory of the body.
    pub(crate) _held: inbound::Body,
    pub(crate) id: HeaderValue,
    /// The customer, if the request names one.
    pub(crate) customer: Option<Arc<Customer>>,
    /// The key that it came with, for another node; the headers don't contain it.
    pub(crate) credential: Option<Secret>,
    /// When the caller stops waiting. The plan's deadline is earlier than this.
    pub(crate) caller_deadline: Time,
    /// Whether it leaves a part of what limited servers take to more urgent requests.
    pub(crate) leaves_reserve: bool,
    /// The regions in which it may be served.
    pub(crate) homes: region::Set,
    /// Whether it may be passed on to another node.
    pub(crate) may_be_passed_on: bool,
    /// The number of its attempts that may have run: they left this node, and no server has
    /// certified that it did not run them.
    pub(crate) possible_runs: Cell<u32>,
    /// Whether a server has run one of its attempts and answered it.
    pub(crate) answered: Cell<bool>,
    /// Whether one of its attempts has broken off, or got no reply for long.
    pub(crate) broke_off: Cell<bool>,
    /// Whether it is the trial of a blocked request, and has not been sent yet.
    pub(crate) is_trial: Cell<bool>,
    /// Whether it may have reached another node, to which it was passed on.
    pub(crate) was_passed_on: Cell<bool>,
    /// See [`Self::identity`].
    pub(crate) identity: OnceCell<Identity>,
}

/// The headers that identify a caller. Others may differ between repeats of a request.
const CALLER_HEADERS: [HeaderName; 3] =
    [header::AUTHORIZATION, header::COOKIE, HeaderName::from_static("x-api-key")];

impl CallerRequest {
    /// What this request and its repeats have in common.
    pub(crate) fn identity(&self) -> Identity {
        *self.identity.get_or_init(|| {
            let value = |name: &HeaderName| self.headers.get(name).map(HeaderValue::as_bytes);
            let mut values: Vec<&[u8]> =
                CALLER_HEADERS.iter().map(|name| value(name).unwrap_or_default()).collect();
            values.extend(self.customer.as_ref().map(|customer| customer.name.as_bytes()));
            Identity::new(&IdentityParts {
                method: self.method.as_str(),
                host: value(&header::HOST).unwrap_or_default(),
                path: self.uri.path_and_query().map_or("", |path| path.as_str()),
                caller: &values,
                body: &self.body,
            })
        })
    }

    /// Records that an attempt certainly has not run.
    fn certify_not_run(&self) {
        self.possible_runs.set(self.possible_runs.get().saturating_sub(1));
    }
}

/// A complete reply of a server.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) parts: Arc<Parts>,
    pub(crate) body: Bytes,
    pub(crate) headers: ReplyHeaders,
    /// The memory of the body.
    _held: Rc<Held>,
}

impl PartialEq for Reply {
    fn eq(&self, other: &Self) -> bool {
        self.headers == other.headers && self.body == other.body
    }
}

/// The outcome of an attempt.
#[derive(Clone, Debug)]
pub(crate) enum AttemptOutcome {
    /// A successful reply with a stamp.
    Answered(Reply),
    /// An error reply with a stamp.
    Failed(Reply),
    /// The server certified that it did not run the request.
    Refused,
    /// The request was never sent.
    NotSent(&'static str),
    /// No usable reply was received; the request may have run.
    Unknown(&'static str),
}

/// An attempt in progress. It reports the outcome to the table exactly once, also when
/// it is dropped.
struct AttemptGuard {
    process: Rc<Process>,
    server: Server,
    started: Time,
    sent: Option<Time>,
    /// Whether the request was sent to this service before.
    extra: bool,
    usual_service_time: Duration,
    reported: bool,
    /// Whether the request may end the server.
    is_suspect: bool,
    /// The request, if its run counts in the ledger.
    counted: Option<Identity>,
    /// The number of servers that were known to have ended under the request when it was sent.
    known_ends: usize,
    /// Its slot among the runs without a reply.
    slot: Option<usize>,
}

impl AttemptGuard {
    fn leave_slot(&mut self) {
        if let Some(slot) = self.slot.take() {
            self.process.in_flight.remove(slot);
        }
    }

    fn report(&mut self, observation: Observation) -> Option<Duration> {
        self.reported = true;
        let now = self.process.clock.now();
        let sent = self.sent.unwrap_or(self.started);
        let (server, usual_service_time) = (self.server, self.usual_service_time);
        self.process.update_table(server, |table| {
            table.observe(now, server, self.started, sent, usual_service_time, observation)
        })
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.leave_slot();
        if let Some(identity) = self.counted {
            self.process.ledger.borrow_mut().run_ends(identity);
        }
        if self.is_suspect {
            self.process.table.borrow_mut().suspect_ended(self.server);
        }
        if !self.reported {
            self.report(if self.sent.is_some() {
                Observation::Abandoned
            } else {
                Observation::NotSent
            });
        }
    }
}

/// A completed attempt.
pub(crate) struct Completed {
    pub(crate) attempt: Attempt,
    pub(crate) server: Server,
    pub(crate) outcome: AttemptOutcome,
    /// The measured service time, if the server answered successfully.
    pub(crate) service_time: Option<Duration>,
}

/// Sends the request to `server` and waits for the reply. The attempt counts from the call on,
/// before the future is polled, so that the next choice sees it.
pub(crate) fn run(
    process: Rc<Process>,
    caller_request: Rc<CallerRequest>,
    attempt: Attempt,
    server: Server,
    usual_service_time: Duration,
    extra: bool,
) -> impl Future<Output = Completed> {
    let started = process.clock.now();
    let is_suspect = caller_request.broke_off.get()
        || breaks::standing(&process, &caller_request) != Standing::Clear;
    caller_request.is_trial.set(false);
    {
        let mut table = process.table.borrow_mut();
        table.started(started, server);
        if is_suspect {
            table.suspect_sent(server);
        }
    }
    let mut guard = AttemptGuard {
        process: Rc::clone(&process),
        server,
        started,
        sent: None,
        extra,
        usual_service_time,
        reported: false,
        is_suspect,
        counted: breaks::run_begins(&process, &caller_request).then(|| caller_request.identity()),
        known_ends: 0,
        slot: None,
    };
    async move {
        let outcome = send(&process, &caller_request, server, &mut guard).await;
        if matches!(outcome, AttemptOutcome::Answered(_) | AttemptOutcome::Failed(_)) {
            breaks::on_answer(&process, &caller_request);
        }
        let service_time = match &outcome {
            AttemptOutcome::Answered(reply) => {
                guard.report(Observation::Replied { load: reply.headers.load })
            }
            AttemptOutcome::Failed(_) | AttemptOutcome::Unknown(_) => {
                guard.report(Observation::Failed)
            }
            AttemptOutcome::Refused | AttemptOutcome::NotSent(_) if guard.reported => None,
            AttemptOutcome::Refused => guard.report(Observation::Refused { load: None }),
            AttemptOutcome::NotSent(_) => guard.report(Observation::NotSent),
        };
        Completed { attempt, server, outcome, service_time }
    }
}

async fn send(
    process: &Rc<Process>,
    caller_request: &Rc<CallerRequest>,
    server: Server,
    guard: &mut AttemptGuard,
) -> AttemptOutcome {
    let mut lease = match process.pool.lease(server, &caller_request.id).await {
        Ok(lease) => lease,
        Err(upstream::LeaseError::QueueFull) => {
            return AttemptOutcome::NotSent("too many requests wait for it");
        }
        Err(upstream::LeaseError::Unreachable) => {
            let now = process.clock.now();
            process.update_table(server, |table| table.connect_failed(now, server));
            return AttemptOutcome::NotSent("no connection");
        }
    };
    let Some(connection) = lease.connection() else {
        return AttemptOutcome::NotSent("no connection");
    };
    if connection.sender.ready().await.is_err() {
        process.table.borrow_mut().unheard(process.clock.now(), server);
        return AttemptOutcome::NotSent("the connection closed");
    }
    let is_reused = connection.has_replied;
    let now = process.clock.now();
    process.metrics.record_connection_wait(now.since(guard.started));
    // Checked just before sending: while the attempt waited for a connection, the server
    // may have started to drain, disappeared or been replaced.
    if !process.table.borrow().may_send(now, server) {
        return AttemptOutcome::NotSent("it is leaving, evacuated, or wants no requests");
    }
    // Its entry may have been corrected meanwhile, so that it names another region.
    if !process.table.borrow().is_allowed(server, caller_request.homes) {
        return AttemptOutcome::NotSent("its region is not allowed");
    }
    {
        let mut table = process.table.borrow_mut();
        if table.accepted(now, server) {
            log::info!(target: "servers", server = table.record(server).incarnation.id.as_ref(), source = "refused connection"; "A server is cold.");
        }
        if !table.has_token(now, server, guard.started) {
            return AttemptOutcome::NotSent("it is cold");
        }
    }
    let left = caller_request.caller_deadline.since(now);
    if left.is_zero() {
        return AttemptOutcome::NotSent("the time is up");
    }
    let server_id = process.server_id(server);
    let Ok(server_id) = HeaderValue::from_str(&server_id) else {
        return AttemptOutcome::NotSent("its id is no header value");
    };
    let mut headers = caller_request.headers.clone();
    process.protocol.write_request(&mut headers, left, &server_id);
    let mut request = Request::new(Full::new(caller_request.body.clone()));
    *request.method_mut() = caller_request.method.clone();
    *request.uri_mut() = caller_request.uri.clone();
    *request.headers_mut() = headers;
    guard.sent = Some(now);
    guard.known_ends = breaks::known_ends(process, caller_request);
    process.sends.set(process.sends.get() + 1);
    if process.table.borrow_mut().sent(now, server, guard.extra) {
        process.metrics.record_limited_send(guard.extra);
    }
    caller_request.possible_runs.set(caller_request.possible_runs.get() + 1);
    let run = Run {
        request: Rc::clone(caller_request),
        server,
        sent: now,
        known_ends: guard.known_ends,
        is_checked: false,
    };
    guard.slot = Some(process.in_flight.add(run));
    let result = connection.sender.try_send_request(request).await;
    guard.leave_slot();
    let response = match result {
        Ok(response) => response,
        Err(mut error) => {
            process.table.borrow_mut().unheard(process.clock.now(), server);
            if error.take_message().is_none() {
                breaks::on_break(process, caller_request, server, guard.known_ends, Sign::Broken);
                return AttemptOutcome::Unknown("the connection broke before a reply");
            }
            guard.sent = None;
            caller_request.certify_not_run();
            return AttemptOutcome::NotSent("the connection closed");
        }
    };
    process.table.borrow_mut().heard(process.clock.now(), server);
    let (parts, body) = response.into_parts();
    if !is_final(parts.status) {
        return AttemptOutcome::Unknown("the reply's status is no final one");
    }
    let reply_headers = process.protocol.read_reply(parts.status.as_u16(), &parts.headers);
    if reply_headers.is_joined || parts.headers.values().any(has_status_line) {
        return AttemptOutcome::Unknown("the reply has parts of more than one");
    }
    if reply_headers.leaving {
        on_leaving(process, server, &reply_headers);
    }
    if !reply_headers.misdirected {
        limits::on_reply(process, server, now, reply_headers.limit);
        if let Some(left) = reply_headers.warmup {
            limits::on_warmup(process, server, left);
        }
    }
    if let Some(asked) = reply_headers.retry_after {
        let now = process.clock.now();
        process.update_table(server, |table| table.turned_away(now, server, asked));
        log::info!(target: "servers", server = process.server_id(server).as_ref(), asked_ms = asked.as_millis() as u64; "A server wants no requests for a while.");
    }
    let (body, held) = match read_body(process, body).await {
        Ok(body) => body,
        Err(why) => {
            breaks::on_break(process, caller_request, server, guard.known_ends, Sign::Broken);
            return AttemptOutcome::Unknown(why);
        }
    };
    let is_own =
        reply_headers.request_id.as_ref().is_none_or(|request_id| *request_id == caller_request.id);
    if !is_own {
        return AttemptOutcome::Unknown("the reply belongs to another request");
    }
    if let Some(timeout) = idle_timeout(&parts.headers)
        && let Some(connection) = lease.connection()
    {
        connection.idle_deadline = upstream::idle_deadline(process.clock.now(), timeout);
    }
    let outcome = if reply_headers.not_run && reply_headers.request_id.is_none() && is_reused {
        AttemptOutcome::Unknown("the refusal may belong to an earlier request")
    } else {
        classify(parts, (body, held), reply_headers, guard)
    };
    // A reply that is no answer ends its connection: the answer may still come.
    if !matches!(outcome, AttemptOutcome::Unknown(_))
        && let Some(connection) = lease.connection()
    {
        connection.has_replied = true;
        if !matches!(outcome, AttemptOutcome::Answered(_)) {
            connection.unserved.add(&caller_request.id);
        }
        if !connection.unserved.is_full() {
            lease.mark_reusable();
        }
    }
    if matches!(outcome, AttemptOutcome::Refused) {
        caller_request.certify_not_run();
    }
    outcome
}

/// Stops the use of the server that has replied that it leaves. A misdirected request was
/// answered by another server than the one it was sent to.
fn on_leaving(process: &Process, server: Server, headers: &ReplyHeaders) {
    let incarnation = match &headers.server_id {
        Some(id) => process.fleet.borrow().incarnation(id),
        None if headers.misdirected => None,
        None => Some(process.table.borrow().record(server).incarnation.clone()),
    };
    if let Some(incarnation) = incarnation {
        watcher::server_leaves(process, &incarnation);
        process.departures.borrow_mut().noticed(process.clock.now(), incarnation);
    }
}

/// The outcome of a complete reply to this request.
fn classify(
    parts: Parts,
    (body, held): HeldBody,
    reply_headers: ReplyHeaders,
    guard: &mut AttemptGuard,
) -> AttemptOutcome {
    if reply_headers.misdirected {
        guard.report(Observation::Misdirected);
        return AttemptOutcome::Refused;
    }
    if reply_headers.not_run {
        guard.report(Observation::Refused { load: reply_headers.load });
        return AttemptOutcome::Refused;
    }
    if reply_headers.stamp.is_none() {
        return AttemptOutcome::Unknown("the reply has no proof");
    }
    if reply_headers.request_id.is_none() {
        return AttemptOutcome::Unknown("the reply names no request");
    }
    if parts.headers.contains_key(header::CONTENT_ENCODING) {
        return AttemptOutcome::Unknown("the reply's body is encoded");
    }
    let success = parts.status.is_success();
    let held = Rc::new(held);
    let reply = Reply { parts: Arc::new(parts), body, headers: reply_headers, _held: held };
    if success { AttemptOutcome::Answered(reply) } else { AttemptOutcome::Failed(reply) }
}

/// A body in memory, and the memory that it holds there.
pub(crate) type HeldBody = (Bytes, Held);

/// Reads a body; the error says why there is none.
pub(crate) async fn read_body(
    process: &Process,
    mut body: Incoming,
) -> Result<HeldBody, &'static str> {
    let mut held = Held::new(&process.reply_memory);
    let mut buffer = Buffer::with_max(MAX_REPLY_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| "the reply broke off")?;
        let Ok(data) = frame.into_data() else { continue };
        // Copied, since a frame keeps the library's whole read buffer.
        let is_added = match buffer.growth(data.len()) {
            Some(growth) => held.grow(growth),
            None => false,
        };
        if !is_added {
            process.metrics.record_dropped_reply();
            return Err("the reply is too large, or the memory for replies is used up");
        }
        buffer.push(&data);
    }
    Ok((buffer.into_bytes(), held))
}

/// The idle timeout from the `Keep-Alive` header.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
