//! Attempts of a request until there is a response for the caller.
//!
//! Whether another attempt is allowed depends on the outcome of the last one. A request that may run only once ends
//! with
//! the first attempt that reached a target and may have run. A request that did not run may go to another target
//! while
//! time and retry budget last.

use super::admit::{Run, is_fresh};
use super::answers::{COME_BACK, Refusal};
use super::attempt::{Attempt, Ended, Leaving, WholeAnswer};
use super::placing::Placed;
use super::shared::Shared;
use crate::beliefs::{FleetMsg, View};
use crate::config::Idempotency;
use crate::control::TargetEntry;
use crate::dialect::{Dialect, AttemptHead};
use crate::fatal::witness::Broken;
use crate::place::load::Outcome as Health;
use crate::place::work::LifeHash;
use hyper::Response;
use rand::RngExt;
use sillpin_core::{PoolId, TargetId, WeightVersion};
use sillpin_http::Body;
use sillpin_telemetry::{event, events};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of targets that a request is offered to. Rejections and failed connections count too; the number of
/// runs is limited by the route.
const MAX_OFFERS: usize = 4;

/// Remaining time below which no further target is tried.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Deducted from the time that a target is given, so that its response reaches the caller in time.
const WAY_BACK: Duration = Duration::from_millis(8);

/// State of a request across its attempts.
#[derive(Default)]
pub struct Progress {
    /// Targets that the request was offered to.
    pub offered: Vec<TargetId>,
    /// Attempts that ran or may have run.
    pub runs: u32,
    /// Attempts that reached a target.
    pub arrivals: u32,
    /// Id of the last event that the caller has received.
    pub resume_after: Option<String>,
    /// Error response of a target, passed on if no other target does better.
    pub failure: Option<WholeAnswer>,
}

/// Why no further target is tried.
pub enum GivenUp {
    /// No target served the request.
    Refused(Refusal),
    /// A target responded with an error, and no other target did better.
    Failed(WholeAnswer),
}

/// Mean retry-after while all targets that could serve a request are in evacuated zones. An evacuation lasts for
/// several seconds at least, and callers that come back sooner are refused again. The actual value is uniform from
/// half of it to one and a half times it, so that callers don't come back all at once.
const EVACUATED_WAIT: Duration = Duration::from_secs(1);

/// Refusal while all suitable targets are in evacuated zones.
const EVACUATED: &str = "all zones that have targets for it are evacuated";

/// Refusal while all targets are at their rate limits.
const LIMITED: &str = "its targets limit their requests and get all that they take";

/// Refusal while all targets have asked this box to send nothing for some time.
const BACKED_OFF: &str = "its targets want no requests for a while";

/// Refusal while no target can start the request in time.
const OVERLOADED: &str = "no target can begin it in time";

/// Refusal of a request after which targets have crashed.
const FATAL: &str = "targets that ran this request have ended";

impl<D: Dialect> Shared<D> {
    /// Sends a request to targets until there is a response for the caller.
    pub async fn drive(self: &Arc<Self>, run: Run) -> Result<Response<Body>, Refusal> {
        let pool = self.pick_pool(&run)?;
        self.count_request(&pool);
        let mut progress = Progress {
            resume_after: run.demand.resume_after.clone(),
            ..Progress::default()
        };
        loop {
            let sent = self.next_sending(&run, &pool, &mut progress).await;
            let ended = match sent {
                Ok(ended) => ended,
                Err(GivenUp::Refused(refusal)) => return Err(refusal),
                Err(GivenUp::Failed(answer)) => {
                    self.log_answered(&run, &answer);
                    return Ok(self.pass_on_failure(answer));
                }
            };
            match ended {
                Ended::Answered(answer) => {
                    self.log_answered(&run, &answer);
                    return Ok(self.pass_on(answer));
                }
                Ended::Streaming(stream) => {
                    return Ok(self.clone().relay(run, pool, progress, *stream));
                }
                Ended::Failed(answer) => {
                    if !may_repeat(&run, &progress) {
                        self.log_answered(&run, &answer);
                        return Ok(self.pass_on_failure(answer));
                    }
                    progress.failure = Some(answer);
                }
                Ended::Unknown(why) if !may_repeat(&run, &progress) => {
                    return Err(Refusal::unknown(why));
                }
                Ended::TakenBack if !may_repeat(&run, &progress) => {
                    return Err(Refusal::unknown(ended.why()));
                }
                Ended::TimedOut(why) if !may_repeat(&run, &progress) => {
                    return Err(Refusal::timed_out(why));
                }
                Ended::Unsent(_)
                | Ended::NotRun { .. }
                | Ended::Unknown(_)
                | Ended::TakenBack
                | Ended::TimedOut(_) => {}
            }
        }
    }

