//! The loops of a mesh: probing, joining, pushing, digests and becoming fresh.
//!
//! Invariant: each loop makes a bounded number of calls a second, whatever the
//! number of members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rand::RngExt;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::connect::Failed;
use crate::gossip;
use crate::member::INDIRECT_PROBES;
use crate::member::Target;
use crate::mesh::CALL_LIMIT;
use crate::protocol::Exchange;
use crate::protocol::LinkClient;
use crate::protocol::News;
use crate::record::State;
use crate::shared::Core;
use crate::shared::log_changes;
use conf::object::Object;
use wire::id::Incarnation;

/// The time between two looks at the clock.
const TICK: Duration = Duration::from_millis(100);
/// The time between two tries to join.
const JOIN_EVERY: Duration = Duration::from_millis(500);
/// Of so many tries, one is made also when members are known, so that parts of
/// the deployment that lost each other find together again.
const HEAL_TURNS: u32 = 10;
/// The time between two steps of becoming fresh.
const FRESH_EVERY: Duration = Duration::from_millis(250);
/// The time between two changes of the own record for load or revision.
const PULSE_EVERY: Duration = Duration::from_secs(2);
/// Of so many digests, one also compares the members.
const MEMBERS_TURNS: u32 = 10;
/// The most peers that are compared with at once.
const COMPARE_AT_ONCE: usize = 8;
/// The most messages that it takes to compare with one peer.
const EXCHANGE_TURNS: usize = 256;

/// Starts all loops.
pub(crate) fn spawn(core: &Arc<Core>, stop: &CancellationToken) {
    run(core, stop, TICK, tick);
    run(core, stop, core.settings.member.period, probe);
    run(core, stop, core.settings.digest_every, compare);
    run(core, stop, JOIN_EVERY, join);
    run(core, stop, FRESH_EVERY, freshen);
    run(core, stop, PULSE_EVERY, pulse);
    let pushing = push(core.clone());
    let stop = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = pushing => {}
        }
    });
}

fn run<F>(
    core: &Arc<Core>,
    stop: &CancellationToken,
    every: Duration,
    step: fn(Arc<Core>, u32) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let core = core.clone();
    let stop = stop.clone();
    let offset = every.mul_f64(core.random.lock().random_range(0.0..1.0));
    tokio::spawn(async move {
        let start = tokio::time::Instant::now() + offset;
        let mut interval = tokio::time::interval_at(start, every);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut turn: u32 = 0;
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = interval.tick() => {}
            }
            tokio::select! {
                () = stop.cancelled() => return,
                () = step(core.clone(), turn) => {}
            }
            turn = turn.wrapping_add(1);
        }
    });
}

async fn tick(core: Arc<Core>, _: u32) {
    core.look();
}

async fn probe(core: Arc<Core>, _: u32) {
    let Some(target) = core.table.lock().next_probe() else {
        return;
    };
    // A probe that waits must not hold up the next one.
    tokio::spawn(probe_target(core, target));
}

async fn probe_target(core: Arc<Core>, target: Target) {
    let message = core.probe_message(target.peer);
    if let Ok(ack) = core.probe_with(target.peer, message.clone()).await {
        return core.take_ack(Some(target.incarnation), ack);
    }
    let relays = core.table.lock().sample(INDIRECT_PROBES, Some(target.incarnation));
    let limit = core.settings.member.period;
    let asked = relays.into_iter().map(|relay| {
        let (core, message) = (core.clone(), message.clone());
        async move {
            let make = |client: LinkClient, context| {
                let message = message.clone();
                async move { client.relay(context, target.peer, message).await }
            };
            core.connections.call(relay.peer, limit, make).await.ok().flatten()
        }
    });
    let acks: Vec<_> = join_all(asked).await.into_iter().flatten().collect();
    if acks.is_empty() {
        let now = core.now();
        let change = core.table.lock().unreachable(target.incarnation, now);
        log_changes(change.as_slice());
    }
    for ack in acks {
        core.take_ack(Some(target.incarnation), ack);
    }
}

async fn join(core: Arc<Core>, turn: u32) {
    let alone = !core.table.lock().others().any(|record| record.is_up());
    if !alone && !turn.is_multiple_of(HEAL_TURNS) {
        return;
    }
    let places = join_places(&core);
    let chosen = if alone || places.is_empty() {
        places
    } else {
        let drawn = core.random.lock().random_range(0..places.len());
        vec![places[drawn]]
    };
    let joining = chosen.into_iter().map(|place| join_at(core.clone(), place));
    join_all(joining).await;
}

/// Peer addresses that may have a node which this one doesn't know.
fn join_places(core: &Core) -> Vec<SocketAddr> {
    let mut places = core.settings.seeds.clone();
    places.extend(core.hints.lock().iter());
    let table = core.table.lock();
    places.extend(table.known_peers());
    places.extend(table.others().filter(|r| r.state == State::Dead).map(|r| r.peer));
    places.sort_unstable();
    places.dedup();
    let up: Vec<SocketAddr> = table.all().filter(|r| r.is_up()).map(|r| r.peer).collect();
    places.retain(|place| !up.contains(place));
    places
}

async fn join_at(core: Arc<Core>, place: SocketAddr) {
    let message = core.probe_message(place);
    let Ok(ack) = core.probe_with(place, message).await else {
        return;
    };
    if ack.record.incarnation == core.settings.incarnation {
        return;
    }
    core.take_ack(None, ack);
    compare_members(&core, place).await;
}

