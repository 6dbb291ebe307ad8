//! A planned stop cuts off nothing, whatever happens meanwhile.

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
/// How long a peer that can't reach a node may go on naming it.
const DETECTION: Duration = Duration::from_secs(6);

/// A peer of the node that stops, with a view of its own and faults.
struct Other {
    peer: Peer,
    knows: Departure,
    /// Cut from the node that stops, both ways, within this span.
    cut: std::ops::Range<Time>,
    /// When it is killed.
    dies: Time,
    lookup_ttl: Duration,
}

impl Other {
    fn new(number: u64) -> Self {
        let peer =
            Peer { incarnation: Incarnation(number), departure: Departure::Staying, ready: true };
        let cut = Time::NEVER..Time::NEVER;
        Self {
            peer,
            knows: Departure::Staying,
            cut,
            dies: Time::NEVER,
            lookup_ttl: Settings::default().lookup_ttl,
        }
    }

    /// Whether the node that stops still takes it for up.
    fn seems_up(&self, now: Time) -> bool {
        let lost = |since: Time| now >= since && now.since(since) >= DETECTION;
        let cut_off = self.is_cut(now) && lost(self.cut.start);
        !lost(self.dies) && !cut_off
    }

    fn is_cut(&self, now: Time) -> bool {
        self.cut.contains(&now)
    }

    /// After a long cut only a new record makes the peer name the node again. After
    /// a short one it goes on naming it until a probe brings the new record.
    fn learns_by_probe(&self, now: Time) -> bool {
        let long = self.cut.end.since(self.cut.start) >= DETECTION;
        let delay = if long { Duration::ZERO } else { DETECTION };
        self.cut.start < now && now >= self.cut.end + delay
    }

    fn names_stopping(&self, now: Time) -> bool {
        let detected = self.is_cut(now) && now.since(self.cut.start) >= DETECTION;
        now < self.dies && !detected && self.knows == Departure::Staying
    }
}

/// What a run showed.
#[derive(Default)]
struct Run {
    last_lifetime: Time,
    closed_idle: Option<Time>,
    exited: Option<Time>,
    handed_to: Option<Incarnation>,
}

/// Steps a stop for up to two minutes; `running` says what is in progress.
fn run(others: &mut [Other], refuse: &[u64], running: impl Fn(Time) -> usize) -> Run {
    let mut stop = Shutdown::new(OWN, &Settings::default());
    others.iter().for_each(|other| stop.observe_lookup_ttl(other.lookup_ttl));
    let mut run = Run::default();
    let mut now = Time::from_millis(1000);
    let mut actions = stop.begin(now);
    while run.exited.is_none() && now < Time::from_millis(120_000) {
        for action in std::mem::take(&mut actions) {
            actions.extend(act(&mut stop, others, refuse, &mut run, action, now));
        }
        for other in others.iter_mut() {
            if other.learns_by_probe(now) {
                other.knows = other.knows.max(stop.departure());
            }
            if other.names_stopping(now) {
                run.last_lifetime = run.last_lifetime.max(now + other.lookup_ttl);
            }
        }
        now = now + STEP;
        let up = others.iter().filter(|other| other.seems_up(now));
        let view = View { peers: up.map(|o| o.peer).collect(), running: running(now) };
        actions.extend(stop.step(now, &view));
        actions.extend(stop.begin(now));
    }
    run
}

fn reached(others: &mut [Other], peer: Incarnation, now: Time) -> Option<&mut Other> {
    others.iter_mut().find(|o| o.peer.incarnation == peer && now < o.dies && !o.is_cut(now))
}

fn act(
    stop: &mut Shutdown,
    others: &mut [Other],
    refuse: &[u64],
    run: &mut Run,
    action: Action,
    now: Time,
) -> Vec<Action> {
    match action {
        Action::Announce(peers) => {
            for peer in peers {
                if let Some(other) = reached(others, peer, now) {
                    other.knows = other.knows.max(stop.departure());
                    stop.on_announced(peer, stop.departure(), other.lookup_ttl);
                }
            }
        }
        Action::AskToStay(peer) => {
            let granted = reached(others, peer, now)
                .is_some_and(|other| other.peer.departure == Departure::Staying);
            return stop.on_stay_reply(peer, granted, now);
        }
        Action::HandOver(peer) => {
            let taken = reached(others, peer, now).is_some() && !refuse.contains(&peer.0);
            run.handed_to = run.handed_to.or(taken.then_some(peer));
            return stop.on_handed_over(peer, taken, now);
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
                other.dies = Time::from_millis(random.random_range(0..12_000));
            }
            if random.random_bool(0.5) {
                let start = Time::from_millis(random.random_range(0..8000));
                other.cut = start..start + Duration::from_millis(random.random_range(100..40_000));
            }
        }
        let run = run(&mut others, &[], |_| 0);
        let closed = run.closed_idle.unwrap_or(Time::NEVER);
        assert!(closed >= run.last_lifetime, "seed {seed}: {closed} before {}", run.last_lifetime);
        assert!(run.exited.is_some(), "seed {seed}: it does exit");
    }
}

#[test]
fn last_node_holds_for_its_time_and_no_longer() {
    let run = run(&mut [], &[], |_| 0);
    let settings = Settings::default();
    let least = Time::from_millis(1000) + settings.hold_timeout + settings.lookup_ttl;
    let exited = run.exited.unwrap_or(Time::NEVER);
    assert!(exited >= least && exited <= least + settings.hand_over_timeout + STEP * 3, "{exited}");
}

#[test]
fn what_runs_is_finished_even_if_it_takes_long() {
    let finished = Time::from_millis(90_000);
    let run = run(&mut [Other::new(1)], &[], |now| usize::from(now < finished));
    assert!(run.exited.is_some_and(|exited| exited >= finished));
    assert_eq!(run.handed_to, Some(Incarnation(1)));
}

#[test]
fn tickets_go_to_another_peer_if_one_refuses() {
    let mut others: Vec<Other> = (1..=3).map(Other::new).collect();
    others[1].dies = Time::ZERO;
    let run = run(&mut others, &[1], |_| 0);
    assert_eq!(run.handed_to, Some(Incarnation(3)));
}

#[test]
fn second_signal_changes_nothing() {
    let mut stop = Shutdown::new(OWN, &Settings::default());
    assert_eq!(stop.begin(Time::ZERO), [Action::SetDeparture(Departure::Holding)]);
    assert_eq!(stop.begin(Time::ZERO), []);
    assert_eq!(stop.phase(), Phase::Holding);
    assert!(!stop.closes_after_answer());
}

#[test]
fn busy_connections_end_with_their_next_answer() {
    let mut stop = Shutdown::new(OWN, &Settings::default());
    stop.begin(Time::ZERO);
    let peer = Incarnation(1);
    let departure = Departure::Staying;
    let view = View { peers: vec![Peer { incarnation: peer, departure, ready: true }], running: 1 };
    assert_eq!(stop.step(Time::ZERO, &view), [Action::Announce(vec![peer])]);
    stop.on_announced(peer, Departure::Holding, Duration::ZERO);
    assert_eq!(stop.step(Time::ZERO, &view), [Action::AskToStay(peer)]);
    assert_eq!(
        stop.on_stay_reply(peer, true, Time::ZERO),
        [Action::SetDeparture(Departure::Going)]
    );
    assert!(stop.closes_after_answer());
}
