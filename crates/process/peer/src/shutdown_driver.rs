//! Carries out a planned stop.
//!
//! Invariant: [`run`] returns only when nothing is in progress and the tickets
//! are with a peer, or no peer took them in time.

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
const STEP: Duration = Duration::from_millis(50);

/// How often a peer is told who took the tickets before it is left to the others.
const TELL_ROUNDS: usize = 3;

/// What a stop needs of the node.
pub trait Handler: Send + Sync {
    /// Requests in progress, forwarded ones included.
    fn running(&self) -> usize;

    /// Closes callers' connections that have no request in progress.
    fn close_idle(&self);

    /// Seals the tickets, those taken over included; they change no more.
    fn seal(&self) -> Vec<u8>;
}

/// Stops `mesh`'s node. A signal while it runs is given to [`Mesh::begin_shutdown`].
pub async fn run(mesh: &Mesh, host: &dyn Handler) {
    let mut actions = mesh.begin_shutdown();
    loop {
        for action in actions {
            act(mesh, host, action).await;
        }
        if mesh.shutdown_phase() == Phase::Done {
            return;
        }
        tokio::time::sleep(STEP).await;
        actions = step(mesh, host);
    }
}

fn step(mesh: &Mesh, host: &dyn Handler) -> Vec<Action> {
    let now = mesh.core.now();
    let view = View { peers: mesh.peers(), running: host.running() };
    mesh.core.stop.lock().step(now, &view)
}

async fn act(mesh: &Mesh, host: &dyn Handler, action: Action) {
    let core = &mesh.core;
    match action {
        Action::SetLeave(leave) => core.table.lock().update(|own| own.leave = leave),
        Action::Announce(peers) => {
            join_all(peers.into_iter().map(|peer| announce(mesh, peer))).await;
        }
        Action::Ask(peer) => {
            let granted = ask(mesh, peer).await;
            let follow = core.stop.lock().granted(peer, granted, core.now());
            Box::pin(act_all(mesh, host, follow)).await;
        }
        Action::CloseIdle => host.close_idle(),
        Action::HandOver(peer) => {
            let taken = mesh.hand_over(peer, host.seal()).await;
            if taken {
                tell_taker(mesh, peer).await;
            }
            core.stop.lock().handed(peer, taken, core.now());
        }
        Action::Exit => log::info!(target: "peer", "stopped"),
    }
}

async fn act_all(mesh: &Mesh, host: &dyn Handler, actions: Vec<Action>) {
    for action in actions {
        act(mesh, host, action).await;
    }
}

async fn announce(mesh: &Mesh, peer: Incarnation) {
    let core = &mesh.core;
    let Some(address) = core.peer_of(peer) else {
        return;
    };
    let message = core.probe_message(address);
    let leave = message.from.leave;
    if let Ok(ack) = core.probe_with(address, message).await
        && ack.record.incarnation == peer
    {
        let longest = Duration::from_millis(u64::from(ack.longest_keep_ms));
        core.take_ack(Some(peer), ack);
        core.stop.lock().told(peer, leave, longest);
    }
}

/// Tells every peer who took the tickets: once this node is gone, a resend
/// would otherwise be sent here until the taker's record has spread.
async fn tell_taker(mesh: &Mesh, taker: Incarnation) {
    let core = &mesh.core;
    // Its answer brings the record that names the tickets it took.
    announce(mesh, taker).await;
    let Some(record) = core.table.lock().get(taker).cloned() else {
        return;
    };
    let mut untold: Vec<Incarnation> = mesh.peers().iter().map(|peer| peer.incarnation).collect();
    untold.retain(|peer| *peer != taker);
    for _ in 0..TELL_ROUNDS {
        let record = &record;
        let tells = untold.iter().map(|peer| async move {
            let address = core.peer_of(*peer)?;
            let mut message = core.probe_message(address);
            message.rumors.push(record.clone());
            core.probe_with(address, message).await.is_err().then_some(*peer)
        });
        untold = join_all(tells).await.into_iter().flatten().collect();
        if untold.is_empty() {
            return;
        }
    }
}

async fn ask(mesh: &Mesh, peer: Incarnation) -> bool {
    let core = &mesh.core;
    let Some(address) = core.peer_of(peer) else {
        return false;
    };
    let own = core.table.lock().own().clone();
    let own = &own;
    let make = |client: crate::protocol::LinkClient, context| {
        let own = own.clone();
        async move { client.stay(context, own).await }
    };
    let limit = core.settings.member.period;
    core.connections.call(address, limit, make).await.unwrap_or(false)
}

impl Mesh {
    /// Asks this node to stop; [`run`] carries it out. Further signals are
    /// counted and change nothing.
    pub fn begin_shutdown(&self) -> Vec<Action> {
        let now = self.core.now();
        self.core.stop.lock().signal(now)
    }

    /// How far the stop is.
    pub fn shutdown_phase(&self) -> Phase {
        self.core.stop.lock().phase()
    }

    /// Whether each answer to a caller should close its connection.
    pub fn closes_after_answer(&self) -> bool {
        self.core.stop.lock().closes_after_answer()
    }

    fn peers(&self) -> Vec<Peer> {
        let table = self.core.table.lock();
        let up = table.others().filter(|record| record.is_up());
        let peers = up.map(|record| Peer {
            incarnation: record.incarnation,
            leave: record.leave,
            ready: record.fresh && record.state == State::Alive,
        });
        peers.collect()
    }
}
