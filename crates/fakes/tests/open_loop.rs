//! The load tool against a small entry node made for the test.

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
use fakes::caller::Claims;
use fakes::caller::Lost;
use fakes::caller::Settings;
use fakes::caller::Told;
use fakes::caller::Violation;
use fakes::caller::plan;
use fakes::hits;
use fakes::http;
use fakes::http::Reply;
use fakes::upstream::Runs;
use wire::caller::ENTRIES_PATH;
use wire::caller::Query;

/// After this a test is stuck.
const STUCK: Duration = Duration::from_secs(20);
/// How long a slow lookup takes.
const LOOKUP: Duration = Duration::from_millis(100);

/// What the entry node does with a query.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Answer,
    AnswerForeign,
    RefuseFirst,
    RefuseUnknown,
    /// Answers none before so many have come.
    Together(usize),
    CloseFirst,
    SlowLookup,
}

/// What the entry node saw.
#[derive(Debug, Default)]
struct Seen {
    lookups: u32,
    tickets: u32,
    queries: Vec<Query>,
}

struct Entry {
    address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    _stop: DropGuard,
}

impl Entry {
    fn start(mood: Mood, keep_ms: u32) -> Self {
        let listener = http::bind(([127, 0, 0, 1], 0).into()).expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let seen = Arc::new(Mutex::new(Seen::default()));
        let stop = CancellationToken::new();
        let shared = seen.clone();
        let answer = move |request| answer(mood, keep_ms, address, shared.clone(), request);
        tokio::spawn(http::serve(listener, stop.clone(), answer));
        Self { address, seen, _stop: stop.drop_guard() }
    }

    fn settings(&self) -> Settings {
        Settings {
            rate: 400.0,
            span: Duration::from_millis(500),
            callers: 1,
            ..Settings::new("search", vec![self.address])
        }
    }
}

