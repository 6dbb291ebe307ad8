//! The registry's state passed on between nodes: each node answers polls from its copy,
//! and a node that doesn't watch the registry polls those that do.
//!
//! Invariant: a node's state never goes back to an older revision, whichever node it
//! follows.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::evacuations;
use crate::feed::Since;
use crate::forward;
use crate::inbound::Connection;
use crate::message;
use crate::message::KINDS;
use crate::message::Poll;
use crate::message::State;
use crate::message::Update;
use crate::process::Process;
use crate::registry::Batch;
use crate::registry::Event;
use crate::registry::Item;
use crate::registry::Kind;
use crate::serve;
use crate::serve::Answer;
use crate::source::Source;
use crate::upstream;
use crate::watcher;

/// The timeout of a poll in addition to its wait; the transfer of a whole state to a small
/// VM takes a tenth of it.
pub(crate) const POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest wait that a poll may ask for.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// The interval between choices of the source while this node watches the registry itself.
const WATCHER_INTERVAL: Duration = Duration::from_millis(400);
/// The delay after a failed poll.
pub(crate) const FAILURE_DELAY: Duration = Duration::from_millis(50);
/// The maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The maximum number of nodes that are asked for their state after one failed call to the
/// registry.
pub(crate) const MAX_PEERS_ASKED: usize = 6;

/// The connections to the nodes that this one follows.
type Links = HashMap<IpAddr, Link>;

/// A connection to a node that this one follows.
struct Link {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Answers a poll of another node: at once if it misses something, else as soon as there is a
/// change or its wait ends. Answers callers' requests that another node passes on, too.
pub(crate) async fn handle(
    process: Rc<Process>,
    request: Request<Incoming>,
    connection: Rc<Connection>,
) -> Answer {
    if let Some(version) = forward::version_of(&request) {
        return forward::handle(process, request, version, &connection).await;
    }
    let body = match Limited::new(request.into_body(), 1024).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            log::debug!(target: "members", "A poll was not received: {error}.");
            return serve::empty_answer(StatusCode::BAD_REQUEST, None);
        }
    };
    connection.run();
    let poll: Poll = match message::decode(&body) {
        Ok(poll) => poll,
        Err(error) => {
            log::warn!(target: "members", error:% = error; "A poll can't be decoded.");
            return serve::empty_answer(StatusCode::BAD_REQUEST, None);
        }
    };
    if poll.era > process.era.borrow().newest() {
        process.observe_era(Some(poll.era), &format!("node {}", poll.ip));
    }
    let mut updates = missed(&process, &poll);
    if updates.is_empty() {
        let wait = Duration::from_millis(poll.wait_ms).min(MAX_WAIT);
        // A timeout is the usual end of a poll.
        let _ = timeout(wait, process.state_changed.notified()).await;
        updates = missed(&process, &poll);
    }
    if updates.is_empty() && !process.is_ready() && !process.leaving.get() {
        return serve::empty_answer(StatusCode::SERVICE_UNAVAILABLE, None);
    }
    let now = process.clock.now();
    let outage_end = process.fleet.borrow().outage_end();
    let outage_age_ms = outage_end.map(|end| now.since(end).as_millis() as u64);
    let ages_ms = KINDS.map(|kind| now.since(process.confirmed_at(kind)).as_millis() as u64);
    let era = process.era.borrow().newest();
    let is_registered = {
        let listed = process.listed_nodes.borrow();
        let current = listed.as_ref().filter(|listed| listed.revision.era == era);
        current.map(|listed| listed.addresses.contains(&poll.ip))
    };
    let leaving = if poll.is_new { process.fleet.borrow().drained().collect() } else { Vec::new() };
    let evacuations_age_ms = process
        .knows_evacuations()
        .then(|| now.since(process.confirmed_at(Kind::Evacuations)).as_millis() as u64);
    let held_evacuations = evacuations::held(&process);
    let state = State {
        updates,
        ages_ms,
        outage_age_ms,
        era,
        is_registered,
        leaving,
        evacuations_age_ms,
        held_evacuations,
        config_format: message::CONFIG_FORMAT,
    };
    match message::encode(&state) {
        Ok(bytes) => Answer::new(Full::new(Bytes::from(bytes))),
        Err(error) => {
            log::error!(target: "members", error:% = error; "The registry's state can't be encoded.");
            serve::empty_answer(StatusCode::INTERNAL_SERVER_ERROR, None)
        }
    }
}

