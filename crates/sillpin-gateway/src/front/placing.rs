//! Pool, target and parts of one sending.

use super::admit::Run;
use super::answers::{COME_BACK, Refusal};
use super::drive::Progress;
use super::shared::Shared;
use crate::beliefs::View;
use crate::config::{EngineSpec, Pool, Priority};
use crate::dialect::{Dialect, EngineSending, Prompt};
use crate::peers::roles::SMALL_FLEET;
use crate::place::allowed::{AllowedWeights, WeightsUse};
use crate::place::choose::PromptChoice;
use crate::place::limits::Gate;
use crate::place::parts::{Plan, PlanInputs, plan, salt};
use crate::place::residency::Residency;
use crate::place::shared_limit::{KNOWS_AFTER, Sharers};
use crate::place::standing::Queue;
use crate::place::work::Work;
use crate::place::{Choice, Chosen, choose};
use rand::RngExt;
use sillpin_core::{ModelId, PoolId, Tokens, WeightVersion};
use sillpin_policy::overload::{Expected, READING_FACTOR};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Share of a target's connections that all boxes together use; the rest is for boxes that this one
/// does not know of.
const CONNECTION_SHARE: f64 = 0.85;

/// Connections that a box may use at one target at least.
const MIN_CONNECTIONS: u32 = 2;

/// Times of a request's aim after which a fetch for it is thrown away and its prompt read. A fetch waits in the engine's
/// queue too, and one thrown away is read at a price, so it gets longer than the aim; but while it waits it takes
/// memory, so it is not borne for ever. Measured on two fleets, worth of days with trouble: with aims of
/// 1.2 s 0.702 after 0.6 aims and 0.723 after 2.1; with aims of 0.3 to 0.5 s 0.578 after 1.4 to 2.3 and 0.569 after 5 to 8.
const FETCH_AIMS: f64 = 1.5;

/// Part of the work of a request that comes late anyway that counts as work ahead of others: the engine takes those
/// that are in time first, but finishes a piece that it has begun.
const LATE_WORK: f64 = 0.25;

/// Longest mean time after which a caller comes back whom limits of targets keep out: limits are counted in periods of four seconds.
const MAX_LIMITED_WAIT: Duration = Duration::from_secs(4);

/// Callers whom targets keep out for a time come back spread over this after its end, so that they don't return as one.
const BACKED_OFF_SPREAD: Duration = Duration::from_millis(400);

/// What a target is to be told, and why it was chosen.
pub struct Placed {
    /// The target and why.
    pub chosen: Chosen,
    /// What an engine is told.
    pub engine: Option<EngineSending>,
    /// Expected prompt work in milliseconds of the engine.
    pub prompt_ms: f64,
    /// Length of the prompt.
    pub length: Tokens,
    /// The prompt's shared parts and what is done with each, for logs.
    pub parts: String,
    /// Where most of the prompt is fetched from.
    pub source: Option<SocketAddr>,
    /// Tokens that stores hold, fetched or not.
    pub kept: u64,
    /// Shared tokens that are fetched.
    pub fetched: u64,
    /// Shared tokens that are read anew or found at the engine.
    pub others: u64,
    /// Whether the first event can still come within the request's aim.
    pub in_time: bool,
    /// Which weights the request may run on, for engines.
    pub weights: Option<AllowedWeights>,
}

/// The target chosen for a request, and for an engine where the prompt's parts are.
pub struct Selected {
    /// The target and why.
    pub chosen: Chosen,
    plan: Option<Plan>,
    weights: Option<AllowedWeights>,
}

impl Selected {
    /// Prompt work of the request at the chosen target, in milliseconds.
    fn prompt_ms(&self) -> f64 {
        let work =
            |plan: &Plan| Plan::read_ms(plan.own_tokens) + plan.shared_ms(&self.chosen.target.zone);
        self.plan.as_ref().map_or(0.0, work)
    }

    /// Prompt work until the first event, with that ahead of it, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.chosen.queue_ms + self.prompt_ms()
    }
}

impl Placed {
    /// A target that takes no prompt.
    fn plain(chosen: Chosen) -> Self {
        Self {
            chosen,
            weights: None,
            engine: None,
            prompt_ms: 0.0,
            length: Tokens(0),
            parts: String::new(),
            source: None,
            kept: 0,
            fetched: 0,
            others: 0,
            in_time: true,
        }
    }

    /// What the request takes of its engine, as others are told.
    pub fn work(&self) -> Work {
        let counted = if self.in_time { 1.0 } else { LATE_WORK };
        Work::one(
            self.prompt_ms * counted,
            Tokens((self.length.0 as f64 * counted) as u64),
        )
    }

    /// Work ahead of a prompt at its target, in a fleet of so many boxes; `None` for a request without one.
    pub fn queue(&self, boxes: usize) -> Option<Queue> {
        self.engine.as_ref()?;
        Some(Queue::heard(self.chosen.queue_ms, boxes > SMALL_FLEET))
    }

