//! Carries out the actions of a graceful shutdown.
//!
//! Invariant: [`run`] returns only when no request is in progress and a peer has
//! accepted the tickets, or no peer accepted them in time.

use std::time::Duration;

use futures::future::join_all;

use crate::mesh::Mesh;
use crate::record::State;
use crate::shutdown::Action;
use crate::shutdown::Peer;
use crate::shutdown::Phase;
use crate::shutdown::View;
use wire::id::Incarnation;

/// The time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// How many times a peer is at most probed with the record of the node that took the
/// tickets. A peer that did not answer by then receives the record by gossip.
const TAKER_ANNOUNCE_ROUNDS: usize = 3;

/// The services that a shutdown requires of the node.
pub trait Handler: Send + Sync {
    /// Returns the number of requests in progress, forwarded ones included.
    fn running(&self) -> usize;

    /// Closes callers' connections that have no request in progress.
    fn close_idle(&self);

    /// Exports the tickets, including those taken over from other nodes. They must
    /// not change afterwards.
    fn export_tickets(&self) -> Vec<u8>;
}

/// Shuts the node of `mesh` down. Further signals are passed to
/// [`Mesh::begin_shutdown`].
pub async fn run(mesh: &Mesh, handler: &dyn Handler) {
    let mut actions = mesh.begin_shutdown();
    loop {
        for action in actions {
            execute(mesh, handler, action).await;
        }
        if mesh.shutdown_phase() == Phase::Done {
            return;
        }
        tokio::time::sleep(STEP_INTERVAL).await;
        actions = step(mesh, handler);
    }
}

fn step(mesh: &Mesh, handler: &dyn Handler) -> Vec<Action> {
    let now = mesh.core.now();
    let view = View { peers: mesh.peers(), running: handler.running() };
    mesh.core.shutdown.lock().step(now, &view)
}

async fn execute(mesh: &Mesh, handler: &dyn Handler, action: Action) {
    let core = &mesh.core;
    match action {
        Action::SetDeparture(departure) => core.table.lock().update(|own| own.leave = departure),
        Action::Announce(peers) => {
            join_all(peers.into_iter().map(|peer| announce(mesh, peer))).await;
        }
        Action::AskToStay(peer) => {
            let granted = ask_to_stay(mesh, peer).await;
            let next = core.shutdown.lock().on_stay_reply(peer, granted, core.now());
            Box::pin(execute_all(mesh, handler, next)).await;
        }
        Action::CloseIdle => handler.close_idle(),
        Action::HandOver(peer) => {
            let accepted = mesh.hand_over(peer, handler.export_tickets()).await;
            if accepted {
                announce_taker(mesh, peer).await;
            }
            core.shutdown.lock().on_handed_over(peer, accepted, core.now());
        }
        Action::Exit => log::info!(target: "peer", "shutdown complete"),
    }
}

async fn execute_all(mesh: &Mesh, handler: &dyn Handler, actions: Vec<Action>) {
    for action in actions {
        execute(mesh, handler, action).await;
    }
}

async fn announce(mesh: &Mesh, peer: Incarnation) {
    let core = &mesh.core;
    let Some(address) = core.address_of(peer) else {
        return;
    };
    let message = core.probe_message(address);
    let departure = message.from.leave;
    if let Ok(ack) = core.send_probe(address, message).await
        && ack.record.incarnation == peer
    {
        let lookup_ttl = Duration::from_millis(u64::from(ack.longest_lookup_ttl_ms));
        core.on_ack(Some(peer), ack);
        core.shutdown.lock().on_announced(peer, departure, lookup_ttl);
    }
}

/// Sends the taker's record to every peer. Otherwise resent requests would be
/// forwarded to this node after its exit, until the record has spread by gossip.
async fn announce_taker(mesh: &Mesh, taker: Incarnation) {
    let core = &mesh.core;
    // The answer contains the record that lists the minters taken over.
    announce(mesh, taker).await;
    let Some(record) = core.table.lock().get(taker).cloned() else {
        return;
    };
    let mut unreached: Vec<Incarnation> =
        mesh.peers().iter().map(|peer| peer.incarnation).collect();
    unreached.retain(|peer| *peer != taker);
    for _ in 0..TAKER_ANNOUNCE_ROUNDS {
        let record = &record;
        let probes = unreached.iter().map(|peer| async move {
            let address = core.address_of(*peer)?;
            let mut message = core.probe_message(address);
            message.rumors.push(record.clone());
            core.send_probe(address, message).await.is_err().then_some(*peer)
        });
        unreached = join_all(probes).await.into_iter().flatten().collect();
        if unreached.is_empty() {
            return;
        }
    }
}

async fn ask_to_stay(mesh: &Mesh, peer: Incarnation) -> bool {
    let core = &mesh.core;
    let Some(address) = core.address_of(peer) else {
        return false;
    };
    let own = core.table.lock().own().clone();
    let own = &own;
    let send = |client: crate::protocol::LinkClient, context| {
        let own = own.clone();
        async move { client.stay(context, own).await }
    };
    let timeout = core.settings.member.probe_interval;
    core.connections.call(address, timeout, send).await.unwrap_or(false)
}

impl Mesh {
    /// Begins the shutdown of this node, which [`run`] carries out. Further calls
    /// are counted and have no other effect.
    pub fn begin_shutdown(&self) -> Vec<Action> {
        let now = self.core.now();
        self.core.shutdown.lock().begin(now)
    }

    /// Returns the phase of the shutdown.
    pub fn shutdown_phase(&self) -> Phase {
        self.core.shutdown.lock().phase()
    }

    /// Whether each answer to a caller should close its connection.
    pub fn closes_after_answer(&self) -> bool {
        self.core.shutdown.lock().closes_after_answer()
    }

    fn peers(&self) -> Vec<Peer> {
        let table = self.core.table.lock();
        let up = table.others().filter(|record| record.is_up());
        let peers = up.map(|record| Peer {
            incarnation: record.incarnation,
            departure: record.leave,
            ready: record.fresh && record.state == State::Alive,
        });
        peers.collect()
    }
}
