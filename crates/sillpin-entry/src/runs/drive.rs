//! The task that carries one request through its attempts.

use super::Call;
use super::attempt::Attempt;
use super::once::{self, Claim};
use super::prompt::{Plan, plan};
use crate::app::App;
use crate::front::Failure;
use crate::front::documents::Provenance;
use crate::keeper_link::News;
use crate::place::{PlaceRequest, Placed};
use opentelemetry::KeyValue;
use opentelemetry::trace::{Span, SpanKind};
use sillpin_core::{AttemptId, Outcome, TargetId, WeightVersion};
use sillpin_rpc::directory::{BlockHints, KeptObject};
use sillpin_rpc::records::AttemptRecord;
use sillpin_targets::{
    Engine, EngineError, EngineFault, ObjectRef, RunEvent, RunOrder, RunSummary,
};
use sillpin_telemetry::traces::ActiveSpan;
use sillpin_telemetry::{event, events};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Times that a request that found no engine is planned anew, and the wait for news each time.
const MAX_REPLANS: u32 = 3;
const REPLAN_WAIT: Duration = Duration::from_millis(400);

/// Part of an answer on its way to the caller.
#[derive(Debug)]
pub(super) enum Delivery {
    /// A token's text.
    Token(String),
    /// The answer is whole.
    End(RunSummary, Provenance),
    /// The answer will not come whole.
    Failed(Failure),
}

/// Why an attempt ended without the end mark.
enum Broken {
    /// The engine failed.
    Engine(EngineError),
    /// The caller has gone.
    CallerGone,
}

/// Carries one request through its attempts.
pub(super) struct Driver<E: Engine> {
    pub(super) app: App<E>,
    pub(super) call: Call,
    pub(super) plan: Plan,
    pub(super) tx: mpsc::Sender<Delivery>,
    pub(super) span: ActiveSpan,
    pub(super) delivered: String,
    pub(super) tokens: u32,
    pub(super) first_token: Option<Duration>,
    pub(super) last_token: Option<Instant>,
    pub(super) excluded: Vec<TargetId>,
    pub(super) attempts: Vec<AttemptRecord>,
    pub(super) ran: Outcome,
    pub(super) replans: u32,
}

impl<E: Engine> Driver<E> {
    pub(super) fn new(
        app: App<E>,
        call: Call,
        plan: Plan,
        tx: mpsc::Sender<Delivery>,
        span: ActiveSpan,
    ) -> Self {
        Self {
            app,
            call,
            plan,
            tx,
            span,
            delivered: String::new(),
            tokens: 0,
            first_token: None,
            last_token: None,
            excluded: Vec::new(),
            attempts: Vec::new(),
            ran: Outcome::NotRun,
            replans: 0,
        }
    }

    /// Carries the request out and tells what became of it.
    pub(super) async fn run(mut self) {
        let gone = self.tx.clone();
        let result = tokio::select! {
            result = self.carry_out() => Some(result),
            () = gone.closed() => None,
        };
        match result {
            Some(Ok(summary)) => self.answered(summary).await,
            Some(Err(failure)) => self.failed(failure).await,
            None => self.caller_gone(),
        }
    }

    async fn carry_out(&mut self) -> Result<RunSummary, Failure> {
        let mut claim = once::claim(&self.app, &self.call).await?;
        let mut hints = self.look_up().await;
        loop {
            let placed = match self.place(&hints).await {
                Err(e) if self.is_unplaced(&e) && self.plan_again().await => {
                    hints = self.look_up().await;
                    continue;
                }
                placed => placed?,
            };
            let begun = Instant::now();
            let target = placed.target.clone();
            let result = self.attempt(&placed, claim.as_mut()).await;
            self.app
                .placer
                .done(target.clone(), begun.elapsed(), result.is_ok());
            match result {
                Ok(summary) => return Ok(summary),
                Err(Broken::CallerGone) => return Err(Failure::unknown("the caller has gone")),
                Err(Broken::Engine(EngineError {
                    fault: EngineFault::OtherVersion(version),
                    ..
                })) => {
                    self.follow_version(target, version);
                    hints = self.look_up().await;
                }
                Err(Broken::Engine(e)) => self.after_failure(target, e)?,
            }
        }
    }

    /// Whether a refused request can still be planned anew: nothing of it was sent.
    fn is_unplaced(&self, failure: &Failure) -> bool {
        failure.kind == "unavailable" && self.ran == Outcome::NotRun
    }