    /// What is expected of a prompt behind a queue, where so much has stood at targets of late, in milliseconds.
    pub fn expected(&self, run: &Run, queue: Queue, standing_ms: f64) -> Expected {
        let millis = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1000.0);
        Expected {
            waited: run.waited(),
            aim: run.route.aim,
            queue: millis(queue.met_ms),
            standing: millis(standing_ms),
            own: millis(self.prompt_ms),
        }
    }

    /// The request's urgency: one that comes late whatever is done goes behind all that can be in time.
    pub fn priority(&self, run: &Run) -> Priority {
        match self.in_time {
            true => run.priority(),
            false => run.priority().behind(),
        }
    }
}

/// Whether a request's first event can still come within its aim, with so much prompt work ahead of it and of its own.
fn is_in_time(run: &Run, work_ms: f64) -> bool {
    let work = Duration::from_secs_f64(work_ms * READING_FACTOR / 1000.0);
    run.arrival.elapsed() + work < run.route.aim
}

impl<D: Dialect> Shared<D> {
    /// The pool for a request, by the weights of its route.
    pub fn pick_pool(&self, run: &Run) -> Result<PoolId, Refusal> {
        let shares = &run.route.shares;
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

    /// The target for a request, and what it is to be told.
    pub fn place(
        &self,
        run: &Run,
        pool: &PoolId,
        view: &View,
        progress: &Progress,
    ) -> Option<Placed> {
        let selected = self.select(run, pool, view, progress)?;
        Some(self.prepare(run, selected))
    }

    /// The target for a request. Changes nothing.
    pub fn select(
        &self,
        run: &Run,
        pool: &PoolId,
        view: &View,
        progress: &Progress,
    ) -> Option<Selected> {
        let spec = run.config.pool(pool);
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        let connections = spec.map_or(0, |spec| spec.max_connections);
        let most_in_flight = connection_share(connections, view.box_count());
        let now = Instant::now();
        let base = Choice {
            targets: &view.index,
            heard_late: view.box_count() > SMALL_FLEET,
            loads: &self.loads,
            pool,
            zone: &self.cfg.zone,
            most_in_flight,
            tried: &progress.offered,
            body_len: run.body.bytes.len(),
            prompt: None,
            residency: self.residency(run),
            gate: spec.map(|spec| self.gate(spec, view, now)),
            now,
        };
        match (engine, &run.demand.prompt) {
            (Some(engine), Some(prompt)) => self.select_engine(run, base, view, engine, prompt),
            _ => Some(Selected {
                chosen: choose(&base)?,
                plan: None,
                weights: None,
            }),
        }
    }

    /// Where a request, and what is kept of its prompt, may go.
    fn residency<'a>(&'a self, run: &'a Run) -> Residency<'a> {
        Residency {
            route: &run.route.regions,
            organisation: run.organisation.as_ref().map_or(&[], |org| &org.regions),
            regions: &self.cfg.zones,
        }
    }

    /// How long a caller is to stay away whose request may go to targets only that want none from this box: until the first of them takes one again.
    pub fn backed_off_for(&self, run: &Run, pool: &PoolId, view: &View) -> Option<Duration> {
        let residency = self.residency(run);
        let targets = view.index.pool(pool)?.all.iter();
        let allowed = targets.filter(|target| residency.allows(&target.entry.zone));
        let lives = allowed.map(|target| target.life);
        let wait = self
            .loads
            .words(|words| words.backed_off(lives, Instant::now()))?;
        Some(wait + BACKED_OFF_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0)))
    }

    /// How long a caller is to stay away whose request no target of a pool may get, if limits are why. Callers come back spread over as long again, so that
    /// they don't return as one.
    pub fn limited_for(&self, run: &Run, pool: &PoolId, view: &View) -> Option<Duration> {
        let now = Instant::now();
        let gate = self.gate(run.config.pool(pool)?, view, now);
        let mut limits = self.loads.limits();
        let targets = view.index.pool(pool)?.all.iter();
        let waits = targets.filter_map(|target| limits.wait(&gate, &target.entry, now));
        let wait = waits.min()?.clamp(COME_BACK, MAX_LIMITED_WAIT);
        Some(wait.mul_f64(rand::rng().random_range(0.5..1.5)))
    }

    /// What limited targets of a pool get.
    fn gate<'a>(&'a self, pool: &Pool, view: &'a View, now: Instant) -> Gate<'a> {
        let targets = view.index.pool(&pool.id);
        let has_started = now.saturating_duration_since(self.started) >= KNOWS_AFTER;
        Gate {
            cold: &view.cold,
            warm_up: pool.warm_up,
            rules: self.cfg.warm_up,
            sharers: Sharers {
                me: &self.cfg.id,
                zone: &self.cfg.zone,
                others: &view.boxes,
                is_settled: has_started && view.has_registered,
                is_stopping: self.stopping.is_cancelled(),
                is_in_touch: view.operators.in_touch(now).is_some(),
                pool_zones: targets.map_or(&[], |targets| &targets.zone_names),
            },
        }
    }

    fn select_engine(
        &self,
        run: &Run,
        base: Choice<'_>,
        view: &View,
        engine: &EngineSpec,
        prompt: &Prompt,
    ) -> Option<Selected> {
        let now = base.now;
        let wanted = view.wanted.get(&prompt.model);
        let org = run.organisation.as_deref();
        let inputs = PlanInputs {
            config: &run.config,
            engine,
            kept: &self.kept,
            residency: base.residency,
            in_touch: self
                .kept
                .retirements()
                .may_fetch(view, self.awake.slept(), now),
            now,
        };
        // One draw for all versions: what is spared under one must not be fetched under another.
        let draw = rand::rng().random_range(0.0..1.0);
        let plan_for = |version: WeightVersion| {
            let mut plan = plan(prompt, &salt(prompt, version, org), &inputs);
            plan.spare_links(|store| draw < self.kept.fetch_shares().share(store, now));
            (version, plan)
        };
        let serving = served_versions(view, base.pool, &prompt.model);
        let weights = self
            .weights_use(view, &prompt.model, serving, now)
            .allowed();
        let plans: Vec<(WeightVersion, Plan)> = serving.keys().copied().map(plan_for).collect();
        let prompt_choice = PromptChoice {
            model: &prompt.model,
            tokens: prompt.tokens,
            aim: run.route.aim,
            room: engine.room,
            wanted: wanted.map(|wanted| wanted.newest().version),
            oldest: weights.oldest,
            plans: &plans,
        };
        let chosen = choose(&Choice {
            prompt: Some(prompt_choice),
            ..base
        })?;
        let version = chosen.version?;
        let plan = plans.into_iter().find(|(of, _)| *of == version);
        Some(Selected {
            chosen,
            plan: plan.map(|(_, plan)| plan),
            weights: Some(weights),
        })
    }

    /// Until when a prompt may begin at the target that was chosen for it, as far as is known by now.
    pub fn begin_by(&self, run: &Run, pool: &PoolId, version: WeightVersion) -> Option<Instant> {
        let model = &run.demand.prompt.as_ref()?.model;
        let view = self.fleet.view();
        let serving = served_versions(&view, pool, model);
        let weights = self.weights_use(&view, model, serving, Instant::now());
        weights.begin_by(version)
    }

    fn weights_use<'a>(
        &self,
        view: &'a View,
        model: &ModelId,
        serving: &'a BTreeMap<WeightVersion, usize>,
        now: Instant,
    ) -> WeightsUse<'a> {
        WeightsUse {
            wanted: view.wanted.get(model),
            serving,
            limit: self.cfg.weights_limit,
            in_touch: view.operators.in_touch(now),
            now,
        }
    }

    /// What the chosen target is to be told. Notes which saves are asked for.
    fn prepare(&self, run: &Run, selected: Selected) -> Placed {
        let prompt_ms = selected.prompt_ms();
        let in_time = is_in_time(run, selected.expected_ms());
        let prompt = run.demand.prompt.as_ref();
        let length = prompt.map_or(Tokens(0), |prompt| prompt.tokens);
        let Selected {
            chosen,
            plan,
            weights,
        } = selected;
        let (Some(plan), Some(version)) = (plan, chosen.version) else {
            return Placed::plain(chosen);
        };
        let zone = &chosen.target.zone;
        let fetch_time = run.route.aim.mul_f64(FETCH_AIMS);
        let mut directory = self.kept.lock();
        let sending = plan.sending(version, zone, &mut directory, fetch_time, Instant::now());
        drop(directory);
        let parts = plan.shared.iter().zip(&sending.fetch);
        let fetched: u64 = parts
            .filter(|(_, from)| from.is_some())
            .map(|(part, _)| part.tokens.0)
            .sum();
        let shared: u64 = plan.shared.iter().map(|part| part.tokens.0).sum();
        Placed {
            in_time,
            weights,
            chosen,
            parts: plan.describe(&sending),
            source: plan.main_source(&sending.fetch),
            engine: Some(sending),
            prompt_ms,
            length,
            kept: plan.kept_tokens.0,
            fetched,
            others: shared - fetched,
        }
    }
}

/// Versions of a model's weights that a pool's engines serve, and how many engines serve each. Engines that take no prompts count for nothing.
fn served_versions<'a>(
    view: &'a View,
    pool: &PoolId,
    model: &ModelId,
) -> &'a BTreeMap<WeightVersion, usize> {
    static NONE: BTreeMap<WeightVersion, usize> = BTreeMap::new();
    let targets = view.index.pool(pool);
    let serving = targets.and_then(|targets| targets.serving(model));
    serving.unwrap_or(&NONE)
}

/// Requests that one of `boxes` boxes may have under way at a target.
fn connection_share(connections: u32, boxes: usize) -> u32 {
    if connections == 0 {
        return u32::MAX;
    }
    let share = f64::from(connections) * CONNECTION_SHARE / boxes.max(1) as f64;
    (share as u32).max(MIN_CONNECTIONS)
}
