//! The state that the background tasks, the server and the mesh share.
//!
//! Invariant: each state machine has its own lock; none is held across an await,
//! and no two of them are held at the same time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connect::CallError;
use crate::connect::Connections;
use crate::freshness::Freshness;
use crate::gossip;
use crate::member;
use crate::member::Table;
use crate::mesh::Settings;
use crate::meter::Meter;
use crate::protocol::Ack;
use crate::protocol::Handler;
use crate::protocol::LinkClient;
use crate::protocol::Probe;
use crate::protocol::Update;
use crate::shutdown::Shutdown;
use base::time::Time;
use wire::id::Incarnation;

/// The shared state of one node.
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) start: Instant,
    pub(crate) table: Mutex<Table>,
    pub(crate) gossip: Mutex<gossip::State>,
    pub(crate) freshness: Mutex<Freshness>,
    pub(crate) shutdown: Mutex<Shutdown>,
    pub(crate) pending_update: Mutex<Update>,
    pub(crate) update_ready: Notify,
    pub(crate) join_hints: Mutex<Vec<SocketAddr>>,
    pub(crate) random: Mutex<ChaCha8Rng>,
    pub(crate) meter: Arc<Meter>,
    pub(crate) connections: Connections,
}

impl Core {
    pub(crate) fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Merges an update, passes new items to the handler and queues them to be pushed
    /// to peers.
    pub(crate) fn merge_update(&self, update: Update) {
        let now = self.now();
        let (objects, withdrawals) = {
            let mut gossip = self.gossip.lock();
            (
                gossip.merge_objects(update.objects),
                gossip.merge_withdrawals(update.withdrawals, now),
            )
        };
        if objects.is_empty() && withdrawals.is_empty() {
            return;
        }
        if !objects.is_empty() {
            self.handler.on_objects(objects.clone());
        }
        if !withdrawals.is_empty() {
            self.handler.on_withdrawals(withdrawals.clone());
        }
        let mut pending = self.pending_update.lock();
        pending.objects.extend(objects);
        pending.withdrawals.extend(withdrawals);
        drop(pending);
        self.update_ready.notify_one();
    }

    /// Ticks the member table. This precedes probes, their answers and lists of
    /// members, so that a node that was paused does not first claim in them to be
    /// fresh.
    pub(crate) fn tick(&self) {
        let now = self.now();
        let outcome = self.table.lock().tick(now);
        log_changes(&outcome.changes);
        if outcome.resumed {
            log::warn!(target: "peer", "this process was paused; joining again");
            *self.freshness.lock() = Freshness::new(self.settings.freshness.clone(), now);
        } else if outcome.suspected {
            log::info!(
                target: "peer",
                "other nodes may have suspected this one; comparing with peers",
            );
            self.freshness.lock().require_recheck();
        }
    }

    /// Returns the message to probe `peer` with.
    pub(crate) fn probe_message(&self, peer: SocketAddr) -> Probe {
        self.tick();
        let mut table = self.table.lock();
        let rumors = table.rumors();
        Probe { from: table.own().clone(), suspicions: table.suspicions(peer), rumors }
    }

    pub(crate) fn answer_probe(&self, probe: Probe) -> Ack {
        self.tick();
        let now = self.now();
        let longest_lookup_ttl_ms =
            u32::try_from(self.settings.shutdown.lookup_ttl.as_millis()).unwrap_or(u32::MAX);
        let mut table = self.table.lock();
        table.merge(probe.suspicions, now);
        let peer = probe.from.peer;
        table.merge(vec![probe.from], now);
        log_changes(&table.merge(probe.rumors, now));
        // After a partition both sides have each other as suspect or dead, so the
        // sender must refute, too.
        let mut rumors = table.suspicions(peer);
        rumors.extend(table.rumors());
        Ack { record: table.own().clone(), rumors, longest_lookup_ttl_ms }
    }

    pub(crate) async fn send_probe(
        &self,
        peer: SocketAddr,
        probe: Probe,
    ) -> Result<Ack, CallError> {
        let timeout = self.settings.member.probe_interval / 2;
        let probe = &probe;
        let send = |client: LinkClient, context| {
            let probe = probe.clone();
            async move { client.probe(context, probe).await }
        };
        self.connections.call(peer, timeout, send).await
    }

    /// Handles the answer to a probe of `expected`, or of whichever node is at the
    /// address.
    pub(crate) fn on_ack(&self, expected: Option<Incarnation>, ack: Ack) {
        let now = self.now();
        let lookup_ttl = Duration::from_millis(u64::from(ack.longest_lookup_ttl_ms));
        self.shutdown.lock().observe_lookup_ttl(lookup_ttl);
        let mut table = self.table.lock();
        let expected = expected.unwrap_or(ack.record.incarnation);
        log_changes(&table.on_ack(expected, ack.record, now));
        log_changes(&table.merge(ack.rumors, now));
    }

    pub(crate) fn address_of(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        self.table.lock().get(incarnation).map(|record| record.peer)
    }
}

pub(crate) fn log_changes(changes: &[member::Change]) {
    for change in changes {
        log::info!(target: "peer", "{change}");
    }
}
