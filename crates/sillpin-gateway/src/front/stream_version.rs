//! Which targets may begin or continue a stream, by the versions of their software.

use super::admit::AdmittedRequest;
use super::progress::{NoAttempt, Progress, end_unserved};
use super::refusal::Refusal;
use super::shared::Shared;
use crate::control::SoftwareVersion;
use crate::dialect::Dialect;
use crate::fleet_state::View;
use crate::placement::SoftwareFilter;
use crate::releases::Cohort;
use crate::streams::exchange::{KnownFrom, ResumedStream};
use crate::streams::records::StreamRecord;
use crate::streams::{StreamKey, VersionHash, resumable_for};
use sillpin_core::PoolId;
use sillpin_telemetry::{event, events};
use std::time::Duration;
use tokio::time::Instant;

/// Versions of software that may serve a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Binding {
    /// Any: its stream has not begun.
    #[default]
    Any,
    /// The version that began its stream.
    Version(VersionHash),
    /// The one that began its stream, which this box cannot find out.
    Unknown,
}

/// Stands for the id of the attempt that began a stream if the caller names none; ids contain no line end.
const NO_ATTEMPT: &str = "\n";

/// Longest time for which a stream may be resumed, whatever callers state.
const MAX_LIFE: Duration = Duration::from_secs(600);

/// Refusal of a stream whose version is unknown.
const UNKNOWN: &str = "it is not known which version of the targets began the stream";

/// Refusal of a stream without a target of its version.
const NO_TARGET: &str = "no target has the version that began the stream";

impl<D: Dialect> Shared<D> {
    /// Finds out which version may continue the stream that a request resumes.
    pub async fn bind_resumed(&self, request: &AdmittedRequest) -> Binding {
        let route = &request.route;
        if !route.resumable || request.head.resume_after.is_none() {
            return Binding::Any;
        }
        let began = Instant::now();
        let named = request.forwarded.as_ref().and_then(|of| of.head.version);
        let found = match named {
            Some(version) => Some((version, KnownFrom::Forwarded)),
            None => self.streams.find(&self.resumed_stream(request)).await,
        };
        let resumes = request.head.resumes.as_deref().unwrap_or_default();
        let (binding, from) = match found {
            Some((version, from)) => (Binding::Version(version), from.to_string()),
            None => (Binding::Unknown, String::new()),
        };
        let version = found.map_or(String::new(), |(version, _)| version.to_string());
        event!(self.log, events::STREAM_VERSION, "request" => &request.head.id,
            "resumes" => resumes, "version" => version, "from" => from,
            "elapsed_ms" => began.elapsed().as_millis());
        self.metrics.resumption(match binding {
            Binding::Unknown => "version unknown",
            Binding::Any | Binding::Version(_) => "version known",
        });
        binding
    }

    fn resumed_stream(&self, request: &AdmittedRequest) -> ResumedStream {
        let attempt = request.head.resumes.as_deref().unwrap_or(NO_ATTEMPT);
        let routes = self.fleet.view().routes;
        let left = request.head.timeout.unwrap_or_default();
        let window = routes.window(request.route.timeout.max(left));
        let is_same = !routes.may_have_moved(window, Instant::now());
        ResumedStream {
            key: StreamKey::new(caller(request), attempt),
            pool: only_pool(request).filter(|_| is_same).cloned(),
            window,
        }
    }

    /// Returns the pool whose targets began a stream, if the request's route still has it.
    pub fn pool_of_stream(&self, request: &AdmittedRequest, binding: Binding) -> Option<PoolId> {
        let Binding::Version(version) = binding else {
            return None;
        };
        let view = self.fleet.view();
        let shares = request.route.shares.iter().filter(|share| share.weight > 0);
        let mut pools = shares.map(|share| &share.pool);
        let pool = pools.find(|pool| view.versions.find(pool, version).is_some());
        pool.cloned()
    }

    /// Records which version began the stream of a request, before the first event goes to the caller.
    pub fn record_stream(&self, request: &AdmittedRequest, pool: &PoolId, version: VersionHash) {
        if !request.route.resumable {
            return;
        }
        let timeout = request.head.timeout.unwrap_or_default();
        let life = resumable_for(request.route.timeout.max(timeout)).min(MAX_LIFE);
        let record = StreamRecord::new(stream_key(request), version, life);
        match only_pool(request) == Some(pool) {
            true => self.streams.record(pool, record),
            false => self.streams.record_of_split_route(record),
        }
    }

