//! Counters and histograms of a box.

use crate::beliefs::{FleetHandle, View};
use crate::place::Loads;
use crate::place::words::Words;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Counter, Histogram, Meter};
use sillpin_platform::call::{CallCounts, CallTotals};
use sillpin_telemetry::metrics::TIME_BOUNDS;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Datagrams and their bytes, by kind and by whether they were sent, received or dropped.
type PeerTraffic = BTreeMap<(&'static str, &'static str), (u64, u64)>;

/// The box's instruments.
#[derive(Clone)]
pub struct BoxMetrics {
    requests: Counter<u64>,
    sendings: Counter<u64>,
    parts: Counter<u64>,
    prompts: Counter<u64>,
    copies: Counter<u64>,
    copied_bytes: Counter<u64>,
    datagrams: Counter<u64>,
    datagram_bytes: Counter<u64>,
    /// The same for the log.
    peer_traffic: Arc<Mutex<PeerTraffic>>,
    first: Histogram<f64>,
    whole: Histogram<f64>,
}

impl BoxMetrics {
    /// Makes the instruments.
    pub fn new(meter: &Meter, calls: CallCounts) -> Self {
        observe_calls(meter, calls);
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let histogram = |name: &'static str, text: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(text)
                .with_unit("s")
                .with_boundaries(TIME_BOUNDS.to_vec())
                .build()
        };
        Self {
            requests: counter("sillpin_requests", "Requests of callers by outcome"),
            sendings: counter("sillpin_sendings", "Sendings to targets by outcome"),
            copies: counter("sillpin_copies", "Copies asked of boxes by outcome"),
            copied_bytes: counter("sillpin_copied_bytes", "Bytes of copies by outcome"),
            datagrams: counter("sillpin_datagrams", "Datagrams between boxes by kind"),
            datagram_bytes: counter("sillpin_datagram_bytes", "Bytes of datagrams by kind"),
            peer_traffic: Arc::default(),
            parts: counter("sillpin_prompt_tokens", "Shared prompt tokens by source"),
            prompts: counter(
                "sillpin_prompt_sendings",
                "Sendings to engines by whether newer weights were wanted",
            ),
            first: histogram("sillpin_first_seconds", "Time to the answer's head"),
            whole: histogram("sillpin_whole_seconds", "Time to the answer's end"),
        }
    }

    /// A transfer from another box ended so after so many bytes.
    pub fn copied(&self, what: &'static str, outcome: &'static str, bytes: u64) {
        let labels = [
            KeyValue::new("what", what),
            KeyValue::new("outcome", outcome),
        ];
        self.copies.add(1, &labels);
        self.copied_bytes.add(bytes, &labels);
    }

    /// So many datagrams of a kind, each of `len` bytes, were sent, received or dropped.
    pub fn datagrams(&self, kind: &'static str, what: &'static str, count: usize, len: usize) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("what", what)];
        let (count, bytes) = (count as u64, (count * len) as u64);
        self.datagrams.add(count, &labels);
        self.datagram_bytes.add(bytes, &labels);
        let mut traffic = self.peer_traffic();
        let sum = traffic.entry((kind, what)).or_default();
        sum.0 += count;
        sum.1 += bytes;
    }

    fn peer_traffic(&self) -> MutexGuard<'_, PeerTraffic> {
        self.peer_traffic.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// What this box and others told each other since its start, for the log.
    pub fn describe_peer_traffic(&self) -> String {
        let traffic = self.peer_traffic();
        let line = |((kind, what), (count, bytes)): (&(&str, &str), &(u64, u64))| {
            format!("{kind} {what}: {count} ({bytes} bytes)")
        };
        let lines: Vec<String> = traffic.iter().map(line).collect();
        lines.join(", ")
    }

    /// A request of `route` ended so.
    pub fn request(&self, route: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    /// A sending ended so.
    pub fn sending(&self, outcome: &'static str) {
        self.sendings.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// A prompt went to an engine with the newest weights, or with replaced ones.
    pub fn prompt_sending(&self, replaced: bool) {
        let weights = if replaced { "replaced" } else { "newest" };
        self.prompts.add(1, &[KeyValue::new("weights", weights)]);
    }

    /// Tokens of shared parts that came from `source`.
    pub fn prompt_tokens(&self, source: &'static str, tokens: u64) {
        self.parts.add(tokens, &[KeyValue::new("source", source)]);
    }

    /// The head of an answer came after `elapsed`.
    pub fn head(&self, elapsed: Duration) {
        self.first.record(elapsed.as_secs_f64(), &[]);
    }

    /// An answer was whole after `elapsed`.
    pub fn answered(&self, elapsed: Duration) {
        self.whole.record(elapsed.as_secs_f64(), &[]);
    }
}

/// Gauges of what keeps targets from taking all requests that they could.
pub fn observe_fleet(meter: &Meter, fleet: FleetHandle) {
    let observe = |of: fn(&View) -> usize| {
        let fleet = fleet.clone();
        move |observer: &dyn AsyncInstrument<u64>| observer.observe(of(&fleet.view()) as u64, &[])
    };
    meter
        .u64_observable_gauge("sillpin_evacuated_zones")
        .with_description("Zones that operators have evacuated")
        .with_callback(observe(|view| view.evacuations.count()))
        .build();
    meter
        .u64_observable_gauge("sillpin_cold_targets")
        .with_description("Targets that were cold when they were last heard of")
        .with_callback(observe(|view| view.cold.len()))
        .build();
}

/// Gauges of targets that say something which keeps requests from them.
pub fn observe_words(meter: &Meter, loads: Loads) {
    let observe = |of: fn(&Words) -> usize| {
        let loads = loads.clone();
        move |observer: &dyn AsyncInstrument<u64>| {
            observer.observe(loads.words(|words| of(words)) as u64, &[]);
        }
    };
    meter
        .u64_observable_gauge("sillpin_limited_targets")
        .with_description("Targets that name a limit on the requests of all boxes together")
        .with_callback(observe(|words| words.limits.count()))
        .build();
    meter
        .u64_observable_gauge("sillpin_leaving_targets")
        .with_description("Targets that told this box that they leave")
        .with_callback(observe(|words| words.leaving.count()))
        .build();
    meter
        .u64_observable_gauge("sillpin_backing_off_targets")
        .with_description("Targets that want no requests from this box for a while")
        .with_callback(observe(|words| words.backoffs.all(Instant::now()).count()))
        .build();
}

/// Counters of calls of the platform's store, and of what they brought.
fn observe_calls(meter: &Meter, calls: CallCounts) {
    let observe = |of: fn(CallTotals) -> u64| {
        let calls = calls.clone();
        move |observer: &dyn AsyncInstrument<u64>| {
            for count in calls.all() {
                let labels = [
                    KeyValue::new("step", count.step),
                    KeyValue::new("outcome", count.outcome),
                ];
                observer.observe(of(count.totals), &labels);
            }
        }
    };
    meter
        .u64_observable_counter("sillpin_store_calls")
        .with_description("Calls of the platform's store by step and outcome")
        .with_callback(observe(|totals| totals.calls))
        .build();
    meter
        .u64_observable_counter("sillpin_store_bytes")
        .with_description("Bytes of the platform's store's answers by step and outcome")
        .with_callback(observe(|totals| totals.bytes))
        .build();
}
