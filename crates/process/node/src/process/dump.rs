//! The state of the process as JSON, for operators.

use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use crate::process::state::Process;

/// Returns the state of each component under its name.
pub fn state(process: &Arc<Process>) -> Value {
    let now = process.clock.now();
    let settings = &process.settings;
    let catalog = process.catalog();
    let limiters = process.limiters();
    let controllers: Vec<(Arc<str>, String)> = limiters
        .into_iter()
        .map(|(name, limiter)| (name, limiter.with(|controller| controller.to_string())))
        .collect();
    let controllers: serde_json::Map<String, Value> =
        controllers.into_iter().map(|(name, text)| (name.to_string(), text.into())).collect();
    json!({
        "node": {
            "name": settings.name,
            "incarnation": process.incarnation.to_string(),
            "data_centre": settings.data_centre,
            "region": settings.region,
            "up_ms": now.micros() / 1000,
            "fresh": process.is_synced(),
            "stopping": process.is_stopping(),
        },
        "configuration": {
            "revision": catalog.revision(),
            "objects": catalog.to_string().lines().collect::<Vec<_>>(),
        },
        "platform": {
            "silent_ms": process.platform_silence().map(|span| span.as_millis() as u64),
            "calls": process.store.counters(),
        },
        "upstreams": process.upstreams.with(|table| table.dump(now)),
        "connections": process.pool.dump().lines().collect::<Vec<_>>(),
        "gates": controllers,
        "tickets": process.tickets.with(|table| table.to_string()).lines().collect::<Vec<_>>(),
        "traces": process.traces.len(),
        "peers": process.mesh().map(|mesh| mesh.dump()),
    })
}
