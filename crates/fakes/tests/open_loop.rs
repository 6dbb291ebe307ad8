//! The load generator against a minimal entry node.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::json;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use fakes::caller;
use fakes::caller::CallError;
use fakes::caller::Claims;
use fakes::caller::ReportedOutcome;
use fakes::caller::Settings;
use fakes::caller::Violation;
use fakes::caller::plan;
use fakes::hits;
use fakes::http;
use fakes::http::Reply;
use fakes::upstream::Runs;
use wire::caller::ENTRIES_PATH;
use wire::caller::Query;

/// The time after which a test counts as hung.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The duration of a slow lookup.
const LOOKUP_DURATION: Duration = Duration::from_millis(100);

/// How the entry node handles requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    Answer,
    AnswerAnotherRequest,
    RefuseFirst,
    RefuseUnknown,
    /// Answers no query until this many have arrived.
    AnswerAfter(usize),
    CloseFirst,
    SlowLookup,
}

/// What the entry node received, and the number of tickets that it issued.
#[derive(Debug, Default)]
struct Received {
    lookups: u32,
    tickets: u32,
    queries: Vec<Query>,
}

struct EntryNode {
    address: SocketAddr,
    received: Arc<Mutex<Received>>,
    _stop: DropGuard,
}

impl EntryNode {
    fn start(behavior: Behavior, keep_ms: u32) -> Self {
        let listener = http::bind(([127, 0, 0, 1], 0).into()).expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let received = Arc::new(Mutex::new(Received::default()));
        let stop = CancellationToken::new();
        let shared = received.clone();
        let answer = move |request| answer(behavior, keep_ms, address, shared.clone(), request);
        tokio::spawn(http::serve(listener, stop.clone(), answer));
        Self { address, received, _stop: stop.drop_guard() }
    }

    fn settings(&self) -> Settings {
        Settings {
            rate: 400.0,
            duration: Duration::from_millis(500),
            callers: 1,
            ..Settings::new("search", vec![self.address])
        }
    }
}

