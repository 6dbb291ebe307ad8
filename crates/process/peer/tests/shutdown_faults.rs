//! A graceful shutdown interrupts nothing, whatever faults occur meanwhile.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use peer::record::Departure;
use peer::shutdown::Action;
use peer::shutdown::Peer;
use peer::shutdown::Phase;
use peer::shutdown::Settings;
use peer::shutdown::Shutdown;
use peer::shutdown::View;
use wire::id::Incarnation;

const OWN: Incarnation = Incarnation(9);
const STEP: Duration = Duration::from_millis(100);
/// The longest time for which the lookups of a peer may return a node that the peer
/// cannot reach.
const DETECTION_TIME: Duration = Duration::from_secs(6);

/// A peer of the node that shuts down, with its own view and faults.
struct Other {
    peer: Peer,
    /// The departure that this peer has recorded for the node that shuts down.
    known: Departure,
    /// The time in which it is partitioned from that node, both ways.
    partition: std::ops::Range<Time>,
    /// The time at which it is killed.
    killed_at: Time,
    lookup_ttl: Duration,
}

impl Other {
    fn new(number: u64) -> Self {
        let peer =
            Peer { incarnation: Incarnation(number), departure: Departure::Staying, ready: true };
        let partition = Time::NEVER..Time::NEVER;
        Self {
            peer,
            known: Departure::Staying,
            partition,
            killed_at: Time::NEVER,
            lookup_ttl: Settings::default().lookup_ttl,
        }
    }

    /// Whether the node that shuts down still considers it up.
    fn is_considered_up(&self, now: Time) -> bool {
        let detected = |since: Time| now >= since && now.since(since) >= DETECTION_TIME;
        let partition_detected = self.is_partitioned(now) && detected(self.partition.start);
        !detected(self.killed_at) && !partition_detected
    }

    fn is_partitioned(&self, now: Time) -> bool {
        self.partition.contains(&now)
    }

    /// After a long partition the peer has the node as dead and its lookups return it
    /// again only if a new record arrives. After a short one they return it until a
    /// probe brings the new record.
    fn is_updated_by_probe(&self, now: Time) -> bool {
        let long = self.partition.end.since(self.partition.start) >= DETECTION_TIME;
        let delay = if long { Duration::ZERO } else { DETECTION_TIME };
        self.partition.start < now && now >= self.partition.end + delay
    }

    fn lookups_return_node(&self, now: Time) -> bool {
        let detected =
            self.is_partitioned(now) && now.since(self.partition.start) >= DETECTION_TIME;
        now < self.killed_at && !detected && self.known == Departure::Staying
    }
}

/// The observations of a run.
#[derive(Default)]
struct Run {
    last_lookup_expiry: Time,
    closed_idle: Option<Time>,
    exited: Option<Time>,
    handed_to: Option<Incarnation>,
}

/// Runs a shutdown for up to two minutes; `running` returns the number of requests in
/// progress.
fn run(others: &mut [Other], refuse: &[u64], running: impl Fn(Time) -> usize) -> Run {
    let mut shutdown = Shutdown::new(OWN, &Settings::default());
    others.iter().for_each(|other| shutdown.observe_lookup_ttl(other.lookup_ttl));
    let mut run = Run::default();
    let mut now = Time::from_millis(1000);
    let mut actions = shutdown.begin(now);
    while run.exited.is_none() && now < Time::from_millis(120_000) {
        for action in std::mem::take(&mut actions) {
            actions.extend(execute(&mut shutdown, others, refuse, &mut run, action, now));
        }
        for other in others.iter_mut() {
            if other.is_updated_by_probe(now) {
                other.known = other.known.max(shutdown.departure());
            }
            if other.lookups_return_node(now) {
                run.last_lookup_expiry = run.last_lookup_expiry.max(now + other.lookup_ttl);
            }
        }
        now = now + STEP;
        let up = others.iter().filter(|other| other.is_considered_up(now));
        let view = View { peers: up.map(|o| o.peer).collect(), running: running(now) };
        actions.extend(shutdown.step(now, &view));
        actions.extend(shutdown.begin(now));
    }
    run
}

fn reachable(others: &mut [Other], peer: Incarnation, now: Time) -> Option<&mut Other> {
    others
        .iter_mut()
        .find(|o| o.peer.incarnation == peer && now < o.killed_at && !o.is_partitioned(now))
}

