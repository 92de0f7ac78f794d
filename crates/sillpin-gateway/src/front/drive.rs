//! Sendings of a request until there is an answer.
//!
//! Which further sending is allowed follows from how the last one ended: one that left this box and
//! may have run ends a request that may run only once; a request that did not run may go to another
//! target while time and budget last.

use super::admit::{Run, is_fresh};
use super::answers::{COME_BACK, Refusal};
use super::attempt::{Attempt, Ended, Leaving, WholeAnswer};
use super::placing::Placed;
use super::shared::Shared;
use crate::beliefs::{FleetMsg, View};
use crate::config::Repeat;
use crate::control::TargetEntry;
use crate::dialect::{Dialect, Sending};
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

/// Targets that may be offered one request; refusals and failed connections count, runs are limited by
/// the route.
const MAX_OFFERS: usize = 4;

/// Time below which no further target is worth trying.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Left to a target of the caller's time, for the way back.
const WAY_BACK: Duration = Duration::from_millis(8);

/// Where a request stands.
#[derive(Default)]
pub struct Progress {
    /// Targets that were offered it.
    pub offered: Vec<TargetId>,
    /// Sendings that ran or may have run.
    pub runs: u32,
    /// Sendings that reached a target.
    pub arrivals: u32,
    /// The last event that the caller has.
    pub resume_after: Option<String>,
    /// A failure of a target, to be passed on if no other does better.
    pub failure: Option<WholeAnswer>,
}

/// Why no further target gets a request.
pub enum GivenUp {
    /// Nobody answered it.
    Refused(Refusal),
    /// A target answered with a failure of its own, and no other did better.
    Failed(WholeAnswer),
}

/// When callers may come back, on average, while all targets that could serve them are in evacuated zones: an evacuation lasts for seconds at
/// least, and callers that come back sooner are refused again. Spread evenly over half of it to one and a half, so that they don't return as one.
const EVACUATED_WAIT: Duration = Duration::from_secs(1);

/// Why a request is sent to no target while there are some.
const EVACUATED: &str = "all zones that have targets for it are evacuated";

/// Why a request is sent to no target while its targets have got all that they take.
const LIMITED: &str = "its targets limit their requests and get all that they take";

/// Why a request is sent to no target in a time in which its targets want none.
const BACKED_OFF: &str = "its targets want no requests for a while";

/// Why a request is sent to no target while all are busy.
const OVERLOADED: &str = "no target can begin it in time";

/// Why a request that is known to end targets is sent to none.
const FATAL: &str = "targets that ran this request have ended";

impl<D: Dialect> Shared<D> {
    /// Sends a request until there is an answer to pass on.
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

    /// Chooses a target and sends to it, unless time, targets or budget are used up.
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
            event!(self.log, events::FATAL_REQUEST_REFUSED, "request" => &run.demand.id,
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
        event!(self.log, events::ATTEMPT_STARTED,
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

    /// Takes note of how long an engine took to begin a prompt, for the link that its parts came over.
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
                links.note_fetch(store, placed.length, excess, run.route.aim, Instant::now());
            }
            None => links.note_read(placed.length, excess),
        }
    }

    /// Takes note of how a sending ended.
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
            event!(self.log, events::ATTEMPT_INCOMPLETE,
                "request" => &run.demand.id, "target" => target.id.as_str(),
                "outcome" => ended.name(), "why" => ended.why(),
                "elapsed_ms" => run.arrival.elapsed().as_millis());
        }
    }

    /// The answer to a request broke off at a target, which may have ended.
    pub fn broke_off(&self, run: &Run, target: &Arc<TargetEntry>) {
        let broken = Broken {
            id: run.demand.id.clone(),
            print: run.print,
        };
        self.witness.broke_off(target, broken);
    }

    /// Whether a misdirected request, sent for weights of `version`, shows that the target's address belongs to another.
    /// An engine also says so when it serves other weights; that is ruled out only while this box surely knows the newest.
    fn is_replaced(&self, run: &Run, version: Option<WeightVersion>) -> bool {
        let Some(prompt) = &run.demand.prompt else {
            return true;
        };
        let view = self.fleet.view();
        let wanted = view.wanted.get(&prompt.model);
        let newest = wanted.map(|wanted| wanted.newest().version);
        is_fresh(&view) && version >= newest
    }

    /// An engine that refuses may say which weights it serves by now.
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

    /// For how long a request is sent to no target, if targets ended under it.
    pub fn withheld_for(&self, run: &Run) -> Option<Duration> {
        let now = Instant::now();
        let until = self.fatal.record().refused_until(run.print, now);
        until.map(|until| until.saturating_duration_since(now))
    }

    /// Ends a request for which there is no target.
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

    /// Refuses a request that no target can begin in time, unless it may have run: a refusal would say that it has not.
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
            "waited_ms" => expected.waited.as_millis(), "aim_ms" => expected.aim.as_millis(),
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

    /// A target's whole answer for the caller.
    fn pass_on(&self, answer: WholeAnswer) -> Response<Body> {
        let mut resp = Response::new(Body::full(answer.body));
        *resp.status_mut() = answer.status;
        *resp.headers_mut() = self.dialect.write_answer(&answer.headers);
        resp
    }

    /// A target's failure for the caller. A status that promises that the request did not run is not
    /// passed on: the target did not say so.
    fn pass_on_failure(&self, answer: WholeAnswer) -> Response<Body> {
        const PROMISES: [u16; 4] = [408, 421, 429, 503];
        if PROMISES.contains(&answer.status.as_u16()) {
            let why = format!("the target answered with {}", answer.status.as_u16());
            return Refusal::unknown(why).response(&self.dialect, None);
        }
        self.pass_on(answer)
    }
}

/// Ends a request that nobody answered: what the caller is told depends on whether it may have run.
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
    run.route.repeat == Repeat::Freely && progress.runs < run.route.max_runs
}

/// What a target is told of a request.
fn sending(run: &Run, progress: &Progress, placed: &mut Placed) -> Sending {
    let for_engine = run.demand.prompt.is_some();
    Sending {
        target: placed.chosen.target.id.clone(),
        time_left: run.time_left().saturating_sub(WAY_BACK),
        organisation: run.organisation.as_ref().map(|org| org.id.clone()),
        priority: for_engine.then(|| placed.priority(run)),
        engine: placed.engine.take(),
        resume_after: progress.resume_after.clone(),
    }
}