    /// Waits for news of the fleet and plans the request anew, as when its weight version has been
    /// swapped away under it. False when there is no news, or was too often.
    async fn plan_again(&mut self) -> bool {
        self.replans += 1;
        if self.replans > MAX_REPLANS {
            return false;
        }
        let mut snapshot = self.app.snapshot.clone();
        let wait = REPLAN_WAIT.min(self.plan.deadline.saturating_duration_since(Instant::now()));
        let news = tokio::time::timeout(wait, snapshot.changed()).await;
        let Some(plan) = news
            .ok()
            .and_then(|_| plan(&self.app, &self.call, None).ok())
        else {
            return false;
        };
        self.adopt(plan);
        true
    }

    /// An engine refused the run because it serves another version. A run that has not begun is
    /// planned for that one; a run that has begun stays with its own.
    fn follow_version(&mut self, target: TargetId, version: WeightVersion) {
        self.app.placer.serves(target.clone(), version);
        let has_begun = self.ran != Outcome::NotRun;
        self.replans += 1;
        let plan = plan(&self.app, &self.call, Some(version)).ok();
        match plan.filter(|_| !has_begun && self.replans <= MAX_REPLANS) {
            Some(plan) => {
                self.attempts.pop();
                self.adopt(plan);
            }
            None => self.excluded.push(target),
        }
    }

    fn adopt(&mut self, plan: Plan) {
        let (began, deadline) = (self.plan.began, self.plan.deadline);
        self.plan = Plan {
            began,
            deadline,
            ..plan
        };
        self.excluded.clear();
    }

    async fn look_up(&mut self) -> BlockHints {
        if self.plan.blocks.is_empty() {
            return BlockHints::default();
        }
        let mut span = self.child_span("look up", SpanKind::Client);
        let wait = self.app.cfg.look_up;
        let hints = self
            .app
            .keeper
            .find_blocks(self.plan.blocks.clone(), wait)
            .await;
        span.set_attribute(KeyValue::new("holders", hints.holders.len() as i64));
        span.set_attribute(KeyValue::new("kept", hints.kept.len() as i64));
        hints
    }

    fn child_span(&self, name: &'static str, kind: SpanKind) -> ActiveSpan {
        self.app
            .traces
            .span(name, kind, Some(self.span.span_context()))
    }

    async fn place(&mut self, hints: &BlockHints) -> Result<Placed, Failure> {
        let is_retry = !self.attempts.is_empty();
        let allowed = usize::from(self.plan.policy.limits.max_attempts);
        if self.attempts.len() >= allowed {
            return Err(self.give_up(format!("{allowed} attempts failed")));
        }
        let deadline = if self.first_token.is_some() {
            Instant::now() + self.app.cfg.limits.silence
        } else {
            self.plan.deadline
        };
        let req = PlaceRequest {
            org: self.call.org.clone(),
            class: self.call.class,
            pool: self.plan.pool.clone(),
            version: self.plan.version,
            home: self.plan.home,
            blocks: self.plan.block_count,
            hints: hints.clone(),
            excluded: self.excluded.clone(),
            is_retry,
            policy: self.plan.policy.clone(),
            deadline,
        };
        match self.app.placer.place(req).await {
            Ok(placed) => Ok(placed),
            Err(refusal) if self.ran == Outcome::NotRun => Err(refusal.into()),
            Err(refusal) => Err(self.give_up(refusal.to_string())),
        }
    }

    /// The failure of a request that has run out of ways.
    fn give_up(&self, detail: String) -> Failure {
        if self.ran == Outcome::NotRun {
            return Failure::unavailable(detail, Duration::from_secs(1));
        }
        Failure::unknown(detail)
    }

    fn order(&self, placed: &Placed) -> RunOrder {
        let asked = &self.call.asked;
        RunOrder {
            attempt: AttemptId::generate(),
            model: asked.model.clone(),
            version: self.plan.version,
            adapter: asked.adapter.clone(),
            blocks: self.plan.blocks.clone(),
            prompt: asked.prompt.clone(),
            delivered: self.delivered.clone(),
            start_index: self.tokens,
            max_tokens: asked.max_tokens,
            priority: self.plan.policy.priorities.engine_priority(self.call.class),
            imports: placed.imports.iter().map(object).collect(),
            parameters: asked.parameters.clone(),
        }
    }

    async fn attempt(
        &mut self,
        placed: &Placed,
        claim: Option<&mut Claim>,
    ) -> Result<RunSummary, Broken> {
        let mut span = self.child_span("target", SpanKind::Client);
        span.set_attribute(KeyValue::new("target", placed.target.to_string()));
        let order = self.order(placed);
        let result = self.send_and_read(placed, &order, claim).await;
        let said = match &result {
            Ok(_) => "answered".to_owned(),
            Err(Broken::CallerGone) => "caller gone".to_owned(),
            Err(Broken::Engine(e)) => e.to_string(),
        };
        span.set_attribute(KeyValue::new("result", said.clone()));
        self.attempts.push(AttemptRecord {
            target: placed.target.clone(),
            version: Some(self.plan.version),
            candidates: placed.candidates.clone(),
            result: said,
        });
        result
    }

