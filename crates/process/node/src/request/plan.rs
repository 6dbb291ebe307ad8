//! Makes the plan of a query from the catalog and the table of servers.
//!
//! Invariant: everything that a request goes by comes from one catalog.

use std::sync::Arc;
use std::time::Duration;

use base::entity::Shard;
use base::time::Time;
use conf::catalog::Catalog;
use conf::object::Policy;
use conf::object::Preference;
use conf::object::Service;
use query::plan::Candidate;
use query::plan::Plan;
use query::plan::Settings;
use route::table::Table;
use wire::caller::Query;
use wire::id::Incarnation;
use wire::id::Snapshot;

/// The longest time limit that a request may ask for.
pub const MOST_DEADLINE: Duration = Duration::from_secs(60);

/// When a request must be answered.
pub fn deadline(now: Time, query: &Query, service: &Service) -> Time {
    let ms = query.deadline_ms.unwrap_or(service.deadline_ms);
    now + Duration::from_millis(u64::from(ms)).min(MOST_DEADLINE)
}

/// The policy that governs a service: by its name, or the usual one if that
/// object is gone.
pub fn policy(catalog: &Catalog, name: &str) -> Policy {
    catalog.policy(name).cloned().unwrap_or_default()
}

/// The snapshots that may answer `query`, best first, with the asked shards.
pub fn targets(table: &Table, query: &Query) -> Vec<Candidate> {
    let snapshots = table.snapshots(&query.service);
    snapshots.into_iter().filter_map(|snapshot| target(table, query, snapshot)).collect()
}

fn target(table: &Table, query: &Query, snapshot: Snapshot) -> Option<Candidate> {
    let count = u32::try_from(table.shard_count(&snapshot.map)).ok()?;
    let shards: Vec<u32> = match &query.shards {
        Some(asked) => asked.clone(),
        None => (0..count).collect(),
    };
    // A shard number that a map lacks makes no sense in it.
    let known = shards.iter().all(|shard| *shard < count);
    let shards: Arc<[Shard]> = shards.into_iter().map(Shard::from_u32).collect();
    known.then_some(Candidate { snapshot, shards })
}

/// What a request is run by.
pub struct Frame<'a> {
    /// The node incarnation that runs it.
    pub node: Incarnation,
    /// Its number within the incarnation.
    pub request: u64,
    /// When it arrived.
    pub now: Time,
    /// When it must be answered.
    pub deadline: Time,
    /// Its service.
    pub service: &'a Service,
    /// Its policy.
    pub policy: &'a Policy,
}

/// The plan of `query` with these targets.
pub fn plan(frame: &Frame<'_>, query: &Query, targets: Vec<Candidate>) -> Plan {
    let mut plan = Plan::new(frame.node, frame.request, targets, frame.deadline)
        .with_settings(Settings::with_policy(frame.policy))
        .with_min_version(query.min_version.unwrap_or(0));
    if frame.service.preference == Preference::Tail {
        let whole = frame.deadline.since(frame.now);
        plan =
            plan.with_soft_deadline(frame.now + whole * frame.policy.slice_percent.min(100) / 100);
    }
    if query.shards.is_some() {
        plan = plan.with_named_shards();
    }
    if query.non_idempotent || query.ticket.is_some() {
        plan = plan.with_non_idempotent();
    }
    plan
}