    /// Returns the versions that may serve the next attempt of a request; `None` if there are none. `held` are the versions
    /// that get no new streams yet.
    pub(super) fn software_filter<'a>(
        &self,
        pool: &PoolId,
        view: &'a View,
        progress: &Progress,
        held: &'a [Option<SoftwareVersion>],
    ) -> Option<SoftwareFilter<'a>> {
        match progress.binding {
            Binding::Any => Some(SoftwareFilter::Except(held)),
            Binding::Unknown => None,
            Binding::Version(version) => {
                let span = view.versions.find(pool, version)?;
                // Targets that name no version may differ.
                let is_certain = span.software.is_some() || !view.versions.is_mixed(pool);
                is_certain.then_some(SoftwareFilter::Only(span.software.as_ref()))
            }
        }
    }

    /// Returns the versions of a pool that get no new streams yet which may be resumed. If only they have targets, they
    /// get them.
    pub(super) fn held_versions(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        view: &View,
        progress: &Progress,
    ) -> Vec<Option<SoftwareVersion>> {
        if !request.route.resumable || progress.binding != Binding::Any {
            return Vec::new();
        }
        let held = view.versions.held(pool, Instant::now());
        if held.is_empty() || progress.cohort == Cohort::Canary {
            return held;
        }
        let targets = view.index.pool(pool);
        let mut targets = targets.into_iter().flat_map(|targets| targets.all());
        match targets.any(|target| !held.contains(&target.entry.software)) {
            true => held,
            false => Vec::new(),
        }
    }

    /// Returns the cohort of the version that a request is bound to; `None` if it is not bound.
    pub(super) fn bound_cohort(
        &self,
        pool: &PoolId,
        view: &View,
        progress: &Progress,
    ) -> Option<Cohort> {
        let Binding::Version(version) = progress.binding else {
            return None;
        };
        let is_of_version = |cohort: Cohort| {
            let targets = view.targets_of(cohort).pool(pool);
            let mut targets = targets.into_iter().flat_map(|targets| targets.all());
            targets.any(|target| VersionHash::of(&target.entry) == version)
        };
        let cohorts = [Cohort::Control, Cohort::Canary];
        let cohort = cohorts.into_iter().find(|cohort| is_of_version(*cohort));
        Some(cohort.unwrap_or_default())
    }

    /// Refuses a request at once that no target can serve because of its stream's version. A retry would not be served
    /// either, so the caller is not told when to come back.
    pub(super) fn refuse_by_version(
        &self,
        pool: &PoolId,
        view: &View,
        progress: &mut Progress,
    ) -> Option<NoAttempt> {
        let reason = match progress.binding {
            Binding::Any => return None,
            Binding::Unknown => UNKNOWN,
            Binding::Version(version) => {
                let span = view.versions.find(pool, version);
                if span.is_some_and(|span| span.targets > 0) {
                    return None;
                }
                NO_TARGET
            }
        };
        self.metrics.attempt("version");
        Some(match progress.runs {
            0 => NoAttempt::Refused(Refusal {
                retry_after: None,
                ..Refusal::not_run(reason)
            }),
            _ => end_unserved(progress, reason),
        })
    }
}

fn caller(request: &AdmittedRequest) -> &str {
    match &request.organisation {
        Some(org) => org.id.as_str(),
        None => request.head.key.as_deref().unwrap_or_default(),
    }
}

/// Returns the key of a request's stream: by the attempt that the caller names if it resumes one, else by its own.
fn stream_key(request: &AdmittedRequest) -> StreamKey {
    let resumes = request.head.resume_after.as_ref();
    let resumes = resumes.and(request.head.resumes.as_deref());
    StreamKey::new(caller(request), resumes.unwrap_or(&request.head.id))
}

/// Returns the pool of a request's route if it has only one.
fn only_pool(request: &AdmittedRequest) -> Option<&PoolId> {
    let shares = request.route.shares.iter();
    let mut pools = shares.filter(|share| share.weight > 0);
    let pool = &pools.next()?.pool;
    pools.next().is_none().then_some(pool)
}
