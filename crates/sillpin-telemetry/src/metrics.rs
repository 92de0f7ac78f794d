//! Metrics by OpenTelemetry, read on a Prometheus page.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::collections::HashSet;

/// Values of one label that are kept apart; further ones count as [`OTHER`].
pub const MAX_LABEL_VALUES: usize = 1_000;

/// Stands for label values beyond the bound.
pub const OTHER: &str = "other";

/// Bounds of histograms of times, in seconds.
pub const TIME_BOUNDS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.071, 0.1, 0.15, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0,
    10.0, 30.0,
];

/// A program's metrics.
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Metrics of `program` on `box_id`.
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

    /// A meter to make instruments with.
    pub fn meter(&self) -> Meter {
        self.provider.meter("sillpin")
    }

    /// The page that Prometheus reads.
    pub fn page(&self) -> Vec<u8> {
        let mut page = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut page);
        page
    }
}

/// Keeps the values of a label within [`MAX_LABEL_VALUES`].
#[derive(Debug, Default)]
pub struct LabelSet {
    seen: HashSet<String>,
}

impl LabelSet {
    /// `value`, or [`OTHER`] when too many others were seen before it.
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
