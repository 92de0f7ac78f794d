//! The entry's metrics. Labels: organisation, pool, class, revision, arm and outcome, each with a
//! bounded number of values.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use sillpin_core::{ArmName, OrgId, Outcome, PoolId, PriorityClass, Revision, Tokens};
use sillpin_telemetry::metrics::{LabelSet, TIME_BOUNDS};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Label values of a request.
#[derive(Debug, Clone)]
pub struct Labels {
    /// Its organisation.
    pub org: OrgId,
    /// Its pool.
    pub pool: PoolId,
    /// Its priority class.
    pub class: PriorityClass,
    /// Revision of the bundle.
    pub revision: Revision,
    /// The arm.
    pub arm: ArmName,
}

/// Origin of the prompt tokens of a completed request.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromptWork {
    /// Tokens that were computed.
    pub computed: Tokens,
    /// Tokens found in the engine's cache.
    pub cached: Tokens,
    /// Tokens fetched from stores.
    pub imported: Tokens,
    /// Bytes fetched from stores.
    pub link_bytes: u64,
}

/// The entry's metrics; clones share the instruments.
#[derive(Clone)]
pub struct EntryMetrics {
    requests: Counter<u64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    tokens: Counter<u64>,
    link_bytes: Counter<u64>,
    orgs: Arc<Mutex<LabelSet>>,
}

impl EntryMetrics {
    /// Creates the instruments.
    pub fn new(meter: &Meter) -> Self {
        let seconds_histogram = |name| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            histogram.with_boundaries(TIME_BOUNDS.to_vec()).build()
        };
        Self {
            requests: meter.u64_counter("sillpin_requests").build(),
            first_token: seconds_histogram("sillpin_first_token"),
            between_tokens: seconds_histogram("sillpin_between_tokens"),
            tokens: meter.u64_counter("sillpin_prompt_tokens").build(),
            link_bytes: meter.u64_counter("sillpin_link_bytes").build(),
            orgs: Arc::default(),
        }
    }

    fn key_values(&self, labels: &Labels) -> Vec<KeyValue> {
        let mut orgs = self.orgs.lock().unwrap_or_else(|e| e.into_inner());
        let org = orgs.bound(labels.org.as_str()).to_owned();
        vec![
            KeyValue::new("organisation", org),
            KeyValue::new("pool", labels.pool.to_string()),
            KeyValue::new("class", labels.class.to_string()),
            KeyValue::new("revision", labels.revision.to_string()),
            KeyValue::new("arm", labels.arm.to_string()),
        ]
    }

    /// Counts a request by its outcome; `completed` if it got a complete response.
    pub fn count_request(&self, labels: &Labels, outcome: Outcome, completed: bool) {
        let mut labels = self.key_values(labels);
        labels.push(KeyValue::new("outcome", outcome.to_string()));
        labels.push(KeyValue::new("answered", completed));
        self.requests.add(1, &labels);
    }

    /// Records a time to first token.
    pub fn first_token(&self, labels: &Labels, after: Duration) {
        self.first_token
            .record(after.as_secs_f64(), &self.key_values(labels));
    }

    /// Records the mean time between the tokens of a response.
    pub fn between_tokens(&self, labels: &Labels, mean: Duration) {
        self.between_tokens
            .record(mean.as_secs_f64(), &self.key_values(labels));
    }

    /// Adds the prompt tokens and fetched bytes of a response.
    pub fn prompt_work(&self, labels: &Labels, work: PromptWork) {
        let labels = self.key_values(labels);
        let count = |origin: &'static str, tokens: Tokens| {
            let mut labels = labels.clone();
            labels.push(KeyValue::new("origin", origin));
            self.tokens.add(tokens.0, &labels);
        };
        count("computed", work.computed);
        count("cached", work.cached);
        count("imported", work.imported);
        self.link_bytes.add(work.link_bytes, &labels);
    }
}
