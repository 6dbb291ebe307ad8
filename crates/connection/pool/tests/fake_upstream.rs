//! Tests of the pool with the fake upstream server and each of its faults.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::settings;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use base::entity::Server;
use fakes::upstream::Action;
use fakes::upstream::Fault;
use fakes::upstream::Fleet;
use fakes::upstream::Service;
use fakes::upstream::Settings;
use pool::client::AllowAll;
use pool::client::Pool;
use pool::error::Error;
use pool::error::Lost;
use pool::error::Unsent;
use pool::reply::Reply;
use pool::request::Request;
use pool::request::Target;
use pool::share;
use wire::id::Snapshot;
use wire::upstream::State;

const CAP: u32 = 25;

/// A server that has shard 0 of `search-1` at version 1.
fn server(connect_ms: u64) -> (Fleet, Target) {
    let service = Service { groups: 1, replicas: 1, connect_ms, cold_ms: 0, ..Service::default() };
    let fleet = Fleet::start(Settings { services: vec![service], ..Settings::default() }).unwrap();
    let found = fleet.maps()["search-1"].groups[0].servers[0].clone();
    let server = Server::from_u32(0);
    let target = Target { server, name: found.name, address: found.address, max_connections: CAP };
    (fleet, target)
}

fn request(number: u64) -> Request {
    Request {
        service: Arc::from("search"),
        snapshot: Snapshot { version: 1, map: Arc::from("search-1") },
        shard: 0,
        ..support::request(number)
    }
}

/// A pool that runs its maintenance task until it is dropped.
struct MaintainedPool {
    pool: Pool,
    stop: CancellationToken,
}

impl MaintainedPool {
    fn new() -> Self {
        let pool = Pool::new(settings(), Arc::new(AllowAll));
        let stop = CancellationToken::new();
        let (maintained, stopped) = (pool.clone(), stop.clone());
        tokio::spawn(async move { maintained.run(stopped).await });
        Self { pool, stop }
    }
}

