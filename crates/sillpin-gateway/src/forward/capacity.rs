//! How much a box serves for other boxes: as long as its own callers do not wait for it.

use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Memory of this process for each request that it may serve for other boxes, in bytes.
const MEMORY_PER_REQUEST: u64 = 256 << 10;

/// Descriptors of this process for each such request: two connections, and as much for its own callers.
const DESCRIPTORS_PER_REQUEST: usize = 4;

/// Average delay of the process's tasks above which it accepts no requests of other boxes.
const MAX_DELAY: Duration = Duration::from_millis(40);

/// Weight of the newest measurement in the average.
const DELAY_WEIGHT: f64 = 0.3;

/// Time after which a measurement no longer counts.
const DELAY_AGE: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct DelayAverage {
    ms: f64,
    measured: Option<Instant>,
}

impl DelayAverage {
    fn record(&mut self, delay: Duration, now: Instant) {
        let ms = delay.as_secs_f64() * 1000.0;
        let is_old = self.measured.is_none_or(|at| now - at > DELAY_AGE);
        self.ms = match is_old {
            true => ms,
            false => self.ms + DELAY_WEIGHT * (ms - self.ms),
        };
        self.measured = Some(now);
    }
}

/// The requests that this box may serve for others; clones share it.
#[derive(Debug, Clone)]
pub struct ForwardCapacity {
    permits: Arc<Semaphore>,
    delay: Arc<Mutex<DelayAverage>>,
}

impl ForwardCapacity {
    /// Creates the capacity of a process with so much memory, in bytes, and so many descriptors.
    pub fn new(memory: u64, descriptors: usize) -> Self {
        let by_memory = usize::try_from(memory / MEMORY_PER_REQUEST).unwrap_or(usize::MAX);
        let permits = by_memory.min(descriptors / DESCRIPTORS_PER_REQUEST).max(1);
        Self {
            permits: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))),
            delay: Arc::default(),
        }
    }

    /// Reserves room for one request; `None` if there is none, or the process's tasks run late.
    pub async fn reserve(&self) -> Option<OwnedSemaphorePermit> {
        let began = Instant::now();
        tokio::task::yield_now().await;
        let average_ms = {
            let mut delay = self.delay.lock().unwrap_or_else(|e| e.into_inner());
            delay.record(began.elapsed(), Instant::now());
            delay.ms
        };
        if average_ms > MAX_DELAY.as_secs_f64() * 1000.0 {
            return None;
        }
        self.permits.clone().try_acquire_owned().ok()
    }
}
