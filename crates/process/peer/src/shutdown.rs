//! A planned stop that cuts off no request.
//!
//! The node first tells all peers that it is to stop ([`Departure::Holding`]), and is
//! named only if no node stays. Before it goes it asks one other node that is
//! still named to grant that; a node that itself asks or goes grants nothing. So
//! of nodes that stop together the last to ask is refused, and one stays named.
//! Then it tells all peers that it goes, waits for the longest lifetime that any
//! of them gave a lookup, closes idle connections, finishes what runs, hands its
//! tickets to a peer and exits.
//!
//! Invariants: nodes that can reach each other never all go at once, unless one
//! held for [`Settings::hold`] and no other came; no idle connection is closed
//! before every lookup that named this node has run out; nothing is handed over
//! while a request runs.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::record::Departure;
use base::time::Time;
use wire::id::Incarnation;

/// How long a stop waits for what.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long an unreachable peer is waited for. By then it must have found by
    /// its own probes that this node doesn't answer it.
    pub notice: Duration,
    /// How long the last node waits for another to be named.
    pub hold: Duration,
    /// The lifetime of this node's own lookups.
    pub lookup_ttl: Duration,
    /// How long a peer is sought that takes the tickets.
    pub hand_over: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(8),
            hold: Duration::from_secs(10),
            lookup_ttl: Duration::from_secs(5),
            hand_over: Duration::from_secs(3),
        }
    }
}

/// How far a stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// No stop was asked for.
    Serving,
    /// Peers are told, and one is asked to stay.
    Holding,
    /// All peers are told that the node goes.
    Going,
    /// Lookups that named this node run out.
    Expiring,
    /// What runs is finished.
    Draining,
    /// A peer is sought that takes the tickets.
    Handing,
    /// The process may exit.
    Done,
}

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Set the own record's field.
    SetLeave(Departure),
    /// Send the own record to these peers and give the answers to [`Shutdown::told`].
    Announce(Vec<Incarnation>),
    /// Ask this peer to stay and give the answer to [`Shutdown::granted`].
    Ask(Incarnation),
    /// Close idle connections of callers.
    CloseIdle,
    /// Seal the tickets and hand them to this peer.
    HandOver(Incarnation),
    /// Exit with success.
    Exit,
}

/// A peer that is up, as the member table has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it means to stay.
    pub leave: Departure,
    /// Whether it is alive and fresh.
    pub ready: bool,
}

/// What the machine sees at a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    /// The peers that are up.
    pub peers: Vec<Peer>,
    /// Requests in progress.
    pub running: usize,
}

/// The state of a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shutdown {
    own: Incarnation,
    settings: Timing,
    phase: Phase,
    since: Time,
    /// Peers that were told of the present [`Departure`].
    told: BTreeMap<Incarnation, Departure>,
    longest: Duration,
    /// The peer that is being asked to stay.
    asked: Option<Incarnation>,
    refused: Vec<Incarnation>,
    signals: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Timing {
    notice: Duration,
    hold: Duration,
    hand_over: Duration,
}

impl Shutdown {
    /// A node that serves.
    pub fn new(own: Incarnation, settings: &Settings) -> Self {
        let timing =
            Timing { notice: settings.notice, hold: settings.hold, hand_over: settings.hand_over };
        Self {
            own,
            settings: timing,
            phase: Phase::Serving,
            since: Time::ZERO,
            told: BTreeMap::new(),
            longest: settings.lookup_ttl,
            asked: None,
            refused: Vec::new(),
            signals: 0,
        }
    }

    /// A stop is asked for. A second signal changes nothing: it must not cut off
    /// what the first one lets finish.
    pub fn signal(&mut self, now: Time) -> Vec<Action> {
        self.signals += 1;
        if self.phase != Phase::Serving {
            log::info!(target: "peer", "signal {} ignored, {:?}", self.signals, self.phase);
            return Vec::new();
        }
        self.enter(Phase::Holding, now);
        vec![Action::SetLeave(Departure::Holding)]
    }

    /// How far the stop is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether each answer to a caller should close its connection, so that
    /// connections that are kept busy end too.
    pub fn closes_after_answer(&self) -> bool {
        self.phase >= Phase::Going
    }

    /// What the own record says in this phase.
    pub fn leave(&self) -> Departure {
        match self.phase {
            Phase::Serving => Departure::Staying,
            Phase::Holding => Departure::Holding,
            _ => Departure::Going,
        }
    }

    /// Whether this node stays named until `asker` has gone, as far as it knows.
    pub fn grants(&self) -> bool {
        self.phase <= Phase::Holding && self.asked.is_none()
    }

    /// A peer gives lookups this lifetime. Learned from every answer to a probe,
    /// since a peer may be out of reach when this node stops.
    pub fn learn_keep(&mut self, lookup_ttl: Duration) {
        self.longest = self.longest.max(lookup_ttl);
    }

    /// `peer` knows that this node's leave is `leave`, and never gave a lookup a
    /// longer lifetime than `longest`.
    pub fn told(&mut self, peer: Incarnation, leave: Departure, longest: Duration) {
        let known = self.told.entry(peer).or_insert(leave);
        *known = (*known).max(leave);
        self.longest = self.longest.max(longest);
    }

