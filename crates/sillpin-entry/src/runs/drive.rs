//! The task that executes one request, with its attempts.

use super::Call;
use super::idempotency;
use super::plan::{Plan, plan};
use super::send::RunError;
use crate::app::App;
use crate::front::Failure;
use crate::front::documents::Provenance;
use crate::keeper_link::Report;
use crate::placement::{PlaceRequest, Placed};
use opentelemetry::KeyValue;
use opentelemetry::trace::{Span, SpanKind};
use sillpin_core::{Outcome, TargetId, WeightVersion};
use sillpin_rpc::directory::BlockHints;
use sillpin_rpc::records::AttemptRecord;
use sillpin_targets::{Engine, EngineError, EngineFault, RunSummary};
use sillpin_telemetry::traces::ActiveSpan;
use sillpin_telemetry::{event, events};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Number of times a request without an engine is planned again, and the maximum wait for a newer
/// snapshot each time.
const MAX_REPLANS: u32 = 3;
const REPLAN_WAIT: Duration = Duration::from_millis(400);

/// A part of a response, sent to the task that writes to the caller.
#[derive(Debug)]
pub(super) enum Delivery {
    /// Text of one token.
    Token(String),
    /// The response is complete.
    End(RunSummary, Provenance),
    /// The response cannot be completed.
    Failed(Failure),
}

