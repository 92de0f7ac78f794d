//! OpenTelemetry metrics, exported in the Prometheus format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::collections::HashSet;

/// Maximum number of distinct values of a label; further ones are replaced by [`OTHER`].
pub const MAX_LABEL_VALUES: usize = 1_000;

/// Replaces label values beyond [`MAX_LABEL_VALUES`].
pub const OTHER: &str = "other";

/// Bucket bounds of duration histograms, in seconds.
pub const TIME_BOUNDS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.071, 0.1, 0.15, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0,
    10.0, 30.0,
];

/// Metrics of a program.
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Creates the metrics of `program` on `box_id`.
    pub fn new(program: &'static str, box_id: &str) -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let resource = Resource::builder()
            .with_service_name(program)
            .with_attribute(KeyValue::new("box", box_id.to_owned()))
            .build();
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_resource(resource)
            .build();
        Ok(Self { provider, registry })
    }

    /// Returns a meter, which creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("sillpin")
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn page(&self) -> Vec<u8> {
        let mut page = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut page);
        page
    }
}

/// Limits the number of distinct values of a label to [`MAX_LABEL_VALUES`].
#[derive(Debug, Default)]
pub struct LabelSet {
    seen: HashSet<String>,
}

impl LabelSet {
    /// Returns `value`, or [`OTHER`] if the limit was reached before `value` first occurred.
    pub fn bound<'a>(&mut self, value: &'a str) -> &'a str {
        if self.seen.contains(value) {
            return value;
        }
        if self.seen.len() >= MAX_LABEL_VALUES {
            return OTHER;
        }
        self.seen.insert(value.to_owned());
        value
    }
}
