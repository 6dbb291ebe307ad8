//! A leaving upstream server gets no new work from any node, whatever lagging
//! reports say.

mod support;

use std::sync::Arc;

use support::World;
use support::query;
use support::service;

use fakes::upstream::Action;
use fakes::wait::eventually;
use wire::platform::Lifecycle;
use wire::platform::Vm;
use wire::platform::Vms;

/// The server that leaves.
const SERVER: &str = "search-1-1";

/// A deployment in which the server gets work.
async fn start() -> World {
    let world = World::start(3, service()).await;
    eventually("the server gets work", async || {
        load(&world, 1..2).await;
        world.stats(SERVER).begun > 0
    })
    .await;
    world
}

/// Whole answers through every node.
async fn load(world: &World, numbers: std::ops::Range<u64>) {
    for number in numbers {
        for node in &world.nodes {
            assert_eq!(node.honest(&query(number), 3).await.covered, [0, 1, 2]);
        }
    }
}

/// Waits until every node knows that the server leaves; only the first node has
/// traffic meanwhile.
async fn known_to_leave(world: &World) {
    eventually("all nodes know that it leaves", async || {
        world.nodes[0].honest(&query(1), 3).await;
        let mut known = true;
        for node in &world.nodes {
            known &= node.upstream(SERVER).await["leaving"] == true;
        }
        known
    })
    .await;
}

/// A marked server gets no more work; a new incarnation does.
async fn sticks_until_restart(world: &World) {
    let before = world.stats(SERVER);
    load(world, 200..230).await;
    let after = world.stats(SERVER);
    assert_eq!((after.sends, after.last_send_ms), (before.sends, before.last_send_ms));
    assert_eq!(after.last_work_ms, before.last_work_ms);
    world.fault(SERVER, Action::Restart).await;
    eventually("the new incarnation gets work", async || {
        load(world, 2..3).await;
        world.stats(SERVER).begun > before.begun
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_server_gets_no_new_work() {
    let world = start().await;
    world.fault(SERVER, Action::Drain).await;
    known_to_leave(&world).await;
    sticks_until_restart(&world).await;
}

/// The platform lists the server as leaving, and then an older list comes; its
/// health endpoint says all the time that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn misleading_reports_do_not_bring_it_back() {
    let world = start().await;
    list(&world, Lifecycle::Leaving).await;
    known_to_leave(&world).await;
    list(&world, Lifecycle::Live).await;
    // As many reads as there are nodes: each reads the list every few seconds.
    let asked = world.platform.stats().vms;
    eventually("the later list is read", async || {
        world.platform.stats().vms >= asked + world.nodes.len() as u64
    })
    .await;
    sticks_until_restart(&world).await;
}

async fn list(world: &World, life: Lifecycle) {
    let group = world.map().groups.remove(1);
    let server = group.servers.into_iter().find(|server| &*server.name == SERVER);
    let server = server.expect("it is in the map");
    let vm = Vm {
        name: server.name,
        address: Arc::from(server.address.to_string()),
        data_centre: server.data_centre,
        role: Arc::from("search"),
        life,
    };
    world.list(&Vms { vms: vec![vm] }).await;
}
