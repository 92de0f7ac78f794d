//! The standing queue: the recent average of the work ahead of prompts at the chosen engines.
//!
//! A queue that one prompt meets is no sign of overload: a few prompts that arrive together cause
//! one, and it drains in a moment. A queue that persists shows that the load exceeds the engines'
//! capacity.

use super::decay::weight_left;
use super::stream_engines::PromptKind;
use std::time::Duration;
use tokio::time::Instant;

/// Half-life of samples: short enough to detect a burst within a second, long enough to ignore a
/// few prompts at one moment.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Weight of the initial estimate (no queue), in samples.
const PRIOR_SAMPLES: f64 = 1.0;

/// Delay of reports about other boxes' work in a large fleet, in milliseconds: when a prompt
/// reaches an engine, that much of the reported work has been done. Without this correction most
/// engines would seem busy at loads that they serve well.
const REPORT_DELAY_MS: f64 = 250.0;

/// Least queue that a prompt is expected to meet if any work was reported: work that was added
/// since is unknown.
const MIN_EXPECTED_MS: f64 = 20.0;

/// Work ahead of a prompt at an engine, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Queue {
    /// Part of the reported work that is certainly left.
    pub certain_ms: f64,
    /// Work that the prompt is expected to meet.
    pub expected_ms: f64,
}

impl Queue {
    /// Estimates the queue from the reported work; `late` if the reports are delayed.
    pub fn reported(reported_ms: f64, late: bool) -> Self {
        if !late {
            return Self {
                certain_ms: reported_ms,
                expected_ms: reported_ms,
            };
        }
        let certain_ms = (reported_ms - REPORT_DELAY_MS).max(0.0);
        Self {
            certain_ms,
            expected_ms: certain_ms.max(reported_ms.min(MIN_EXPECTED_MS)),
        }
    }
}

/// Average queue at the engines that were chosen for prompts recently.
#[derive(Debug, Clone, Copy, Default)]
pub struct StandingQueue {
    samples: f64,
    sum_ms: f64,
    at: Option<Instant>,
}

impl StandingQueue {
    /// Records the queue of a chosen engine and returns the average including it, in milliseconds.
    pub fn record(&mut self, queue: Queue, now: Instant) -> f64 {
        let left = self.at.map_or(1.0, |at| weight_left(at, now, HALF_LIFE));
        self.samples = self.samples * left + 1.0;
        self.sum_ms = self.sum_ms * left + queue.certain_ms;
        self.at = Some(now);
        self.sum_ms / (self.samples + PRIOR_SAMPLES)
    }
}

/// The average queues of both kinds of prompts, and of prompts in pools without stream engines. A shortage at the
/// engines of one kind must not lead to refusals of the other.
#[derive(Debug, Clone, Copy, Default)]
pub struct StandingQueues {
    short: StandingQueue,
    long: StandingQueue,
    any: StandingQueue,
}

impl StandingQueues {
    /// Records the queue of an engine that was chosen for a prompt of this kind, and returns the kind's average
    /// including it, in milliseconds.
    pub fn record(&mut self, kind: Option<PromptKind>, queue: Queue, now: Instant) -> f64 {
        let standing = match kind {
            Some(PromptKind::Short) => &mut self.short,
            Some(PromptKind::Long) => &mut self.long,
            None => &mut self.any,
        };
        standing.record(queue, now)
    }
}
