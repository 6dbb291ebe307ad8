//! The background tasks of a mesh: probing, joining, pushing changes, comparing
//! digests and becoming fresh.
//!
//! Invariant: each task makes a bounded number of calls a second, whatever the
//! number of members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rand::RngExt;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::connect::CallError;
use crate::gossip;
use crate::member::INDIRECT_PROBES;
use crate::member::Target;
use crate::mesh::CALL_TIMEOUT;
use crate::protocol::Exchange;
use crate::protocol::LinkClient;
use crate::protocol::Update;
use crate::record::State;
use crate::shared::Core;
use crate::shared::log_changes;
use conf::object::Object;
use wire::id::Incarnation;

/// The time between two ticks of the member table.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two attempts to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Every n-th attempt to join is made even if members are known, so that partitions
/// of the deployment merge again.
const HEAL_EVERY_JOINS: u32 = 10;
/// The time between two steps of becoming fresh.
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two updates of load and revision in the own record.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);
/// Every n-th digest also compares the members.
const MEMBERS_EVERY_DIGESTS: u32 = 10;
/// The maximum number of concurrent comparisons with peers.
const MAX_CONCURRENT_COMPARISONS: usize = 8;
/// The maximum number of exchanges in one comparison with a peer.
const MAX_EXCHANGE_ROUNDS: usize = 256;

/// Starts all background tasks.
pub(crate) fn spawn(core: &Arc<Core>, cancel: &CancellationToken) {
    run(core, cancel, TICK_INTERVAL, tick);
    run(core, cancel, core.settings.member.probe_interval, probe);
    run(core, cancel, core.settings.digest_interval, run_digest);
    run(core, cancel, JOIN_INTERVAL, join);
    run(core, cancel, FRESHNESS_INTERVAL, sync_with_peers);
    run(core, cancel, STATUS_INTERVAL, update_status);
    let push_loop = push_pending(core.clone());
    let cancel = cancel.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = push_loop => {}
        }
    });
}

fn run<F>(
    core: &Arc<Core>,
    cancel: &CancellationToken,
    every: Duration,
    step: fn(Arc<Core>, u32) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let core = core.clone();
    let cancel = cancel.clone();
    let offset = every.mul_f64(core.random.lock().random_range(0.0..1.0));
    tokio::spawn(async move {
        let start = tokio::time::Instant::now() + offset;
        let mut interval = tokio::time::interval_at(start, every);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut round: u32 = 0;
        loop {
            tokio::select! {
                () = cancel.cancelled() => return,
                _ = interval.tick() => {}
            }
            tokio::select! {
                () = cancel.cancelled() => return,
                () = step(core.clone(), round) => {}
            }
            round = round.wrapping_add(1);
        }
    });
}

async fn tick(core: Arc<Core>, _: u32) {
    core.tick();
}

async fn probe(core: Arc<Core>, _: u32) {
    let Some(target) = core.table.lock().next_probe() else {
        return;
    };
    // A probe that waits for its answer must not delay the next one.
    tokio::spawn(probe_target(core, target));
}

async fn probe_target(core: Arc<Core>, target: Target) {
    let message = core.probe_message(target.peer);
    if let Ok(ack) = core.send_probe(target.peer, message.clone()).await {
        return core.on_ack(Some(target.incarnation), ack);
    }
    let relays = core.table.lock().sample(INDIRECT_PROBES, Some(target.incarnation));
    let timeout = core.settings.member.probe_interval;
    let asked = relays.into_iter().map(|relay| {
        let (core, message) = (core.clone(), message.clone());
        async move {
            let send = |client: LinkClient, context| {
                let message = message.clone();
                async move { client.relay(context, target.peer, message).await }
            };
            core.connections.call(relay.peer, timeout, send).await.ok().flatten()
        }
    });
    let acks: Vec<_> = join_all(asked).await.into_iter().flatten().collect();
    if acks.is_empty() {
        let now = core.now();
        let change = core.table.lock().on_probe_failed(target.incarnation, now);
        log_changes(change.as_slice());
    }
    for ack in acks {
        core.on_ack(Some(target.incarnation), ack);
    }
}

