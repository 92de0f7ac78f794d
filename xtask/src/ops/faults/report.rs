//! Results of the rounds.

use serde::Serialize;
use std::collections::BTreeMap;

/// How often a guarantee was checked and violated.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Tally {
    /// Number of checks.
    pub tried: u64,
    /// Number of violations.
    pub violated: u64,
}

impl Tally {
    /// Adds further checks and violations.
    pub fn count(&mut self, tried: usize, violated: usize) {
        self.tried += tried as u64;
        self.violated += violated as u64;
    }
}

/// Results of all rounds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct FaultReport {
    /// Number of rounds.
    pub rounds: u32,
    /// Guarantee: no request is lost, and each caller receives the response to its own request.
    pub whole_own_answer: Tally,
    /// Guarantee: a call reported as "not run" did not run, as counted by the services.
    pub not_run_is_true: Tally,
    /// Guarantee: a call with an idempotency key runs at most once.
    pub at_most_once: Tally,
    /// Guarantee: an accepted bundle is in force on every box.
    pub bundle_in_force: Tally,
    /// Guarantee: at most three weight loads run at the same time.
    pub loads_at_once: Tally,
    /// Repeatable requests, and those of them that got no complete response.
    pub repeatable: Tally,
    /// Number of requests whose outcome was reported as unknown.
    pub unknown: u64,
    /// Number of injected faults, by name.
    pub injected: BTreeMap<String, u32>,
}

impl FaultReport {
    /// Returns the number of violated guarantees.
    pub fn violations(&self) -> u64 {
        [
            self.whole_own_answer,
            self.not_run_is_true,
            self.at_most_once,
            self.bundle_in_force,
            self.loads_at_once,
        ]
        .iter()
        .map(|tally| tally.violated)
        .sum()
    }
}
