//! Checks the health of every upstream server once a second.
//!
//! Invariant: health replies are only hints. They may be late or wrong, so the
//! server table combines them with this node's own observations.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;

use crate::process::state::Process;
use pool::request::Target;

/// The time between two rounds of checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The timeout of one check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of checks that run at the same time.
const MAX_CONCURRENT_CHECKS: usize = 32;

/// Runs checks until the process exits; a change of the catalog starts a round at
/// once.
pub async fn run(process: Arc<Process>) {
    loop {
        let catalog_changed = process.catalog_changed.notified();
        check_all(&process).await;
        tokio::select! {
            () = process.background_tasks.cancelled() => return,
            () = catalog_changed => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }
}

async fn check_all(process: &Arc<Process>) {
    let checks = process.upstreams.targets().into_iter().map(|target| check(process, target));
    stream::iter(checks).buffer_unordered(MAX_CONCURRENT_CHECKS).collect::<()>().await;
}

async fn check(process: &Arc<Process>, target: Target) {
    let result = process.pool.health(&target, CHECK_TIMEOUT).await;
    let now = process.clock.now();
    process.upstreams.update(|table| match &result {
        Ok(health) => table.update_health(now, target.server, health),
        // A full queue on this node says nothing about the server.
        Err(error) if !error.is_server_failure() => Vec::new(),
        Err(_) => {
            table.health_check_failed(now, target.server);
            Vec::new()
        }
    });
}
