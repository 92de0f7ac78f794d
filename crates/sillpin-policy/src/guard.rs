//! Decides when an arm's traffic goes back to the control arm.

use serde::{Deserialize, Serialize};
use sillpin_core::Share;
use std::time::Duration;

/// Limits on how much worse than the control arm an arm may be.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Guard {
    /// Requests that each of the two arms must have completed or failed before they are compared.
    pub min_samples: u32,
    /// Upper bound for the arm's 95th percentile of the time to first token, in percent of the
    /// control arm's.
    pub first_token_percent: u32,
    /// Differences in the time to first token up to this one never stop the arm, in milliseconds.
    pub first_token_slack_ms: u64,
    /// Largest allowed difference between the arm's share of failed requests and the control arm's.
    pub extra_failures: Share,
}

impl Default for Guard {
    fn default() -> Self {
        Self {
            min_samples: 30,
            first_token_percent: 150,
            first_token_slack_ms: 50,
            extra_failures: Share::try_from(200).unwrap_or_default(),
        }
    }
}

/// Measurements of one arm in one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmSample {
    /// Requests that got a complete response.
    pub answered: u32,
    /// Requests that did not get a complete response.
    pub failed: u32,
    /// 95th percentile of the time to first token.
    pub first_token_p95: Duration,
}

/// Reason for which an arm was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Breach {
    /// The time to first token is too long.
    #[display("first-token")]
    FirstToken,
    /// Too many requests fail.
    #[display("failures")]
    Failures,
}

impl ArmSample {
    fn total(&self) -> u32 {
        self.answered + self.failed
    }

    fn failure_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.total().max(1))
    }
}

impl Guard {
    /// Returns the limit that the arm exceeds, or `None` if it may go on or there are too few
    /// samples.
    pub fn breach(&self, arm: &ArmSample, control: &ArmSample) -> Option<Breach> {
        if arm.total().min(control.total()) < self.min_samples {
            return None;
        }
        let extra = arm.failure_share() - control.failure_share();
        if extra > self.extra_failures.fraction() {
            return Some(Breach::Failures);
        }
        let allowed = control
            .first_token_p95
            .mul_f64(f64::from(self.first_token_percent) / 100.0);
        let slack = Duration::from_millis(self.first_token_slack_ms);
        let late =
            arm.first_token_p95 > allowed && arm.first_token_p95 > control.first_token_p95 + slack;
        late.then_some(Breach::FirstToken)
    }
}
