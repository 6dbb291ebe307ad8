//! The node's metrics: OpenTelemetry instruments that are scraped as text.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency buckets, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 14] =
    [1.0, 2.0, 5.0, 10.0, 15.0, 20.0, 30.0, 50.0, 75.0, 100.0, 200.0, 500.0, 1000.0, 5000.0];

/// Every instrument of the node.
pub struct Metrics {
    registry: Registry,
    // The instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    latency: Histogram<f64>,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    shards_asked: Counter<u64>,
    shards_covered: Counter<u64>,
    upstream_sends: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments with all counts at zero.
    ///
    /// # Errors
    ///
    /// The exporter can't be registered.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("heatherseam");
        Ok(Self {
            registry,
            latency: meter
                .f64_histogram("heatherseam_request_latency_ms")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            answers: meter.u64_counter("heatherseam_answers").build(),
            refusals: meter.u64_counter("heatherseam_refusals").build(),
            shards_asked: meter.u64_counter("heatherseam_shards_asked").build(),
            shards_covered: meter.u64_counter("heatherseam_shards_covered").build(),
            upstream_sends: meter.u64_counter("heatherseam_upstream_sends").build(),
            _provider: provider,
        })
    }

    /// Counts one answer.
    pub fn record_answer(
        &self,
        service: &Arc<str>,
        latency: Duration,
        answer: &wire::caller::Answer,
    ) {
        let labels = [KeyValue::new("service", service.to_string())];
        self.latency.record(latency.as_secs_f64() * 1000.0, &labels);
        self.answers.add(1, &labels);
        self.shards_asked.add((answer.covered.len() + answer.missing.len()) as u64, &labels);
        self.shards_covered.add(answer.covered.len() as u64, &labels);
        self.upstream_sends.add(u64::from(answer.sends), &labels);
    }

    /// Counts one refusal.
    pub fn record_refusal(&self, service: &Arc<str>, refusal: &wire::caller::Refusal) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("cause", format!("{:?}", refusal.cause)),
        ];
        self.refusals.add(1, &labels);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn scrape(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(target: "node", "Metrics could not be encoded: {error}.");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
