//! Measures a return of the store from a copy.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use tokio::time::sleep;

use crate::Settings;
use crate::caller;
use crate::system::Node;
use crate::system::System;
use fakes::http;

/// The time before the first return, in which the nodes find each other and start to serve.
const SETTLING: Duration = Duration::from_secs(15);
/// The number of returns.
const RETURNS: usize = 3;
/// How old the copy is.
const AGE: Duration = Duration::from_secs(5);
/// The time after a return over which calls are counted.
const COUNTED: Duration = Duration::from_secs(10);
/// The interval between checks of a node.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Prints the time to the median and to the last node, and the calls of all nodes.
pub(crate) async fn measure(settings: &Settings) {
    let system = crate::start(settings, &settings.folder).await;
    sleep(SETTLING).await;
    let calm = calls(&system).await;
    for number in 0..RETURNS {
        system.write_next_version();
        sleep(AGE - Duration::from_secs(1)).await;
        system.write_next_version();
        sleep(Duration::from_secs(1)).await;
        let before = system.store_calls();
        let Some((version, confirmed)) = system.return_at_once(AGE) else { continue };
        let waits = system.nodes().iter().map(|node| wait_for(node, version, confirmed));
        let mut times = join_all(waits).await;
        times.sort();
        sleep(COUNTED.saturating_sub(confirmed.elapsed())).await;
        println!(
            "{} nodes, return {number}: in force after {} ms (median) and {} ms (last); {} calls \
             in {} s, {calm} without a return",
            times.len(),
            times[times.len() / 2].as_millis(),
            times[times.len() - 1].as_millis(),
            system.store_calls() - before,
            COUNTED.as_secs(),
        );
    }
    system.end().await;
}

async fn calls(system: &Arc<System>) -> u64 {
    let before = system.store_calls();
    sleep(COUNTED).await;
    system.store_calls() - before
}

/// How long after `confirmed` a node serves the route of a version.
async fn wait_for(node: &Node, version: u64, confirmed: Instant) -> Duration {
    loop {
        let request = caller::request("0", "GET", &format!("/v-{version}/x"));
        if http::send(node.address, request).await.is_ok_and(|reply| reply.status() == 200) {
            return confirmed.elapsed();
        }
        sleep(CHECK_INTERVAL).await;
    }
}
