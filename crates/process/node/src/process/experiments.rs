//! Experiments on this node: the assignment of requests to arms, the measurements of
//! the arms, and the guard that stops an arm that breaches its limits.
//!
//! Invariant: the arm depends only on the catalog and the request, so every node
//! assigns a request to the same arm; measurements are only ever added.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use crate::process::state::Process;
use conf::catalog::Catalog;
use conf::object::Experiment;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Service;
use conf::object::Spec;
use conf::object::Stage;
use peer::mesh::Mesh;
use store::api::Precondition;
use store::write;
use trial::assign;
use trial::guard;
use trial::tally::Breakdown;
use trial::tally::Sample;

/// The time between two checks of the guard.
const GUARD_INTERVAL: Duration = Duration::from_secs(5);
/// The timeout of the guard's write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The measurements that nodes exchange, by the experiment's name.
pub type Breakdowns = BTreeMap<Arc<str>, Breakdown>;

/// The arm that a request is assigned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The experiment's name.
    pub experiment: Arc<str>,
    /// The arm's name.
    pub arm: Arc<str>,
    /// The arm's policy.
    pub policy: Arc<str>,
    /// The id of the unit of assignment, a caller or a request.
    pub unit: Arc<str>,
}

fn experiments_on<'a>(
    catalog: &'a Catalog,
    service: &'a str,
) -> impl Iterator<Item = (&'a Arc<str>, &'a Experiment)> {
    let experiments = catalog.of_kind(Kind::Experiment).filter_map(|(name, spec)| match spec {
        Spec::Experiment(experiment) => Some((name, experiment)),
        _ => None,
    });
    experiments.filter(move |(_, experiment)| *experiment.service == *service)
}

/// Returns the arm of a request. If several experiments run on the service, the
/// first by name applies.
pub fn assign(catalog: &Catalog, service: &str, caller: &str, request: &str) -> Option<Assignment> {
    experiments_on(catalog, service).find_map(|(name, experiment)| {
        let arm = assign::arm(name, experiment, caller, request)?;
        Some(Assignment {
            experiment: Arc::clone(name),
            arm: Arc::clone(&arm.name),
            policy: Arc::clone(&arm.policy),
            unit: Arc::from(assign::unit_id(experiment.unit, caller, request)),
        })
    })
}

/// Returns the policy of a service outside of running experiments: that of the
/// winner of the experiment concluded last, unless the service was changed
/// after that.
pub fn effective_policy(catalog: &Catalog, name: &Arc<str>, service: &Service) -> Arc<str> {
    let revision =
        |kind, name: &Arc<str>| catalog.revision_of(&Key { kind, name: Arc::clone(name) });
    let changed = revision(Kind::Service, name);
    let concluded = experiments_on(catalog, name).filter_map(|(name, experiment)| {
        let winner = experiment.winner.as_ref().filter(|_| experiment.stage == Stage::Concluded)?;
        let arm = experiment.arms.iter().find(|arm| arm.name == *winner)?;
        Some((revision(Kind::Experiment, name), Arc::clone(&arm.policy)))
    });
    let latest = concluded.filter(|(at, _)| *at > changed).max_by_key(|(at, _)| *at);
    latest.map_or_else(|| Arc::clone(&service.policy), |(_, policy)| policy)
}

/// The measurements of the arms on this node.
#[derive(Default)]
pub struct Tallies(Mutex<Breakdowns>);

impl Tallies {
    /// Adds the sample of one finished request.
    pub fn record(&self, assignment: &Assignment, sample: &Sample) {
        let mut breakdowns = self.0.lock();
        let breakdown = breakdowns.entry(Arc::clone(&assignment.experiment)).or_default();
        breakdown.add(&assignment.arm, &assignment.unit, sample);
    }

    /// Serializes all measurements for a peer.
    pub fn to_bytes(&self) -> Vec<u8> {
        rmp_serde::to_vec(&*self.0.lock()).unwrap_or_else(|error| {
            log::error!(target: "trial", "The experiment measurements can't be serialized: {error}.");
            Vec::new()
        })
    }
}

/// The measurements of one experiment on all nodes.
#[derive(Debug, Default)]
pub struct FleetBreakdown {
    /// The sum.
    pub breakdown: Breakdown,
    /// The nodes that are included.
    pub nodes: Vec<String>,
    /// The nodes that did not answer.
    pub missing: Vec<String>,
}

/// Collects the measurements of one experiment from every node.
pub async fn collect(mesh: &Mesh, experiment: &str) -> FleetBreakdown {
    let mut total = FleetBreakdown::default();
    for contribution in mesh.collect_contributions().await {
        let breakdowns =
            contribution.bytes.and_then(|bytes| rmp_serde::from_slice::<Breakdowns>(&bytes).ok());
        let Some(breakdowns) = breakdowns else {
            total.missing.push(contribution.node.to_string());
            continue;
        };
        total.nodes.push(contribution.node.to_string());
        if let Some(breakdown) = breakdowns.get(experiment) {
            total.breakdown.merge(breakdown);
        }
    }
    total
}

/// Stops arms that breach the guard's limits. Only the nodes that watch the platform
/// check; if two of them act at once, the conditional write lets only one succeed.
pub async fn guard(process: Arc<Process>) {
    loop {
        tokio::select! {
            () = process.background_tasks.cancelled() => return,
            () = tokio::time::sleep(GUARD_INTERVAL) => {}
        }
        let Some(mesh) = process.mesh().filter(|mesh| mesh.is_watcher()) else { continue };
        for object in running_experiments(&process.catalog()) {
            check_experiment(&process, mesh, object).await;
        }
    }
}

fn running_experiments(catalog: &Catalog) -> Vec<Arc<Object>> {
    let is_running = |object: &&Arc<Object>| matches!(&object.spec, Some(Spec::Experiment(e)) if e.stage == Stage::Running);
    catalog.iter().filter(is_running).cloned().collect()
}

async fn check_experiment(process: &Process, mesh: &Mesh, object: Arc<Object>) {
    let Some(Spec::Experiment(experiment)) = &object.spec else { return };
    let total = collect(mesh, &object.key.name).await;
    let breaches = guard::breaches(experiment, &total.breakdown);
    if breaches.is_empty() {
        return;
    }
    let mut updated = experiment.clone();
    for breach in &breaches {
        log::warn!(target: "trial", "{}: the guard stops {breach}.", object.key);
        for arm in updated.arms.iter_mut().filter(|arm| arm.name == breach.arm) {
            arm.weight = 0;
        }
    }
    let seed = process.next_request();
    let request = write::Request {
        key: object.key.clone(),
        expected: Precondition::Revision(object.revision),
        spec: Some(Spec::Experiment(updated.clone())),
        operation: Arc::from(format!("guard-{}-{seed:x}", process.incarnation)),
    };
    if let write::Outcome::Accepted(revision) =
        write::run(&*process.store, request, WRITE_TIMEOUT, seed).await
    {
        let spec = Some(Spec::Experiment(updated));
        mesh.push(vec![Object { key: object.key.clone(), revision, spec }]);
    }
}
