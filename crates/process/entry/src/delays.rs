//! The longest delays from a change in the registry to its effect on a node, and of a start, each
//! as the sum of the waits that one chain of calls consists of. No I/O.
//!
//! Invariant: each bound that the settings state is checked here against the sum of all waits
//! that must keep to it. A wait that is added to a chain is added to its sum.

use std::time::Duration;

use crate::registry;
use crate::relay;
use crate::settings::Settings;
use crate::source::Timing;
use crate::watcher;

/// The time that a call to the registry or to another node takes besides its wait, while neither
/// is disturbed: connecting, the network between regions, and the work of a small VM.
const CALL_TIME: Duration = Duration::from_millis(100);

/// The time from when a server's removal is due until the last request that was sent before has
/// arrived there: the timer of a busy or small VM is late.
const REMOVAL_TIME: Duration = Duration::from_millis(400);

/// How a node gets the registry's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It watches the registry.
    Watcher,
    /// It follows the watchers of its data centre, all of which answer.
    Follower,
    /// The same, and the watcher that it asks first is frozen.
    FollowerOfFrozen,
    /// It follows watchers that have lost the registry.
    FollowerOfIsolated,
}

impl Role {
    /// All roles. A node that stands by watches or follows as one that serves does.
    pub const ALL: [Self; 4] =
        [Self::Watcher, Self::Follower, Self::FollowerOfFrozen, Self::FollowerOfIsolated];
}

/// How long a server is used at most after the registry last confirmed its entry, so that the last
/// request arrives within `departure_bound`.
pub fn removal_limit(departure_bound: Duration) -> Duration {
    departure_bound.saturating_sub(REMOVAL_TIME)
}

/// The time from a change until a node knows it.
pub fn notice(timing: &Timing, role: Role) -> Duration {
    let watcher = watcher::BATCH_DELAY + CALL_TIME;
    match role {
        Role::Watcher => watcher,
        // The watcher whose poll is in progress may have lost the registry.
        Role::Follower => watcher + timing.poll_wait + CALL_TIME,
        Role::FollowerOfFrozen => {
            watcher + timing.poll_wait + relay::POLL_TIMEOUT + relay::FAILURE_DELAY + CALL_TIME
        }
        Role::FollowerOfIsolated => timing.latest_own_call() + CALL_TIME,
    }
}

/// The time from the removal of a server's entry until the last request arrives there.
pub fn departure(settings: &Settings, role: Role) -> Duration {
    drain(settings, role).max(settings.fleet.removal_limit + REMOVAL_TIME)
}

/// The time from a server's entry as leaving until the last request arrives there.
pub fn drain(settings: &Settings, role: Role) -> Duration {
    // Nothing is kept for a server that says that it leaves.
    notice(&settings.timing, role) + CALL_TIME
}

/// The time from the start of a process until it has all state, though the first calls time out.
pub fn recovery() -> Duration {
    let first_call = watcher::FIRST_NODE_LIST_TIMEOUT
        + watcher::STATE_WAIT
        + watcher::STATE_CHECK_INTERVAL
        + registry::CALL_TIMEOUT;
    let from_nodes = relay::POLL_TIMEOUT * relay::MAX_PEERS_ASKED as u32;
    first_call + from_nodes + watcher::MAX_BACKOFF + CALL_TIME
}

/// A bound that a sum of waits exceeds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{chain} takes up to {sum:?} ({role:?}); the bound is {bound:?}")]
pub struct Excess {
    /// What the waits are for.
    pub chain: &'static str,
    /// The role of the node.
    pub role: Role,
    /// The sum of the waits.
    pub sum: Duration,
    /// The bound.
    pub bound: Duration,
}

/// All bounds of the settings that a sum of waits exceeds.
pub fn verify(settings: &Settings) -> Vec<Excess> {
    let mut excesses = Vec::new();
    for role in Role::ALL {
        let mut check = |chain, sum, bound| {
            if sum > bound {
                excesses.push(Excess { chain, role, sum, bound });
            }
        };
        check("the removal of a server", departure(settings, role), settings.departure_bound);
        check("the departure of a server", drain(settings, role), settings.departure_bound);
        let change = notice(&settings.timing, role) + CALL_TIME;
        check("a version of the configuration", change, settings.apply_bound);
        if let Some(bound) = settings.evacuation_bound {
            check("an evacuation", change, bound);
        }
    }
    excesses
}
