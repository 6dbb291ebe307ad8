//! The schedule of requests.
//!
//! Invariant: the plan depends only on the settings.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::caller::Settings;
use wire::caller::Priority;

/// One planned request.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// When it is sent, counted from the start of the run.
    pub at: Duration,
    /// The caller that sends it.
    pub caller: Arc<str>,
    /// The index of its target.
    pub target: usize,
    /// Its priority.
    pub priority: Priority,
    /// The only shard of a non-idempotent request; `None` if it is idempotent.
    pub non_idempotent_shard: Option<u32>,
    /// The query, which differs for each request.
    pub body: serde_json::Value,
}

/// All requests of a run, in the order of their times: a Poisson process.
pub fn plan(settings: &Settings) -> Vec<PlannedRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut at = 0.0;
    let mut requests = Vec::new();
    loop {
        // A rate of zero gives an infinite interval, which ends the plan.
        at += -(1.0 - rng.random::<f64>()).ln() / settings.rate;
        if at.is_nan() || at >= settings.duration.as_secs_f64() {
            return requests;
        }
        requests.push(plan_request(
            settings,
            requests.len(),
            Duration::from_secs_f64(at),
            &mut rng,
        ));
    }
}

fn plan_request(
    settings: &Settings,
    number: usize,
    at: Duration,
    rng: &mut ChaCha8Rng,
) -> PlannedRequest {
    let caller = rng.random_range(0..settings.callers.max(1));
    let urgent = rng.random::<f64>() < settings.urgent_share;
    let non_idempotent = rng.random::<f64>() < settings.non_idempotent_share;
    let shard = rng.random_range(0..settings.shards.unwrap_or(1).max(1));
    PlannedRequest {
        at,
        caller: Arc::from(format!("caller-{caller}")),
        target: number % settings.targets.len().max(1),
        priority: if urgent { Priority::Urgent } else { Priority::Routine },
        non_idempotent_shard: non_idempotent.then_some(shard),
        body: serde_json::json!({ "seed": settings.seed, "number": number }),
    }
}