/// Executes one request, with its attempts.
pub(super) struct Driver<E: Engine> {
    pub(super) app: App<E>,
    pub(super) call: Call,
    pub(super) plan: Plan,
    pub(super) tx: mpsc::Sender<Delivery>,
    pub(super) span: ActiveSpan,
    /// Text of the tokens passed on, from which another engine can continue.
    pub(super) delivered: String,
    /// Number of tokens passed on.
    pub(super) tokens: u32,
    /// Time to first token.
    pub(super) first_token: Option<Duration>,
    pub(super) last_token: Option<Instant>,
    /// Engines that must not be tried again.
    pub(super) excluded: Vec<TargetId>,
    pub(super) attempts: Vec<AttemptRecord>,
    /// Whether the request was executed, as far as is known.
    pub(super) outcome: Outcome,
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
            outcome: Outcome::NotRun,
            replans: 0,
        }
    }

    /// Executes the request and reports its outcome.
    pub(super) async fn run(mut self) {
        let caller = self.tx.clone();
        let result = tokio::select! {
            result = self.execute() => Some(result),
            () = caller.closed() => None,
        };
        match result {
            Some(Ok(summary)) => self.completed(summary).await,
            Some(Err(failure)) => self.failed(failure).await,
            None => self.caller_disconnected(),
        }
    }

    async fn execute(&mut self) -> Result<RunSummary, Failure> {
        let mut claim = idempotency::claim(&self.app, &self.call).await?;
        let mut hints = self.look_up_blocks().await;
        loop {
            let placed = match self.place(&hints).await {
                Err(e) if self.can_replan(&e) && self.replan().await => {
                    hints = self.look_up_blocks().await;
                    continue;
                }
                placed => placed?,
            };
            let started_at = Instant::now();
            let target = placed.target.clone();
            let result = self.attempt(&placed, claim.as_mut()).await;
            self.app
                .placer
                .request_ended(target.clone(), started_at.elapsed(), result.is_ok());
            match result {
                Ok(summary) => return Ok(summary),
                Err(RunError::Disconnected) => return Err(Failure::unknown("the caller has gone")),
                Err(RunError::Engine(EngineError {
                    fault: EngineFault::OtherVersion(version),
                    ..
                })) => {
                    self.handle_other_version(target, version);
                    hints = self.look_up_blocks().await;
                }
                Err(RunError::Engine(e)) => self.handle_engine_error(target, e)?,
            }
        }
    }

    /// Returns whether a refused request can be planned again: no part of it was sent.
    fn can_replan(&self, failure: &Failure) -> bool {
        failure.kind == "unavailable" && self.outcome == Outcome::NotRun
    }

    /// Waits for a newer snapshot and plans the request again, for instance because its weight
    /// version was replaced. Returns false if there is no newer snapshot or the request was planned
    /// too often.
    async fn replan(&mut self) -> bool {
        self.replans += 1;
        if self.replans > MAX_REPLANS {
            return false;
        }
        let mut snapshot = self.app.snapshot.clone();
        let wait = REPLAN_WAIT.min(self.plan.deadline.saturating_duration_since(Instant::now()));
        let changed = tokio::time::timeout(wait, snapshot.changed()).await;
        let Some(plan) = changed
            .ok()
            .and_then(|_| plan(&self.app, &self.call, None).ok())
        else {
            return false;
        };
        self.replace_plan(plan);
        true
    }

    /// Handles an engine's refusal because it serves another version. A run that has not started is
    /// planned again for that version; a run that has started keeps its own.
    fn handle_other_version(&mut self, target: TargetId, version: WeightVersion) {
        self.app.placer.observe_version(target.clone(), version);
        let has_started = self.outcome != Outcome::NotRun;
        self.replans += 1;
        let plan = plan(&self.app, &self.call, Some(version)).ok();
        match plan.filter(|_| !has_started && self.replans <= MAX_REPLANS) {
            Some(plan) => {
                self.attempts.pop();
                self.replace_plan(plan);
            }
            None => self.excluded.push(target),
        }
    }

    /// Replaces the plan but keeps its start and deadline.
    fn replace_plan(&mut self, plan: Plan) {
        let (started_at, deadline) = (self.plan.started_at, self.plan.deadline);
        self.plan = Plan {
            started_at,
            deadline,
            ..plan
        };
        self.excluded.clear();
    }

    /// Requests hints for the prompt's blocks from the keeper.
    async fn look_up_blocks(&mut self) -> BlockHints {
        if self.plan.blocks.is_empty() {
            return BlockHints::default();
        }
        let mut span = self.child_span("look up", SpanKind::Client);
        let wait = self.app.cfg.lookup_timeout;
        let hints = self
            .app
            .keeper
            .find_blocks(self.plan.blocks.clone(), wait)
            .await;
        span.set_attribute(KeyValue::new("holders", hints.holders.len() as i64));
        span.set_attribute(KeyValue::new("kept", hints.kept.len() as i64));
        hints
    }

    pub(super) fn child_span(&self, name: &'static str, kind: SpanKind) -> ActiveSpan {
        self.app
            .traces
            .span(name, kind, Some(self.span.span_context()))
    }

    async fn place(&mut self, hints: &BlockHints) -> Result<Placed, Failure> {
        let is_retry = !self.attempts.is_empty();
        let allowed = usize::from(self.plan.policy.limits.max_attempts);
        if self.attempts.len() >= allowed {
            return Err(self.final_failure(format!("{allowed} attempts failed")));
        }
        let deadline = if self.first_token.is_some() {
            Instant::now() + self.app.cfg.limits.idle_timeout
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
            Err(refusal) if self.outcome == Outcome::NotRun => Err(refusal.into()),
            Err(refusal) => Err(self.final_failure(refusal.to_string())),
        }
    }

    /// Returns the failure of a request that gets no further attempt.
    fn final_failure(&self, detail: String) -> Failure {
        if self.outcome == Outcome::NotRun {
            return Failure::unavailable(detail, Duration::from_secs(1));
        }
        Failure::unknown(detail)
    }

    /// Handles a failed attempt; returns an error if no further attempt may follow.
    fn handle_engine_error(&mut self, target: TargetId, e: EngineError) -> Result<(), Failure> {
        event!(self.app.log, events::ATTEMPT_FAILED, "request" => %self.call.request,
            "target" => %target, "error" => %e);
        if e.fault == EngineFault::Crossed {
            event!(self.app.log, events::RESPONSE_MISMATCHED, "target" => %target);
        }
        if matches!(e.fault, EngineFault::Unreachable | EngineFault::Cut) {
            self.app.keeper.report(Report::Unreachable(target.clone()));
        }
        self.excluded.push(target);
        if self.call.idempotency_key.is_some() && self.outcome != Outcome::NotRun {
            let detail = format!("the call was sent once and its answer did not come whole: {e}");
            return Err(Failure::unknown(detail));
        }
        Ok(())
    }
}