    async fn send_and_read(
        &mut self,
        placed: &Placed,
        order: &RunOrder,
        mut claim: Option<&mut Claim>,
    ) -> Result<RunSummary, Broken> {
        let limits = self.app.cfg.limits;
        if let Some(claim) = claim.as_deref_mut() {
            claim.may_have_run();
        }
        let engine = self.app.engine.clone();
        let started = Attempt::start(engine, placed.addr, order, limits.attempt, limits.silence);
        let mut attempt = match started.await {
            Ok(attempt) => attempt,
            Err(e) => {
                if let Some(claim) = claim.filter(|_| e.outcome == Outcome::NotRun) {
                    claim.was_not_sent();
                }
                self.ran = self.ran.max(e.outcome);
                return Err(Broken::Engine(e));
            }
        };
        self.ran = Outcome::Unknown;
        let read = self.read_with_resume(&mut attempt, placed).await;
        if let (Ok(_), Some(claim)) = (&read, claim) {
            claim.ran();
        }
        read
    }

    /// Reads an answer; one that breaks off is taken up again once at the same engine, which holds
    /// it for a while.
    async fn read_with_resume(
        &mut self,
        attempt: &mut Attempt<E>,
        placed: &Placed,
    ) -> Result<RunSummary, Broken> {
        let mut resumed_at = None;
        loop {
            let broken = match self.read(attempt, placed).await {
                Err(Broken::Engine(e)) => e,
                done => return done,
            };
            let made_progress = resumed_at != Some(self.tokens);
            let can_resume = matches!(broken.fault, EngineFault::Cut | EngineFault::Timeout);
            if !can_resume || !made_progress {
                return Err(Broken::Engine(broken));
            }
            resumed_at = Some(self.tokens);
            let accept = self.app.cfg.limits.attempt;
            if attempt.resume(self.tokens, accept).await.is_err() {
                return Err(Broken::Engine(broken));
            }
        }
    }

    /// Reads an answer. With its first token the prompt is computed and its blocks are cached: the
    /// owners of its root learn of it then, and not only when the whole answer has come.
    async fn read(
        &mut self,
        attempt: &mut Attempt<E>,
        placed: &Placed,
    ) -> Result<RunSummary, Broken> {
        let mut noted = false;
        loop {
            match attempt.next().await.map_err(Broken::Engine)? {
                Some(RunEvent::Token { text, .. }) => {
                    if !std::mem::replace(&mut noted, true) {
                        self.note_use(placed);
                    }
                    self.deliver(text).await?;
                }
                Some(RunEvent::End { summary, .. }) => return Ok(summary),
                None => return Err(Broken::CallerGone),
            }
        }
    }

    async fn deliver(&mut self, text: String) -> Result<(), Broken> {
        let now = Instant::now();
        if self.first_token.is_none() {
            let after = now - self.plan.began;
            self.first_token = Some(after);
            self.app.metrics.first_token(&self.plan.labels, after);
        }
        self.last_token = Some(now);
        self.tokens += 1;
        self.delivered.push_str(&text);
        let sent = self.tx.send(Delivery::Token(text)).await;
        sent.map_err(|_| Broken::CallerGone)
    }

    /// Whether another attempt may follow; otherwise the request's failure.
    fn after_failure(&mut self, target: TargetId, e: EngineError) -> Result<(), Failure> {
        event!(self.app.log, events::ATTEMPT_FAILED, "request" => %self.call.request,
            "target" => %target, "error" => %e);
        if e.fault == EngineFault::Crossed {
            event!(self.app.log, events::ANSWER_CROSSED, "target" => %target);
        }
        if matches!(e.fault, EngineFault::Unreachable | EngineFault::Cut) {
            self.app.keeper.tell(News::Suspect(target.clone()));
        }
        self.excluded.push(target);
        if self.call.once_key.is_some() && self.ran != Outcome::NotRun {
            let detail = format!("the call was sent once and its answer did not come whole: {e}");
            return Err(Failure::unknown(detail));
        }
        Ok(())
    }
}

fn object(kept: &KeptObject) -> ObjectRef {
    ObjectRef {
        block: kept.block,
        generation: kept.generation,
        store: kept.store.clone(),
        addr: kept.addr,
        len: kept.len,
        checksum: kept.checksum.clone(),
    }
}
