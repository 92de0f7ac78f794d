//! Reports on requests that ended: metrics, samples for arms, decision records.

use super::drive::{Delivery, Driver};
use crate::arms::{Completed, Sample};
use crate::front::Failure;
use crate::front::documents::Provenance;
use crate::keeper_link::Report;
use crate::metrics::PromptWork;
use crate::placement::Placed;
use opentelemetry::KeyValue;
use opentelemetry::trace::Span;
use sillpin_core::{Outcome, Tokens};
use sillpin_rpc::directory::PromptUse;
use sillpin_rpc::records::DecisionRecord;
use sillpin_targets::{Engine, RunSummary};
use sillpin_telemetry::{event, events};

impl<E: Engine> Driver<E> {
    /// Reports to the keeper that the prompt's blocks are cached at an engine.
    pub(super) fn report_prompt_use(&self, placed: &Placed) {
        if self.plan.blocks.is_empty() {
            return;
        }
        self.app.keeper.report(Report::PromptUsed(PromptUse {
            blocks: self.plan.blocks.clone(),
            target: placed.target.clone(),
            addr: placed.addr,
            arm: self.plan.arm.clone(),
        }));
    }

    /// Records a complete response and delivers its end.
    pub(super) async fn completed(mut self, summary: RunSummary) {
        self.outcome = Outcome::Ran;
        let labels = &self.plan.labels;
        self.app.metrics.count_request(labels, Outcome::Ran, true);
        self.app.metrics.prompt_work(labels, prompt_work(&summary));
        self.record_token_interval();
        self.count_in_arm(Some(&summary));
        event!(self.app.log, events::REQUEST_COMPLETED, "request" => %self.call.request,
            "tokens" => summary.tokens, "cached" => %summary.cached_tokens);
        self.report_decision(Outcome::Ran);
        let provenance = Provenance {
            weight_version: self.plan.version,
            revision: self.plan.revision,
        };
        let _ = self.tx.send(Delivery::End(summary, provenance)).await;
    }

    /// Records the mean time between tokens, if there were at least two.
    fn record_token_interval(&self) {
        let (Some(first), Some(last)) = (self.first_token, self.last_token) else {
            return;
        };
        let gaps = self.tokens.saturating_sub(1);
        if gaps > 0 {
            let duration = last - (self.plan.started_at + first);
            self.app
                .metrics
                .between_tokens(&self.plan.labels, duration / gaps);
        }
    }

    /// Records a failed request and delivers the failure.
    pub(super) async fn failed(mut self, failure: Failure) {
        self.app
            .metrics
            .count_request(&self.plan.labels, failure.outcome, false);
        self.count_in_arm(None);
        event!(self.app.log, events::REQUEST_FAILED, "request" => %self.call.request,
            "outcome" => %failure.outcome, "error" => %failure);
        self.report_decision(failure.outcome);
        let _ = self.tx.send(Delivery::Failed(failure)).await;
    }

    /// Records a request whose caller has disconnected.
    pub(super) fn caller_disconnected(mut self) {
        self.app
            .metrics
            .count_request(&self.plan.labels, self.outcome, false);
        self.report_decision(self.outcome);
    }

    fn count_in_arm(&self, summary: Option<&RunSummary>) {
        let completed = summary.map(|summary| Completed {
            first_token: self.first_token.unwrap_or_default(),
            work: prompt_work(summary),
        });
        self.app.arms.count(Sample {
            revision: self.plan.revision,
            arm: self.plan.arm.clone(),
            completed,
        });
    }

    fn report_decision(&mut self, outcome: Outcome) {
        self.span
            .set_attribute(KeyValue::new("outcome", outcome.to_string()));
        self.app
            .keeper
            .report(Report::Record(Box::new(DecisionRecord {
                request: self.call.request,
                by: self.app.cfg.box_id.clone(),
                zone: self.app.cfg.zone.clone(),
                org: self.call.org.clone(),
                pool: Some(self.plan.pool.clone()),
                model: Some(self.call.body.model.clone()),
                class: self.call.class,
                revision: self.plan.revision,
                arm: self.plan.arm.clone(),
                blocks: self.plan.block_count,
                attempts: std::mem::take(&mut self.attempts),
                outcome,
                first_token_us: self.first_token.map(|after| after.as_micros() as u64),
            })));
    }
}

fn prompt_work(summary: &RunSummary) -> PromptWork {
    let reused = summary.cached_tokens.0 + summary.imported_tokens.0;
    PromptWork {
        computed: Tokens(summary.prompt_tokens.0.saturating_sub(reused)),
        cached: summary.cached_tokens,
        imported: summary.imported_tokens,
        link_bytes: summary.imported_bytes,
    }
}
