//! The queue that has stood at engines of late.
//!
//! A queue that one prompt meets says little: a few that come together make one, and it is gone in a moment. One that stands says that engines are
//! asked for more than they can take.

use std::time::Duration;
use tokio::time::Instant;

/// Samples count half after this long: a burst shows within a second, and a moment in which several prompts come does not.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// What is taken for granted, as so many samples: no queue.
const PRIOR_SAMPLES: f64 = 1.0;

/// In a large fleet a box hears of others' work that late, in milliseconds: by the time that a prompt comes to an engine, so much of what was ahead is
/// done, and looked at without that most engines would seem busy at loads that they serve well.
const HEARD_LATE_MS: f64 = 250.0;

/// What is left to be met at least where something was heard of: what came since is not known.
const LEAST_MET_MS: f64 = 20.0;

/// Work ahead of a prompt at an engine, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Queue {
    /// What is surely left of what was heard of.
    pub left_ms: f64,
    /// What the prompt is expected to meet.
    pub met_ms: f64,
}

impl Queue {
    /// A queue that was heard of, late or not.
    pub fn heard(heard_ms: f64, late: bool) -> Self {
        if !late {
            return Self {
                left_ms: heard_ms,
                met_ms: heard_ms,
            };
        }
        let left_ms = (heard_ms - HEARD_LATE_MS).max(0.0);
        Self {
            left_ms,
            met_ms: left_ms.max(heard_ms.min(LEAST_MET_MS)),
        }
    }
}

/// A mean over the engines that were chosen for prompts of late.
#[derive(Debug, Clone, Copy, Default)]
pub struct StandingQueue {
    samples: f64,
    sum_ms: f64,
    at: Option<Instant>,
}

impl StandingQueue {
    /// An engine was chosen; the mean with it, in milliseconds.
    pub fn note(&mut self, queue: Queue, now: Instant) -> f64 {
        let age = self.at.map_or(Duration::ZERO, |at| now - at);
        let left = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.samples = self.samples * left + 1.0;
        self.sum_ms = self.sum_ms * left + queue.left_ms;
        self.at = Some(now);
        self.sum_ms / (self.samples + PRIOR_SAMPLES)
    }
}
