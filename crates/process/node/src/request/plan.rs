//! Plans a query from the catalog and the table of servers.
//!
//! Invariant: all configuration that a request uses comes from one catalog.

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

/// The longest timeout that a request may set.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the deadline of a request that arrives now.
pub fn deadline(now: Time, query: &Query, service: &Service) -> Time {
    let timeout_ms = query.deadline_ms.unwrap_or(service.deadline_ms);
    now + Duration::from_millis(u64::from(timeout_ms)).min(MAX_TIMEOUT)
}

/// Returns the policy of this name; the default policy if that object was deleted.
pub fn policy(catalog: &Catalog, name: &str) -> Policy {
    catalog.policy(name).cloned().unwrap_or_default()
}

/// Returns the snapshots that may answer `query`, best first, with the shards that
/// the query asks for.
pub fn candidates(table: &Table, query: &Query) -> Vec<Candidate> {
    let snapshots = table.snapshots(&query.service);
    snapshots.into_iter().filter_map(|snapshot| candidate(table, query, snapshot)).collect()
}

fn candidate(table: &Table, query: &Query, snapshot: Snapshot) -> Option<Candidate> {
    let count = u32::try_from(table.shard_count(&snapshot.map)).ok()?;
    let shards: Vec<u32> = match &query.shards {
        Some(named) => named.clone(),
        None => (0..count).collect(),
    };
    // A map that lacks one of the shards can't answer the query.
    let all_exist = shards.iter().all(|shard| *shard < count);
    let shards: Arc<[Shard]> = shards.into_iter().map(Shard::from_u32).collect();
    all_exist.then_some(Candidate { snapshot, shards })
}

/// The request and its configuration, as far as planning needs them.
pub struct RequestContext<'a> {
    /// The incarnation of the node that runs it.
    pub node: Incarnation,
    /// The request's number within the incarnation.
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

/// Plans `query` with these candidates.
pub fn plan(context: &RequestContext<'_>, query: &Query, candidates: Vec<Candidate>) -> Plan {
    let mut plan = Plan::new(context.node, context.request, candidates, context.deadline)
        .with_settings(Settings::with_policy(context.policy))
        .with_min_version(query.min_version.unwrap_or(0));
    if context.service.preference == Preference::Tail {
        let timeout = context.deadline.since(context.now);
        plan = plan.with_soft_deadline(
            context.now + timeout * context.policy.slice_percent.min(100) / 100,
        );
    }
    if query.shards.is_some() {
        plan = plan.with_named_shards();
    }
    if query.non_idempotent || query.ticket.is_some() {
        plan = plan.with_non_idempotent();
    }
    plan
}