/// What a node with the revisions of `poll` misses of this node's state.
fn missed(process: &Process, poll: &Poll) -> Vec<Update> {
    let feeds = process.feeds.borrow();
    let of_kind = |kind: Kind| match feeds.of(kind).since(poll.revision(kind)) {
        Since::Nothing => newer_version(process, poll, kind),
        Since::Changes(batch) => Some(Update { kind, is_list: false, batch }),
        Since::List { revision } => {
            let batch = Batch { events: list(process, kind), revision };
            Some(Update { kind, is_list: true, batch })
        }
    };
    poll.kinds().filter_map(of_kind).collect()
}

/// A later version of the configuration than that of the asking node, whose state is not older:
/// it took it from a copy.
fn newer_version(process: &Process, poll: &Poll, kind: Kind) -> Option<Update> {
    let own = process.config.borrow().as_ref().map(|config| config.version);
    let revision = process.feeds.borrow().of(kind).revision()?;
    if kind != Kind::Config || own <= poll.version {
        return None;
    }
    Some(Update { kind, is_list: true, batch: Batch { events: list(process, kind), revision } })
}

/// All objects of a kind that this node has.
fn list(process: &Process, kind: Kind) -> Vec<Event> {
    match kind {
        Kind::Config => {
            let config = process.config.borrow().clone();
            config.map(|config| Event::Put(Item::Config(Box::new(config)))).into_iter().collect()
        }
        Kind::Servers => {
            let fleet = process.fleet.borrow();
            fleet.registered().cloned().map(|entry| Event::Put(Item::Server(entry))).collect()
        }
        Kind::Evacuations => evacuations::list(process),
        Kind::Nodes => Vec::new(),
    }
}

/// Follows the watchers for as long as the process runs; while this node is a watcher itself,
/// [`watcher::run`] makes the calls.
pub(crate) async fn follow(process: Rc<Process>) {
    let mut links = Links::new();
    loop {
        let source = choose_source(&process);
        if process.source.replace(source) != source {
            log::debug!(target: "registry", source:? = source; "The source of the registry's state changed.");
        }
        let Source::Peer(ip) = source else {
            links.clear();
            if source == Source::Registry {
                process.source_changed.notify_waiters();
            }
            sleep(WATCHER_INTERVAL).await;
            continue;
        };
        let wait = process.settings.timing.poll_wait;
        let poll = poll(&process, &mut links, ip, wait, false);
        match timeout(wait + POLL_TIMEOUT, poll).await {
            Ok(Ok(state)) if !is_unsuited(&process, &state) => {
                process.metrics.record_peer_poll("answered");
                apply(&process, state);
            }
            failure => {
                links.remove(&ip);
                process.metrics.record_peer_poll("failed");
                let reason = match failure {
                    Ok(Ok(_)) => "its build drops fields of the configuration".to_owned(),
                    Ok(Err(error)) => error.to_string(),
                    _ => "no answer in time".to_owned(),
                };
                log::info!(target: "registry", watcher:% = ip, reason = reason.as_str(); "A watcher did not answer; another source is used for a while.");
                process.selector.borrow_mut().failed(process.clock.now(), ip);
                sleep(FAILURE_DELAY).await;
            }
        }
    }
}

fn choose_source(process: &Process) -> Source {
    let serving = process.role.borrow().is_serving() && !process.leaving.get();
    let members = process.members.borrow();
    process.selector.borrow_mut().choose(
        process.clock.now(),
        &members,
        serving,
        process.registry_answers.get(),
    )
}

