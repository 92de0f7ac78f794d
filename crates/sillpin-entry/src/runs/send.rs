//! Sends an attempt to an engine and reads its response.

use super::attempt::Attempt;
use super::drive::{Delivery, Driver};
use super::idempotency::Claim;
use crate::placement::Placed;
use opentelemetry::KeyValue;
use opentelemetry::trace::{Span, SpanKind};
use sillpin_core::{AttemptId, Outcome};
use sillpin_rpc::directory::StoredObject;
use sillpin_rpc::records::AttemptRecord;
use sillpin_targets::{
    Engine, EngineError, EngineFault, ObjectRef, RunEvent, RunOrder, RunSummary,
};
use tokio::time::Instant;

/// Reason for which an attempt ended without the end mark.
pub(super) enum RunError {
    /// The engine failed, or the connection to it.
    Engine(EngineError),
    /// The caller has disconnected.
    Disconnected,
}

impl<E: Engine> Driver<E> {
    fn order(&self, placed: &Placed) -> RunOrder {
        let body = &self.call.body;
        RunOrder {
            attempt: AttemptId::generate(),
            model: body.model.clone(),
            version: self.plan.version,
            adapter: body.adapter.clone(),
            blocks: self.plan.blocks.clone(),
            prompt: body.prompt.clone(),
            delivered: self.delivered.clone(),
            start_index: self.tokens,
            max_tokens: body.max_tokens,
            priority: self.plan.policy.priorities.engine_priority(self.call.class),
            imports: placed.imports.iter().map(object_ref).collect(),
            parameters: body.parameters.clone(),
        }
    }

    /// Sends the request to the chosen engine and passes its response on.
    pub(super) async fn attempt(
        &mut self,
        placed: &Placed,
        claim: Option<&mut Claim>,
    ) -> Result<RunSummary, RunError> {
        let mut span = self.child_span("target", SpanKind::Client);
        span.set_attribute(KeyValue::new("target", placed.target.to_string()));
        let order = self.order(placed);
        let result = self.send_and_read(placed, &order, claim).await;
        let result_text = match &result {
            Ok(_) => "answered".to_owned(),
            Err(RunError::Disconnected) => "caller gone".to_owned(),
            Err(RunError::Engine(e)) => e.to_string(),
        };
        span.set_attribute(KeyValue::new("result", result_text.clone()));
        self.attempts.push(AttemptRecord {
            target: placed.target.clone(),
            version: Some(self.plan.version),
            candidates: placed.candidates.clone(),
            result: result_text,
        });
        result
    }

    async fn send_and_read(
        &mut self,
        placed: &Placed,
        order: &RunOrder,
        mut claim: Option<&mut Claim>,
    ) -> Result<RunSummary, RunError> {
        let limits = self.app.cfg.limits;
        if let Some(claim) = claim.as_deref_mut() {
            claim.set_unknown();
        }
        let engine = self.app.engine.clone();
        let started = Attempt::start(
            engine,
            placed.addr,
            order,
            limits.accept_timeout,
            limits.idle_timeout,
        );
        let mut attempt = match started.await {
            Ok(attempt) => attempt,
            Err(e) => {
                if let Some(claim) = claim.filter(|_| e.outcome == Outcome::NotRun) {
                    claim.set_not_run();
                }
                self.outcome = self.outcome.max(e.outcome);
                return Err(RunError::Engine(e));
            }
        };
        self.outcome = Outcome::Unknown;
        let read = self.read_with_resume(&mut attempt, placed).await;
        if let (Ok(_), Some(claim)) = (&read, claim) {
            claim.set_ran();
        }
        read
    }

    /// Reads a response. If it breaks off, it is resumed at the same engine, which keeps it for a
    /// while, unless no token has arrived since the last resumption.
    async fn read_with_resume(
        &mut self,
        attempt: &mut Attempt<E>,
        placed: &Placed,
    ) -> Result<RunSummary, RunError> {
        let mut resumed_at = None;
        loop {
            let error = match self.read(attempt, placed).await {
                Err(RunError::Engine(e)) => e,
                done => return done,
            };
            let made_progress = resumed_at != Some(self.tokens);
            let can_resume = matches!(error.fault, EngineFault::Cut | EngineFault::Timeout);
            if !can_resume || !made_progress {
                return Err(RunError::Engine(error));
            }
            resumed_at = Some(self.tokens);
            let accept_timeout = self.app.cfg.limits.accept_timeout;
            if attempt.resume(self.tokens, accept_timeout).await.is_err() {
                return Err(RunError::Engine(error));
            }
        }
    }

    /// Reads a response. The blocks of the prompt are cached at the first token, so the owners of
    /// the prompt's root in the directory are notified then and not at the end of the response.
    async fn read(
        &mut self,
        attempt: &mut Attempt<E>,
        placed: &Placed,
    ) -> Result<RunSummary, RunError> {
        let mut use_reported = false;
        loop {
            match attempt.next().await.map_err(RunError::Engine)? {
                Some(RunEvent::Token { text, .. }) => {
                    if !std::mem::replace(&mut use_reported, true) {
                        self.report_prompt_use(placed);
                    }
                    self.deliver(text).await?;
                }
                Some(RunEvent::End { summary, .. }) => return Ok(summary),
                None => return Err(RunError::Disconnected),
            }
        }
    }

    async fn deliver(&mut self, text: String) -> Result<(), RunError> {
        let now = Instant::now();
        if self.first_token.is_none() {
            let after = now - self.plan.started_at;
            self.first_token = Some(after);
            self.app.metrics.first_token(&self.plan.labels, after);
        }
        self.last_token = Some(now);
        self.tokens += 1;
        self.delivered.push_str(&text);
        let sent = self.tx.send(Delivery::Token(text)).await;
        sent.map_err(|_| RunError::Disconnected)
    }
}

fn object_ref(stored: &StoredObject) -> ObjectRef {
    ObjectRef {
        block: stored.block,
        generation: stored.generation,
        store: stored.store.clone(),
        addr: stored.addr,
        len: stored.len,
        checksum: stored.checksum.clone(),
    }
}