    /// Selects a target and makes one attempt. Fails when time, targets or retry budget are used up.
    pub async fn next_sending(
        &self,
        run: &Run,
        pool: &PoolId,
        progress: &mut Progress,
    ) -> Result<Ended, GivenUp> {
        let left = run.time_left();
        if left < MIN_TIME_LEFT {
            return Err(give_up(progress, "no time left"));
        }
        if let Some(left) = self.withheld_for(run) {
            self.metrics.sending("withheld");
            event!(self.log, events::REQUEST_WITHHELD, "request" => &run.demand.id,
                "print" => run.print.to_string(), "for_ms" => left.as_millis());
            return Err(match progress.runs {
                0 => GivenUp::Refused(Refusal::not_run(FATAL).come_back_after(left)),
                _ => give_up(progress, FATAL),
            });
        }
        if !self.may_offer(progress) {
            return Err(give_up(progress, "several targets refused"));
        }
        let view = self.fleet.view();
        let Some(mut placed) = self.place(run, pool, &view, progress) else {
            return Err(self.no_target(run, pool, &view, progress));
        };
        if let Some(refusal) = self.overloaded(run, &placed, progress) {
            return Err(GivenUp::Refused(refusal));
        }
        if progress.arrivals > 0 && !self.take_retry(pool) {
            return Err(give_up(progress, "retry budget used up"));
        }
        let target = placed.chosen.target.clone();
        self.log_sending(run, progress, &view, &placed);
        progress.offered.push(target.id.clone());
        let attempt = Attempt {
            run,
            target: target.clone(),
            sending: sending(run, progress, &mut placed),
            ticket: self.loads.start(&target.id, placed.work()),
        };
        let sent = Instant::now();
        let version = placed.chosen.version;
        let leaving = Leaving {
            may_leave: || self.should_leave(run, pool, progress),
            begin_by: || self.begin_by(run, pool, version?),
        };
        let sent_there = self.fatal.sent(run.print, LifeHash::of(&target));
        let ended = self.attempt(attempt, leaving).await;
        sent_there.end(matches!(ended, Ended::TimedOut(_) | Ended::TakenBack));
        if matches!(ended, Ended::Streaming(_)) {
            self.note_transfer(run, &placed, sent.elapsed());
        }
        let reached = !matches!(ended, Ended::Unsent(_));
        self.loads.note_reach(&target.zone, reached);
        self.note(run, &target, version, &ended, progress);
        Ok(ended)
    }

    fn log_sending(&self, run: &Run, progress: &Progress, view: &View, placed: &Placed) {
        let (chosen, weights) = (&placed.chosen, placed.weights);
        let limit = self
            .loads
            .words(|words| words.limits.rate(LifeHash::of(&chosen.target)));
        event!(self.log, events::SENDING,
            "request" => &run.demand.id, "print" => run.print.to_string(),
            "target" => chosen.target.id.as_str(),
            "addr" => chosen.target.addr.to_string(), "offer" => progress.offered.len(),
            "limit_per_s" => limit.map_or(String::new(), |rate| rate.to_string()),
            "cost_ms" => chosen.cost_ms.round(), "candidates" => chosen.candidates,
            "version" => chosen.version.map_or(0, |version| version.0),
            "parts" => &placed.parts, "fetched" => placed.fetched, "kept" => placed.kept,
            "config" => run.config.version.0, "targets_at" => view.listed.revision.to_string(),
            "left_ms" => run.time_left().as_millis(), "queue_ms" => chosen.queue_ms.round(),
            "in_time" => placed.in_time, "wanted" => weights.map_or(0, |w| w.wanted.0),
            "wanted_for_ms" => weights.map_or(0, |w| w.wanted_for.as_millis()),
            "oldest" => weights.map_or(0, |w| w.oldest.0),
            "oldest_why" => weights.map_or("", |w| w.why));
        if let (Some(version), Some(weights)) = (chosen.version, weights) {
            self.metrics.prompt_sending(version < weights.wanted);
        }
        self.metrics.prompt_tokens("fetched", placed.fetched);
        self.metrics.prompt_tokens("other", placed.others);
    }

