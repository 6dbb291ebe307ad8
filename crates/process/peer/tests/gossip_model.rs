//! Objects reach all nodes and never revert, in every order of exchanges.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use conf::catalog::Catalog;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use conf::object::Policy;
use conf::object::Spec;
use peer::gossip;
use peer::gossip::State;
use peer::gossip::WITHDRAWAL_RETENTION;
use peer::gossip::Withdrawal;
use wire::id::Incarnation;

const NODES: usize = 3;

/// The revisions of one object: created, changed, deleted.
fn object(revision: u64) -> Object {
    let key = Key { kind: Kind::Policy, name: "p".into() };
    let spec = Spec::Policy(Policy { slice_percent: revision as u32, ..Policy::default() });
    Object { key, revision, spec: (revision < 3).then_some(spec) }
}

fn other(number: u64, revision: u64) -> Object {
    let key = Key { kind: Kind::Map, name: format!("m{number}").into() };
    Object { key, revision, spec: None }
}

#[derive(Clone, Default)]
struct Node {
    state: State,
    catalog: Catalog,
}

impl Node {
    fn apply(&mut self, objects: Vec<Object>) {
        let newer = self.state.merge_objects(objects);
        let (next, changed) = self.catalog.with_objects(&newer);
        assert_eq!(
            changed,
            !newer.is_empty(),
            "state and catalog agree on which objects are newer"
        );
        self.catalog = next;
    }

    fn objects(&self, keys: &[Key]) -> Vec<Object> {
        keys.iter().filter_map(|key| self.catalog.get(key)).map(|o| Object::clone(o)).collect()
    }
}

/// Reconciles two nodes, as the background task does.
fn reconcile(nodes: &mut [Node], asker: usize, answerer: usize) {
    if nodes[asker].state.root().objects == nodes[answerer].state.root().objects {
        return;
    }
    let differing = nodes[asker].state.differing_buckets(nodes[answerer].state.buckets());
    let (versions, buckets) = nodes[asker].state.versions(&differing);
    let difference = nodes[answerer].state.compare(&versions, &buckets);
    let newer = nodes[answerer].objects(&difference.newer_here);
    let requested = nodes[asker].state.keys(&difference.newer_there);
    let requested = nodes[asker].objects(&requested);
    nodes[asker].apply(newer);
    nodes[answerer].apply(requested);
}

/// The revision of each node and the copies in flight to it.
type Snapshot = (Vec<u64>, Vec<(usize, u64)>);

fn snapshot(nodes: &[Node], in_flight: &[(usize, u64)]) -> Snapshot {
    let held = nodes.iter().map(|node| node.catalog.revision()).collect();
    let mut in_flight = in_flight.to_vec();
    in_flight.sort_unstable();
    (held, in_flight)
}

/// The three revisions of one object reach the nodes in any order, or not at all, with
/// exchanges between the nodes at any point.
#[test]
fn deleted_object_never_comes_back() {
    let all: Vec<(usize, u64)> =
        (0..NODES).flat_map(|node| (1..=3).map(move |revision| (node, revision))).collect();
    let start = vec![Node::default(); NODES];
    let mut seen: HashSet<Snapshot> = HashSet::from([snapshot(&start, &all)]);
    let mut queue = VecDeque::from([(start, all)]);
    while let Some((nodes, in_flight)) = queue.pop_front() {
        let mut next: Vec<(Vec<Node>, Vec<(usize, u64)>)> = Vec::new();
        for at in 0..in_flight.len() {
            let (node, revision) = in_flight[at];
            let mut after = nodes.clone();
            after[node].apply(vec![object(revision)]);
            let mut rest = in_flight.clone();
            rest.swap_remove(at);
            next.push((nodes.clone(), rest.clone()));
            next.push((after, rest));
        }
        for (asker, answerer) in [(0, 1), (1, 0), (1, 2), (2, 1), (0, 2), (2, 0)] {
            let mut after = nodes.clone();
            reconcile(&mut after, asker, answerer);
            let (ours, theirs) = (&after[asker].catalog, &after[answerer].catalog);
            assert_eq!(ours, theirs, "one exchange makes two nodes equal");
            next.push((after, in_flight.clone()));
        }
        for (after, in_flight) in next {
            for (before, after) in nodes.iter().zip(&after) {
                assert!(
                    before.catalog.revision() <= after.catalog.revision(),
                    "a node's revision went down"
                );
            }
            if seen.insert(snapshot(&after, &in_flight)) {
                queue.push_back((after, in_flight));
            }
        }
    }
    assert!(seen.len() > 10_000, "{} states", seen.len());
}

