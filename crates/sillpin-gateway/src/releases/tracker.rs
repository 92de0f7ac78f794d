//! Assigns this box's requests to the versions of a release, and counts the responses.

use super::Cohort;
use super::evidence::{
    Counts, Evidence, EvidenceScope, EvidenceSource, ReleaseUpdate, RouteEvidence, RouteHash,
};
use crate::control::{ReleasePhase, TargetEntry};
use crate::fleet_state::{Release, View};
use sillpin_core::{PoolId, TargetId};
use sillpin_platform::KvRevision;
use sillpin_policy::release::{Exposure, ReleaseSchedule};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Time in which one response that broke off is counted for a target. A target that crashes breaks off all that it
/// serves, whatever its version.
const BROKEN_INTERVAL: Duration = Duration::from_millis(200);

/// Number of releases whose counts are kept.
const MAX_RELEASES: usize = 32;

/// A request's part in the release of its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Revision of the release's order.
    pub revision: KvRevision,
    /// The version that the request is sent to.
    pub cohort: Cohort,
}

/// Outcome of an attempt, as far as it tells about a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// A complete response, or none in the time that the request had.
    Served(Duration),
    /// An error response.
    Failed,
    /// A response that broke off.
    Broken,
}

/// State of one release.
#[derive(Debug)]
struct Tracked {
    exposure: Exposure,
    evidence: Evidence,
    broken: HashMap<TargetId, Instant>,
}

/// Releases as this box takes part in them; clones share the state.
#[derive(Debug, Clone)]
pub struct ReleaseTracker {
    allowance: f64,
    state: Arc<Mutex<HashMap<(PoolId, KvRevision), Tracked>>>,
}

impl ReleaseTracker {
    /// Creates the state; `allowance` is the fraction of a pool's requests that a new version may get before its
    /// release has succeeded.
    pub fn new(allowance: f64) -> Self {
        Self {
            allowance,
            state: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(PoolId, KvRevision), Tracked>> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the schedule of a release.
    pub fn schedule(&self, release: &Release) -> ReleaseSchedule {
        ReleaseSchedule::new(release.order.duration, self.allowance)
    }

    fn with<R>(
        &self,
        pool: &PoolId,
        revision: KvRevision,
        apply: impl FnOnce(&mut Tracked) -> R,
    ) -> R {
        let mut state = self.lock();
        if state.len() >= MAX_RELEASES {
            // Releases of a pool replace each other, so the earlier ones of this pool have ended.
            state.retain(|(of, at), _| of != pool || *at >= revision);
        }
        let tracked = state
            .entry((pool.clone(), revision))
            .or_insert_with(|| Tracked {
                exposure: Exposure::new(self.allowance, rand::random()),
                evidence: Evidence::default(),
                broken: HashMap::new(),
            });
        apply(tracked)
    }

    /// Assigns a request to a version; `None` if no release of its pool is running.
    pub fn assign(&self, view: &View, pool: &PoolId, now: Instant) -> Option<Assignment> {
        if view.releases.is_empty() {
            return None;
        }
        let release = view.releases.find(pool)?;
        if release.phase != ReleasePhase::Running {
            return None;
        }
        let elapsed = now.saturating_duration_since(release.since);
        let step = self.schedule(release).step(elapsed);
        let is_exposed = self.with(pool, release.revision, |tracked| {
            tracked.exposure.assign(step.fraction)
        });
        let cohort = match is_exposed {
            true => Cohort::Canary,
            false => Cohort::Control,
        };
        Some(Assignment {
            revision: release.revision,
            cohort,
        })
    }

    /// Counts a response of a target to a request on `route`. Targets that are warming up are slow whatever their
    /// version, so their responses are not counted.
    pub fn record(
        &self,
        view: &View,
        assignment: &Assignment,
        target: &TargetEntry,
        route: &str,
        response: Response,
        now: Instant,
    ) {
        if view.cold.get(&target.id).is_some_and(|until| now < *until) {
            return;
        }
        self.with(&target.pool, assignment.revision, |tracked| {
            if response == Response::Broken && !tracked.counts_broken(&target.id, now) {
                return;
            }
            let comparison = tracked.evidence.own.route(RouteHash::of(route));
            let counts = match assignment.cohort {
                Cohort::Control => &mut comparison.control,
                Cohort::Canary => &mut comparison.canary,
            };
            match response {
                Response::Served(latency) => counts.record_served(latency),
                Response::Failed | Response::Broken => counts.record_failed(),
            }
        });
    }

    /// Stores another box's counts.
    pub fn store(&self, source: EvidenceSource, update: &ReleaseUpdate, now: Instant) {
        if update.evidence.is_empty() {
            return;
        }
        let evidence: Vec<RouteEvidence> = update.evidence.clone();
        self.with(&update.pool, update.revision, |tracked| {
            tracked.evidence.store(source, evidence, now);
        });
    }

    /// Returns the best counts that this box has of a release.
    pub fn known(&self, release: &Release, now: Instant) -> Counts {
        self.with(&release.order.pool, release.revision, |tracked| {
            tracked.evidence.known(now)
        })
    }

    /// Returns what other boxes are told of releases.
    pub fn updates_to_send(
        &self,
        view: &View,
        scope: EvidenceScope,
        now: Instant,
    ) -> Vec<ReleaseUpdate> {
        let announced = view.releases.iter();
        let announced = announced.filter(|release| release.is_announced(now));
        let update = |release: &Release| {
            let is_running = release.phase == ReleasePhase::Running;
            let age = now.saturating_duration_since(release.since).as_millis();
            ReleaseUpdate {
                pool: release.order.pool.clone(),
                revision: release.revision,
                // A box that does not know the phase does not know the time either.
                age_ms: (release.phase > ReleasePhase::Unknown).then_some(age as u64),
                phase: release.phase,
                is_recorded: release.is_recorded,
                evidence: match is_running {
                    true => self.with(&release.order.pool, release.revision, |tracked| {
                        tracked.evidence.message(scope)
                    }),
                    false => Vec::new(),
                },
            }
        };
        announced.map(update).collect()
    }
}

impl Tracked {
    /// Returns whether a response that broke off at a target now is counted.
    fn counts_broken(&mut self, target: &TargetId, now: Instant) -> bool {
        let last = self.broken.get(target);
        if last.is_some_and(|last| now.saturating_duration_since(*last) < BROKEN_INTERVAL) {
            return false;
        }
        self.broken.insert(target.clone(), now);
        true
    }
}