    /// Records how long an engine took to start a prompt, to estimate the load on the link that its parts were
    /// fetched over.
    fn note_transfer(&self, run: &Run, placed: &Placed, took: Duration) {
        if placed.prompt_ms <= 0.0 {
            return;
        }
        let expected = placed.chosen.queue_ms + placed.prompt_ms;
        let expected = Duration::from_secs_f64(expected / 1000.0);
        let excess = took.saturating_sub(expected);
        let mut links = self.kept.links();
        match placed.source {
            Some(store) => {
                links.note_fetch(store, placed.length, excess, run.route.latency_objective, Instant::now());
            }
            None => links.note_read(placed.length, excess),
        }
    }

    /// Records the outcome of an attempt.
    fn note(
        &self,
        run: &Run,
        target: &Arc<TargetEntry>,
        version: Option<WeightVersion>,
        ended: &Ended,
        progress: &mut Progress,
    ) {
        self.metrics.sending(ended.name());
        if let Ended::Unknown(_) = ended {
            self.broke_off(run, target);
        }
        if let Ended::Unsent(why) = ended {
            self.prober.start(&target.id, why);
            self.witness.unreachable(target);
        }
        let health = match ended {
            Ended::Unsent(_) => Some(Health::Unreachable),
            Ended::NotRun { .. } => Some(Health::Refused),
            Ended::Failed(_) | Ended::Unknown(_) | Ended::TimedOut(_) => Some(Health::Failed),
            Ended::Answered(_) | Ended::Streaming(_) => Some(Health::Served),
            Ended::TakenBack => None,
        };
        if let Some(health) = health {
            self.loads.note_life(&target.id, target.life, health);
        }
        match ended {
            Ended::Unsent(_) => {}
            Ended::NotRun { .. } => progress.arrivals += 1,
            _ => {
                progress.arrivals += 1;
                progress.runs += 1;
            }
        }
        if let Ended::NotRun {
            weights,
            misdirected,
            ..
        } = ended
        {
            self.learn_weights(run, target, *weights);
            if *misdirected && self.is_replaced(run, version) {
                let mut limits = self.loads.limits();
                limits
                    .words
                    .replaced
                    .find(LifeHash::of(target), Instant::now());
            }
        }
        if !matches!(ended, Ended::Answered(_) | Ended::Streaming(_)) {
            event!(self.log, events::SENDING_FAILED,
                "request" => &run.demand.id, "target" => target.id.as_str(),
                "outcome" => ended.name(), "why" => ended.why(),
                "elapsed_ms" => run.arrival.elapsed().as_millis());
        }
    }

    /// Reports to the witness that a response broke off at a target, which may have crashed.
    pub fn broke_off(&self, run: &Run, target: &Arc<TargetEntry>) {
        let broken = Broken {
            id: run.demand.id.clone(),
            print: run.print,
        };
        self.witness.broke_off(target, broken);
    }

    /// Whether a misdirected request, sent for weights of `version`, shows that the target's address now belongs to
    /// another target. An engine also rejects a request as misdirected when it serves other weights; this is only
    /// ruled out while this box has a fresh view of the newest version.
    fn is_replaced(&self, run: &Run, version: Option<WeightVersion>) -> bool {
        let Some(prompt) = &run.demand.prompt else {
            return true;
        };
        let view = self.fleet.view();
        let wanted = view.wanted.get(&prompt.model);
        let newest = wanted.map(|wanted| wanted.newest().version);
        is_fresh(&view) && version >= newest
    }

    /// Updates the fleet view with the weights that an engine reports when it rejects a request.
    fn learn_weights(&self, run: &Run, target: &TargetEntry, weights: Option<WeightVersion>) {
        let prompt = run.demand.prompt.as_ref();
        if let (Some(prompt), Some(version)) = (prompt, weights) {
            self.fleet.hint(FleetMsg::Serves {
                target: target.id.clone(),
                life: target.life,
                model: prompt.model.clone(),
                version,
            });
        }
    }

    /// Remaining time during which a request is refused because targets crashed while running it.
    pub fn withheld_for(&self, run: &Run) -> Option<Duration> {
        let now = Instant::now();
        let until = self.fatal.record().refused_until(run.print, now);
        until.map(|until| until.saturating_duration_since(now))
    }

    /// Returns the result for a request for which no target was found.
    fn no_target(&self, run: &Run, pool: &PoolId, view: &View, progress: &mut Progress) -> GivenUp {
        if progress.runs > 0 {
            return give_up(progress, "no target is free");
        }
        if let Some(wait) = self.backed_off_for(run, pool, view) {
            self.metrics.sending("backed-off");
            return GivenUp::Refused(Refusal::not_run(BACKED_OFF).come_back_after(wait));
        }
        if !view.is_evacuated(pool) {
            let Some(wait) = self.limited_for(run, pool, view) else {
                return give_up(progress, "no target is free");
            };
            self.metrics.sending("limited");
            return GivenUp::Refused(Refusal::not_run(LIMITED).come_back_after(wait));
        }
        let wait = EVACUATED_WAIT.mul_f64(rand::rng().random_range(0.5..1.5));
        GivenUp::Refused(Refusal::not_run(EVACUATED).come_back_after(wait))
    }

