//! Selects pool, target and prompt plan for one attempt.

use super::admit::AdmittedRequest;
use super::prepared::PreparedAttempt;
use super::progress::Progress;
use super::refusal::{DEFAULT_RETRY_AFTER, Refusal, spread};
use super::shared::Shared;
use crate::config::{EngineSpec, Pool};
use crate::dialect::{AttemptHead, Dialect, Prompt};
use crate::fleet_state::View;
use crate::peers::roles::SMALL_FLEET;
use crate::placement::allowed::{AllowedWeights, WeightsInputs};
use crate::placement::choose::PromptInputs;
use crate::placement::engine_speed::PoolSpeed;
use crate::placement::index::TargetIndex;
use crate::placement::limits::LimitContext;
use crate::placement::parts::{Plan, PlanInputs, plan, salt};
use crate::placement::residency::Residency;
use crate::placement::shared_limit::{MEMBERSHIP_DELAY, ShareGroup};
use crate::placement::stream_engines::{PromptKind, stream_work};
use crate::placement::{ChoiceInputs, ChosenTarget, choose};
use rand::RngExt;
use sillpin_core::{ModelId, PoolId, Tokens, WeightVersion};
use sillpin_policy::overload::PREFILL_FACTOR;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Share of a target's connections that all known boxes together may use; the rest is left to boxes that this one
/// does not know yet.
const CONNECTION_SHARE: f64 = 0.85;

/// Minimum number of connections that each box may use at a target.
const MIN_CONNECTIONS: u32 = 2;

/// Time limit of a fetch, as a multiple of the request's latency objective; after it the engine discards the fetch
/// and computes the prompt. A fetch also waits in the engine's queue, and discarding it costs time, so the limit
/// exceeds the objective; but a waiting fetch occupies memory, so the limit must be finite. Results were slightly
/// worse with a limit of 0.6 times an objective of 1.2 s, and with 5 to 8 times objectives of 0.3 to 0.5 s.
const FETCH_TIME_FACTOR: f64 = 1.5;

/// Largest part of a request's latency objective that the learned fixed time of engines may take up: with a wrong
/// estimate, requests must not all count as late.
const MAX_START_SHARE: f64 = 0.5;

/// Upper limit of the mean retry-after when targets are at their rate limits. Limits are counted in periods of four
/// seconds.
const MAX_LIMITED_WAIT: Duration = Duration::from_secs(4);

/// Range of the random delay added to the retry-after of callers that are refused because of a backoff, so that they
/// don't all retry when it ends.
const BACKOFF_SPREAD: Duration = Duration::from_millis(400);

/// The target selected for a request, with the prompt plan if it is an engine.
pub struct SelectedTarget {
    /// The target and the reasons for selecting it.
    pub chosen: ChosenTarget,
    plan: Option<Plan>,
    weights: Option<AllowedWeights>,
}

impl SelectedTarget {
    /// Prompt work of the request at the selected target, in milliseconds.
    fn prefill_ms(&self) -> f64 {
        let work = |plan: &Plan| plan.prompt_time_ms(&self.chosen.target.zone);
        self.plan.as_ref().map_or(0.0, work)
    }

    /// Time to the first event besides the prompt work, in milliseconds.
    fn start_ms(&self) -> f64 {
        self.plan.as_ref().map_or(0.0, |plan| plan.speed.start_ms)
    }

    /// Prompt work until the first event, including the work queued ahead, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.chosen.queue_ms + self.prefill_ms() * self.chosen.slowness
    }
}

/// Whether a request's first event can still arrive within its latency objective, given the prompt work ahead of it
/// plus its own, and the fixed time of the engine, in milliseconds.
fn is_in_time(request: &AdmittedRequest, work_ms: f64, start_ms: f64) -> bool {
    let objective = request.route.latency_objective;
    let work = Duration::from_secs_f64(work_ms * PREFILL_FACTOR / 1000.0);
    let start = Duration::from_secs_f64(start_ms / 1000.0);
    let start = start.min(objective.mul_f64(MAX_START_SHARE));
    request.arrival.elapsed() + work + start < objective
}

