//! Requests in flight at targets, and what is measured of them.

use super::Loads;
use crate::placement::engine_speed::clean::{WatchId, WatchedRequest};
use crate::placement::engine_speed::{MAX_QUEUE_MS, PaceSample};
use crate::placement::work::{IncarnationHash, TargetHash, Work};
use crate::placement::work_changes::Urgency;
use sillpin_core::{PoolId, TargetId, Tokens};
use std::time::Duration;
use tokio::time::Instant;

impl Loads {
    /// Counts a request as in flight at a target until the guard is dropped.
    pub fn start(&self, target: &TargetId, work: Work) -> InFlightGuard {
        self.start_stream(target, work, Work::default())
    }

    /// Counts a request as in flight at a target until the guard is dropped. `stream` is the work of its stream if its
    /// prompt is short.
    pub fn start_stream(&self, target: &TargetId, work: Work, stream: Work) -> InFlightGuard {
        self.limits().record_sent(target, Instant::now());
        let mut table = self.lock();
        let load = table.entry(target.clone()).or_default();
        load.in_flight += 1;
        load.work.add(work);
        load.streams.add(stream);
        drop(table);
        self.record_change(target, work, Urgency::Immediate);
        InFlightGuard {
            loads: self.clone(),
            target: target.clone(),
            work,
            stream,
            prefill_ms: work.prefill_ms,
            first_event: None,
            measured: None,
        }
    }

    /// Records that the work at a target has changed, if it is an engine's.
    fn record_change(&self, target: &TargetId, work: Work, urgency: Urgency) {
        if work.tokens >= 1.0 {
            self.work_changes.record(target, urgency);
        }
    }

    fn record_hold_time(&self, tokens: f64, time: Duration, now: Instant) {
        let mut hold_time = self.hold_time.lock().unwrap_or_else(|e| e.into_inner());
        hold_time.record(tokens, time, now);
    }
}

/// A request whose times are used to learn the speed of engines.
#[derive(Debug)]
pub struct MeasuredRequest {
    /// Pool of the engine.
    pub pool: PoolId,
    /// The engine.
    pub engine: IncarnationHash,
    /// Prompt tokens that are not fetched.
    pub tokens: Tokens,
    /// Known queue at the engine, in milliseconds.
    pub queue_ms: f64,
    /// Whether the time to the first event is that of a prefill without waits for transfers.
    pub is_start_clean: bool,
    /// When the request was sent.
    pub sent: Instant,
}

/// Events of a measured request.
#[derive(Debug)]
struct Measurement {
    request: MeasuredRequest,
    watch: Option<WatchId>,
    events: u32,
    last_event: Instant,
    /// Concurrent requests at the engine at the first event.
    first_batch: f64,
}

/// A request in flight at a target.
#[derive(Debug)]
pub struct InFlightGuard {
    loads: Loads,
    target: TargetId,
    work: Work,
    /// Work of its stream if its prompt is short.
    stream: Work,
    /// Expected engine time for the prefill of its prompt, in milliseconds.
    prefill_ms: f64,
    /// When the first event of the response came.
    first_event: Option<Instant>,
    measured: Option<Measurement>,
}

impl InFlightGuard {
    /// Uses the request's times to learn the speed of engines.
    pub fn measured(mut self, request: Option<MeasuredRequest>) -> Self {
        let is_learning = self.loads.speeds().is_enabled();
        let request = request.filter(|_| is_learning);
        self.measured = request.map(|request| Measurement {
            watch: self.watch(&request),
            last_event: request.sent,
            request,
            events: 0,
            first_batch: 1.0,
        });
        self
    }

    fn watch(&self, request: &MeasuredRequest) -> Option<WatchId> {
        let watched = WatchedRequest {
            pool: request.pool.clone(),
            engine: request.engine,
            target: TargetHash::of(&self.target),
            tokens: request.tokens,
            own_ms: self.work.prefill_ms,
            sent: request.sent,
        };
        let is_watched = request.is_start_clean && request.queue_ms <= MAX_QUEUE_MS;
        is_watched.then(|| self.loads.speeds().watch(watched))?
    }

    /// Records that events of the response have arrived.
    pub fn record_events(&mut self, events: u32) {
        if let Some(measured) = &mut self.measured {
            measured.events += events;
            measured.last_event = Instant::now();
        }
    }

    /// Records how long the engine took to send the first event.
    fn record_start(&mut self, now: Instant) {
        let Some(measured) = &mut self.measured else {
            return;
        };
        measured.first_batch = self.loads.requests_at(&self.target, now);
        if let Some(watch) = measured.watch {
            let took = now - measured.request.sent;
            self.loads.speeds().started(watch, took);
        }
    }

    /// Ends the measurement of the time to the first event if there was none.
    fn end_watch(&self) {
        if let Some(watch) = self.measured.as_ref().and_then(|measured| measured.watch) {
            self.loads.speeds().ended(watch);
        }
    }

    /// Records how fast the events of the response came.
    fn record_pace(&self) {
        let (Some(measured), Some(first_event)) = (&self.measured, self.first_event) else {
            return;
        };
        let now = Instant::now();
        let last_batch = self.loads.requests_at(&self.target, now);
        let sample = PaceSample {
            events: measured.events,
            took: measured.last_event.saturating_duration_since(first_event),
            batch: (measured.first_batch + last_batch) / 2.0,
        };
        self.loads
            .speeds()
            .record_pace(&measured.request.pool, sample, now);
    }

    /// Removes the prefill from the target's work: it is complete.
    pub fn prefill_done(&mut self) {
        let mut table = self.loads.lock();
        let finished = Work {
            prefill_ms: self.work.prefill_ms,
            ..Work::default()
        };
        if let Some(load) = table.get_mut(&self.target) {
            load.work.subtract(finished);
        }
        drop(table);
        self.loads
            .record_change(&self.target, self.work, Urgency::Immediate);
        self.work.prefill_ms = 0.0;
        let now = Instant::now();
        self.first_event = Some(now);
        self.record_start(now);
    }

    /// Returns when the first event of the response came.
    pub fn first_event(&self) -> Option<Instant> {
        self.first_event
    }

    /// Records how long the request held its engine's memory, which starts with the prefill.
    fn record_hold_time(&self) {
        let Some(first_event) = self.first_event else {
            return;
        };
        let now = Instant::now();
        let prefill = Duration::from_secs_f64(self.prefill_ms / 1000.0);
        self.loads
            .record_hold_time(self.work.tokens, now - first_event + prefill, now);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.record_hold_time();
        self.record_pace();
        self.end_watch();
        let mut table = self.loads.lock();
        if let Some(load) = table.get_mut(&self.target) {
            load.in_flight = load.in_flight.saturating_sub(1);
            load.work.subtract(self.work);
            load.streams.subtract(self.stream);
        }
        drop(table);
        let urgency = match self.work.prefill_ms > 0.0 {
            true => Urgency::Immediate,
            false => Urgency::Batched,
        };
        self.loads.record_change(&self.target, self.work, urgency);
    }
}
