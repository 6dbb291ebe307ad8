//! What the loops, the server and the node share.
//!
//! Invariant: each state machine stands under its own lock; none is held over an
//! await, and none is taken while another of the same kind is held.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connect::Connections;
use crate::connect::Failed;
use crate::freshness::Fresh;
use crate::gossip;
use crate::member;
use crate::member::Table;
use crate::mesh::Settings;
use crate::meter::Meter;
use crate::protocol::Ack;
use crate::protocol::Handler;
use crate::protocol::LinkClient;
use crate::protocol::News;
use crate::protocol::Probe;
use crate::shutdown::Shutdown;
use base::time::Time;
use wire::id::Incarnation;

/// What the loops, the server and the node share.
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) host: Arc<dyn Handler>,
    pub(crate) start: Instant,
    pub(crate) table: Mutex<Table>,
    pub(crate) spread: Mutex<gossip::State>,
    pub(crate) fresh: Mutex<Fresh>,
    pub(crate) stop: Mutex<Shutdown>,
    pub(crate) pending: Mutex<News>,
    pub(crate) news: Notify,
    pub(crate) hints: Mutex<Vec<SocketAddr>>,
    pub(crate) random: Mutex<ChaCha8Rng>,
    pub(crate) meter: Arc<Meter>,
    pub(crate) connections: Connections,
}

impl Core {
    pub(crate) fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Takes what is new from anywhere, tells the host and pushes it on.
    pub(crate) fn receive(&self, news: News) {
        let now = self.now();
        let (objects, marks) = {
            let mut spread = self.spread.lock();
            (spread.admit(news.objects), spread.admit_marks(news.marks, now))
        };
        if objects.is_empty() && marks.is_empty() {
            return;
        }
        if !objects.is_empty() {
            self.host.on_objects(objects.clone());
        }
        if !marks.is_empty() {
            self.host.on_withdrawals(marks.clone());
        }
        let mut pending = self.pending.lock();
        pending.objects.extend(objects);
        pending.marks.extend(marks);
        drop(pending);
        self.news.notify_one();
    }

    /// Looks at the clock. Comes before the own record is told to anyone, so that
    /// a node that stood still does not claim to be fresh first.
    pub(crate) fn look(&self) {
        let now = self.now();
        let ticked = self.table.lock().tick(now);
        log_changes(&ticked.changes);
        if ticked.woke {
            log::warn!(target: "peer", "this process was paused, joining again");
            *self.fresh.lock() = Fresh::new(self.settings.fresh.clone(), now);
        } else if ticked.doubted {
            log::info!(target: "peer", "others may have passed this node over, comparing");
            self.fresh.lock().doubt();
        }
    }

    /// What this node says when it probes `peer`.
    pub(crate) fn probe_message(&self, peer: SocketAddr) -> Probe {
        self.look();
        let mut table = self.table.lock();
        let rumors = table.rumors();
        Probe { from: table.own().clone(), opinions: table.opinions(peer), rumors }
    }

    pub(crate) fn answer_probe(&self, probe: Probe) -> Ack {
        self.look();
        let now = self.now();
        let longest_keep_ms =
            u32::try_from(self.settings.stop.lookup_ttl.as_millis()).unwrap_or(u32::MAX);
        let mut table = self.table.lock();
        table.merge(probe.opinions, now);
        let peer = probe.from.peer;
        table.merge(vec![probe.from], now);
        log_changes(&table.merge(probe.rumors, now));
        // Both sides must refute after they lost each other.
        let mut rumors = table.opinions(peer);
        rumors.extend(table.rumors());
        Ack { record: table.own().clone(), rumors, longest_keep_ms }
    }

    pub(crate) async fn probe_with(&self, peer: SocketAddr, probe: Probe) -> Result<Ack, Failed> {
        let limit = self.settings.member.period / 2;
        let probe = &probe;
        let make = |client: LinkClient, context| {
            let probe = probe.clone();
            async move { client.probe(context, probe).await }
        };
        self.connections.call(peer, limit, make).await
    }

    /// Takes the answer of a probe of `expected`, or of whoever is there.
    pub(crate) fn take_ack(&self, expected: Option<Incarnation>, ack: Ack) {
        let now = self.now();
        let keep = Duration::from_millis(u64::from(ack.longest_keep_ms));
        self.stop.lock().learn_keep(keep);
        let mut table = self.table.lock();
        let expected = expected.unwrap_or(ack.record.incarnation);
        log_changes(&table.acked(expected, ack.record, now));
        log_changes(&table.merge(ack.rumors, now));
    }

    pub(crate) fn peer_of(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        self.table.lock().get(incarnation).map(|record| record.peer)
    }
}

pub(crate) fn log_changes(changes: &[member::Change]) {
    for change in changes {
        log::info!(target: "peer", "{change}");
    }
}
