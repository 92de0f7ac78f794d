//! What a box that is told to stop knows of its end.

use super::shared::Shared;
use crate::dialect::Dialect;
use derive_more::Display;
use sillpin_telemetry::{event, events};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::Instant;

/// How long a stopping box still accepts connections. The balancer checks each second and removes a box after two
/// failed checks.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Requests in flight are aborted this long before the SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// The grace period of a box that is told to stop.
#[derive(Debug, Clone, Copy)]
pub struct GracePeriod {
    /// When the box was told to stop.
    pub began: Instant,
    /// Until when it accepts connections.
    pub listens_until: Instant,
    /// When requests in flight are aborted.
    pub last_write: Instant,
}

impl GracePeriod {
    /// The period of `grace` between SIGTERM, at `began`, and SIGKILL.
    pub fn new(began: Instant, grace: Duration) -> Self {
        let last_write = began + grace.saturating_sub(KILL_MARGIN);
        Self {
            began,
            listens_until: began + BALANCER_LAG,
            last_write,
        }
    }
}

/// The grace period, once the box is told to stop; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Drain(Arc<OnceLock<GracePeriod>>);

impl Drain {
    /// Records that the box is told to stop now. Returns the grace period that began first.
    pub fn begin(&self, grace: Duration) -> GracePeriod {
        let began = || GracePeriod::new(Instant::now(), grace);
        *self.0.get_or_init(began)
    }

    /// The grace period; `None` while the box is not told to stop.
    pub fn period(&self) -> Option<GracePeriod> {
        self.0.get().copied()
    }
}

/// How a request ended at a box that was told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StoppingEnd {
    /// Its caller got a target's whole response.
    #[display("answered")]
    Answered,
    /// Its caller got a response of the box.
    #[display("refused")]
    Refused,
    /// Its caller's connection was closed before the response was complete.
    #[display("incomplete")]
    Incomplete,
    /// Its caller closed the connection.
    #[display("caller gone")]
    CallerGone,
}

impl<D: Dialect> Shared<D> {
    /// Logs and counts the end of a request, read at `read`, if the box is told to stop. `why` is empty if it was answered.
    pub(super) fn record_stopping_end(&self, id: &str, read: Instant, end: StoppingEnd, why: &str) {
        let Some(period) = self.drain.period() else {
            return;
        };
        self.metrics.stopping_end(&end.to_string());
        let now = Instant::now();
        event!(self.log, events::STOPPING_REQUEST_ENDED, "request" => id,
            "end" => end.to_string(), "why" => why,
            "read_after_ms" => signed_ms(read, period.began),
            "left_at_read_ms" => signed_ms(period.last_write, read),
            "left_ms" => signed_ms(period.last_write, now),
            "elapsed_ms" => read.elapsed().as_millis());
    }
}

/// Time from `earlier` to `later` in milliseconds; negative if they are in the other order.
fn signed_ms(later: Instant, earlier: Instant) -> i64 {
    let ms = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    match later.checked_duration_since(earlier) {
        Some(time) => ms(time),
        None => -ms(earlier.saturating_duration_since(later)),
    }
}
