//! The faults of a run, drawn from its seed.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::system::FOREIGN_CONTENTS;
use crate::system::SERVICES;
use crate::system::ZONES;
use fakes::instance;
use fakes::link::Mode;
use fakes::store;

/// The time for which servers want no requests, as they state it.
pub const TURN_AWAY_HEADER: &str = "1.5";

/// The limit that servers name, and for how long.
pub const LIMIT_HEADER: &str = "3.0";
const LIMIT_TIME: Duration = Duration::from_secs(9);
/// Distinguishes the seed of the steps in which servers name a limit.
const LIMIT_SEED: u64 = 0x006c_696d_6974;

/// How long a request that ends servers comes.
const POISON_TIME: Duration = Duration::from_secs(10);
/// Distinguishes the seed of the steps with such a request.
const POISON_SEED: u64 = 0x706f_6973_6f6e;

/// Distinguishes the seed of the operator's steps: keys, evacuations, a customer's load.
const OPERATOR_SEED: u64 = 0x006f_7065_7261;
/// How long a key remains valid beside the one that replaces it, in milliseconds.
const OVERLAP_MS: Range<u64> = 500..3000;
/// How long a data centre is evacuated, in milliseconds. With less than 10 s, seed 1 checked nothing:
/// the bound, and the time after a return of the store in which no node counts as undisturbed, took all.
const EVACUATION_MS: Range<u64> = 11_000..14_000;
/// How long a customer sends many times its quota, in milliseconds: longer than the window.
const FLOOD_MS: Range<u64> = 6000..9000;

/// Distinguishes the seed of the steps with another writer, removals and cut answers.
const REVIEW_SEED: u64 = 0x7265_7669_6577;
/// How many of each of these a run has.
const REVIEW_STEPS: Range<usize> = 1..4;
/// The number of bytes after which answers are cut: in their heads and bodies.
const CUT_BYTES: Range<usize> = 1..420;

/// What is done to the system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A node is stopped by a signal and goes on later.
    Freeze { node: usize },
    /// A node is killed and starts again.
    Kill { node: usize },
    /// All nodes are killed and start again.
    KillAll,
    /// A node is asked to stop while it waits for slow servers, and starts again once it has.
    Stop { node: usize },
    /// The settings of a node are read again.
    Reload { node: usize },
    /// The connections of a node to the store misbehave.
    StoreLink { node: usize, mode: Mode },
    /// The store misbehaves.
    Store { behavior: store::Behavior },
    /// The store returns from a copy that was taken `age` before.
    Return { age: Duration },
    /// The store drops its history.
    Compact,
    /// A server misbehaves.
    Server { server: usize, behavior: instance::Behavior },
    /// All servers of a service turn requests away.
    TurnAway { service: usize },
    /// All servers of a service name a limit.
    Limit { service: usize },
    /// The connections to a server misbehave.
    ServerLink { server: usize, mode: Mode },
    /// A server drains, leaves and is replaced.
    Drain { server: usize },
    /// A server says in its replies that it leaves, and its entry stays as it is; it is replaced.
    Depart { server: usize },
    /// A server crashes and is replaced.
    Crash { server: usize },
    /// A caller sends a request again and again that ends each server that runs it; over all
    /// shards or to one server.
    Poison { search: bool },
    /// The operator writes versions in quick succession.
    Versions { count: u32 },
    /// The operator adds a key, and revokes the one before it when the step ends.
    RotateKey,
    /// A data centre is evacuated, and taken back when the step ends.
    Evacuate { zone: usize },
    /// A customer sends many times its quota, at any node.
    Flood,
    /// Another writer puts an entry that can't be read among those of the servers.
    Foreign { content: usize },
    /// The entry of a server is removed while a node is stopped by a signal.
    Remove { server: usize, node: usize },
    /// The answers of a server are cut after so many bytes.
    Cut { server: usize, bytes: usize },
}

/// A fault, when it starts and how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The number of the step.
    pub number: usize,
    /// The time from the start of the run.
    pub at: Duration,
    /// How long it lasts, if that has a meaning for it.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, lasts) = (self.at.as_millis(), self.lasts.as_millis());
        write!(f, "{:>3}  {at:>6} ms  {lasts:>5} ms  {:?}", self.number, self.fault)
    }
}