async fn join(core: Arc<Core>, round: u32) {
    let is_alone = !core.table.lock().others().any(|record| record.is_up());
    if !is_alone && !round.is_multiple_of(HEAL_EVERY_JOINS) {
        return;
    }
    let candidates = join_candidates(&core);
    let chosen = if is_alone || candidates.is_empty() {
        candidates
    } else {
        let index = core.random.lock().random_range(0..candidates.len());
        vec![candidates[index]]
    };
    let joining = chosen.into_iter().map(|candidate| join_at(core.clone(), candidate));
    join_all(joining).await;
}

/// Returns peer addresses at which there may be a node that is not known to be up.
fn join_candidates(core: &Core) -> Vec<SocketAddr> {
    let mut candidates = core.settings.seeds.clone();
    candidates.extend(core.join_hints.lock().iter());
    let table = core.table.lock();
    candidates.extend(table.peers_before_pause());
    candidates.extend(table.others().filter(|r| r.state == State::Dead).map(|r| r.peer));
    candidates.sort_unstable();
    candidates.dedup();
    let up: Vec<SocketAddr> = table.all().filter(|r| r.is_up()).map(|r| r.peer).collect();
    candidates.retain(|candidate| !up.contains(candidate));
    candidates
}

async fn join_at(core: Arc<Core>, candidate: SocketAddr) {
    let message = core.probe_message(candidate);
    let Ok(ack) = core.send_probe(candidate, message).await else {
        return;
    };
    if ack.record.incarnation == core.settings.incarnation {
        return;
    }
    core.on_ack(None, ack);
    sync_members(&core, candidate).await;
}

async fn sync_members(core: &Core, peer: SocketAddr) {
    let digest = core.table.lock().digest();
    let send = |client: LinkClient, context| async move { client.members(context, digest).await };
    if let Ok(records) = core.connections.call(peer, CALL_TIMEOUT, send).await {
        let now = core.now();
        log_changes(&core.table.lock().merge(records, now));
    }
}

async fn push_pending(core: Arc<Core>) {
    loop {
        core.update_ready.notified().await;
        let update = std::mem::take(&mut *core.pending_update.lock());
        if update.objects.is_empty() && update.withdrawals.is_empty() {
            continue;
        }
        let targets = core.table.lock().sample(core.settings.fanout, None);
        for target in targets {
            // A peer that does not answer must not delay the others.
            tokio::spawn(push_to(core.clone(), target.peer, update.clone()));
        }
    }
}

async fn push_to(core: Arc<Core>, peer: SocketAddr, update: Update) -> Result<(), CallError> {
    let mut messages: Vec<Update> = Vec::new();
    for withdrawals in update.withdrawals.chunks(gossip::MAX_WITHDRAWALS) {
        messages.push(Update { objects: Vec::new(), withdrawals: withdrawals.to_vec() });
    }
    for objects in gossip::chunks(update.objects) {
        messages.push(Update { objects, withdrawals: Vec::new() });
    }
    for message in &messages {
        let send = |client: LinkClient, context| {
            let message = message.clone();
            async move { client.push(context, message).await }
        };
        core.connections.call(peer, CALL_TIMEOUT, send).await?;
    }
    Ok(())
}

async fn run_digest(core: Arc<Core>, round: u32) {
    let now = core.now();
    core.gossip.lock().prune(now);
    let Some(target) = core.table.lock().sample(1, None).pop() else {
        return;
    };
    if round.is_multiple_of(MEMBERS_EVERY_DIGESTS) {
        sync_members(&core, target.peer).await;
    }
    if let Err(error) = reconcile(&core, target.peer).await {
        log::debug!(target: "peer", "digest exchange with {} failed: {error}", target.peer);
    }
}

