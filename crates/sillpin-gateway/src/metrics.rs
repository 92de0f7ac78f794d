//! Counters, gauges and histograms of a box.

use crate::fleet_state::{FleetHandle, View};
use crate::placement::Loads;
use crate::placement::signals::TargetSignals;
use crate::streams::StreamVersions;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Counter, Histogram, Meter};
use sillpin_http::Connections;
use sillpin_platform::call::{CallCounts, CallTotals};
use sillpin_telemetry::metrics::TIME_BOUNDS;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Number of datagrams and of their bytes, by kind and by whether they were sent, received or dropped.
type PeerTraffic = BTreeMap<(&'static str, &'static str), (u64, u64)>;

/// The box's instruments.
#[derive(Clone)]
pub struct BoxMetrics {
    requests: Counter<u64>,
    attempts: Counter<u64>,
    forwarded: Counter<u64>,
    resumptions: Counter<u64>,
    incomplete: Counter<u64>,
    stopping_ends: Counter<u64>,
    prompt_tokens: Counter<u64>,
    prompt_attempts: Counter<u64>,
    copies: Counter<u64>,
    copied_bytes: Counter<u64>,
    datagrams: Counter<u64>,
    datagram_bytes: Counter<u64>,
    /// Counts of datagrams for the log.
    peer_traffic: Arc<Mutex<PeerTraffic>>,
    time_to_head: Histogram<f64>,
    time_to_end: Histogram<f64>,
}

