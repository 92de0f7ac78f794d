//! Ends releases: rolls them back or declares them successful, and records their status in the platform store.
//!
//! Every box may end a release, and writes only if the status is still the one that it has read. So of several boxes
//! that decide at the same time one succeeds, and the others adopt what it wrote. To save calls, one box of each zone
//! writes first; the others do so if the status is still not recorded after some time.

use super::evidence::Counts;
use super::tracker::ReleaseTracker;
use crate::backoff::backoff;
use crate::cache_stores::homes::{hash_pair, to_unit_interval};
use crate::control::{PublishedFormat, ReleasePhase, ReleaseStatus};
use crate::fleet_state::{BoxEntry, FleetHandle, FleetMsg, PhaseUpdate, Release, Source, View};
use crate::peers::roles;
use sillpin_core::PoolId;
use sillpin_platform::{KvEntry, KvRevision, Platform, PlatformError, PlatformFault};
use sillpin_policy::release::{has_enough_responses, regression};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

/// Time between two checks of open releases.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a box that starts waits for others to send it a release's phase before it reads the status.
const PHASE_WAIT: Duration = Duration::from_millis(700);

/// Time after which boxes other than the first one of their zone record a phase, and the range over which they spread.
const OTHERS_WAIT: Duration = Duration::from_millis(1_000);
const OTHERS_SPREAD: Duration = Duration::from_millis(1_000);

/// Bounds of the delay after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Fraction of a release's duration from which targets that are still warming up no longer delay its success.
const LAST_POSITION: f64 = 0.93;

/// Role of the box of each zone that records phases first. The text is hashed to choose the box.
const RECORDER: &str = "release-recorder";

/// Supervises releases.
#[derive(Clone)]
pub struct ReleaseSupervisor<P, K> {
    /// The platform store.
    pub platform: P,
    /// Keys and encoding of published values.
    pub keys: K,
    /// This box.
    pub me: BoxEntry,
    /// State of the fleet.
    pub fleet: FleetHandle,
    /// Counts of responses.
    pub tracker: ReleaseTracker,
    /// Cancelled when the box is shutting down.
    pub stopping: CancellationToken,
    /// Log.
    pub log: Logger,
}

/// Failed calls about one pool.
#[derive(Debug, Clone, Copy)]
struct Failures {
    count: u32,
    /// End of the pause after the last one.
    until: Instant,
}

/// What to do about a release now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Wait,
    /// Read the status that the store has.
    Read,
    /// Stop sending to the new version, before the store is written.
    RollBack,
    /// Write this phase to the store.
    Record(ReleasePhase),
}

impl<P: Platform, K: PublishedFormat> ReleaseSupervisor<P, K> {
    /// Runs until the box is shutting down.
    pub async fn run(self) {
        let mut every = tokio::time::interval(CHECK_INTERVAL);
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut views = self.fleet.subscribe();
        let mut failures: HashMap<PoolId, Failures> = HashMap::new();
        let mut fractions: HashMap<PoolId, f64> = HashMap::new();
        while !self.stopping.is_cancelled() {
            let view = views.borrow_and_update().clone();
            let open: Vec<&Release> = view.releases.iter().filter(|r| r.is_open()).collect();
            if open.is_empty() {
                tokio::select! {
                    changed = views.changed() => if changed.is_err() { return },
                    () = self.stopping.cancelled() => {}
                }
                continue;
            }
            every.tick().await;
            for release in open {
                self.log_step(release, &mut fractions);
                self.supervise(&view, release, &mut failures).await;
            }
        }
    }

    /// Logs the part of the requests that the new version gets when it changes.
    fn log_step(&self, release: &Release, fractions: &mut HashMap<PoolId, f64>) {
        if release.phase != ReleasePhase::Running {
            return;
        }
        let elapsed = release.since.elapsed();
        let fraction = self.tracker.schedule(release).step(elapsed).fraction;
        let last = fractions.insert(release.order.pool.clone(), fraction);
        if last != Some(fraction) {
            event!(self.log, events::RELEASE_STEP, "pool" => release.order.pool.as_str(),
                "version" => release.order.version.to_string(), "percent" => fraction * 100.0,
                "age_ms" => elapsed.as_millis());
        }
    }

