//! When an arm's traffic goes back to the control arm.

use serde::{Deserialize, Serialize};
use sillpin_core::Share;
use std::time::Duration;

/// Limits of an arm's damage.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Guard {
    /// Answers needed in each arm before it is judged.
    pub min_samples: u32,
    /// Most that the arm's 95th percentile of the time to first token may be, in percent of the
    /// control arm's.
    pub first_token_percent: u32,
    /// Differences below this are never held against the arm, in milliseconds.
    pub first_token_slack_ms: u64,
    /// Most by which the arm's share of failed requests may exceed the control arm's.
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

/// What was measured of an arm in a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmSample {
    /// Requests that got their whole answer.
    pub answered: u32,
    /// Requests that did not.
    pub failed: u32,
    /// 95th percentile of the time to first token.
    pub first_token_p95: Duration,
}

/// Why an arm was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Breach {
    /// Its first tokens come too late.
    #[display("first-token")]
    FirstToken,
    /// Too many of its requests fail.
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
    /// Whether the arm has to stop.
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
