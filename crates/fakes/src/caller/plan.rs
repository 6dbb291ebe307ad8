//! When which caller sends what.
//!
//! Invariant: the plan follows from the settings alone.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::caller::Settings;
use wire::caller::Priority;

/// One planned request.
#[derive(Clone, Debug, PartialEq)]
pub struct Shot {
    /// When it is sent, after the beginning.
    pub at: Duration,
    /// Who sends it.
    pub caller: Arc<str>,
    /// Which target it goes to.
    pub target: usize,
    /// How urgent it is.
    pub priority: Priority,
    /// The one shard of a non-idempotent request.
    pub claim: Option<u32>,
    /// What is searched; differs for each request.
    pub body: serde_json::Value,
}

/// All requests of a run, in the order of their times: a Poisson process.
pub fn plan(settings: &Settings) -> Vec<Shot> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut at = 0.0;
    let mut shots = Vec::new();
    loop {
        // A rate of zero gives an infinite gap, which ends the plan.
        at += -(1.0 - rng.random::<f64>()).ln() / settings.rate;
        if at.is_nan() || at >= settings.span.as_secs_f64() {
            return shots;
        }
        shots.push(shot(settings, shots.len(), Duration::from_secs_f64(at), &mut rng));
    }
}

fn shot(settings: &Settings, number: usize, at: Duration, rng: &mut ChaCha8Rng) -> Shot {
    let caller = rng.random_range(0..settings.callers.max(1));
    let urgent = rng.random::<f64>() < settings.urgent_share;
    let claims = rng.random::<f64>() < settings.claim_share;
    let shard = rng.random_range(0..settings.shards.unwrap_or(1).max(1));
    Shot {
        at,
        caller: Arc::from(format!("caller-{caller}")),
        target: number % settings.targets.len().max(1),
        priority: if urgent { Priority::Urgent } else { Priority::Routine },
        claim: claims.then_some(shard),
        body: serde_json::json!({ "seed": settings.seed, "number": number }),
    }
}