impl<D: Dialect> Shared<D> {
    /// Picks one of the route's pools at random, by their weights.
    pub fn pick_pool(&self, request: &AdmittedRequest) -> Result<PoolId, Refusal> {
        let shares = &request.route.shares;
        let total: u32 = shares.iter().map(|share| share.weight).sum();
        if total == 0 {
            return Err(Refusal::not_run("the route names no pool"));
        }
        let mut at = rand::rng().random_range(0..total);
        for share in shares {
            if at < share.weight {
                return Ok(share.pool.clone());
            }
            at -= share.weight;
        }
        Err(Refusal::not_run("the route names no pool"))
    }

    /// Selects a target for a request and prepares what is sent to it.
    pub fn prepare_attempt(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        view: &View,
        progress: &Progress,
    ) -> Option<PreparedAttempt> {
        let selected = self.select(request, pool, view, progress)?;
        Some(self.prepare(request, selected))
    }

    /// Selects a target for a request, without side effects.
    pub fn select(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        view: &View,
        progress: &Progress,
    ) -> Option<SelectedTarget> {
        let spec = request.config.pool(pool);
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        let connections = spec.map_or(0, |spec| spec.max_connections);
        let max_in_flight = connection_share(connections, view.box_count());
        let now = Instant::now();
        let held = self.held_versions(request, pool, view, progress);
        let base = ChoiceInputs {
            targets: view.targets_of(progress.cohort),
            reported_late: view.box_count() > SMALL_FLEET,
            loads: &self.loads,
            pool,
            zone: &self.cfg.zone,
            max_in_flight,
            tried: &progress.offered,
            body_len: request.body.bytes.len(),
            prompt: None,
            residency: self.residency(request),
            limit_context: spec.map(|spec| self.limit_context(spec, view, now)),
            streams: self.stream_inputs(request, pool, view, progress),
            software: self.software_filter(pool, view, progress, &held)?,
            now,
        };
        match (engine, &request.head.prompt) {
            (Some(engine), Some(prompt)) => self.select_engine(request, base, view, engine, prompt),
            _ => Some(SelectedTarget {
                chosen: choose(&base)?,
                plan: None,
                weights: None,
            }),
        }
    }

    /// Speed of a pool's engines; the one assumed before anything is learned in small fleets.
    pub(super) fn pool_speed(&self, pool: &PoolId, view: &View, now: Instant) -> PoolSpeed {
        match view.box_count() > SMALL_FLEET {
            true => self.loads.pool_speed(pool, now),
            false => PoolSpeed::default(),
        }
    }

    /// Regions in which a request may run and its prompt may be stored.
    pub(super) fn residency<'a>(&'a self, request: &'a AdmittedRequest) -> Residency<'a> {
        Residency {
            route: &request.route.regions,
            organisation: request
                .organisation
                .as_ref()
                .map_or(&[], |org| &org.regions),
            regions: &self.cfg.zones,
        }
    }