/// The faults of seed `seed` within `length`, for so many nodes and servers.
pub fn draw(seed: u64, length: Duration, nodes: usize, servers: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::from_millis(500);
    let mut steps = Vec::new();
    while at < length {
        let lasts = Duration::from_millis(rng.random_range(300..4000));
        let fault = fault(&mut rng, nodes, servers);
        steps.push(Step { number: steps.len(), at, lasts, fault });
        // Faults overlap: the next one often starts before this one ends.
        at += Duration::from_millis(rng.random_range(100..1800));
    }
    // Drawn apart, so that the other steps of a seed stay the same.
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ LIMIT_SEED);
    let at = length.mul_f64(rng.random_range(0.0..0.4));
    let fault = Fault::Limit { service: rng.random_range(0..SERVICES.len()) };
    steps.push(Step { number: steps.len(), at, lasts: LIMIT_TIME, fault });
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ POISON_SEED);
    if rng.random_bool(0.5) {
        let at = length.mul_f64(rng.random_range(0.0..0.6));
        let fault = Fault::Poison { search: rng.random_bool(0.3) };
        steps.push(Step { number: steps.len(), at, lasts: POISON_TIME, fault });
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ OPERATOR_SEED);
    let evacuate = Fault::Evacuate { zone: rng.random_range(0..ZONES.len()) };
    for (fault, lasts) in
        [(Fault::RotateKey, OVERLAP_MS), (evacuate, EVACUATION_MS), (Fault::Flood, FLOOD_MS)]
    {
        let at = length.mul_f64(rng.random_range(0.0..0.6));
        let lasts = Duration::from_millis(rng.random_range(lasts));
        steps.push(Step { number: steps.len(), at, lasts, fault });
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ REVIEW_SEED);
    for kind in 0..3 {
        for _ in 0..rng.random_range(REVIEW_STEPS) {
            let at = length.mul_f64(rng.random_range(0.0..1.0));
            let lasts = Duration::from_millis(rng.random_range(300..4000));
            let server = rng.random_range(0..servers);
            let fault = match kind {
                0 => Fault::Foreign { content: rng.random_range(0..FOREIGN_CONTENTS) },
                1 => Fault::Remove { server, node: rng.random_range(0..nodes) },
                _ => Fault::Cut { server, bytes: rng.random_range(CUT_BYTES) },
            };
            steps.push(Step { number: steps.len(), at, lasts, fault });
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn fault(rng: &mut ChaCha8Rng, nodes: usize, servers: usize) -> Fault {
    let node = rng.random_range(0..nodes);
    let server = rng.random_range(0..servers);
    match rng.random_range(0..21) {
        0 | 1 => Fault::Freeze { node },
        2 | 3 => Fault::Kill { node },
        4 => Fault::KillAll,
        5 | 6 => Fault::Stop { node },
        7 => Fault::Reload { node },
        8 | 9 => Fault::StoreLink { node, mode: mode(rng) },
        10 => Fault::Store { behavior: store_behavior(rng) },
        11 | 12 => Fault::Return { age: Duration::from_millis(rng.random_range(500..8000)) },
        13 => Fault::Compact,
        14 => Fault::ServerLink { server, mode: mode(rng) },
        15 => Fault::Drain { server },
        16 => Fault::Depart { server },
        17 => Fault::Crash { server },
        20 => Fault::TurnAway { service: rng.random_range(0..SERVICES.len()) },
        18 => Fault::Versions { count: rng.random_range(2..8) },
        _ => Fault::Server { server, behavior: server_behavior(rng) },
    }
}

fn mode(rng: &mut ChaCha8Rng) -> Mode {
    match rng.random_range(0..4) {
        0 => Mode::Delayed(Duration::from_millis(rng.random_range(5..200))),
        1 => Mode::Silent,
        2 => Mode::OneWay,
        _ => Mode::Reset,
    }
}

fn store_behavior(rng: &mut ChaCha8Rng) -> store::Behavior {
    match rng.random_range(0..3) {
        0 => store::Behavior::Unavailable,
        1 => store::Behavior::Hangs,
        _ => store::Behavior::ResetsConnections,
    }
}

fn server_behavior(rng: &mut ChaCha8Rng) -> instance::Behavior {
    match rng.random_range(0..7) {
        0 => instance::Behavior::Slow(Duration::from_millis(rng.random_range(50..600))),
        1 => instance::Behavior::Refuses,
        2 => instance::Behavior::ResetsAfterRun,
        3 => instance::Behavior::WrongRequestId,
        4 => instance::Behavior::ServerError,
        5 => instance::Behavior::MissingStamp,
        _ => instance::Behavior::TurnsAway(TURN_AWAY_HEADER),
    }
}