async fn compare_members(core: &Core, peer: SocketAddr) {
    let digest = core.table.lock().digest();
    let make = |client: LinkClient, context| async move { client.members(context, digest).await };
    if let Ok(records) = core.connections.call(peer, CALL_LIMIT, make).await {
        let now = core.now();
        log_changes(&core.table.lock().merge(records, now));
    }
}

async fn push(core: Arc<Core>) {
    loop {
        core.news.notified().await;
        let news = std::mem::take(&mut *core.pending.lock());
        if news.objects.is_empty() && news.marks.is_empty() {
            continue;
        }
        let targets = core.table.lock().sample(core.settings.fanout, None);
        for target in targets {
            // A peer that hangs must not hold up the others.
            tokio::spawn(push_to(core.clone(), target.peer, news.clone()));
        }
    }
}

async fn push_to(core: Arc<Core>, peer: SocketAddr, news: News) -> Result<(), Failed> {
    let mut messages: Vec<News> = Vec::new();
    for marks in news.marks.chunks(gossip::MARKS_LIMIT) {
        messages.push(News { objects: Vec::new(), marks: marks.to_vec() });
    }
    for objects in gossip::chunks(news.objects) {
        messages.push(News { objects, marks: Vec::new() });
    }
    for message in &messages {
        let make = |client: LinkClient, context| {
            let message = message.clone();
            async move { client.push(context, message).await }
        };
        core.connections.call(peer, CALL_LIMIT, make).await?;
    }
    Ok(())
}

async fn compare(core: Arc<Core>, turn: u32) {
    let now = core.now();
    core.spread.lock().prune(now);
    let Some(target) = core.table.lock().sample(1, None).pop() else {
        return;
    };
    if turn.is_multiple_of(MEMBERS_TURNS) {
        compare_members(&core, target.peer).await;
    }
    if let Err(error) = compare_with(&core, target.peer).await {
        log::debug!(target: "peer", "digest with {}: {error}", target.peer);
    }
}

/// Takes what `peer` holds newer, and gives it what is newer here. Tells whether
/// the peer is fresh; an error also if the two could not be made equal.
async fn compare_with(core: &Arc<Core>, peer: SocketAddr) -> Result<bool, Failed> {
    for _ in 0..EXCHANGE_TURNS {
        let root = core.spread.lock().root();
        let make = |client: LinkClient, context| async move { client.digest(context, root).await };
        let digest = core.connections.call(peer, CALL_LIMIT, make).await?;
        if digest.root.marks != root.marks {
            core.receive(News { objects: Vec::new(), marks: digest.marks });
        }
        let exchange = {
            let spread = core.spread.lock();
            if digest.root.objects == root.objects {
                return Ok(digest.fresh);
            }
            let (versions, buckets) = spread.versions(&spread.differing(&digest.buckets));
            Exchange { buckets, versions }
        };
        let exchange = &exchange;
        let make = |client: LinkClient, context| {
            let exchange = exchange.clone();
            async move { client.exchange(context, exchange).await }
        };
        let exchanged = core.connections.call(peer, CALL_LIMIT, make).await?;
        core.receive(News { objects: exchanged.objects, marks: Vec::new() });
        give(core, peer, &exchanged.wanted).await?;
    }
    Err(Failed::Lost)
}

async fn give(core: &Arc<Core>, peer: SocketAddr, wanted: &[u64]) -> Result<(), Failed> {
    let keys = core.spread.lock().keys(wanted);
    let catalog = core.host.catalog();
    let objects = keys.iter().filter_map(|key| catalog.get(key));
    let objects: Vec<Object> = objects.map(|object| Object::clone(object)).collect();
    push_to(core.clone(), peer, News { objects, marks: Vec::new() }).await
}

async fn freshen(core: Arc<Core>, _: u32) {
    let up: Vec<Target> = {
        let table = core.table.lock();
        let up = table.others().filter(|record| record.is_up());
        up.map(|r| Target { incarnation: r.incarnation, peer: r.peer }).collect()
    };
    let incarnations: Vec<Incarnation> = up.iter().map(|target| target.incarnation).collect();
    let due = {
        let now = core.now();
        let mut fresh = core.fresh.lock();
        if fresh.is_fresh(now) {
            Vec::new()
        } else {
            fresh.peers(&incarnations);
            fresh.due()
        }
    };
    let due = up.into_iter().filter(|target| due.contains(&target.incarnation));
    let comparing = due.take(COMPARE_AT_ONCE).map(|target| {
        let core = core.clone();
        async move {
            let compared = compare_with(&core, target.peer).await;
            let mut fresh = core.fresh.lock();
            match compared {
                Ok(peer_is_fresh) => fresh.compared(target.incarnation, peer_is_fresh),
                Err(_) => fresh.failed(target.incarnation),
            }
        }
    });
    join_all(comparing).await;
    show_fresh(&core);
}

/// Tells peers whether this node is fresh, once that has changed.
pub(crate) fn show_fresh(core: &Core) {
    // A doubt that has come up since counts first.
    core.look();
    let fresh = core.fresh.lock().is_fresh(core.now());
    let applied = core.host.catalog().revision();
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

async fn pulse(core: Arc<Core>, _: u32) {
    let applied = core.host.catalog().revision();
    let load = core.host.load();
    core.table.lock().update(|own| {
        own.applied = applied;
        own.load = load;
    });
}