    /// Time until the first backoff of the allowed targets ends, plus a random delay. `None` unless all of them have a
    /// backoff for this box.
    pub fn backoff_wait(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        view: &View,
    ) -> Option<Duration> {
        let residency = self.residency(request);
        let targets = view.index.pool(pool)?.all();
        let allowed = targets.filter(|target| residency.allows(&target.entry.zone));
        let incarnations = allowed.map(|target| target.incarnation);
        let wait = self
            .loads
            .signals(|signals| signals.shortest_backoff(incarnations, Instant::now()))?;
        Some(wait + BACKOFF_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0)))
    }

    /// Retry-after for a request that no target of a pool may get because of rate limits; `None` if limits are not
    /// the reason. Randomised by half of the value in both directions, so that callers don't all retry at the same time.
    pub fn limit_wait(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        view: &View,
    ) -> Option<Duration> {
        let now = Instant::now();
        let limit_context = self.limit_context(request.config.pool(pool)?, view, now);
        let mut limits = self.loads.limits();
        let targets = view.index.pool(pool)?.all();
        let waits = targets.filter_map(|target| limits.wait(&limit_context, &target.entry, now));
        let wait = waits.min()?.clamp(DEFAULT_RETRY_AFTER, MAX_LIMITED_WAIT);
        Some(spread(wait))
    }

    /// Input for the rate limits of a pool's targets.
    fn limit_context<'a>(&'a self, pool: &Pool, view: &'a View, now: Instant) -> LimitContext<'a> {
        let targets = view.index.pool(&pool.id);
        let has_started = now.saturating_duration_since(self.started) >= MEMBERSHIP_DELAY;
        LimitContext {
            cold: &view.cold,
            warm_up: pool.warm_up,
            rules: self.cfg.warm_up,
            share_group: ShareGroup {
                me: &self.cfg.id,
                zone: &self.cfg.zone,
                others: &view.boxes,
                is_membership_known: has_started && view.has_registered,
                is_stopping: self.stopping.is_cancelled(),
                is_in_contact: view.operators_sync.in_contact(now).is_some(),
                pool_zones: targets.map_or(&[], |targets| &targets.zone_names),
            },
        }
    }

    /// Selects an engine for a prompt, with the versions of the weights that it may run on.
    fn select_engine(
        &self,
        request: &AdmittedRequest,
        base: ChoiceInputs<'_>,
        view: &View,
        engine: &EngineSpec,
        prompt: &Prompt,
    ) -> Option<SelectedTarget> {
        let (now, pool) = (base.now, base.pool);
        let desired = view.desired.get(&prompt.model);
        let sharing = view.isolated.sharing(request.organisation.as_deref());
        let inputs = PlanInputs {
            config: &request.config,
            engine,
            cache_stores: &self.cache_stores,
            residency: base.residency,
            in_contact: self.cache_stores.retirements().may_fetch(
                view,
                self.suspend_clock.suspended(),
                now,
            ),
            speed: self.pool_speed(base.pool, view, now),
            now,
        };
        // One random number for all versions, so that a store that is skipped for one version, to relieve its link, is
        // not used for another.
        let draw = rand::rng().random_range(0.0..1.0);
        let plan_for = |version: WeightVersion| {
            let mut plan = plan(prompt, &salt(prompt, version, sharing.clone()), &inputs);
            plan.drop_busy_sources(|store| {
                draw < self.cache_stores.fetch_shares().share(store, now)
            });
            (version, plan)
        };
        let serving = served_versions(base.targets, base.pool, &prompt.model);
        let weights = self
            .weights_use(view, &prompt.model, serving, now)
            .allowed();
        let plans: Vec<(WeightVersion, Plan)> = serving.keys().copied().map(plan_for).collect();
        let prompt_choice = PromptInputs {
            model: &prompt.model,
            tokens: prompt.tokens,
            latency_objective: request.route.latency_objective,
            capacity: engine.capacity,
            desired: desired.map(|desired| desired.newest().version),
            oldest: weights.oldest,
            plans: &plans,
        };
        let chosen = choose(&ChoiceInputs {
            prompt: Some(prompt_choice),
            ..base
        })?;
        self.log_stream_engines(pool, now);
        let version = chosen.version?;
        let plan = plans.into_iter().find(|(of, _)| *of == version);
        Some(SelectedTarget {
            chosen,
            plan: plan.map(|(_, plan)| plan),
            weights: Some(weights),
        })
    }

    /// Latest time at which a prompt may start at the selected target, according to the current view.
    pub fn latest_start(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        version: WeightVersion,
    ) -> Option<Instant> {
        let model = &request.head.prompt.as_ref()?.model;
        let view = self.fleet.view();
        let serving = served_versions(&view.index, pool, model);
        let weights = self.weights_use(&view, model, serving, Instant::now());
        weights.latest_start(version)
    }

    /// Whether a prompt may be sent under the salt that its directives name: the organisations that share parts may have
    /// changed since they were prepared.
    pub fn is_salt_in_force(&self, request: &AdmittedRequest, head: &AttemptHead) -> bool {
        let (Some(prompt), Some(directives)) = (&request.head.prompt, &head.engine) else {
            return true;
        };
        let isolated = self.fleet.view().isolated.clone();
        let sharing = isolated.sharing(request.organisation.as_deref());
        salt(prompt, directives.weights, sharing).salt() == directives.salt
    }

    /// Input for the decision which versions of the weights a prompt may run on.
    fn weights_use<'a>(
        &self,
        view: &'a View,
        model: &ModelId,
        serving: &'a BTreeMap<WeightVersion, usize>,
        now: Instant,
    ) -> WeightsInputs<'a> {
        WeightsInputs {
            desired: view.desired.get(model),
            serving,
            limit: self.cfg.weights_limit,
            in_contact: view.operators_sync.in_contact(now),
            now,
        }
    }

    /// Prepares what is sent to the selected target, and records which parts are going to be saved.
    fn prepare(&self, request: &AdmittedRequest, selected: SelectedTarget) -> PreparedAttempt {
        let prefill_ms = selected.prefill_ms();
        let part_ahead = self.part_ahead(request, &selected.chosen.target.pool);
        let expected_ms = selected.chosen.queue_ms * part_ahead + prefill_ms;
        let in_time = is_in_time(request, expected_ms, selected.start_ms());
        let prompt = request.head.prompt.as_ref();
        let prompt_len = prompt.map_or(Tokens(0), |prompt| prompt.tokens);
        let SelectedTarget {
            chosen,
            plan,
            weights,
        } = selected;
        let (Some(plan), Some(version)) = (plan, chosen.version) else {
            return PreparedAttempt::plain(chosen);
        };
        let is_short = chosen.kind == Some(PromptKind::Short);
        let stream = prompt.filter(|_| is_short).map(stream_work);
        let zone = &chosen.target.zone;
        let fetch_time = request.route.latency_objective.mul_f64(FETCH_TIME_FACTOR);
        let mut directory = self.cache_stores.lock();
        let directives = plan.directives(version, zone, &mut directory, fetch_time, Instant::now());
        drop(directory);
        let parts = plan.shared.iter().zip(&directives.fetch);
        let fetched: u64 = parts
            .filter(|(_, from)| from.is_some())
            .map(|(part, _)| part.tokens.0)
            .sum();
        let shared: u64 = plan.shared.iter().map(|part| part.tokens.0).sum();
        PreparedAttempt {
            in_time,
            weights,
            chosen,
            parts: plan.describe(&directives),
            source: plan.main_source(&directives.fetch),
            directives: Some(directives),
            prefill_ms,
            prompt_len,
            stored: plan.stored_tokens.0,
            fetched,
            not_fetched: shared - fetched,
            stream,
        }
    }
}

/// Versions of a model's weights that a pool's engines serve, with the number of engines serving each. Engines that
/// accept no prompts are not counted.
fn served_versions<'a>(
    index: &'a TargetIndex,
    pool: &PoolId,
    model: &ModelId,
) -> &'a BTreeMap<WeightVersion, usize> {
    static NONE: BTreeMap<WeightVersion, usize> = BTreeMap::new();
    let targets = index.pool(pool);
    let serving = targets.and_then(|targets| targets.serving(model));
    serving.unwrap_or(&NONE)
}

/// Number of requests that one of `boxes` boxes may have in flight at a target.
fn connection_share(connections: u32, boxes: usize) -> u32 {
    if connections == 0 {
        return u32::MAX;
    }
    let share = f64::from(connections) * CONNECTION_SHARE / boxes.max(1) as f64;
    (share as u32).max(MIN_CONNECTIONS)
}