impl Drop for MaintainedPool {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn is_correct(reply: &Reply, request: &Request) -> bool {
    reply.attempt_id == Some(request.attempt)
        && reply.complete
        && reply.snapshot == Some(request.snapshot.clone())
        && reply.shard == Some(0)
}

/// The result of a request after the fault `action` is injected. Checks that the
/// next request, after the fault is removed, succeeds.
async fn send_with_fault(action: Action) -> Result<Reply, Error> {
    let (fleet, target) = server(0);
    let maintained = MaintainedPool::new();
    let first = request(0);
    assert!(is_correct(&maintained.pool.send(&target, &first).await.unwrap(), &first));
    fleet.inject_fault(Fault::new("*", action)).await.unwrap();
    let result = maintained.pool.send(&target, &request(1)).await;
    fleet.inject_fault(Fault::new("*", Action::Heal)).await.unwrap();
    let next = request(2);
    let reply = maintained.pool.send(&target, &next).await.unwrap();
    assert!(is_correct(&reply, &next), "{reply:?}");
    result
}

#[tokio::test]
async fn a_swapped_reply_names_the_other_attempt() {
    let reply = send_with_fault(Action::Swap { replies: 1 }).await.unwrap();
    assert_eq!(reply.attempt_id, Some(request(0).attempt));
}

#[tokio::test]
async fn a_truncated_reply_is_not_complete() {
    assert!(!send_with_fault(Action::Cut { replies: 1 }).await.unwrap().complete);
}

#[tokio::test]
async fn a_newer_version_is_reported() {
    let reply = send_with_fault(Action::Newer { replies: 1 }).await.unwrap();
    assert_ne!(reply.snapshot, Some(request(1).snapshot));
}

#[tokio::test]
async fn an_overloaded_server_refuses() {
    let error = send_with_fault(Action::Shed { requests: 1 }).await.unwrap_err();
    assert!(matches!(error, Error::Refused { retry_after: Some(_), .. }), "{error:?}");
}

#[tokio::test]
async fn a_lost_reply_is_unknown() {
    assert_eq!(
        send_with_fault(Action::Lose { replies: 1 }).await.unwrap_err(),
        Error::Unknown(Lost::Broken)
    );
}

#[tokio::test]
async fn a_silent_connection_is_closed() {
    assert_eq!(send_with_fault(Action::Silent).await.unwrap_err(), Error::Unknown(Lost::Silent));
}

#[tokio::test]
async fn a_half_open_connection_is_closed() {
    assert_eq!(send_with_fault(Action::Drop).await.unwrap_err(), Error::Unknown(Lost::Silent));
}

#[tokio::test]
async fn a_late_reply_is_discarded_after_its_deadline() {
    let (fleet, target) = server(0);
    let maintained = MaintainedPool::new();
    fleet.inject_fault(Fault::new("*", Action::Late { ms: 400, replies: Some(1) })).await.unwrap();
    let late = Request { timeout: Duration::from_millis(200), ..request(1) };
    // The deadline ends the wait, or the connection is considered silent before that.
    let error = maintained.pool.send(&target, &late).await.unwrap_err();
    assert!(matches!(error, Error::Unknown(Lost::Deadline | Lost::Silent)), "{error:?}");
    for number in 2..6 {
        let next = request(number);
        assert!(is_correct(&maintained.pool.send(&target, &next).await.unwrap(), &next));
    }
}

#[tokio::test]
async fn a_draining_server_refuses_and_a_killed_one_is_unreachable() {
    let (fleet, target) = server(0);
    let maintained = MaintainedPool::new();
    let ready = maintained.pool.send(&target, &request(0)).await.unwrap();
    fleet.inject_fault(Fault::new("*", Action::Drain)).await.unwrap();
    let error = maintained.pool.send(&target, &request(1)).await.unwrap_err();
    let Error::Refused { report, .. } = error else { panic!("{error:?}") };
    assert_eq!(report.state, Some(State::Draining));
    fleet.inject_fault(Fault::new("*", Action::Kill)).await.unwrap();
    let mut number = 2;
    while maintained.pool.send(&target, &request(number)).await
        != Err(Error::NotSent(Unsent::ConnectFailed))
    {
        number += 1;
        assert!(number < 100, "connections to a killed server are still used");
    }
    fleet.inject_fault(Fault::new("*", Action::Restart)).await.unwrap();
    let again = maintained.pool.send(&target, &request(number + 1)).await.unwrap();
    assert_ne!(again.report.incarnation, ready.report.incarnation);
}

#[tokio::test]
async fn health_requests_reuse_connections() {
    let (fleet, target) = server(0);
    let maintained = MaintainedPool::new();
    let limit = Duration::from_secs(20);
    for _ in 0..10 {
        let health = maintained.pool.health(&target, limit).await.unwrap();
        assert_eq!(health.server, target.name);
        assert_eq!(health.shard_copies.len(), 1);
    }
    let stats = &fleet.stats()[&target.name];
    let warm = u64::from(settings().max_warm);
    assert!(stats.new_connections <= warm, "{} connections", stats.new_connections);
}

/// Eight processes, two more than there are VMs, as during a replacement of VMs. Each
/// has a different member count, and every third request is cancelled early.
#[tokio::test]
async fn eight_processes_together_stay_within_the_cap() {
    const REQUESTS_PER_NODE: u64 = 60;
    let (fleet, target) = server(6);
    let mut sends = JoinSet::new();
    for node in 0..8 {
        let fleet = share::Fleet { vms: 6, reserve: 2 };
        let pool = Pool::new(pool::settings::Settings { fleet, ..settings() }, Arc::new(AllowAll));
        pool.set_member_count(node % 9);
        for number in 0..REQUESTS_PER_NODE {
            let (pool, target) = (pool.clone(), target.clone());
            sends.spawn(async move {
                let request = request(u64::from(node) * REQUESTS_PER_NODE + number);
                let limit = Duration::from_millis(if number % 3 == 0 { 20 } else { 60_000 });
                let _ = tokio::time::timeout(limit, pool.send(&target, &request)).await;
            });
        }
    }
    while sends.join_next().await.is_some() {}
    let stats = &fleet.stats()[&target.name];
    assert_eq!(stats.over_cap, 0);
    assert!(
        stats.peak_connections <= u64::from(CAP),
        "{} connections at once",
        stats.peak_connections
    );
    assert!(
        stats.peak_connections >= 20,
        "only {} at once, too few to test the cap",
        stats.peak_connections
    );
}