/// Polls the node at `ip`, on the open connection to it if there is one.
async fn poll(
    process: &Process,
    links: &mut Links,
    ip: IpAddr,
    wait: Duration,
    is_new: bool,
) -> Result<State, Box<dyn std::error::Error>> {
    if links.get(&ip).is_none_or(|link| link.sender.is_closed()) {
        let address = SocketAddr::new(ip, process.settings.peer_port);
        let (sender, connection) = upstream::connect(address).await?;
        let task = spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "members", "The connection to {ip} closed: {error}.");
            }
        });
        links.insert(ip, Link { sender, task: task.abort_handle() });
    }
    let Some(link) = links.get_mut(&ip) else { return Err("no connection".into()) };
    let poll = {
        let feeds = process.feeds.borrow();
        let revision = |kind| feeds.of(kind).revision();
        Poll {
            ip: process.settings.ip,
            config: revision(Kind::Config),
            servers: revision(Kind::Servers),
            version: process.router.borrow().as_ref().map(|router| router.version),
            era: process.era.borrow().newest(),
            is_new,
            wait_ms: wait.as_millis() as u64,
            knows_evacuations: process.has_evacuations(),
            evacuations: revision(Kind::Evacuations),
        }
    };
    let mut request = Request::new(Full::new(Bytes::from(message::encode(&poll)?)));
    *request.method_mut() = hyper::Method::POST;
    let host = hyper::http::HeaderValue::from_str(&ip.to_string())?;
    request.headers_mut().insert(hyper::header::HOST, host);
    let response = link.sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}", response.status()).into());
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    Ok(message::decode(&body)?)
}

/// Whether the configuration of the answering node, of an earlier build, may lack fields that this
/// deployment uses: without its customers, this node would check no keys.
fn is_unsuited(process: &Process, state: &State) -> bool {
    let settings = &process.settings;
    let uses_new_fields = settings.evacuation_bound.is_some()
        || settings.allowance.is_some()
        || settings.warmup.is_some();
    uses_new_fields && state.may_lack_fields()
}

fn apply(process: &Process, state: State) {
    if let Some(age) = state.outage_age_ms {
        let now = process.clock.now();
        process.fleet.borrow_mut().outage_ended(now.before(Duration::from_millis(age)));
    }
    let now = process.clock.now();
    if state.era > process.era.borrow().newest() {
        process.observe_era(Some(state.era), "another node");
    }
    for update in state.updates {
        watcher::apply_batch(process, update.kind, update.batch, update.is_list);
    }
    process.is_config_compared.set(true);
    state.leaving.iter().for_each(|server| watcher::server_leaves(process, server));
    evacuations::hold(process, &state.held_evacuations);
    if state.era < process.era.borrow().newest() {
        // What the registry confirmed to that node in an earlier era says nothing of this one.
        return;
    }
    if let Some(is_listed) = state.is_registered {
        process.on_registration(is_listed);
    }
    for (kind, age) in KINDS.into_iter().zip(state.ages_ms) {
        process.confirm(kind, now.before(Duration::from_millis(age)));
    }
    if let Some(age) = state.evacuations_age_ms {
        process.confirm(Kind::Evacuations, now.before(Duration::from_millis(age)));
    }
}

/// Asks nodes one after another for their state, nearest first, and applies the first one: for
/// a start while the registry does not answer.
pub(crate) async fn fetch_state(process: &Process) {
    // A node of an earlier build does not know the evacuations; the next one may.
    let needs_evacuations = process.has_evacuations() && !process.knows_evacuations();
    let suffices = |state: &State| {
        let has_evacuations = state.evacuations_age_ms.is_some();
        !state.updates.is_empty() && (!needs_evacuations || has_evacuations)
    };
    ask_nodes(process, suffices).await;
}

/// Asks the nearest node for what it knows beyond the registry's list: after a return from a
/// copy, the list may lack versions and departures that were confirmed before.
pub(crate) async fn fetch_newer(process: Rc<Process>) {
    ask_nodes(&process, |_| true).await;
    process.is_config_compared.set(true);
}

async fn ask_nodes(process: &Process, suffices: impl Fn(&State) -> bool) {
    let peers = process.members.borrow().addresses();
    for ip in peers.into_iter().take(MAX_PEERS_ASKED) {
        let mut links = Links::new();
        let poll = poll(process, &mut links, ip, Duration::ZERO, true);
        match timeout(POLL_TIMEOUT, poll).await {
            Ok(Ok(state)) if suffices(&state) && !is_unsuited(process, &state) => {
                log::info!(target: "members", peer:% = ip, updates = state.updates.len(); "The registry's state was received from a peer.");
                return apply(process, state);
            }
            Ok(Ok(_)) => {}
            Ok(Err(error)) => {
                log::debug!(target: "members", "Peer {ip} did not send the registry's state: {error}.");
            }
            Err(_) => log::debug!(target: "members", "Peer {ip} did not answer in time."),
        }
    }
}
