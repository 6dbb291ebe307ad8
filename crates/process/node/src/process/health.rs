//! Asks every upstream server for its health, one round a second.
//!
//! Invariant: what the health endpoint says is advice; it lags and misleads, so
//! the table weighs it against what the node sees itself.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;

use crate::process::state::Process;
use pool::request::Target;

/// The time between two rounds.
const EVERY: Duration = Duration::from_secs(1);
/// How long one answer is waited for.
const LIMIT: Duration = Duration::from_millis(500);
/// The servers that are asked at the same time.
const AT_ONCE: usize = 32;

/// Asks until the process ends; at once after each change of the catalog.
pub async fn run(process: Arc<Process>) {
    loop {
        let changed = process.changed.notified();
        round(&process).await;
        tokio::select! {
            () = process.end.cancelled() => return,
            () = changed => {}
            () = tokio::time::sleep(EVERY) => {}
        }
    }
}

async fn round(process: &Arc<Process>) {
    let asks = process.upstreams.targets().into_iter().map(|target| ask(process, target));
    stream::iter(asks).buffer_unordered(AT_ONCE).collect::<()>().await;
}

async fn ask(process: &Arc<Process>, target: Target) {
    let answer = process.pool.health(&target, LIMIT).await;
    let now = process.clock.now();
    process.upstreams.learn(|table| match &answer {
        Ok(health) => table.update_health(now, target.server, health),
        // A full line at this node says nothing about the server.
        Err(error) if !error.is_fault() => Vec::new(),
        Err(_) => {
            table.health_check_failed(now, target.server);
            Vec::new()
        }
    });
}