    async fn supervise(
        &self,
        view: &View,
        release: &Release,
        failures: &mut HashMap<PoolId, Failures>,
    ) {
        let now = Instant::now();
        let pool = &release.order.pool;
        let is_backing_off = failures.get(pool).is_some_and(|last| now < last.until);
        let result = match self.next_step(view, release, now) {
            Step::Wait => return,
            Step::RollBack => {
                let update = phase_update(release, ReleasePhase::RolledBack, false);
                return self.send(update, Source::Own).await;
            }
            Step::Read | Step::Record(_) if is_backing_off => return,
            Step::Read => self.read(release).await,
            Step::Record(phase) => self.record(release, phase).await,
        };
        match result {
            Ok(update) => {
                failures.remove(pool);
                self.send(update, Source::Store).await;
            }
            Err(e) => {
                event!(self.log, events::RELEASE_NOT_RECORDED, "pool" => pool.as_str(), "why" => e.to_string());
                let count = failures.get(pool).map_or(0, |last| last.count);
                let until = now + backoff(count, MIN_BACKOFF, MAX_BACKOFF);
                let count = count + 1;
                failures.insert(pool.clone(), Failures { count, until });
            }
        }
    }

    async fn send(&self, update: PhaseUpdate, source: Source) {
        let msg = FleetMsg::ReleasePhase { update, source };
        self.fleet.send(msg).await;
    }

    fn next_step(&self, view: &View, release: &Release, now: Instant) -> Step {
        let known_for = now.saturating_duration_since(release.phase_since);
        match release.phase {
            ReleasePhase::Unknown if known_for < PHASE_WAIT => Step::Wait,
            ReleasePhase::Unknown => Step::Read,
            ReleasePhase::Running => self.next_running_step(view, release, now),
            ReleasePhase::RolledBack | ReleasePhase::Succeeded => {
                self.record_if_due(view, release.phase, known_for)
            }
        }
    }

    fn next_running_step(&self, view: &View, release: &Release, now: Instant) -> Step {
        if view.serves_alone(&release.order.pool) {
            let known_for = now.saturating_duration_since(release.phase_since);
            return self.record_if_due(view, ReleasePhase::Succeeded, known_for);
        }
        let counts = self.tracker.known(release, now);
        if let Some(regression) = regression(counts.comparisons()) {
            self.log_regression(release, &regression.to_string(), &counts);
            return Step::RollBack;
        }
        let elapsed = now.saturating_duration_since(release.since);
        if elapsed >= release.order.duration {
            self.log_regression(release, "not finished in time", &counts);
            return Step::RollBack;
        }
        let may_succeed = self.tracker.schedule(release).step(elapsed).may_succeed;
        if may_succeed
            && has_enough_responses(counts.comparisons())
            && is_warm(view, release, elapsed, now)
            && self.is_due(view, elapsed.saturating_sub(success_time(release)))
        {
            return Step::Record(ReleasePhase::Succeeded);
        }
        match release.is_recorded {
            true => Step::Wait,
            false => {
                let known_for = now.saturating_duration_since(release.phase_since);
                self.record_if_due(view, ReleasePhase::Running, known_for)
            }
        }
    }

    fn record_if_due(&self, view: &View, phase: ReleasePhase, waited: Duration) -> Step {
        match self.is_due(view, waited) {
            true => Step::Record(phase),
            false => Step::Wait,
        }
    }

    /// Returns whether this box writes now, `waited` after the first box could.
    fn is_due(&self, view: &View, waited: Duration) -> bool {
        let spread = to_unit_interval(hash_pair(self.me.id.as_str(), RECORDER));
        let wait = OTHERS_WAIT + OTHERS_SPREAD.mul_f64(spread);
        waited >= wait || roles::is_reader(view, &self.me, RECORDER)
    }