fn execute(
    shutdown: &mut Shutdown,
    others: &mut [Other],
    refuse: &[u64],
    run: &mut Run,
    action: Action,
    now: Time,
) -> Vec<Action> {
    match action {
        Action::Announce(peers) => {
            for peer in peers {
                if let Some(other) = reachable(others, peer, now) {
                    other.known = other.known.max(shutdown.departure());
                    shutdown.on_announced(peer, shutdown.departure(), other.lookup_ttl);
                }
            }
        }
        Action::AskToStay(peer) => {
            let granted = reachable(others, peer, now)
                .is_some_and(|other| other.peer.departure == Departure::Staying);
            return shutdown.on_stay_reply(peer, granted, now);
        }
        Action::HandOver(peer) => {
            let accepted = reachable(others, peer, now).is_some() && !refuse.contains(&peer.0);
            run.handed_to = run.handed_to.or(accepted.then_some(peer));
            return shutdown.on_handed_over(peer, accepted, now);
        }
        Action::CloseIdle => run.closed_idle = run.closed_idle.or(Some(now)),
        Action::Exit => run.exited = Some(now),
        Action::SetDeparture(_) => {}
    }
    Vec::new()
}

#[test]
fn idle_connections_outlive_every_lookup() {
    for seed in 0..500 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut others: Vec<Other> = (1..=3).map(Other::new).collect();
        for other in &mut others {
            other.lookup_ttl = Duration::from_millis(random.random_range(1000..9000));
            if random.random_bool(0.3) {
                other.killed_at = Time::from_millis(random.random_range(0..12_000));
            }
            if random.random_bool(0.5) {
                let start = Time::from_millis(random.random_range(0..8000));
                other.partition =
                    start..start + Duration::from_millis(random.random_range(100..40_000));
            }
        }
        let run = run(&mut others, &[], |_| 0);
        let closed = run.closed_idle.unwrap_or(Time::NEVER);
        assert!(
            closed >= run.last_lookup_expiry,
            "seed {seed}: {closed} before {}",
            run.last_lookup_expiry
        );
        assert!(run.exited.is_some(), "seed {seed}: it exits");
    }
}

#[test]
fn last_node_holds_until_the_timeout() {
    let run = run(&mut [], &[], |_| 0);
    let settings = Settings::default();
    let earliest = Time::from_millis(1000) + settings.hold_timeout + settings.lookup_ttl;
    let exited = run.exited.unwrap_or(Time::NEVER);
    assert!(
        exited >= earliest && exited <= earliest + settings.hand_over_timeout + STEP * 3,
        "{exited}"
    );
}

#[test]
fn running_requests_are_finished_even_if_they_take_long() {
    let finished = Time::from_millis(90_000);
    let run = run(&mut [Other::new(1)], &[], |now| usize::from(now < finished));
    assert!(run.exited.is_some_and(|exited| exited >= finished));
    assert_eq!(run.handed_to, Some(Incarnation(1)));
}

#[test]
fn tickets_are_handed_to_another_peer_if_one_refuses() {
    let mut others: Vec<Other> = (1..=3).map(Other::new).collect();
    others[1].killed_at = Time::ZERO;
    let run = run(&mut others, &[1], |_| 0);
    assert_eq!(run.handed_to, Some(Incarnation(3)));
}

#[test]
fn second_signal_changes_nothing() {
    let mut shutdown = Shutdown::new(OWN, &Settings::default());
    assert_eq!(shutdown.begin(Time::ZERO), [Action::SetDeparture(Departure::Holding)]);
    assert_eq!(shutdown.begin(Time::ZERO), []);
    assert_eq!(shutdown.phase(), Phase::Holding);
    assert!(!shutdown.closes_after_answer());
}

#[test]
fn answers_close_connections_once_the_node_leaves() {
    let mut shutdown = Shutdown::new(OWN, &Settings::default());
    shutdown.begin(Time::ZERO);
    let peer = Incarnation(1);
    let departure = Departure::Staying;
    let view = View { peers: vec![Peer { incarnation: peer, departure, ready: true }], running: 1 };
    assert_eq!(shutdown.step(Time::ZERO, &view), [Action::Announce(vec![peer])]);
    shutdown.on_announced(peer, Departure::Holding, Duration::ZERO);
    assert_eq!(shutdown.step(Time::ZERO, &view), [Action::AskToStay(peer)]);
    assert_eq!(
        shutdown.on_stay_reply(peer, true, Time::ZERO),
        [Action::SetDeparture(Departure::Going)]
    );
    assert!(shutdown.closes_after_answer());
}
