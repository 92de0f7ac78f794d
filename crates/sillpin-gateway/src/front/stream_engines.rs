//! The request path's part in the choice of stream engines.

use super::admit::AdmittedRequest;
use super::prepared::PreparedAttempt;
use super::progress::Progress;
use super::shared::Shared;
use crate::dialect::Dialect;
use crate::fleet_state::View;
use crate::placement::InFlightGuard;
use crate::placement::stream_engines::{PromptKind, StreamInputs, StreamRules};
use crate::releases::Cohort;
use rand::RngExt;
use sillpin_core::PoolId;
use sillpin_telemetry::{event, events};
use tokio::time::Instant;

impl<D: Dialect> Shared<D> {
    /// Returns the input for the choice between stream engines and others, if the pool has stream engines. The few
    /// requests for the new version of a release don't use any.
    pub(super) fn stream_inputs(
        &self,
        request: &AdmittedRequest,
        pool: &PoolId,
        view: &View,
        progress: &Progress,
    ) -> Option<StreamInputs> {
        if !self.cfg.scheduling.stream_engines || progress.cohort != Cohort::Control {
            return None;
        }
        let engine = request.config.pool(pool)?.engine.as_ref()?;
        let rules = StreamRules::of(&request.config, pool, engine)?;
        let speed = self.pool_speed(pool, view, Instant::now());
        let prefill_ms = speed.rate.ms(request.head.prompt.as_ref()?.tokens);
        let others = view.boxes.iter();
        Some(StreamInputs {
            rules,
            kind: rules.kind(prefill_ms),
            prefill_ms,
            zone_boxes: 1 + others.filter(|other| other.zone == self.cfg.zone).count(),
            draw: rand::rng().random(),
        })
    }

    /// Logs the numbers of stream engines of a pool if they have changed, at most once a second.
    pub(super) fn log_stream_engines(&self, pool: &PoolId, now: Instant) {
        let change = self.loads.stream_engines().take_change(pool, now);
        if let Some(zones) = change {
            event!(self.log, events::STREAM_ENGINES_CHANGED, "pool" => pool.as_str(), "zones" => zones);
        }
    }

    /// Counts a prepared attempt as in flight until the guard is dropped.
    pub fn start_work(&self, prepared: &PreparedAttempt) -> InFlightGuard {
        let chosen = &prepared.chosen;
        if chosen.kind == Some(PromptKind::Long) && chosen.is_stream_engine {
            let mut state = self.loads.stream_engines();
            let draw = rand::rng().random_range(0.0..1.0);
            state
                .long_prompts(&chosen.target.pool)
                .record_sent(draw, Instant::now());
        }
        let stream = prepared.stream.unwrap_or_default();
        self.loads
            .start_stream(&chosen.target.id, prepared.work(), stream)
    }
}
