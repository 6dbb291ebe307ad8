//! The state machine of a graceful shutdown, which interrupts no request.
//!
//! The node first announces to all peers that it is about to shut down
//! ([`Departure::Holding`]); from then on lookups return it only if no other node
//! stays. It then asks one peer that lookups still return to grant the shutdown. A
//! node that waits for the answer to its own request, or that is leaving, refuses.
//! So when several nodes shut down together, at least one of them gets no grant and
//! remains available to lookups. After the grant the node announces that it leaves
//! ([`Departure::Going`]), waits for the longest lifetime that any peer gave a
//! lookup, closes idle connections, finishes running requests, hands its tickets to
//! a peer and exits.
//!
//! Invariants: nodes that can reach each other never all leave at once, unless one
//! has waited for [`Settings::hold_timeout`] and no other node came up; no idle
//! connection is closed before every lookup that returned this node has expired; no
//! tickets are handed over while a request runs.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::record::Departure;
use base::time::Time;
use wire::id::Incarnation;

/// Timeouts of a shutdown.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long to try to announce a change to an unreachable peer. By then the
    /// peer's own probes must have found that this node does not answer.
    pub announce_timeout: Duration,
    /// How long the last remaining node waits for another one to come up.
    pub hold_timeout: Duration,
    /// The lifetime that this node gives to lookups.
    pub lookup_ttl: Duration,
    /// How long to look for a peer that accepts the tickets.
    pub hand_over_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            announce_timeout: Duration::from_secs(8),
            hold_timeout: Duration::from_secs(10),
            lookup_ttl: Duration::from_secs(5),
            hand_over_timeout: Duration::from_secs(3),
        }
    }
}

/// The phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// No shutdown was requested.
    Serving,
    /// The shutdown is announced to peers, and one of them is asked to stay.
    Holding,
    /// The departure is announced to all peers.
    Going,
    /// Waits until lookups that returned this node have expired.
    Expiring,
    /// Running requests are finished.
    Draining,
    /// Looks for a peer that accepts the tickets.
    Handing,
    /// The process may exit.
    Done,
}

/// An action that the caller of the state machine must carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Set [`Record::leave`](crate::record::Record::leave) of the own record.
    SetDeparture(Departure),
    /// Send the own record to these peers and pass their answers to
    /// [`Shutdown::on_announced`].
    Announce(Vec<Incarnation>),
    /// Ask this peer to stay and pass its answer to [`Shutdown::on_stay_reply`].
    AskToStay(Incarnation),
    /// Close idle connections of callers.
    CloseIdle,
    /// Export the tickets and send them to this peer; pass the result to
    /// [`Shutdown::on_handed_over`].
    HandOver(Incarnation),
    /// Exit with success.
    Exit,
}

/// A peer that is up according to the member table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub departure: Departure,
    /// Whether it is alive and fresh.
    pub ready: bool,
}

/// The input of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    /// The peers that are up.
    pub peers: Vec<Peer>,
    /// The number of requests in progress.
    pub running: usize,
}

/// The state of a graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shutdown {
    own: Incarnation,
    timeouts: Timeouts,
    phase: Phase,
    phase_since: Time,
    /// The last [`Departure`] that each peer confirmed.
    announced: BTreeMap<Incarnation, Departure>,
    longest_lookup_ttl: Duration,
    /// The peer whose answer to [`Action::AskToStay`] is pending.
    asked_peer: Option<Incarnation>,
    refused_by: Vec<Incarnation>,
    signal_count: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Timeouts {
    announce_timeout: Duration,
    hold_timeout: Duration,
    hand_over_timeout: Duration,
}

impl Shutdown {
    /// Creates the state of a serving node.
    pub fn new(own: Incarnation, settings: &Settings) -> Self {
        let timeouts = Timeouts {
            announce_timeout: settings.announce_timeout,
            hold_timeout: settings.hold_timeout,
            hand_over_timeout: settings.hand_over_timeout,
        };
        Self {
            own,
            timeouts,
            phase: Phase::Serving,
            phase_since: Time::ZERO,
            announced: BTreeMap::new(),
            longest_lookup_ttl: settings.lookup_ttl,
            asked_peer: None,
            refused_by: Vec::new(),
            signal_count: 0,
        }
    }

