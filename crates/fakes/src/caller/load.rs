//! Sends the planned_at requests and their retries, and records the outcomes.
//!
//! Invariant: a non-idempotent request has the same ticket in all its tries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::StatusCode;
use parking_lot::Mutex;

use crate::caller::CallError;
use crate::caller::Claims;
use crate::caller::Pick;
use crate::caller::PlannedRequest;
use crate::caller::Settings;
use crate::caller::Summary;
use crate::caller::check;
use crate::caller::client::Client;
use crate::caller::lookup::Lookup;
use crate::caller::plan;
use crate::caller::summary::Recorder;
use crate::caller::summary::RequestEnd;
use crate::upstream::Runs;
use base::hash;
use wire::caller::Answer;
use wire::caller::Execution;
use wire::caller::QUERY_PATH;
use wire::caller::Query;
use wire::caller::Refusal;

/// The timeout of reading the upstream servers' counters.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// State that all requests of a run share.
struct Run {
    settings: Settings,
    client: Client,
    lookups: Vec<Lookup>,
    highest_versions: Mutex<HashMap<Arc<str>, u64>>,
    recorder: Mutex<Recorder>,
}

/// A reply that parses.
enum Reply {
    Answer(Box<Answer>),
    Refusal(Refusal),
}

/// Runs the load and returns its results.
pub async fn run(settings: Settings) -> Summary {
    let requests = plan(&settings);
    let needs_tickets = settings.non_idempotent_share > 0.0;
    let lookups = settings.targets.iter();
    let lookups = lookups.map(|target| Lookup::new(target.seeds.clone(), needs_tickets)).collect();
    let recorder = Mutex::new(Recorder::new(&settings));
    let client = Client::default();
    let run =
        Arc::new(Run { settings, client, lookups, highest_versions: Mutex::default(), recorder });
    let begin = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for request in requests {
        tokio::time::sleep_until((begin + request.at).into()).await;
        let run = run.clone();
        tasks.spawn(async move { run.send_and_record(&request, begin + request.at).await });
    }
    while tasks.join_next().await.is_some() {}
    let runs = run.fetch_runs().await;
    let recorder = run.recorder.lock();
    let claims = runs.map(|runs| Claims::new(&recorder.claims, &runs));
    recorder.summary(claims)
}

impl Run {
    async fn send_and_record(&self, request: &PlannedRequest, planned_at: Instant) {
        self.recorder.lock().begin(planned_at.elapsed());
        let end = match self.query(request).await {
            Some(query) => self.send_with_retries(request, query, planned_at).await,
            None => {
                self.recorder.lock().lost(CallError::Unreachable);
                RequestEnd::Lost
            }
        };
        let latency = planned_at.elapsed();
        let target = &self.settings.targets[request.target].name;
        self.recorder.lock().end(request, target, latency, &end);
    }

    async fn query(&self, request: &PlannedRequest) -> Option<Query> {
        let lookup = &self.lookups[request.target];
        let ticket = match request.non_idempotent_shard {
            Some(_) => Some(lookup.ticket(&self.client, &request.caller).await?),
            None => None,
        };
        let highest_version = self.highest_versions.lock().get(&request.caller).copied();
        let deadline = self.settings.deadline;
        Some(Query {
            service: self.settings.service.clone(),
            caller: request.caller.clone(),
            priority: request.priority,
            deadline_ms: deadline.and_then(|deadline| u32::try_from(deadline.as_millis()).ok()),
            ticket,
            non_idempotent: request.non_idempotent_shard.is_some(),
            shards: request.non_idempotent_shard.map(|shard| vec![shard]),
            min_version: highest_version.filter(|_| self.settings.monotonic),
            body: request.body.clone(),
        })
    }

    async fn send_with_retries(
        &self,
        request: &PlannedRequest,
        query: Query,
        planned_at: Instant,
    ) -> RequestEnd {
        let body = Bytes::from(serde_json::to_vec(&query).unwrap_or_default());
        let mut end = RequestEnd::Lost;
        for number in 0..self.settings.max_tries.max(1) {
            let retry_after = match self.send(request, number, body.clone()).await {
                Ok(Reply::Answer(answer)) => {
                    let violations = check::violations(&query, &answer, self.settings.shards);
                    self.record_version(&request.caller, answer.snapshot.version);
                    return RequestEnd::Answered(answer, violations);
                }
                Ok(Reply::Refusal(refusal)) => {
                    self.recorder.lock().refused(&refusal);
                    let retry_after = self.retry_after(&refusal, planned_at);
                    end = RequestEnd::Refused(refusal);
                    retry_after
                }
                Err(error) => {
                    self.recorder.lock().lost(error);
                    self.lookups[request.target].expire(&request.caller);
                    end = RequestEnd::Lost;
                    // After a timeout, only a request with a ticket is sent again,
                    // to learn the outcome of the try that may have run.
                    let resend = match error {
                        CallError::Unreachable | CallError::Cut => true,
                        CallError::Timeout => query.ticket.is_some(),
                        CallError::Malformed => false,
                    };
                    resend.then_some(Duration::ZERO)
                }
            };
            let Some(wait) = retry_after else { break };
            tokio::time::sleep(wait).await;
        }
        end
    }

    /// The delay before a refused request is retried; `None` if it isn't.
    fn retry_after(&self, refusal: &Refusal, planned_at: Instant) -> Option<Duration> {
        let wait = Duration::from_millis(u64::from(refusal.retry_after_ms?));
        let is_in_time = planned_at.elapsed() + wait < self.settings.reply_timeout;
        (is_in_time && refusal.outcome == Execution::NotRun).then_some(wait)
    }

    /// The entry node of a try; each try uses the next one.
    async fn address(&self, request: &PlannedRequest, number: u32) -> Option<SocketAddr> {
        let addresses = self.lookups[request.target].addresses(&self.client, &request.caller).await;
        let start = match self.settings.pick {
            Pick::First => 0,
            Pick::Any => hash::stable(self.settings.seed, &[&request.body.to_string()]),
        };
        let count = addresses.len().max(1) as u64;
        let index = (start % count + u64::from(number)) % count;
        addresses.get(index as usize).copied()
    }

    async fn send(
        &self,
        request: &PlannedRequest,
        number: u32,
        body: Bytes,
    ) -> Result<Reply, CallError> {
        let address = self.address(request, number).await.ok_or(CallError::Unreachable)?;
        let timeout = self.settings.reply_timeout;
        let (status, body) = self.client.post(address, QUERY_PATH, body, timeout).await?;
        if status == StatusCode::OK {
            let answer = serde_json::from_slice(&body).map_err(|_| CallError::Malformed)?;
            return Ok(Reply::Answer(Box::new(answer)));
        }
        serde_json::from_slice(&body).map(Reply::Refusal).map_err(|_| CallError::Malformed)
    }

    fn record_version(&self, caller: &Arc<str>, version: u64) {
        let mut highest_versions = self.highest_versions.lock();
        let highest = highest_versions.entry(caller.clone()).or_default();
        *highest = version.max(*highest);
    }

    async fn fetch_runs(&self) -> Option<Runs> {
        let control = self.settings.control_address?;
        let (_, body) = self.client.get(control, "/runs", CONTROL_TIMEOUT).await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}
