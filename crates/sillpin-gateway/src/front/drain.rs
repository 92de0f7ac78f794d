//! Which requests a box takes that is told to stop.
//!
//! The box knows from then on until when it can write. A request that is not expected to end by then is refused before it runs: another
//! box serves it within milliseconds, while a response that is cut off loses all that was done for it.

use super::admit::AdmittedRequest;
use super::progress::{NoAttempt, Progress, end_unserved};
use super::refusal::{DEFAULT_RETRY_AFTER, Refusal, spread};
use super::shared::Shared;
use crate::config::Route;
use crate::dialect::Dialect;
use crate::forward::head::Unavailable;
use derive_more::Display;
use sillpin_core::Outcome;
use sillpin_telemetry::{event, events};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::Instant;

/// How long a stopping box still accepts connections. The balancer checks each second and removes a box after two
/// failed checks.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Requests in flight are aborted this long before the SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Refusal of a request that a box cannot finish before it ends.
pub const STOPPING: &str = "the box stops before the request could end";

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
            listens_until: (began + BALANCER_LAG).min(last_write),
            last_write,
        }
    }

    /// Whether a request is taken now that ends by `deadline` at the latest and usually takes `usual`, if that is known. While the box
    /// listens, callers may still find it like any other box, and what is likely to end in time is taken. Later requests come over
    /// connections that are about to close, and their callers connect anew anyway: these have to be sure to end in time.
    pub fn takes(&self, now: Instant, deadline: Instant, usual: Option<Duration>) -> bool {
        let is_sure = deadline <= self.last_write;
        is_sure || (now < self.listens_until && self.is_likely(now, usual))
    }

    /// Whether a request that was taken may be sent to one more target now.
    pub fn retries(&self, now: Instant, deadline: Instant, usual: Option<Duration>) -> bool {
        deadline <= self.last_write || self.is_likely(now, usual)
    }

    fn is_likely(&self, now: Instant, usual: Option<Duration>) -> bool {
        now + usual.unwrap_or_default() <= self.last_write
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
    /// Refuses a request of a route that the box cannot finish, if it is told to stop.
    pub(super) fn check_time_to_stop(
        &self,
        route: &Route,
        deadline: Instant,
        is_forwarded: bool,
    ) -> Result<(), Refusal> {
        let Some(period) = self.drain.period() else {
            return Ok(());
        };
        let usual = self.service_times.median(&route.name);
        match period.takes(Instant::now(), deadline, usual) {
            true => Ok(()),
            false if is_forwarded => Err(Refusal::unavailable(Unavailable::NotReady)),
            false => Err(self.refuse_stopping()),
        }
    }

    /// Refuses a request that has not run since the box stops. Another box can take it immediately.
    pub(super) fn refuse_stopping(&self) -> Refusal {
        let has_others = !self.fleet.view().boxes.is_empty();
        let wait = match has_others {
            true => Duration::ZERO,
            false => spread(DEFAULT_RETRY_AFTER),
        };
        Refusal::not_run(STOPPING).with_retry_after(wait)
    }

    /// Ends a request that was sent to a target in vain, if the box stops before another one could serve it.
    pub(super) fn end_if_stopping(
        &self,
        request: &AdmittedRequest,
        progress: &mut Progress,
    ) -> Option<NoAttempt> {
        let period = self.drain.period()?;
        if progress.offered.is_empty() && progress.boxes.is_empty() {
            return None;
        }
        let usual = self.service_times.median(&request.route.name);
        if period.retries(Instant::now(), request.deadline, usual) {
            return None;
        }
        Some(match end_unserved(progress, STOPPING) {
            NoAttempt::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                NoAttempt::Refused(self.refuse_stopping())
            }
            end => end,
        })
    }

    /// Records how long a request took that was served.
    pub(super) fn record_service_time(&self, request: &AdmittedRequest) {
        // What is left of a resumed stream takes less.
        if request.head.resume_after.is_none() {
            let time = request.read.elapsed();
            self.service_times.record(&request.route.name, time);
        }
    }

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
