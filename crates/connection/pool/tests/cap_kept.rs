//! Checks that the connections never exceed the share, and that the shares of all
//! processes never exceed the cap.

mod support;

use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use support::Behavior;
use support::Stub;
use support::pool;
use support::request;
use tokio::task::JoinSet;

use pool::server::ConnectionId;
use pool::server::Connections;
use pool::server::State;
use pool::server::WaiterId;
use pool::share::Fleet;

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        cases: 512,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// The processes have different member counts, from zero to more than exist.
    #[test]
    fn shares_sum_to_at_most_the_cap(
        cap in 1u32..200,
        vms in 1u32..40,
        reserve in 0u32..10,
        member_counts in proptest::collection::vec(0u32..60, 50),
    ) {
        let fleet = Fleet { vms, reserve };
        let processes = (vms + reserve) as usize;
        let sum: u32 = member_counts.iter().cycle().take(processes).map(|members| fleet.share(cap, *members)).sum();
        assert!(sum <= cap, "{sum} connections, cap {cap}");
    }

    /// Random operations on the connections of one server. Each pair selects an
    /// operation and a connection.
    #[test]
    fn connections_stay_within_the_share(
        share in 1u32..6,
        steps in proptest::collection::vec((0u8..9, 0usize..8), 1..200),
    ) {
        let mut connections: Connections<u64, ()> = Connections::new(share, 8);
        let mut in_use: Vec<ConnectionId> = Vec::new();
        let mut closed: Vec<ConnectionId> = Vec::new();
        let mut waiters: Vec<WaiterId> = Vec::new();
        for (step, pick) in steps {
            let chosen = (!in_use.is_empty()).then(|| pick % in_use.len().max(1));
            match (step, chosen) {
                (0, _) => in_use.extend(connections.start_connect(share)),
                (1, _) => in_use.extend(connections.take_newest_idle().map(|(id, _)| id)),
                (2, _) => in_use.extend(connections.take_oldest_idle().map(|(id, _)| id)),
                (3, _) => waiters.extend(connections.enqueue(())),
                (4, Some(index)) => {
                    let id = in_use[index];
                    if connections.pop_waiter_for(id).is_none() {
                        in_use.remove(index);
                        if connections.put_idle(id, id.0).is_some() {
                            closed.push(id);
                        }
                    }
                }
                (5, Some(index)) => {
                    let id = in_use.remove(index);
                    connections.mark_closing(id);
                    closed.push(id);
                }
                (6, _) if !closed.is_empty() => {
                    let index = pick % closed.len();
                    connections.remove(closed.remove(index));
                }
                (7, _) => {
                    if let Some(waiter) = waiters.pop() {
                        connections.dequeue(waiter);
                    }
                }
                _ => closed.extend(connections.resize(share).into_iter().map(ConnectionId)),
            }
            // Counted independently: a closed connection counts towards the share until
            // it is removed.
            let idle = connections.count(State::Idle) as usize;
            let open = in_use.len() + closed.len() + idle;
            assert!(open <= share as usize, "{open} of {share}: {connections}");
        }
    }
}

/// Half of many requests are cancelled after they are sent. The number of
/// connections open at the server must never exceed the share.
#[tokio::test]
async fn cancelled_requests_do_not_exceed_the_share() {
    const SHARE: u32 = 3;
    let stub = Stub::new(|_, attempt| {
        // The second part of an attempt id is the request number.
        let number = attempt.split('-').nth(1).and_then(|hex| u64::from_str_radix(hex, 16).ok());
        if number.is_some_and(|number| number % 2 == 0) { Behavior::Hang } else { Behavior::Answer }
    })
    .await;
    let (pool, target) = (pool(), stub.target(SHARE));
    let mut sends = JoinSet::new();
    for number in 0..40 {
        let (pool, target) = (pool.clone(), target.clone());
        sends.spawn(async move {
            let request = request(number);
            let limit = if number % 2 == 0 { 100 } else { 60_000 };
            let limit = std::time::Duration::from_millis(limit);
            (number, tokio::time::timeout(limit, pool.send(&target, &request)).await)
        });
    }
    while let Some(sent) = sends.join_next().await {
        let (number, outcome) = sent.unwrap();
        match number % 2 {
            0 => assert!(outcome.is_err(), "request {number} was answered"),
            _ => assert!(outcome.unwrap().is_ok(), "request {number} failed"),
        }
    }
    let observed = stub.observed.borrow().clone();
    assert!(observed.peak_open <= SHARE, "{} open at once", observed.peak_open);
    assert!(observed.accepted > SHARE, "cancelled connections must be replaced");
}
