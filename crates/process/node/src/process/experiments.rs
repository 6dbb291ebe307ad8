//! Experiments on this node: which arm a request goes to, what its arms have
//! shown, and the guard that stops an arm that does harm.
//!
//! Invariant: the arm follows from the catalog and the request alone, so every
//! node assigns alike; what was counted is only ever added up.

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

/// The time between two looks of the guard.
const GUARD_EVERY: Duration = Duration::from_secs(5);
/// How long the guard's write may take.
const WRITE_LIMIT: Duration = Duration::from_secs(5);

/// What the nodes tell each other: tables by the experiment's name.
pub type Tables = BTreeMap<Arc<str>, Breakdown>;

/// The arm that a request goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assigned {
    /// The experiment's name.
    pub experiment: Arc<str>,
    /// The arm's name.
    pub arm: Arc<str>,
    /// The arm's policy.
    pub policy: Arc<str>,
    /// What was assigned as a whole.
    pub unit: Arc<str>,
}

fn on_service<'a>(
    catalog: &'a Catalog,
    service: &'a str,
) -> impl Iterator<Item = (&'a Arc<str>, &'a Experiment)> {
    let all = catalog.of_kind(Kind::Experiment).filter_map(|(name, spec)| match spec {
        Spec::Experiment(experiment) => Some((name, experiment)),
        _ => None,
    });
    all.filter(move |(_, experiment)| *experiment.service == *service)
}

/// The arm of a request; of several running experiments on a service the first
/// by name counts.
pub fn assign(catalog: &Catalog, service: &str, caller: &str, request: &str) -> Option<Assigned> {
    on_service(catalog, service).find_map(|(name, experiment)| {
        let arm = assign::arm(name, experiment, caller, request)?;
        Some(Assigned {
            experiment: Arc::clone(name),
            arm: Arc::clone(&arm.name),
            policy: Arc::clone(&arm.policy),
            unit: Arc::from(assign::unit_id(experiment.unit, caller, request)),
        })
    })
}

/// The policy that governs a service outside of running experiments: the
/// winner's of the experiment concluded last, unless the service was changed
/// after that.
pub fn governing(catalog: &Catalog, name: &Arc<str>, service: &Service) -> Arc<str> {
    let revision =
        |kind, name: &Arc<str>| catalog.revision_of(&Key { kind, name: Arc::clone(name) });
    let changed = revision(Kind::Service, name);
    let concluded = on_service(catalog, name).filter_map(|(name, experiment)| {
        let winner = experiment.winner.as_ref().filter(|_| experiment.stage == Stage::Concluded)?;
        let arm = experiment.arms.iter().find(|arm| arm.name == *winner)?;
        Some((revision(Kind::Experiment, name), Arc::clone(&arm.policy)))
    });
    let last = concluded.filter(|(at, _)| *at > changed).max_by_key(|(at, _)| *at);
    last.map_or_else(|| Arc::clone(&service.policy), |(_, policy)| policy)
}

/// What the arms have shown on this node.
#[derive(Default)]
pub struct Tallies(Mutex<Tables>);

impl Tallies {
    /// Counts one finished request.
    pub fn count(&self, assigned: &Assigned, sample: &Sample) {
        let mut tables = self.0.lock();
        let table = tables.entry(Arc::clone(&assigned.experiment)).or_default();
        table.add(&assigned.arm, &assigned.unit, sample);
    }

    /// All tables, for a peer.
    pub fn write(&self) -> Vec<u8> {
        rmp_serde::to_vec(&*self.0.lock()).unwrap_or_else(|error| {
            log::error!(target: "trial", "The tallies can't be written: {error}.");
            Vec::new()
        })
    }
}

/// An experiment's figures of all nodes.
#[derive(Debug, Default)]
pub struct Gathered {
    /// The sum.
    pub table: Breakdown,
    /// The nodes that are in it.
    pub nodes: Vec<String>,
    /// The nodes that did not answer.
    pub missing: Vec<String>,
}

/// Asks every node for its figures of one experiment.
pub async fn gather(mesh: &Mesh, experiment: &str) -> Gathered {
    let mut gathered = Gathered::default();
    for tally in mesh.collect_tallies().await {
        let tables = tally.bytes.and_then(|bytes| rmp_serde::from_slice::<Tables>(&bytes).ok());
        let Some(tables) = tables else {
            gathered.missing.push(tally.node.to_string());
            continue;
        };
        gathered.nodes.push(tally.node.to_string());
        if let Some(table) = tables.get(experiment) {
            gathered.table.merge(table);
        }
    }
    gathered
}

/// Stops arms that do harm. The nodes that hold the platform's watch look; if
/// two decide at once, the conditional write lets one of them win.
pub async fn guard(process: Arc<Process>) {
    loop {
        tokio::select! {
            () = process.end.cancelled() => return,
            () = tokio::time::sleep(GUARD_EVERY) => {}
        }
        let Some(mesh) = process.mesh().filter(|mesh| mesh.is_watcher()) else { continue };
        for object in running(&process.catalog()) {
            judge(&process, mesh, object).await;
        }
    }
}

fn running(catalog: &Catalog) -> Vec<Arc<Object>> {
    let is_running = |object: &&Arc<Object>| matches!(&object.spec, Some(Spec::Experiment(e)) if e.stage == Stage::Running);
    catalog.iter().filter(is_running).cloned().collect()
}

async fn judge(process: &Process, mesh: &Mesh, object: Arc<Object>) {
    let Some(Spec::Experiment(experiment)) = &object.spec else { return };
    let gathered = gather(mesh, &object.key.name).await;
    let stops = guard::breaches(experiment, &gathered.table);
    if stops.is_empty() {
        return;
    }
    let mut next = experiment.clone();
    for stop in &stops {
        log::warn!(target: "trial", "{}: the guard stops {stop}.", object.key);
        for arm in next.arms.iter_mut().filter(|arm| arm.name == stop.arm) {
            arm.weight = 0;
        }
    }
    let seed = process.next_request();
    let request = write::Request {
        key: object.key.clone(),
        expected: Precondition::Revision(object.revision),
        spec: Some(Spec::Experiment(next.clone())),
        operation: Arc::from(format!("guard-{}-{seed:x}", process.incarnation)),
    };
    if let write::Outcome::Accepted(revision) =
        write::run(&*process.store, request, WRITE_LIMIT, seed).await
    {
        let spec = Some(Spec::Experiment(next));
        mesh.push(vec![Object { key: object.key.clone(), revision, spec }]);
    }
}
