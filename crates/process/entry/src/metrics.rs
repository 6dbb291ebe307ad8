//! The node's metrics, exported in Prometheus' text format.
//!
//! Label values are names of routes, outcomes and causes, and statuses, so that the
//! configuration bounds the number of time series.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::inbound;
use crate::inbound::Listener;
use crate::registry::Kind;
use crate::revision::Revision;

/// Upper bounds of the latency buckets; objectives are between 80 and 600 ms.
const LATENCY_BOUNDS_MS: [f64; 12] =
    [10.0, 20.0, 40.0, 60.0, 80.0, 120.0, 200.0, 400.0, 600.0, 1000.0, 2500.0, 5000.0];

/// The metrics of a node.
pub(crate) struct Metrics {
    registry: Registry,
    // Instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    latency: Histogram<f64>,
    connection_wait: Histogram<f64>,
    requests: Counter<u64>,
    rejected: Counter<u64>,
    missing_shards: Counter<u64>,
    attempts: Counter<u64>,
    extra_sends: Counter<u64>,
    limited_sends: Counter<u64>,
    customer_requests: Counter<u64>,
    forwards: Counter<u64>,
    dropped_replies: Counter<u64>,
    inbound_connections: Gauge<u64>,
    inbound_bytes: Gauge<u64>,
    inbound_refused: Gauge<u64>,
    ended_servers: Counter<u64>,
    blocked_requests: Gauge<u64>,
    blocks: Counter<u64>,
    registry_calls: Counter<u64>,
    peer_polls: Counter<u64>,
    reach: Gauge<u64>,
    evacuated: Gauge<u64>,
    cold_servers: Gauge<u64>,
    registry_era: Gauge<u64>,
    registry_revision: Gauge<u64>,
    config_version: Gauge<u64>,
    ignored_batches: Counter<u64>,
    unreadable: Gauge<u64>,
    usage_datagrams: Counter<u64>,
    usage_bytes: Counter<u64>,
}