async fn answer(
    mood: Mood,
    keep_ms: u32,
    address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    request: Request<Incoming>,
) -> io::Result<Reply> {
    if request.uri().path() == ENTRIES_PATH {
        if mood == Mood::SlowLookup {
            tokio::time::sleep(LOOKUP).await;
        }
        let wanted = http::number(request.uri(), "tickets");
        let mut seen = seen.lock();
        seen.lookups += 1;
        let tickets: Vec<String> = (0..wanted).map(|_| seen.mint()).collect();
        let entry = json!({ "address": address.to_string(), "data_centre": "a" });
        let block = json!({ "tickets": tickets, "keep_ms": 60_000 });
        let entries = json!({ "entries": [entry], "keep_ms": keep_ms, "block": block });
        return Ok(http::json(StatusCode::OK, &entries));
    }
    let query: Query = match http::read_json(request.into_body()).await {
        Ok(query) => query,
        Err(refusal) => return Ok(*refusal),
    };
    let first = {
        let mut seen = seen.lock();
        let first = seen.queries.iter().all(|earlier| earlier.body != query.body);
        seen.queries.push(query.clone());
        first
    };
    match mood {
        Mood::RefuseFirst if first => Ok(refusal("not_run")),
        Mood::RefuseUnknown => Ok(refusal("unknown")),
        Mood::CloseFirst if first => Err(io::Error::other("closed")),
        Mood::Together(wanted) => {
            while seen.lock().queries.len() < wanted {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Ok(found(&query, &query.body))
        }
        Mood::AnswerForeign => Ok(found(&query, &json!("another"))),
        _ => Ok(found(&query, &query.body)),
    }
}

impl Seen {
    fn mint(&mut self) -> String {
        self.tickets += 1;
        format!("ticket-{}", self.tickets)
    }
}

fn refusal(outcome: &str) -> Reply {
    let refusal = json!({ "request": "r", "outcome": outcome, "cause": "overload",
        "message": "busy", "retry_after_ms": 1 });
    http::json(StatusCode::SERVICE_UNAVAILABLE, &refusal)
}

fn found(query: &Query, body: &serde_json::Value) -> Reply {
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
    let entry = Entry::start(Mood::Answer, 60_000);
    let settings = Settings { shards: Some(2), ..entry.settings() };
    let planned = plan(&settings).len() as u64;
    let summary = caller::run(settings).await;
    assert_eq!((summary.offered, summary.answered), (planned, planned));
    assert!(summary.honest(), "{summary}");
    assert_eq!(summary.arms.keys().map(|arm| &**arm).collect::<Vec<_>>(), ["hedge"]);
    assert_eq!(summary.total.coverage_percent, 100.0);
    assert_eq!(summary.total.sends_per_shard, 1.0);
}

#[tokio::test]
async fn requests_go_out_unanswered() {
    let usual = Entry::start(Mood::Answer, 60_000).settings();
    let planned = plan(&usual).len();
    let entry = Entry::start(Mood::Together(planned), 60_000);
    let settings = Settings { patience: STUCK, ..entry.settings() };
    let run = tokio::time::timeout(STUCK, caller::run(settings));
    let summary = run.await.expect("no request waits for another's answer");
    assert_eq!((summary.offered, summary.answered), (planned as u64, planned as u64));
}

#[tokio::test]
async fn silence_is_a_loss() {
    let entry = Entry::start(Mood::Together(usize::MAX), 60_000);
    let settings = Settings { patience: Duration::from_millis(200), ..entry.settings() };
    let planned = plan(&settings).len() as u64;
    let summary = caller::run(settings).await;
    assert_eq!((summary.answered, summary.lost), (0, planned));
    assert_eq!(summary.losses[&Lost::Timeout], planned);
}

#[tokio::test]
async fn latency_counts_from_the_plan() {
    let entry = Entry::start(Mood::SlowLookup, 0);
    let summary = caller::run(Settings { rate: 50.0, ..entry.settings() }).await;
    assert!(summary.answered > 0);
    let least = LOOKUP.as_secs_f64() * 1000.0;
    assert!(summary.total.p50_ms >= least, "{summary}");
}

#[tokio::test]
async fn lookup_is_kept_as_long_as_told() {
    let long = Entry::start(Mood::Answer, 3_600_000);
    caller::run(Settings { rate: 50.0, ..long.settings() }).await;
    let once = long.seen.lock().lookups;
    let none = Entry::start(Mood::Answer, 0);
    let settings = Settings { rate: 50.0, ..none.settings() };
    let planned = plan(&settings).len() as u32;
    caller::run(settings).await;
    assert!(once < planned, "{once}");
    assert_eq!(none.seen.lock().lookups, planned);
}

#[tokio::test]
async fn refused_request_comes_back() {
    let entry = Entry::start(Mood::RefuseFirst, 60_000);
    let settings = entry.settings();
    let planned = plan(&settings).len() as u64;
    let summary = caller::run(settings).await;
    assert_eq!((summary.answered, summary.refused), (planned, 0));
    assert_eq!(summary.refusals["not_run overload"], planned);
}

#[tokio::test]
async fn unknown_outcome_is_final() {
    let entry = Entry::start(Mood::RefuseUnknown, 60_000);
    let settings = entry.settings();
    let planned = plan(&settings).len() as u64;
    let summary = caller::run(settings).await;
    assert_eq!((summary.answered, summary.refused), (0, planned));
    assert_eq!(summary.refusals["unknown overload"], planned);
}

#[tokio::test]
async fn resend_keeps_its_ticket() {
    let entry = Entry::start(Mood::CloseFirst, 60_000);
    let settings = Settings { rate: 50.0, claim_share: 1.0, ..entry.settings() };
    let planned = plan(&settings).len();
    let summary = caller::run(settings).await;
    assert_eq!(summary.answered, planned as u64, "{summary}");
    let seen = entry.seen.lock();
    let pairs: BTreeSet<(String, String)> = seen
        .queries
        .iter()
        .map(|query| (query.body.to_string(), query.ticket.clone().expect("a ticket")))
        .collect();
    assert_eq!(seen.queries.len(), 2 * planned, "each was sent again once");
    assert_eq!(pairs.len(), planned, "and with the ticket of before");
    let tickets: BTreeSet<_> = pairs.iter().map(|(_, ticket)| ticket).collect();
    assert_eq!(tickets.len(), planned, "no two requests share one");
}

#[tokio::test]
async fn foreign_answer_is_counted() {
    let entry = Entry::start(Mood::AnswerForeign, 60_000);
    let summary = caller::run(entry.settings()).await;
    assert_eq!(summary.violations[&Violation::Foreign], summary.offered);
    assert!(!summary.honest());
}

#[test]
fn claims_are_held_against_runs() {
    let told = [
        ("ran", Told::Answered),
        ("twice", Told::Answered),
        ("never", Told::Answered),
        ("refused", Told::NotRun),
        ("unknown", Told::Unknown),
    ];
    let told = told.map(|(body, told)| (body.to_owned(), told)).into();
    let ran = [("ran", 1), ("twice", 2), ("refused", 1), ("unknown", 1)];
    let runs = ran.map(|(body, times)| (body.to_owned(), vec![Arc::from("s"); times])).into();
    let claims = Claims::new(&told, &Runs { runs });
    let wanted = Claims {
        requests: 5,
        answered: 3,
        unknown: 1,
        repeated: 1,
        ran_unknowingly: 1,
        answered_unrun: 1,
    };
    assert_eq!(claims, wanted);
}