/// Takes the objects that are newer on `peer` and sends those that are newer here.
/// Returns whether the peer has been fresh. Also fails if the two nodes still
/// differ after the last exchange.
async fn reconcile(core: &Arc<Core>, peer: SocketAddr) -> Result<bool, CallError> {
    for _ in 0..MAX_EXCHANGE_ROUNDS {
        let root = core.gossip.lock().root();
        let send = |client: LinkClient, context| async move { client.digest(context, root).await };
        let digest = core.connections.call(peer, CALL_TIMEOUT, send).await?;
        if digest.root.withdrawals != root.withdrawals {
            core.merge_update(Update { objects: Vec::new(), withdrawals: digest.withdrawals });
        }
        let exchange = {
            let gossip = core.gossip.lock();
            if digest.root.objects == root.objects {
                return Ok(digest.fresh);
            }
            let (versions, buckets) = gossip.versions(&gossip.differing_buckets(&digest.buckets));
            Exchange { buckets, versions }
        };
        let exchange = &exchange;
        let send = |client: LinkClient, context| {
            let exchange = exchange.clone();
            async move { client.exchange(context, exchange).await }
        };
        let exchanged = core.connections.call(peer, CALL_TIMEOUT, send).await?;
        core.merge_update(Update { objects: exchanged.objects, withdrawals: Vec::new() });
        send_requested(core, peer, &exchanged.requested).await?;
    }
    Err(CallError::NoAnswer)
}

async fn send_requested(
    core: &Arc<Core>,
    peer: SocketAddr,
    requested: &[u64],
) -> Result<(), CallError> {
    let keys = core.gossip.lock().keys(requested);
    let catalog = core.handler.catalog();
    let objects = keys.iter().filter_map(|key| catalog.get(key));
    let objects: Vec<Object> = objects.map(|object| Object::clone(object)).collect();
    push_to(core.clone(), peer, Update { objects, withdrawals: Vec::new() }).await
}

async fn sync_with_peers(core: Arc<Core>, _: u32) {
    let up: Vec<Target> = {
        let table = core.table.lock();
        let up = table.others().filter(|record| record.is_up());
        up.map(|r| Target { incarnation: r.incarnation, peer: r.peer }).collect()
    };
    let incarnations: Vec<Incarnation> = up.iter().map(|target| target.incarnation).collect();
    let due = {
        let now = core.now();
        let mut fresh = core.freshness.lock();
        if fresh.is_fresh(now) {
            Vec::new()
        } else {
            fresh.set_peers(&incarnations);
            fresh.due()
        }
    };
    let due = up.into_iter().filter(|target| due.contains(&target.incarnation));
    let comparing = due.take(MAX_CONCURRENT_COMPARISONS).map(|target| {
        let core = core.clone();
        async move {
            let compared = reconcile(&core, target.peer).await;
            let mut fresh = core.freshness.lock();
            match compared {
                Ok(peer_is_fresh) => fresh.on_compared(target.incarnation, peer_is_fresh),
                Err(_) => fresh.on_compare_failed(target.incarnation),
            }
        }
    });
    join_all(comparing).await;
    publish_freshness(&core);
}

/// Updates the own record if the node has become fresh or is no longer fresh.
pub(crate) fn publish_freshness(core: &Core) {
    // The tick may find that the node has been paused and is not fresh.
    core.tick();
    let fresh = core.freshness.lock().is_fresh(core.now());
    let applied = core.handler.catalog().revision();
    let mut table = core.table.lock();
    if table.own().fresh == fresh {
        return;
    }
    log::info!(target: "peer", "fresh: {fresh}, revision {applied}");
    table.update(|own| {
        own.fresh = fresh;
        own.state = if fresh { State::Alive } else { State::Joining };
        own.applied = applied;
    });
}

async fn update_status(core: Arc<Core>, _: u32) {
    let applied = core.handler.catalog().revision();
    let load = core.handler.load();
    core.table.lock().update(|own| {
        own.applied = applied;
        own.load = load;
    });
}
