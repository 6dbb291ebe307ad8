//! Sends the planned requests and follows each to its end.
//!
//! Invariant: a non-idempotent request keeps its ticket through all its tries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::StatusCode;
use parking_lot::Mutex;

use crate::caller::Claims;
use crate::caller::Lost;
use crate::caller::Pick;
use crate::caller::Settings;
use crate::caller::Shot;
use crate::caller::Summary;
use crate::caller::check;
use crate::caller::client::Client;
use crate::caller::lookup::Lookup;
use crate::caller::plan;
use crate::caller::summary::End;
use crate::caller::summary::Recorder;
use crate::upstream::Runs;
use base::hash;
use wire::caller::Answer;
use wire::caller::Execution;
use wire::caller::QUERY_PATH;
use wire::caller::Query;
use wire::caller::Refusal;

/// How long the upstreams' counters are waited for.
const CONTROL_PATIENCE: Duration = Duration::from_secs(5);

/// What all requests of a run share.
struct Run {
    settings: Settings,
    client: Client,
    lookups: Vec<Lookup>,
    versions: Mutex<HashMap<Arc<str>, u64>>,
    recorder: Mutex<Recorder>,
}

/// A reply that says something.
enum Word {
    Answer(Box<Answer>),
    Refusal(Refusal),
}

/// Makes the load and tells what came of it.
pub async fn run(settings: Settings) -> Summary {
    let shots = plan(&settings);
    let wants_tickets = settings.claim_share > 0.0;
    let lookups = settings.targets.iter();
    let lookups = lookups.map(|target| Lookup::new(target.seeds.clone(), wants_tickets)).collect();
    let recorder = Mutex::new(Recorder::new(&settings));
    let client = Client::default();
    let run = Arc::new(Run { settings, client, lookups, versions: Mutex::default(), recorder });
    let begin = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for shot in shots {
        tokio::time::sleep_until((begin + shot.at).into()).await;
        let run = run.clone();
        tasks.spawn(async move { run.follow(&shot, begin + shot.at).await });
    }
    while tasks.join_next().await.is_some() {}
    let runs = run.upstream_runs().await;
    let recorder = run.recorder.lock();
    let claims = runs.map(|runs| Claims::new(&recorder.claims, &runs));
    recorder.summary(claims)
}

impl Run {
    async fn follow(&self, shot: &Shot, planned: Instant) {
        self.recorder.lock().begin(planned.elapsed());
        let end = match self.query(shot).await {
            Some(query) => self.tries(shot, query, planned).await,
            None => {
                self.recorder.lock().lost(Lost::Unreachable);
                End::Lost
            }
        };
        let latency = planned.elapsed();
        let target = &self.settings.targets[shot.target].name;
        self.recorder.lock().end(shot, target, latency, &end);
    }

    async fn query(&self, shot: &Shot) -> Option<Query> {
        let lookup = &self.lookups[shot.target];
        let ticket = match shot.claim {
            Some(_) => Some(lookup.ticket(&self.client, &shot.caller).await?),
            None => None,
        };
        let seen = self.versions.lock().get(&shot.caller).copied();
        let deadline = self.settings.deadline;
        Some(Query {
            service: self.settings.service.clone(),
            caller: shot.caller.clone(),
            priority: shot.priority,
            deadline_ms: deadline.and_then(|span| u32::try_from(span.as_millis()).ok()),
            ticket,
            non_idempotent: shot.claim.is_some(),
            shards: shot.claim.map(|shard| vec![shard]),
            min_version: seen.filter(|_| self.settings.monotonic),
            body: shot.body.clone(),
        })
    }

    async fn tries(&self, shot: &Shot, query: Query, planned: Instant) -> End {
        let body = Bytes::from(serde_json::to_vec(&query).unwrap_or_default());
        let mut end = End::Lost;
        for number in 0..self.settings.tries.max(1) {
            let again = match self.ask(shot, number, body.clone()).await {
                Ok(Word::Answer(answer)) => {
                    let wrong = check::violations(&query, &answer, self.settings.shards);
                    self.saw(&shot.caller, answer.snapshot.version);
                    return End::Answered(answer, wrong);
                }
                Ok(Word::Refusal(refusal)) => {
                    self.recorder.lock().refused(&refusal);
                    let again = self.comes_back(&refusal, planned);
                    end = End::Refused(refusal);
                    again
                }
                Err(lost) => {
                    self.recorder.lock().lost(lost);
                    self.lookups[shot.target].forget(&shot.caller);
                    end = End::Lost;
                    // After a timeout only a ticket is worth a resend: it asks
                    // for the outcome of what may have run.
                    let resend = match lost {
                        Lost::Unreachable | Lost::Cut => true,
                        Lost::Timeout => query.ticket.is_some(),
                        Lost::Malformed => false,
                    };
                    resend.then_some(Duration::ZERO)
                }
            };
            let Some(wait) = again else { break };
            tokio::time::sleep(wait).await;
        }
        end
    }

    /// When a refused request is tried again, if it is.
    fn comes_back(&self, refusal: &Refusal, planned: Instant) -> Option<Duration> {
        let wait = Duration::from_millis(u64::from(refusal.retry_after_ms?));
        let soon = planned.elapsed() + wait < self.settings.patience;
        (soon && refusal.outcome == Execution::NotRun).then_some(wait)
    }

    /// The address of a try: another one each time.
    async fn address(&self, shot: &Shot, number: u32) -> Option<SocketAddr> {
        let addresses = self.lookups[shot.target].addresses(&self.client, &shot.caller).await;
        let drawn = match self.settings.pick {
            Pick::First => 0,
            Pick::Any => hash::stable(self.settings.seed, &[&shot.body.to_string()]),
        };
        let count = addresses.len().max(1) as u64;
        let index = (drawn % count + u64::from(number)) % count;
        addresses.get(index as usize).copied()
    }

    async fn ask(&self, shot: &Shot, number: u32, body: Bytes) -> Result<Word, Lost> {
        let address = self.address(shot, number).await.ok_or(Lost::Unreachable)?;
        let patience = self.settings.patience;
        let (status, body) = self.client.post(address, QUERY_PATH, body, patience).await?;
        if status == StatusCode::OK {
            let answer = serde_json::from_slice(&body).map_err(|_| Lost::Malformed)?;
            return Ok(Word::Answer(Box::new(answer)));
        }
        serde_json::from_slice(&body).map(Word::Refusal).map_err(|_| Lost::Malformed)
    }

    fn saw(&self, caller: &Arc<str>, version: u64) {
        let mut versions = self.versions.lock();
        let highest = versions.entry(caller.clone()).or_default();
        *highest = version.max(*highest);
    }

    async fn upstream_runs(&self) -> Option<Runs> {
        let control = self.settings.control?;
        let (_, body) = self.client.get(control, "/runs", CONTROL_PATIENCE).await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}