    /// Refuses a request that no target can start in time. A request that may have run is not refused, since a
    /// refusal states that it has not run.
    fn overloaded(&self, run: &Run, placed: &Placed, progress: &Progress) -> Option<Refusal> {
        let queue = placed.queue(self.fleet.view().box_count())?;
        let standing_ms = self.loads.note_queue(queue, Instant::now());
        if progress.runs > 0 {
            return None;
        }
        let expected = placed.expected(run, queue, standing_ms);
        let late = expected.refused_for(rand::rng().random())?;
        let wait = late.max(COME_BACK);
        let wait = wait.mul_f64(rand::rng().random_range(0.5..1.5));
        self.metrics.sending("overloaded");
        event!(self.log, events::OVERLOADED, "request" => &run.demand.id, "route" => &run.route.name,
            "target" => placed.chosen.target.id.as_str(),
            "organisation" => run.organisation.as_ref().map_or("", |org| org.id.as_str()),
            "waited_ms" => expected.waited.as_millis(), "aim_ms" => expected.latency_objective.as_millis(),
            "queue_ms" => expected.queue.as_millis(), "own_ms" => expected.own.as_millis(),
            "standing_ms" => expected.standing.as_millis(),
            "retry_after_ms" => wait.as_millis());
        Some(Refusal::not_run(OVERLOADED).come_back_after(wait))
    }

    /// Whether a request may be offered to one more target.
    pub fn may_offer(&self, progress: &Progress) -> bool {
        progress.offered.len() < MAX_OFFERS
    }

    fn log_answered(&self, run: &Run, answer: &WholeAnswer) {
        let outcome = match answer.status.is_success() {
            true => "answered",
            false => "failed",
        };
        if answer.status.is_success() {
            self.fatal.record().served(run.print, Instant::now());
        }
        let elapsed = run.arrival.elapsed();
        self.metrics.request(&run.route.name, outcome);
        self.metrics.head(elapsed);
        self.metrics.answered(elapsed);
        event!(self.log, events::REQUEST_ANSWERED, "request" => &run.demand.id,
            "route" => &run.route.name, "status" => answer.status.as_u16(),
            "elapsed_ms" => elapsed.as_millis());
    }

    /// Builds the caller's response from a target's complete response.
    fn pass_on(&self, answer: WholeAnswer) -> Response<Body> {
        let mut resp = Response::new(Body::full(answer.body));
        *resp.status_mut() = answer.status;
        *resp.headers_mut() = self.dialect.write_response(&answer.headers);
        resp
    }

    /// Builds the caller's response from a target's error response. A status which implies that the request did not
    /// run is replaced, because the target has not confirmed that.
    fn pass_on_failure(&self, answer: WholeAnswer) -> Response<Body> {
        const PROMISES: [u16; 4] = [408, 421, 429, 503];
        if PROMISES.contains(&answer.status.as_u16()) {
            let why = format!("the target answered with {}", answer.status.as_u16());
            return Refusal::unknown(why).response(&self.dialect, None);
        }
        self.pass_on(answer)
    }
}

/// Returns the result of a request that no target served; it depends on whether the request may have run.
fn give_up(progress: &mut Progress, why: &str) -> GivenUp {
    if let Some(failure) = progress.failure.take() {
        return GivenUp::Failed(failure);
    }
    GivenUp::Refused(match progress.runs {
        0 => Refusal::not_run(why),
        _ => Refusal::unknown(why),
    })
}

/// Whether a request that ran, or may have run, may be sent to another target.
pub fn may_repeat(run: &Run, progress: &Progress) -> bool {
    run.route.idempotency == Idempotency::Idempotent && progress.runs < run.route.max_runs
}

/// Builds the head of the request to the target.
fn sending(run: &Run, progress: &Progress, placed: &mut Placed) -> AttemptHead {
    let for_engine = run.demand.prompt.is_some();
    AttemptHead {
        target: placed.chosen.target.id.clone(),
        time_left: run.time_left().saturating_sub(WAY_BACK),
        organisation: run.organisation.as_ref().map(|org| org.id.clone()),
        priority: for_engine.then(|| placed.priority(run)),
        engine: placed.engine.take(),
        resume_after: progress.resume_after.clone(),
    }
}
