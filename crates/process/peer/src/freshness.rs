//! Whether a node may claim to hold the configuration in force.
//!
//! Invariant: a node is fresh only after it received the platform's whole state as
//! of some revision, or, while the platform is down, after it compared all objects
//! with every peer that it can reach, at least one of which was fresh. So the node
//! ends up with the highest reachable revision of each object, whichever peer
//! answers first.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use base::time::Time;
use wire::id::Incarnation;

/// Limits for becoming fresh from peers while the platform is down.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long to wait for the platform's state, after a start or a pause, before
    /// peers are relied on instead.
    pub outage_threshold: Duration,
    /// How long to wait after that for peers that do not answer.
    pub peer_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { outage_threshold: Duration::from_secs(2), peer_timeout: Duration::from_secs(5) }
    }
}

/// The outcome of the comparison with a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum Comparison {
    No,
    WithFresh,
    WithStale,
    Failed,
}

/// Tracks whether a node is fresh.
#[derive(Clone, Debug)]
pub struct Freshness {
    settings: Settings,
    started: Time,
    platform_reached: bool,
    synced: bool,
    needs_recheck: bool,
    peers: BTreeMap<Incarnation, Comparison>,
}

impl Freshness {
    /// Creates the state of a node that started, or resumed after a pause, at
    /// `now`.
    pub fn new(settings: Settings, now: Time) -> Self {
        Self {
            settings,
            started: now,
            platform_reached: false,
            synced: false,
            needs_recheck: false,
            peers: BTreeMap::new(),
        }
    }

    /// Records that the platform's whole state was received.
    pub fn on_platform_synced(&mut self) {
        self.platform_reached = true;
        self.synced = true;
        self.needs_recheck = false;
    }

    /// Records that the node may have missed recent changes. It is fresh again once
    /// it has compared with one peer that has been fresh, or has synchronized with
    /// the platform.
    pub fn require_recheck(&mut self) {
        self.needs_recheck = true;
        self.peers.clear();
    }

    /// Whether the node has been fresh since it started or last resumed. It may
    /// have missed recent changes since.
    pub fn was_fresh(&self) -> bool {
        self.synced
    }

    /// Sets the peers that are up. Each new one must be compared with, too.
    pub fn set_peers(&mut self, up: &[Incarnation]) {
        // Without peers no node can have newer changes.
        self.needs_recheck &= !up.is_empty();
        self.peers.retain(|peer, _| up.contains(peer));
        for peer in up {
            self.peers.entry(*peer).or_insert(Comparison::No);
        }
    }

    /// Returns the peers to compare with next. Peers that were not compared with
    /// yet come first, so that a stale or silent peer does not delay the others.
    pub fn due(&self) -> Vec<Incarnation> {
        let with = |wanted: &[Comparison]| -> Vec<Incarnation> {
            let due = self.peers.iter().filter(|(_, compared)| wanted.contains(compared));
            due.map(|(peer, _)| *peer).collect()
        };
        let first = with(&[Comparison::No]);
        if first.is_empty() { with(&[Comparison::Failed, Comparison::WithStale]) } else { first }
    }

    /// Records that all objects were compared with `peer` and its newer ones were
    /// taken.
    pub fn on_compared(&mut self, peer: Incarnation, peer_is_fresh: bool) {
        let compared = if peer_is_fresh { Comparison::WithFresh } else { Comparison::WithStale };
        self.needs_recheck &= !peer_is_fresh;
        self.peers.insert(peer, compared);
    }

    /// Records that the comparison with `peer` failed.
    pub fn on_compare_failed(&mut self, peer: Incarnation) {
        self.peers.insert(peer, Comparison::Failed);
    }

    /// Whether the node is fresh at `now`.
    pub fn is_fresh(&mut self, now: Time) -> bool {
        if !self.synced {
            self.synced = self.peers_suffice(now);
        }
        self.synced && !self.needs_recheck
    }

    fn peers_suffice(&self, now: Time) -> bool {
        let waited = now.since(self.started);
        if self.platform_reached || waited < self.settings.outage_threshold {
            return false;
        }
        let within_timeout = waited < self.settings.outage_threshold + self.settings.peer_timeout;
        let pending = self.peers.values().any(|compared| match compared {
            Comparison::No => true,
            Comparison::Failed => within_timeout,
            Comparison::WithFresh | Comparison::WithStale => false,
        });
        let fresh = self.peers.values().any(|compared| *compared == Comparison::WithFresh);
        fresh && !pending
    }
}

impl fmt::Display for Freshness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let source = if self.platform_reached { "platform" } else { "peers" };
        write!(f, "fresh={} from {source}, {} to compare", self.synced, self.due().len())
    }
}