    /// Begins the shutdown. A further signal is ignored: it must not interrupt
    /// requests that the first one lets finish.
    pub fn begin(&mut self, now: Time) -> Vec<Action> {
        self.signal_count += 1;
        if self.phase != Phase::Serving {
            log::info!(
                target: "peer",
                "shutdown signal {} ignored in phase {:?}",
                self.signal_count,
                self.phase,
            );
            return Vec::new();
        }
        self.enter(Phase::Holding, now);
        vec![Action::SetDeparture(Departure::Holding)]
    }

    /// Returns the phase of the shutdown.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether each answer to a caller should close its connection. Connections
    /// that are never idle end this way.
    pub fn closes_after_answer(&self) -> bool {
        self.phase >= Phase::Going
    }

    /// Returns the departure that the own record states in this phase.
    pub fn departure(&self) -> Departure {
        match self.phase {
            Phase::Serving => Departure::Staying,
            Phase::Holding => Departure::Holding,
            _ => Departure::Going,
        }
    }

    /// Whether this node grants another node's shutdown, by staying available to
    /// lookups itself.
    pub fn grants_stay(&self) -> bool {
        self.phase <= Phase::Holding && self.asked_peer.is_none()
    }

    /// Records the lifetime that a peer gives to lookups. It is taken from every
    /// answer to a probe, since the peer may be unreachable by the time this node
    /// shuts down.
    pub fn observe_lookup_ttl(&mut self, lookup_ttl: Duration) {
        self.longest_lookup_ttl = self.longest_lookup_ttl.max(lookup_ttl);
    }

    /// Records that `peer` confirmed this node's `departure` and never gave a
    /// lookup a longer lifetime than `longest_lookup_ttl`.
    pub fn on_announced(
        &mut self,
        peer: Incarnation,
        departure: Departure,
        longest_lookup_ttl: Duration,
    ) {
        let known = self.announced.entry(peer).or_insert(departure);
        *known = (*known).max(departure);
        self.longest_lookup_ttl = self.longest_lookup_ttl.max(longest_lookup_ttl);
    }

    /// Handles the answer to an [`Action::AskToStay`]; `granted` is also false if
    /// none came.
    pub fn on_stay_reply(&mut self, peer: Incarnation, granted: bool, now: Time) -> Vec<Action> {
        if self.asked_peer != Some(peer) || self.phase != Phase::Holding {
            return Vec::new();
        }
        self.asked_peer = None;
        if !granted {
            self.refused_by.push(peer);
            return Vec::new();
        }
        self.enter(Phase::Going, now);
        vec![Action::SetDeparture(Departure::Going)]
    }

    /// Handles the result of an [`Action::HandOver`].
    pub fn on_handed_over(&mut self, peer: Incarnation, accepted: bool, now: Time) -> Vec<Action> {
        if self.phase != Phase::Handing {
            return Vec::new();
        }
        if !accepted {
            self.refused_by.push(peer);
            return Vec::new();
        }
        self.enter(Phase::Done, now);
        vec![Action::Exit]
    }

    /// Advances the shutdown after time has passed or the view has changed.
    pub fn step(&mut self, now: Time, view: &View) -> Vec<Action> {
        match self.phase {
            Phase::Serving | Phase::Done => Vec::new(),
            Phase::Holding => self.step_holding(now, view),
            Phase::Going => self.step_going(now, view),
            Phase::Expiring => self.step_expiring(now),
            Phase::Draining => self.step_draining(now, view),
            Phase::Handing => self.step_handing(now, view),
        }
    }

