//! The pool against the stand-in server and each of its faults.

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
use pool::client::Open;
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

/// One server that holds shard 0 of `search-1` at version 1.
fn server(connect_ms: u64) -> (Fleet, Target) {
    let service = Service { groups: 1, replicas: 1, connect_ms, cold_ms: 0, ..Service::default() };
    let fleet = Fleet::start(Settings { services: vec![service], ..Settings::default() }).unwrap();
    let found = fleet.maps()["search-1"].groups[0].servers[0].clone();
    let server = Server::from_u32(0);
    let target = Target { server, name: found.name, address: found.address, connections: CAP };
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

/// A pool whose connections are looked after while it lives.
struct Kept {
    pool: Pool,
    stop: CancellationToken,
}

impl Kept {
    fn new() -> Self {
        let pool = Pool::new(settings(), Arc::new(Open));
        let stop = CancellationToken::new();
        let (looking, end) = (pool.clone(), stop.clone());
        tokio::spawn(async move { looking.run(end).await });
        Self { pool, stop }
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn is_whole(reply: &Reply, request: &Request) -> bool {
    reply.echo == Some(request.attempt)
        && reply.complete
        && reply.snapshot == Some(request.snapshot.clone())
        && reply.shard == Some(0)
}

/// What a request meets after an action, and whether the next one is whole.
async fn met(action: Action) -> Result<Reply, Error> {
    let (fleet, target) = server(0);
    let kept = Kept::new();
    let first = request(0);
    assert!(is_whole(&kept.pool.send(&target, &first).await.unwrap(), &first));
    fleet.put_fault(Fault::new("*", action)).await.unwrap();
    let met = kept.pool.send(&target, &request(1)).await;
    fleet.put_fault(Fault::new("*", Action::Heal)).await.unwrap();
    let next = request(2);
    let reply = kept.pool.send(&target, &next).await.unwrap();
    assert!(is_whole(&reply, &next), "{reply:?}");
    met
}

#[tokio::test]
async fn a_swapped_reply_names_the_other_attempt() {
    let reply = met(Action::Swap { replies: 1 }).await.unwrap();
    assert_eq!(reply.echo, Some(request(0).attempt));
}

#[tokio::test]
async fn a_cut_reply_is_not_complete() {
    assert!(!met(Action::Cut { replies: 1 }).await.unwrap().complete);
}

#[tokio::test]
async fn a_newer_version_shows() {
    let reply = met(Action::Newer { replies: 1 }).await.unwrap();
    assert_ne!(reply.snapshot, Some(request(1).snapshot));
}

#[tokio::test]
async fn a_shed_request_is_refused() {
    let error = met(Action::Shed { requests: 1 }).await.unwrap_err();
    assert!(matches!(error, Error::Refused { retry_after: Some(_), .. }), "{error:?}");
}

#[tokio::test]
async fn a_lost_reply_is_unknown() {
    assert_eq!(met(Action::Lose { replies: 1 }).await.unwrap_err(), Error::Unknown(Lost::Broken));
}

#[tokio::test]
async fn a_silent_connection_is_closed() {
    assert_eq!(met(Action::Silent).await.unwrap_err(), Error::Unknown(Lost::Silent));
}

#[tokio::test]
async fn a_forgotten_connection_is_closed() {
    assert_eq!(met(Action::Drop).await.unwrap_err(), Error::Unknown(Lost::Silent));
}

#[tokio::test]
async fn a_late_reply_reaches_nobody_after_its_deadline() {
    let (fleet, target) = server(0);
    let kept = Kept::new();
    fleet.put_fault(Fault::new("*", Action::Late { ms: 400, replies: Some(1) })).await.unwrap();
    let late = Request { deadline: Duration::from_millis(200), ..request(1) };
    // The deadline ends the wait, or the connection is taken for silent first.
    let error = kept.pool.send(&target, &late).await.unwrap_err();
    assert!(matches!(error, Error::Unknown(Lost::Deadline | Lost::Silent)), "{error:?}");
    for number in 2..6 {
        let next = request(number);
        assert!(is_whole(&kept.pool.send(&target, &next).await.unwrap(), &next));
    }
}

#[tokio::test]
async fn a_draining_server_says_so_and_a_killed_one_gets_nothing() {
    let (fleet, target) = server(0);
    let kept = Kept::new();
    let ready = kept.pool.send(&target, &request(0)).await.unwrap();
    fleet.put_fault(Fault::new("*", Action::Drain)).await.unwrap();
    let error = kept.pool.send(&target, &request(1)).await.unwrap_err();
    let Error::Refused { report, .. } = error else { panic!("{error:?}") };
    assert_eq!(report.state, Some(State::Draining));
    fleet.put_fault(Fault::new("*", Action::Kill)).await.unwrap();
    let mut number = 2;
    while kept.pool.send(&target, &request(number)).await
        != Err(Error::NotSent(Unsent::ConnectFailed))
    {
        number += 1;
        assert!(number < 100, "connections of a killed server are still used");
    }
    fleet.put_fault(Fault::new("*", Action::Restart)).await.unwrap();
    let again = kept.pool.send(&target, &request(number + 1)).await.unwrap();
    assert_ne!(again.report.incarnation, ready.report.incarnation);
}

#[tokio::test]
async fn health_goes_over_the_same_connections() {
    let (fleet, target) = server(0);
    let kept = Kept::new();
    let limit = Duration::from_secs(20);
    for _ in 0..10 {
        let health = kept.pool.health(&target, limit).await.unwrap();
        assert_eq!(health.server, target.name);
        assert_eq!(health.holds.len(), 1);
    }
    let stats = &fleet.stats()[&target.name];
    let warm = u64::from(settings().most_warm);
    assert!(stats.new_connections <= warm, "{} connections", stats.new_connections);
}

/// Eight processes, two more than there are VMs, as while VMs are replaced; each
/// sees other members, and every third request is given up.
#[tokio::test]
async fn eight_processes_together_stay_within_the_cap() {
    const EACH: u64 = 60;
    let (fleet, target) = server(6);
    let mut sends = JoinSet::new();
    for node in 0..8 {
        let fleet = share::Fleet { vms: 6, reserve: 2 };
        let pool = Pool::new(pool::settings::Settings { fleet, ..settings() }, Arc::new(Open));
        pool.set_member_count(node % 9);
        for number in 0..EACH {
            let (pool, target) = (pool.clone(), target.clone());
            sends.spawn(async move {
                let request = request(u64::from(node) * EACH + number);
                let limit = Duration::from_millis(if number % 3 == 0 { 20 } else { 60_000 });
                let _ = tokio::time::timeout(limit, pool.send(&target, &request)).await;
            });
        }
    }
    while sends.join_next().await.is_some() {}
    let stats = &fleet.stats()[&target.name];
    assert_eq!(stats.over_cap, 0);
    assert!(stats.peak_connections <= u64::from(CAP), "{} at once", stats.peak_connections);
    assert!(stats.peak_connections >= 20, "{}: the cap was in reach", stats.peak_connections);
}