async fn answer(
    behavior: Behavior,
    keep_ms: u32,
    address: SocketAddr,
    received: Arc<Mutex<Received>>,
    request: Request<Incoming>,
) -> io::Result<Reply> {
    if request.uri().path() == ENTRIES_PATH {
        if behavior == Behavior::SlowLookup {
            tokio::time::sleep(LOOKUP_DURATION).await;
        }
        let count = http::number(request.uri(), "tickets");
        let mut received = received.lock();
        received.lookups += 1;
        let tickets: Vec<String> = (0..count).map(|_| received.issue_ticket()).collect();
        let entry = json!({ "address": address.to_string(), "data_centre": "a" });
        let block = json!({ "tickets": tickets, "keep_ms": 60_000 });
        let entries = json!({ "entries": [entry], "keep_ms": keep_ms, "block": block });
        return Ok(http::json(StatusCode::OK, &entries));
    }
    let query: Query = match http::read_json(request.into_body()).await {
        Ok(query) => query,
        Err(response) => return Ok(*response),
    };
    let first = {
        let mut received = received.lock();
        let first = received.queries.iter().all(|earlier| earlier.body != query.body);
        received.queries.push(query.clone());
        first
    };
    match behavior {
        Behavior::RefuseFirst if first => Ok(refusal("not_run")),
        Behavior::RefuseUnknown => Ok(refusal("unknown")),
        Behavior::CloseFirst if first => Err(io::Error::other("closed")),
        Behavior::AnswerAfter(count) => {
            while received.lock().queries.len() < count {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Ok(answer_reply(&query, &query.body))
        }
        Behavior::AnswerAnotherRequest => Ok(answer_reply(&query, &json!("another"))),
        _ => Ok(answer_reply(&query, &query.body)),
    }
}

impl Received {
    fn issue_ticket(&mut self) -> String {
        self.tickets += 1;
        format!("ticket-{}", self.tickets)
    }
}

fn refusal(outcome: &str) -> Reply {
    let refusal = json!({ "request": "r", "outcome": outcome, "cause": "overload",
        "message": "busy", "retry_after_ms": 1 });
    http::json(StatusCode::SERVICE_UNAVAILABLE, &refusal)
}

fn answer_reply(query: &Query, body: &serde_json::Value) -> Reply {
    let shards = query.shards.clone().unwrap_or_else(|| vec![0, 1]);
    let part = |shard: &u32| {
        let found = json!({ "shard": shard, "version": 3, "hits": hits::of(body, *shard, 3) });
        json!({ "shard": shard, "body": found })
    };
    let parts: Vec<_> = shards.iter().map(part).collect();
    let answer = json!({ "request": "r", "service": query.service,
        "snapshot": { "version": 3, "map": "search-1" }, "covered": shards, "missing": [],
        "parts": parts, "sends": shards.len(), "arm": "hedge" });
    http::json(StatusCode::OK, &answer)
}

#[tokio::test]
async fn every_planned_request_is_answered() {
    let entry = EntryNode::start(Behavior::Answer, 60_000);
    let settings = Settings { shards: Some(2), ..entry.settings() };
    let planned = plan(&settings).len() as u64;
    let summary = caller::run(settings).await;
    assert_eq!((summary.offered, summary.answered), (planned, planned));
    assert!(summary.is_correct(), "{summary}");
    assert_eq!(summary.arms.keys().map(|arm| &**arm).collect::<Vec<_>>(), ["hedge"]);
    assert_eq!(summary.total.coverage_percent, 100.0);
    assert_eq!(summary.total.sends_per_shard, 1.0);
}

#[tokio::test]
async fn requests_do_not_wait_for_earlier_answers() {
    let settings = EntryNode::start(Behavior::Answer, 60_000).settings();
    let planned = plan(&settings).len();
    let entry = EntryNode::start(Behavior::AnswerAfter(planned), 60_000);
    let settings = Settings { reply_timeout: TIMEOUT, ..entry.settings() };
    let run = tokio::time::timeout(TIMEOUT, caller::run(settings));
    let summary = run.await.expect("no request waits for another's answer");
    assert_eq!((summary.offered, summary.answered), (planned as u64, planned as u64));
}

#[tokio::test]
async fn missing_reply_counts_as_lost() {
    let entry = EntryNode::start(Behavior::AnswerAfter(usize::MAX), 60_000);
    let settings = Settings { reply_timeout: Duration::from_millis(200), ..entry.settings() };
    let planned = plan(&settings).len() as u64;
    let summary = caller::run(settings).await;
    assert_eq!((summary.answered, summary.lost), (0, planned));
    assert_eq!(summary.losses[&CallError::Timeout], planned);
}

#[tokio::test]
async fn latency_counts_from_the_planned_time() {
    let entry = EntryNode::start(Behavior::SlowLookup, 0);
    let summary = caller::run(Settings { rate: 50.0, ..entry.settings() }).await;
    assert!(summary.answered > 0);
    let min_latency = LOOKUP_DURATION.as_secs_f64() * 1000.0;
    assert!(summary.total.p50_ms >= min_latency, "{summary}");
}

#[tokio::test]
async fn lookup_is_cached_for_its_keep_time() {
    let long = EntryNode::start(Behavior::Answer, 3_600_000);
    caller::run(Settings { rate: 50.0, ..long.settings() }).await;
    let once = long.received.lock().lookups;
    let none = EntryNode::start(Behavior::Answer, 0);
    let settings = Settings { rate: 50.0, ..none.settings() };
    let planned = plan(&settings).len() as u32;
    caller::run(settings).await;
    assert!(once < planned, "{once}");
    assert_eq!(none.received.lock().lookups, planned);
}

#[tokio::test]
async fn refused_request_is_retried() {
    let entry = EntryNode::start(Behavior::RefuseFirst, 60_000);
    let settings = entry.settings();
    let planned = plan(&settings).len() as u64;
    let summary = caller::run(settings).await;
    assert_eq!((summary.answered, summary.refused), (planned, 0));
    assert_eq!(summary.refusals["not_run overload"], planned);
}

#[tokio::test]
async fn request_with_unknown_outcome_is_not_retried() {
    let entry = EntryNode::start(Behavior::RefuseUnknown, 60_000);
    let settings = entry.settings();
    let planned = plan(&settings).len() as u64;
    let summary = caller::run(settings).await;
    assert_eq!((summary.answered, summary.refused), (0, planned));
    assert_eq!(summary.refusals["unknown overload"], planned);
}

#[tokio::test]
async fn retry_has_the_same_ticket() {
    let entry = EntryNode::start(Behavior::CloseFirst, 60_000);
    let settings = Settings { rate: 50.0, non_idempotent_share: 1.0, ..entry.settings() };
    let planned = plan(&settings).len();
    let summary = caller::run(settings).await;
    assert_eq!(summary.answered, planned as u64, "{summary}");
    let received = entry.received.lock();
    let pairs: BTreeSet<(String, String)> = received
        .queries
        .iter()
        .map(|query| (query.body.to_string(), query.ticket.clone().expect("a ticket")))
        .collect();
    assert_eq!(received.queries.len(), 2 * planned, "each request was retried once");
    assert_eq!(pairs.len(), planned, "retries have the same ticket");
    let tickets: BTreeSet<_> = pairs.iter().map(|(_, ticket)| ticket).collect();
    assert_eq!(tickets.len(), planned, "no two requests share a ticket");
}

#[tokio::test]
async fn answer_to_another_request_is_a_violation() {
    let entry = EntryNode::start(Behavior::AnswerAnotherRequest, 60_000);
    let summary = caller::run(entry.settings()).await;
    assert_eq!(summary.violations[&Violation::Foreign], summary.offered);
    assert!(!summary.is_correct());
}

#[test]
fn outcomes_are_compared_with_runs() {
    let outcomes = [
        ("ran", ReportedOutcome::Answered),
        ("twice", ReportedOutcome::Answered),
        ("never", ReportedOutcome::Answered),
        ("refused", ReportedOutcome::NotRun),
        ("unknown", ReportedOutcome::Unknown),
    ];
    let outcomes = outcomes.map(|(body, outcome)| (body.to_owned(), outcome)).into();
    let ran = [("ran", 1), ("twice", 2), ("refused", 1), ("unknown", 1)];
    let runs = ran.map(|(body, times)| (body.to_owned(), vec![Arc::from("s"); times])).into();
    let claims = Claims::new(&outcomes, &Runs { runs });
    let expected = Claims {
        requests: 5,
        answered: 3,
        unknown: 1,
        repeated: 1,
        ran_unknowingly: 1,
        answered_unrun: 1,
    };
    assert_eq!(claims, expected);
}