    fn step_holding(&mut self, now: Time, view: &View) -> Vec<Action> {
        if self.asked_peer.is_some() {
            return Vec::new();
        }
        if now.since(self.phase_since) >= self.timeouts.hold_timeout {
            self.enter(Phase::Going, now);
            return vec![Action::SetDeparture(Departure::Going)];
        }
        let unannounced = self.unannounced(view);
        if !unannounced.is_empty() && now.since(self.phase_since) < self.timeouts.announce_timeout {
            return vec![Action::Announce(unannounced)];
        }
        let Some(peer) = self.stay_candidate(view) else {
            // Every peer that can be asked has refused, or there is none. The next
            // steps ask all of them again, since their state may have changed.
            self.refused_by.clear();
            return Vec::new();
        };
        self.asked_peer = Some(peer);
        vec![Action::AskToStay(peer)]
    }

    /// Returns a peer that confirmed the announcement and is available to lookups:
    /// one that stays, or else one in [`Departure::Holding`] whose incarnation is
    /// lower than this node's.
    fn stay_candidate(&self, view: &View) -> Option<Incarnation> {
        let stays = |peer: &&Peer| match peer.departure {
            Departure::Staying => true,
            Departure::Holding => peer.incarnation < self.own,
            Departure::Going => false,
        };
        let eligible = view
            .peers
            .iter()
            .filter(|peer| peer.ready && self.announced.contains_key(&peer.incarnation));
        let eligible = eligible.filter(|peer| !self.refused_by.contains(&peer.incarnation));
        eligible
            .filter(stays)
            .min_by_key(|peer| (peer.departure, peer.incarnation))
            .map(|peer| peer.incarnation)
    }

    fn step_going(&mut self, now: Time, view: &View) -> Vec<Action> {
        let unannounced = self.unannounced(view);
        if !unannounced.is_empty() && now.since(self.phase_since) < self.timeouts.announce_timeout {
            return vec![Action::Announce(unannounced)];
        }
        self.enter(Phase::Expiring, now);
        Vec::new()
    }

    fn step_expiring(&mut self, now: Time) -> Vec<Action> {
        if now.since(self.phase_since) < self.longest_lookup_ttl {
            return Vec::new();
        }
        self.enter(Phase::Draining, now);
        vec![Action::CloseIdle]
    }

    fn step_draining(&mut self, now: Time, view: &View) -> Vec<Action> {
        if view.running > 0 {
            return vec![Action::CloseIdle];
        }
        self.enter(Phase::Handing, now);
        self.step_handing(now, view)
    }

    fn step_handing(&mut self, now: Time, view: &View) -> Vec<Action> {
        let eligible = view.peers.iter().filter(|peer| peer.departure != Departure::Going);
        let eligible = eligible.filter(|peer| !self.refused_by.contains(&peer.incarnation));
        let best = eligible.min_by_key(|peer| (!peer.ready, peer.departure, peer.incarnation));
        let timed_out = now.since(self.phase_since) >= self.timeouts.hand_over_timeout;
        match best {
            Some(peer) if !timed_out => vec![Action::HandOver(peer.incarnation)],
            None if !timed_out && !self.refused_by.is_empty() => {
                self.refused_by.clear();
                Vec::new()
            }
            _ => {
                self.enter(Phase::Done, now);
                vec![Action::Exit]
            }
        }
    }

    fn unannounced(&self, view: &View) -> Vec<Incarnation> {
        let departure = self.departure();
        let is_announced = |peer: &Peer| {
            self.announced.get(&peer.incarnation).is_some_and(|known| *known >= departure)
        };
        view.peers.iter().filter(|peer| !is_announced(peer)).map(|peer| peer.incarnation).collect()
    }

    fn enter(&mut self, phase: Phase, now: Time) {
        log::info!(target: "peer", "shutdown phase: {phase:?}");
        self.phase = phase;
        self.phase_since = now;
        self.asked_peer = None;
        self.refused_by.clear();
    }
}

impl fmt::Display for Shutdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} since {}, announced to {} peers",
            self.phase,
            self.phase_since,
            self.announced.len()
        )
    }
}
