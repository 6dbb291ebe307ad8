//! Joins of a node under combinations of faults of the platform and its peers.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use conf::catalog::Catalog;
use conf::object::Key;
use conf::object::Kind;
use conf::object::Object;
use peer::freshness::Freshness;
use peer::freshness::Settings;
use wire::id::Incarnation;

const OBJECTS: u64 = 5;
const PEERS: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Platform {
    Up,
    Slow,
    Down,
    /// Answers some lists, always whole ones.
    Flaky,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Peer {
    Fresh,
    /// Has old revisions and is not fresh.
    Stale,
    /// Answers some calls.
    Flaky,
    Frozen,
}

const PLATFORMS: [Platform; 4] = [Platform::Up, Platform::Slow, Platform::Down, Platform::Flaky];
const ALL: [Peer; 4] = [Peer::Fresh, Peer::Stale, Peer::Flaky, Peer::Frozen];

fn object(number: u64, revision: u64) -> Object {
    let key = Key { kind: Kind::Policy, name: format!("p{number}").into() };
    Object { key, revision, spec: None }
}

/// The catalog as of `revision`; each revision changes the next object in turn.
fn catalog_at(revision: u64) -> Catalog {
    let all: Vec<Object> = (1..=revision).map(|r| object(r % OBJECTS, r)).collect();
    Catalog::new().with_objects(&all).0
}

fn objects(catalog: &Catalog) -> Vec<Object> {
    catalog.iter().map(|object| Object::clone(object)).collect()
}

/// Simulates a join. Returns the node's catalog when it became fresh, and the time.
fn join(platform: Platform, peers: &[(Peer, Catalog)], seed: u64) -> Option<(Catalog, Time)> {
    let platform_catalog = catalog_at(50);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut held = Catalog::new();
    let mut fresh = Freshness::new(Settings::default(), Time::ZERO);
    let up: Vec<Incarnation> = (0..peers.len() as u64).map(Incarnation).collect();
    for step in 1..400 {
        let now = Time::from_millis(step * 100);
        let answers = match platform {
            Platform::Up => true,
            Platform::Slow => step > 60,
            Platform::Down => false,
            Platform::Flaky => random.random_bool(0.02),
        };
        if answers {
            held = held.with_objects(&objects(&platform_catalog)).0;
            fresh.on_platform_synced();
        }
        fresh.set_peers(&up);
        let mut due = fresh.due();
        due.shuffle(&mut random);
        // Comparisons take several steps, so that the outage threshold passes between
        // them.
        let compared = usize::from(random.random_bool(0.1));
        for peer in due.into_iter().take(compared) {
            let (kind, catalog) = &peers[peer.0 as usize];
            let reached = match kind {
                Peer::Fresh | Peer::Stale => true,
                Peer::Flaky => random.random_bool(0.2),
                Peer::Frozen => false,
            };
            if reached {
                held = held.with_objects(&objects(catalog)).0;
                fresh.on_compared(peer, *kind != Peer::Stale);
            } else {
                fresh.on_compare_failed(peer);
            }
        }
        if fresh.is_fresh(now) {
            return Some((held, now));
        }
    }
    None
}

#[test]
fn fresh_node_has_the_highest_reachable_revisions() {
    for platform in PLATFORMS {
        for first in ALL {
            for second in ALL {
                for seed in 0..20 {
                    let mut random = ChaCha8Rng::seed_from_u64(seed);
                    let kinds = [first, second, *ALL.choose(&mut random).expect("not empty")];
                    let of = |kind: &Peer| match kind {
                        Peer::Stale => catalog_at(random.random_range(0..40)),
                        _ => catalog_at(random.random_range(45..=50)),
                    };
                    let catalogs: Vec<Catalog> = kinds.iter().map(of).collect();
                    let peers: Vec<(Peer, Catalog)> = kinds.into_iter().zip(catalogs).collect();
                    let what = format!("{platform:?} {peers:?} seed {seed}");
                    let joined = join(platform, &peers, seed);
                    let always_fresh = peers.iter().filter(|(kind, _)| *kind == Peer::Fresh);
                    let highest = always_fresh.clone().map(|(_, catalog)| catalog.revision()).max();
                    match joined {
                        Some((held, _)) => {
                            let least = highest.unwrap_or(45);
                            assert!(held.revision() >= least, "{what}: {}", held.revision());
                        }
                        None => assert!(highest.is_none() && platform != Platform::Up, "{what}"),
                    }
                }
            }
        }
    }
}

#[test]
fn stale_peers_never_make_a_node_fresh() {
    for seed in 0..20 {
        let stale: Vec<(Peer, Catalog)> =
            (0..PEERS).map(|peer| (Peer::Stale, catalog_at(peer))).collect();
        assert!(join(Platform::Down, &stale, seed).is_none());
    }
}

#[test]
fn platform_sync_does_not_wait_for_peers() {
    let frozen = vec![(Peer::Frozen, Catalog::new()); 3];
    let (held, when) = join(Platform::Up, &frozen, 1).expect("the platform alone makes it fresh");
    assert_eq!(held.revision(), 50);
    assert!(when.since(Time::ZERO) < Duration::from_secs(1));
}