    fn log_regression(&self, release: &Release, why: &str, counts: &Counts) {
        let sum = counts.sum();
        event!(self.log, events::RELEASE_REGRESSED, "pool" => release.order.pool.as_str(),
            "version" => release.order.version.to_string(), "why" => why,
            "age_ms" => release.since.elapsed().as_millis(),
            "responses" => sum.canary.total(), "failed" => sum.canary.failed,
            "responses_before" => sum.control.total(), "failed_before" => sum.control.failed);
    }

    /// Reads the phase of a release that was ordered before this box started.
    async fn read(&self, release: &Release) -> Result<PhaseUpdate, PlatformError> {
        let entry = self.status_entry(release).await?;
        let phase = entry.and_then(|entry| self.recorded_phase(release, &entry));
        Ok(phase_update(
            release,
            phase.unwrap_or(ReleasePhase::Running),
            phase.is_some(),
        ))
    }

    /// Writes the phase of a release, unless the store already has its end. Returns what the store has.
    async fn record(
        &self,
        release: &Release,
        phase: ReleasePhase,
    ) -> Result<PhaseUpdate, PlatformError> {
        let entry = self.status_entry(release).await?;
        let known = entry
            .as_ref()
            .and_then(|entry| self.recorded_phase(release, entry));
        if let Some(known) = known.filter(|known| *known >= phase.min(ReleasePhase::RolledBack)) {
            return Ok(phase_update(release, known, true));
        }
        let expect = entry.map_or(KvRevision::ABSENT, |entry| entry.revision);
        let status = ReleaseStatus {
            version: release.order.version.clone(),
            phase,
        };
        let key = self.keys.release_status_key(&release.order.pool);
        let value = self.keys.encode_release_status(&status);
        match self.platform.put(&key, &value, expect, None).await {
            Ok(_) => Ok(phase_update(release, phase, true)),
            // Another box has written in between: what it wrote is read at the next check.
            Err(e) if e.fault == PlatformFault::Conflict => {
                Ok(phase_update(release, release.phase, release.is_recorded))
            }
            Err(e) => Err(e),
        }
    }

    async fn status_entry(&self, release: &Release) -> Result<Option<KvEntry>, PlatformError> {
        let key = self.keys.release_status_key(&release.order.pool);
        self.platform.get(&key).await
    }

    /// Returns the phase of a release that the store has. A status that is older than the order is that of an earlier
    /// release.
    fn recorded_phase(&self, release: &Release, entry: &KvEntry) -> Option<ReleasePhase> {
        let value = entry.value.as_deref().unwrap_or_default();
        let status = match self.keys.release_status(&entry.key, value) {
            Ok(status) => status,
            Err(e) => {
                event!(self.log, events::VALUE_UNREADABLE, "key" => &e.key, "why" => &e.what);
                return None;
            }
        };
        let is_current =
            entry.revision > release.revision && status.version == release.order.version;
        is_current.then_some(status.phase)
    }
}

fn phase_update(release: &Release, phase: ReleasePhase, is_recorded: bool) -> PhaseUpdate {
    PhaseUpdate {
        pool: release.order.pool.clone(),
        revision: release.revision,
        since: None,
        phase,
        is_recorded,
    }
}

/// Returns the time since the order from which a release may succeed.
fn success_time(release: &Release) -> Duration {
    release
        .order
        .duration
        .mul_f64(sillpin_policy::release::CUTOVER_END)
}

/// Returns whether the new version has targets, and none of them is warming up; near the end of the release warm-ups
/// are not waited for.
fn is_warm(view: &View, release: &Release, elapsed: Duration, now: Instant) -> bool {
    let Some(targets) = view.canaries.pool(&release.order.pool) else {
        return false;
    };
    let is_cold = |until: Option<&Instant>| until.is_some_and(|until| now < *until);
    let mut cold = targets.all().map(|t| view.cold.get(&t.entry.id));
    elapsed >= release.order.duration.mul_f64(LAST_POSITION) || !cold.any(is_cold)
}
