//! Connections never pass the share, and the shares never pass the cap.

mod support;

use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use support::Act;
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

    /// Each process sees other members, from only itself to more than there are.
    #[test]
    fn shares_sum_to_the_cap_at_most(
        cap in 1u32..200,
        vms in 1u32..40,
        reserve in 0u32..10,
        seen in proptest::collection::vec(0u32..60, 50),
    ) {
        let fleet = Fleet { vms, reserve };
        let processes = (vms + reserve) as usize;
        let sum: u32 = seen.iter().cycle().take(processes).map(|seen| fleet.share(cap, *seen)).sum();
        assert!(sum <= cap, "{sum} connections, cap {cap}");
    }

    /// Random steps of one lane; each number picks a step and a connection.
    #[test]
    fn places_stay_within_the_share(
        share in 1u32..6,
        steps in proptest::collection::vec((0u8..9, 0usize..8), 1..200),
    ) {
        let mut lane: Connections<u64, ()> = Connections::new(share, 8);
        let mut held: Vec<ConnectionId> = Vec::new();
        let mut closed: Vec<ConnectionId> = Vec::new();
        let mut waiters: Vec<WaiterId> = Vec::new();
        for (step, pick) in steps {
            let one = (!held.is_empty()).then(|| pick % held.len().max(1));
            match (step, one) {
                (0, _) => held.extend(lane.start_connect(share)),
                (1, _) => held.extend(lane.take_newest_idle().map(|(id, _)| id)),
                (2, _) => held.extend(lane.oldest().map(|(id, _)| id)),
                (3, _) => waiters.extend(lane.enqueue(())),
                (4, Some(index)) => {
                    let id = held[index];
                    if lane.pop_waiter_for(id).is_none() {
                        held.remove(index);
                        if lane.put_idle(id, id.0).is_some() {
                            closed.push(id);
                        }
                    }
                }
                (5, Some(index)) => {
                    let id = held.remove(index);
                    lane.close(id);
                    closed.push(id);
                }
                (6, _) if !closed.is_empty() => {
                    let index = pick % closed.len();
                    lane.remove(closed.remove(index));
                }
                (7, _) => {
                    if let Some(waiter) = waiters.pop() {
                        lane.dequeue(waiter);
                    }
                }
                _ => closed.extend(lane.resize(share).into_iter().map(ConnectionId)),
            }
            // Counted here and not by the lane: a closed connection keeps its
            // place until it is freed.
            let idle = lane.count(State::Idle) as usize;
            let open = held.len() + closed.len() + idle;
            assert!(open <= share as usize, "{open} of {share}: {lane}");
        }
    }
}

/// Many requests, half of them given up after the send: what the server has
/// open at once never passes the share.
#[tokio::test]
async fn cancelled_requests_do_not_pass_the_share() {
    const SHARE: u32 = 3;
    let stub = Stub::new(|_, attempt| {
        // Attempt ids end in the request and the attempt number.
        let number = attempt.split('-').nth(1).and_then(|hex| u64::from_str_radix(hex, 16).ok());
        if number.is_some_and(|number| number % 2 == 0) { Act::Hold } else { Act::Answer }
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
            0 => assert!(outcome.is_err(), "{number} was never answered"),
            _ => assert!(outcome.unwrap().is_ok(), "{number}"),
        }
    }
    let seen = stub.seen.borrow().clone();
    assert!(seen.peak <= SHARE, "{} open at once", seen.peak);
    assert!(seen.accepted > SHARE, "cancelled connections were replaced");
}