#[test]
fn random_writes_converge_to_the_highest_revisions() {
    for seed in 0..100 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut nodes = vec![Node::default(); NODES];
        let mut highest: BTreeMap<u64, u64> = BTreeMap::new();
        for revision in 1..=random.random_range(1..120) {
            let number = random.random_range(0..40);
            highest.insert(number, revision);
            let node = random.random_range(0..NODES);
            nodes[node].apply(vec![other(number, revision)]);
            let stale = other(number, random.random_range(1..=revision));
            nodes[random.random_range(0..NODES)].apply(vec![stale]);
            if random.random_bool(0.2) {
                reconcile(&mut nodes, random.random_range(0..NODES), node);
            }
        }
        for (asker, answerer) in [(0, 1), (1, 2), (0, 1)] {
            reconcile(&mut nodes, asker, answerer);
        }
        for node in &nodes {
            assert_eq!(node.state.root(), nodes[0].state.root(), "seed {seed}");
            for (number, revision) in &highest {
                let key = other(*number, 0).key;
                assert_eq!(node.catalog.revision_of(&key), *revision, "seed {seed}");
            }
        }
    }
}

#[test]
fn withdrawals_are_kept_with_their_age() {
    let withdrawal =
        |age_ms| Withdrawal { server: "s".into(), incarnation: Incarnation(1), age_ms };
    let mut state = State::new();
    let now = Time::from_millis(10_000);
    assert_eq!(state.merge_withdrawals(vec![withdrawal(2000), withdrawal(2500)], now).len(), 1);
    assert!(state.is_leaving("s", Incarnation(1)));
    assert!(!state.is_leaving("s", Incarnation(2)), "a new incarnation isn't leaving");
    assert_eq!(state.withdrawals(now + Duration::from_millis(500)), [withdrawal(3000)]);
    state.prune(now + WITHDRAWAL_RETENTION);
    assert!(!state.is_leaving("s", Incarnation(1)));
    let old = u64::try_from(WITHDRAWAL_RETENTION.as_millis()).expect("fits");
    assert!(
        state.merge_withdrawals(vec![withdrawal(old)], now).is_empty(),
        "an expired one is not accepted again"
    );
    assert_eq!(state.root(), State::new().root());
}

#[test]
fn messages_stay_bounded() {
    let name = |number: u64| format!("{number}-{}", "x".repeat(5000));
    let large = |number: u64| Object {
        key: Key { kind: Kind::Policy, name: name(number).into() },
        revision: number,
        spec: None,
    };
    let chunks = gossip::chunks((0..300).map(large).collect());
    assert_eq!(chunks.iter().map(Vec::len).sum::<usize>(), 300);
    for chunk in chunks {
        let bytes: usize = chunk.iter().map(|object| object.key.name.len()).sum();
        assert!(bytes <= gossip::MAX_MESSAGE_BYTES);
    }
    let mut state = State::new();
    let withdrawal =
        |number| Withdrawal { server: "s".into(), incarnation: Incarnation(number), age_ms: 0 };
    state.merge_withdrawals((0..5000).map(withdrawal).collect(), Time::ZERO);
    assert_eq!(state.withdrawals(Time::ZERO).len(), gossip::MAX_WITHDRAWALS);
}