    /// The answer of an [`Action::Ask`]; false also if none came.
    pub fn granted(&mut self, peer: Incarnation, granted: bool, now: Time) -> Vec<Action> {
        if self.asked != Some(peer) || self.phase != Phase::Holding {
            return Vec::new();
        }
        self.asked = None;
        if !granted {
            self.refused.push(peer);
            return Vec::new();
        }
        self.enter(Phase::Going, now);
        vec![Action::SetLeave(Departure::Going)]
    }

    /// The answer of an [`Action::HandOver`].
    pub fn handed(&mut self, peer: Incarnation, taken: bool, now: Time) -> Vec<Action> {
        if self.phase != Phase::Handing {
            return Vec::new();
        }
        if !taken {
            self.refused.push(peer);
            return Vec::new();
        }
        self.enter(Phase::Done, now);
        vec![Action::Exit]
    }

    /// Time has passed or the view has changed.
    pub fn step(&mut self, now: Time, view: &View) -> Vec<Action> {
        match self.phase {
            Phase::Serving | Phase::Done => Vec::new(),
            Phase::Holding => self.hold(now, view),
            Phase::Going => self.go(now, view),
            Phase::Expiring => self.expire(now),
            Phase::Draining => self.drain(now, view),
            Phase::Handing => self.hand_over(now, view),
        }
    }

    fn hold(&mut self, now: Time, view: &View) -> Vec<Action> {
        if self.asked.is_some() {
            return Vec::new();
        }
        if now.since(self.since) >= self.settings.hold {
            self.enter(Phase::Going, now);
            return vec![Action::SetLeave(Departure::Going)];
        }
        let untold = self.untold(view);
        if !untold.is_empty() && now.since(self.since) < self.settings.notice {
            return vec![Action::Announce(untold)];
        }
        let Some(peer) = self.candidate(view) else {
            // Everybody refused; they may have changed their minds.
            self.refused.clear();
            return Vec::new();
        };
        self.asked = Some(peer);
        vec![Action::Ask(peer)]
    }

    /// A told peer that is named now: one that stays, or one that holds and goes
    /// before this node in the order of incarnations.
    fn candidate(&self, view: &View) -> Option<Incarnation> {
        let stays = |peer: &&Peer| match peer.leave {
            Departure::Staying => true,
            Departure::Holding => peer.incarnation < self.own,
            Departure::Going => false,
        };
        let able = view
            .peers
            .iter()
            .filter(|peer| peer.ready && self.told.contains_key(&peer.incarnation));
        let able = able.filter(|peer| !self.refused.contains(&peer.incarnation));
        able.filter(stays)
            .min_by_key(|peer| (peer.leave, peer.incarnation))
            .map(|peer| peer.incarnation)
    }

    fn go(&mut self, now: Time, view: &View) -> Vec<Action> {
        let untold = self.untold(view);
        if !untold.is_empty() && now.since(self.since) < self.settings.notice {
            return vec![Action::Announce(untold)];
        }
        self.enter(Phase::Expiring, now);
        Vec::new()
    }

    fn expire(&mut self, now: Time) -> Vec<Action> {
        if now.since(self.since) < self.longest {
            return Vec::new();
        }
        self.enter(Phase::Draining, now);
        vec![Action::CloseIdle]
    }

    fn drain(&mut self, now: Time, view: &View) -> Vec<Action> {
        if view.running > 0 {
            return vec![Action::CloseIdle];
        }
        self.enter(Phase::Handing, now);
        self.hand_over(now, view)
    }

    fn hand_over(&mut self, now: Time, view: &View) -> Vec<Action> {
        let able = view.peers.iter().filter(|peer| peer.leave != Departure::Going);
        let able = able.filter(|peer| !self.refused.contains(&peer.incarnation));
        let best = able.min_by_key(|peer| (!peer.ready, peer.leave, peer.incarnation));
        let late = now.since(self.since) >= self.settings.hand_over;
        match best {
            Some(peer) if !late => vec![Action::HandOver(peer.incarnation)],
            None if !late && !self.refused.is_empty() => {
                self.refused.clear();
                Vec::new()
            }
            _ => {
                self.enter(Phase::Done, now);
                vec![Action::Exit]
            }
        }
    }

    fn untold(&self, view: &View) -> Vec<Incarnation> {
        let leave = self.leave();
        let told =
            |peer: &Peer| self.told.get(&peer.incarnation).is_some_and(|known| *known >= leave);
        view.peers.iter().filter(|peer| !told(peer)).map(|peer| peer.incarnation).collect()
    }

    fn enter(&mut self, phase: Phase, now: Time) {
        log::info!(target: "peer", "stop: {phase:?}");
        self.phase = phase;
        self.since = now;
        self.asked = None;
        self.refused.clear();
    }
}

impl fmt::Display for Shutdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} since {}, {} told", self.phase, self.since, self.told.len())
    }
}
