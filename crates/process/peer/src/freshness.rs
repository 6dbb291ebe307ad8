//! When a node may claim to hold the configuration in force.
//!
//! Invariant: a node is fresh only after it received everything up to some point
//! from the platform, or, while the platform is down, after it compared all
//! objects with every peer that it can reach, at least one of them fresh. So the
//! highest copy of each object wins, whichever peer answers first.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use base::time::Time;
use wire::id::Incarnation;

/// When peers are taken in place of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long the platform must not have answered.
    pub outage: Duration,
    /// How long a peer that doesn't answer is waited for.
    pub patience: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { outage: Duration::from_secs(2), patience: Duration::from_secs(5) }
    }
}

/// What became of comparing with a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum Compared {
    No,
    WithFresh,
    WithStale,
    Failed,
}

/// How far a node is in becoming fresh.
#[derive(Clone, Debug)]
pub struct Fresh {
    settings: Settings,
    started: Time,
    reached: bool,
    done: bool,
    doubted: bool,
    peers: BTreeMap<Incarnation, Compared>,
}

impl Fresh {
    /// A node that starts, or wakes from a pause, at `now`.
    pub fn new(settings: Settings, now: Time) -> Self {
        Self {
            settings,
            started: now,
            reached: false,
            done: false,
            doubted: false,
            peers: BTreeMap::new(),
        }
    }

    /// Everything that the platform held was received.
    pub fn platform_synced(&mut self) {
        self.reached = true;
        self.done = true;
        self.doubted = false;
    }

    /// The node may have missed what was new lately. It is fresh again once it has
    /// compared with one peer that has been fresh, or the platform has answered.
    pub fn doubt(&mut self) {
        self.doubted = true;
        self.peers.clear();
    }

    /// Whether the node has been fresh since it started or last woke; it may have
    /// missed what was new lately.
    pub fn has_been(&self) -> bool {
        self.done
    }

    /// The peers that are up now. New ones must be compared with too.
    pub fn peers(&mut self, up: &[Incarnation]) {
        // Without peers there is nobody who may know more.
        self.doubted &= !up.is_empty();
        self.peers.retain(|peer, _| up.contains(peer));
        for peer in up {
            self.peers.entry(*peer).or_insert(Compared::No);
        }
    }

    /// The peers that are to be compared with next: first those that were not yet,
    /// so that one that is stale or silent doesn't keep the others from their turn.
    pub fn due(&self) -> Vec<Incarnation> {
        let with = |wanted: &[Compared]| -> Vec<Incarnation> {
            let due = self.peers.iter().filter(|(_, compared)| wanted.contains(compared));
            due.map(|(peer, _)| *peer).collect()
        };
        let first = with(&[Compared::No]);
        if first.is_empty() { with(&[Compared::Failed, Compared::WithStale]) } else { first }
    }

    /// All objects were compared with `peer`, and what it held higher was taken.
    pub fn compared(&mut self, peer: Incarnation, peer_is_fresh: bool) {
        let compared = if peer_is_fresh { Compared::WithFresh } else { Compared::WithStale };
        self.doubted &= !peer_is_fresh;
        self.peers.insert(peer, compared);
    }

    /// `peer` did not answer.
    pub fn failed(&mut self, peer: Incarnation) {
        self.peers.insert(peer, Compared::Failed);
    }

    /// Whether the node is fresh at `now`.
    pub fn is_fresh(&mut self, now: Time) -> bool {
        if !self.done {
            self.done = self.peers_suffice(now);
        }
        self.done && !self.doubted
    }

    fn peers_suffice(&self, now: Time) -> bool {
        let waited = now.since(self.started);
        if self.reached || waited < self.settings.outage {
            return false;
        }
        let patient = waited < self.settings.outage + self.settings.patience;
        let open = self.peers.values().any(|compared| match compared {
            Compared::No => true,
            Compared::Failed => patient,
            Compared::WithFresh | Compared::WithStale => false,
        });
        let fresh = self.peers.values().any(|compared| *compared == Compared::WithFresh);
        fresh && !open
    }
}

impl fmt::Display for Fresh {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let source = if self.reached { "platform" } else { "peers" };
        write!(f, "fresh={} from {source}, {} to compare", self.done, self.due().len())
    }
}