impl BoxMetrics {
    /// Creates the instruments.
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
            attempts: counter("sillpin_sendings", "Attempts at targets by outcome"),
            forwarded: counter(
                "sillpin_forwarded",
                "Requests sent to other boxes, since this one does not reach their targets, by outcome",
            ),
            resumptions: counter(
                "sillpin_resumptions",
                "Streams that broke off or that callers resume, by outcome",
            ),
            incomplete: counter(
                "sillpin_incomplete_responses",
                "Responses that ended before they were complete, by reason",
            ),
            stopping_ends: counter(
                "sillpin_stopping_requests",
                "Requests that ended at a box that was told to stop, by how they ended",
            ),
            copies: counter(
                "sillpin_copies",
                "State copies requested from other boxes by outcome",
            ),
            copied_bytes: counter("sillpin_copied_bytes", "Bytes of state copies by outcome"),
            datagrams: counter("sillpin_datagrams", "Datagrams between boxes by kind"),
            datagram_bytes: counter("sillpin_datagram_bytes", "Bytes of datagrams by kind"),
            peer_traffic: Arc::default(),
            prompt_tokens: counter("sillpin_prompt_tokens", "Shared prompt tokens by source"),
            prompt_attempts: counter(
                "sillpin_prompt_sendings",
                "Prompts sent to engines by whether newer weights were desired",
            ),
            time_to_head: histogram("sillpin_first_seconds", "Time to the head of the response"),
            time_to_end: histogram("sillpin_whole_seconds", "Time to the end of the response"),
        }
    }

    /// Counts a copy requested from another box, with its size in bytes.
    pub fn copied(&self, what: &'static str, outcome: &'static str, bytes: u64) {
        let labels = [
            KeyValue::new("what", what),
            KeyValue::new("outcome", outcome),
        ];
        self.copies.add(1, &labels);
        self.copied_bytes.add(bytes, &labels);
    }

    /// Counts datagrams of a kind, each of `len` bytes, that were sent, received or dropped.
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

    /// Returns a line for the log with the datagrams sent, received and dropped since the start.
    pub fn describe_peer_traffic(&self) -> String {
        let traffic = self.peer_traffic();
        let line = |((kind, what), (count, bytes)): (&(&str, &str), &(u64, u64))| {
            format!("{kind} {what}: {count} ({bytes} bytes)")
        };
        let lines: Vec<String> = traffic.iter().map(line).collect();
        lines.join(", ")
    }

    /// Counts a request of `route` by outcome.
    pub fn request(&self, route: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    /// Counts an attempt by outcome.
    pub fn attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request sent to another box by outcome.
    pub fn forwarded(&self, outcome: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a stream that broke off, or that a caller resumes, by outcome.
    pub fn resumption(&self, outcome: &'static str) {
        self.resumptions
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a response that ended before it was complete, by reason.
    pub fn incomplete(&self, reason: &str) {
        self.incomplete
            .add(1, &[KeyValue::new("reason", reason.to_owned())]);
    }

    /// Counts a request that ended at a box that was told to stop.
    pub fn stopping_end(&self, end: &str) {
        self.stopping_ends
            .add(1, &[KeyValue::new("end", end.to_owned())]);
    }

    /// Counts a prompt sent to an engine, by whether its weights are the newest or replaced ones.
    pub fn prompt_attempt(&self, replaced: bool) {
        let weights = if replaced { "replaced" } else { "newest" };
        self.prompt_attempts
            .add(1, &[KeyValue::new("weights", weights)]);
    }

    /// Counts tokens of shared parts by `source`.
    pub fn prompt_tokens(&self, source: &'static str, tokens: u64) {
        self.prompt_tokens
            .add(tokens, &[KeyValue::new("source", source)]);
    }

    /// Records the time to the head of a response.
    pub fn response_head(&self, elapsed: Duration) {
        self.time_to_head.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records the time to the end of a response.
    pub fn response_end(&self, elapsed: Duration) {
        self.time_to_end.record(elapsed.as_secs_f64(), &[]);
    }
}

/// Registers gauges of evacuated zones and cold targets, which get fewer requests than they could serve.
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
        .with_description("Targets that were cold according to their last update")
        .with_callback(observe(|view| view.cold.len()))
        .build();
}

/// Registers gauges of targets that get fewer requests because of what they report about themselves.
pub fn observe_signals(meter: &Meter, loads: Loads) {
    let observe = |of: fn(&TargetSignals) -> usize| {
        let loads = loads.clone();
        move |observer: &dyn AsyncInstrument<u64>| {
            observer.observe(loads.signals(|signals| of(signals)) as u64, &[]);
        }
    };
    meter
        .u64_observable_gauge("sillpin_limited_targets")
        .with_description("Targets that report a limit on the requests of all boxes together")
        .with_callback(observe(|signals| signals.limits.count()))
        .build();
    let fresh = loads.clone();
    meter
        .u64_observable_gauge("sillpin_fresh_zone")
        .with_description(
            "Whether nearly all boxes of the own zone send their work immediately: 0 or 1",
        )
        .with_callback(move |observer| {
            observer.observe(u64::from(fresh.is_own_zone_fresh(Instant::now())), &[]);
        })
        .build();
    meter
        .u64_observable_gauge("sillpin_leaving_targets")
        .with_description("Targets that reported to this box that they are leaving")
        .with_callback(observe(|signals| signals.leaving.count()))
        .build();
    meter
        .u64_observable_gauge("sillpin_backing_off_targets")
        .with_description("Targets in backoff after a retry-after response to this box")
        .with_callback(observe(|signals| {
            signals.backoffs.all(Instant::now()).count()
        }))
        .build();
}

/// Registers a gauge of the engines that are reserved for short prompts.
pub fn observe_stream_engines(meter: &Meter, loads: Loads) {
    let observe = move |observer: &dyn AsyncInstrument<u64>| {
        for (pool, count) in loads.stream_engines().counts() {
            let labels = [KeyValue::new("pool", pool.to_string())];
            observer.observe(count as u64, &labels);
        }
    };
    meter
        .u64_observable_gauge("sillpin_stream_engines")
        .with_description("Engines reserved for short prompts by pool")
        .with_callback(observe)
        .build();
}

/// Registers the gauge of the prefill rates of engines.
pub fn observe_speeds(meter: &Meter, loads: Loads) {
    meter
        .f64_observable_gauge("sillpin_engine_read_rate")
        .with_description("Tokens that an engine prefills in a millisecond, by pool")
        .with_callback(move |observer| {
            for (pool, rate) in loads.speeds().rates(Instant::now()) {
                observer.observe(rate.0, &[KeyValue::new("pool", pool.to_string())]);
            }
        })
        .build();
}

/// Registers a gauge of engines that are out of use because nothing arrives from them.
pub fn observe_silence(meter: &Meter, loads: Loads) {
    meter
        .u64_observable_gauge("sillpin_silent_engines")
        .with_description("Engines out of use because they send nothing")
        .with_callback(move |observer| {
            observer.observe(loads.silence().count() as u64, &[]);
        })
        .build();
}

/// Registers a gauge of the streams whose versions this box knows.
pub fn observe_streams(meter: &Meter, streams: StreamVersions) {
    meter
        .u64_observable_gauge("sillpin_stream_records")
        .with_description("Streams of which this box knows the version that began them")
        .with_callback(move |observer| observer.observe(streams.len() as u64, &[]))
        .build();
}

/// Registers a gauge of the targets that this box cannot reach.
pub fn observe_reach(meter: &Meter, loads: Loads) {
    meter
        .u64_observable_gauge("sillpin_unreachable_targets")
        .with_description("Targets to which this box's last attempt to connect failed, by pool")
        .with_callback(move |observer| {
            for (pool, count) in loads.reach().unreachable() {
                observer.observe(count as u64, &[KeyValue::new("pool", pool.to_string())]);
            }
        })
        .build();
}

/// Registers the number of callers' connections, and counters of those closed for want of room.
pub fn observe_connections(meter: &Meter, connections: Connections) {
    let open = connections.clone();
    meter
        .u64_observable_gauge("sillpin_connections")
        .with_description("Open connections of callers")
        .with_callback(move |observer| observer.observe(open.open() as u64, &[]))
        .build();
    meter
        .u64_observable_counter("sillpin_closed_connections")
        .with_description("Connections of callers closed for want of room, unread or for new ones")
        .with_callback(move |observer| {
            let outcome = |name: &'static str| [KeyValue::new("outcome", name)];
            observer.observe(connections.refused(), &outcome("unread"));
            observer.observe(connections.replaced(), &outcome("replaced"));
        })
        .build();
}

/// Registers counters of calls of the platform store and of the bytes of its responses.
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
        .with_description("Calls of the platform store by step and outcome")
        .with_callback(observe(|totals| totals.calls))
        .build();
    meter
        .u64_observable_counter("sillpin_store_bytes")
        .with_description("Bytes of the platform store's responses by step and outcome")
        .with_callback(observe(|totals| totals.bytes))
        .build();
}