impl Metrics {
    /// Metrics with all counts at zero.
    pub(crate) fn new() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("heatherseam");
        let latency = meter.f64_histogram("heatherseam_request_latency_ms");
        let connection_wait = meter.f64_histogram("heatherseam_connection_wait_ms");
        Ok(Self {
            registry,
            latency: latency.with_boundaries(LATENCY_BOUNDS_MS.to_vec()).build(),
            connection_wait: connection_wait.with_boundaries(LATENCY_BOUNDS_MS.to_vec()).build(),
            requests: meter.u64_counter("heatherseam_requests").build(),
            rejected: meter.u64_counter("heatherseam_requests_not_admitted").build(),
            missing_shards: meter.u64_counter("heatherseam_missing_shards").build(),
            attempts: meter.u64_counter("heatherseam_attempts").build(),
            extra_sends: meter.u64_counter("heatherseam_extra_sends").build(),
            dropped_replies: meter.u64_counter("heatherseam_replies_dropped").build(),
            inbound_connections: meter.u64_gauge("heatherseam_inbound_connections").build(),
            inbound_bytes: meter.u64_gauge("heatherseam_held_bytes").build(),
            inbound_refused: meter.u64_gauge("heatherseam_inbound_given_up").build(),
            blocked_requests: meter.u64_gauge("heatherseam_poison_requests").build(),
            blocks: meter.u64_counter("heatherseam_poison_changes").build(),
            ended_servers: meter.u64_counter("heatherseam_servers_ended").build(),
            forwards: meter.u64_counter("heatherseam_requests_passed_on").build(),
            limited_sends: meter.u64_counter("heatherseam_limited_sends").build(),
            customer_requests: meter.u64_counter("heatherseam_customer_requests").build(),
            peer_polls: meter.u64_counter("heatherseam_peer_polls").build(),
            registry_calls: meter.u64_counter("heatherseam_registry_calls").build(),
            cold_servers: meter.u64_gauge("heatherseam_cold_servers").build(),
            evacuated: meter.u64_gauge("heatherseam_evacuated_data_centres").build(),
            reach: meter.u64_gauge("heatherseam_services_reached_percent").build(),
            registry_era: meter.u64_gauge("heatherseam_registry_era").build(),
            registry_revision: meter.u64_gauge("heatherseam_registry_revision").build(),
            config_version: meter.u64_gauge("heatherseam_version_in_use").build(),
            ignored_batches: meter.u64_counter("heatherseam_registry_ignored").build(),
            unreadable: meter.u64_gauge("heatherseam_unreadable_entries").build(),
            usage_datagrams: meter.u64_counter("heatherseam_usage_datagrams").build(),
            usage_bytes: meter.u64_counter("heatherseam_usage_bytes").build(),
            _provider: provider,
        })
    }

    /// Counts a request of `route` that ended with `outcome` after `elapsed`.
    pub(crate) fn record_request(&self, route: &str, outcome: &'static str, elapsed: Duration) {
        let labels = [KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome)];
        self.latency.record(elapsed.as_secs_f64() * 1000.0, &labels[..1]);
        self.requests.add(1, &labels);
    }

    /// Records how long an attempt waited for a connection to its server.
    pub(crate) fn record_connection_wait(&self, wait: Duration) {
        self.connection_wait.record(wait.as_secs_f64() * 1000.0, &[]);
    }

    /// Counts a request that was rejected with `status` before it ran.
    pub(crate) fn record_rejection(&self, status: u16) {
        self.rejected.add(1, &[KeyValue::new("status", i64::from(status))]);
    }

    /// Counts a shard that is missing from an answer.
    pub(crate) fn record_missing_shard(&self, cause: &'static str) {
        self.missing_shards.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts the end of an attempt.
    pub(crate) fn record_attempt(&self, end: &'static str) {
        self.attempts.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts an extra send.
    pub(crate) fn record_extra_send(&self) {
        self.extra_sends.add(1, &[]);
    }

    /// Counts a send to a server that names a limit; `extra` if the request was sent to its
    /// service before.
    pub(crate) fn record_limited_send(&self, extra: bool) {
        self.limited_sends.add(1, &[KeyValue::new("extra", extra)]);
    }

    /// Counts a request of any customer.
    pub(crate) fn record_customer_request(&self, outcome: &'static str) {
        self.customer_requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that was passed on to another node.
    pub(crate) fn record_forward(&self, end: &'static str) {
        self.forwards.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a reply that was given up for its size or for the memory of all replies.
    pub(crate) fn record_dropped_reply(&self) {
        self.dropped_replies.add(1, &[]);
    }

    /// Records what others make this node hold; `replies` is the memory of the replies in progress.
    pub(crate) fn record_inbound(&self, ledger: &inbound::Ledger, replies: usize) {
        for listener in Listener::ALL {
            let label = [KeyValue::new("part", listener.name())];
            let connections = ledger.connections(listener);
            self.inbound_connections.record(connections.held as u64, &label);
            self.inbound_refused.record(connections.refused, &label);
        }
        let bodies = ledger.bodies();
        self.inbound_refused.record(bodies.refused, &[KeyValue::new("part", "bodies")]);
        let held = [("bodies", bodies.held), ("buffers", ledger.buffers()), ("replies", replies)];
        for (part, bytes) in held {
            self.inbound_bytes.record(bytes as u64, &[KeyValue::new("part", part)]);
        }
    }

    /// Counts a server that ended while requests ran there.
    pub(crate) fn record_ended_server(&self) {
        self.ended_servers.add(1, &[]);
    }

    /// Records the number of requests that are blocked since they end servers.
    pub(crate) fn record_blocked_requests(&self, count: usize) {
        self.blocked_requests.record(count as u64, &[]);
    }

    /// Counts a change of what is known of requests that may end servers.
    pub(crate) fn record_poison_change(&self, change: &'static str) {
        self.blocks.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a call to the registry.
    pub(crate) fn record_registry_call(&self, result: &'static str) {
        self.registry_calls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a poll of a node that watches the registry.
    pub(crate) fn record_peer_poll(&self, result: &'static str) {
        self.peer_polls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records how many of the services that were used this node reaches.
    pub(crate) fn record_reach(&self, percent: u8) {
        self.reach.record(u64::from(percent), &[]);
    }

    /// Records how many data centres are evacuated.
    pub(crate) fn record_evacuated(&self, data_centres: usize) {
        self.evacuated.record(data_centres as u64, &[]);
    }

    /// Records how many servers are cold whose services name a bound.
    pub(crate) fn record_cold(&self, servers: usize) {
        self.cold_servers.record(servers as u64, &[]);
    }

    /// Records the registry's newest era.
    pub(crate) fn record_era(&self, era: u64) {
        self.registry_era.record(era, &[]);
    }

    /// Records the revision of the state of a kind.
    pub(crate) fn record_revision(&self, kind: Kind, revision: Revision) {
        self.registry_revision.record(revision.number, &[KeyValue::new("kind", kind.name())]);
    }

    /// Records the version of the configuration in use.
    pub(crate) fn record_config_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Records the number of objects of a kind that can't be parsed.
    pub(crate) fn record_unreadable(&self, kind: Kind, count: usize) {
        self.unreadable.record(count as u64, &[KeyValue::new("kind", kind.name())]);
    }

    /// Counts a list or changes that were older than the state of their kind.
    pub(crate) fn record_ignored(&self, kind: Kind) {
        self.ignored_batches.add(1, &[KeyValue::new("kind", kind.name())]);
    }

    /// Counts datagrams with the use of customers' rates, and their bytes together.
    pub(crate) fn record_usage(&self, datagrams: usize, bytes: usize) {
        self.usage_datagrams.add(datagrams as u64, &[]);
        self.usage_bytes.add(bytes as u64, &[]);
    }

    /// All metrics in the text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(target: "node", error:% = error; "The metrics can't be encoded.");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
