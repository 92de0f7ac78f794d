//! What the rounds counted.

use serde::Serialize;
use std::collections::BTreeMap;

/// A promise and how often it was tried and violated.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Tally {
    /// Times tried.
    pub tried: u64,
    /// Times violated.
    pub violated: u64,
}

impl Tally {
    /// Counts further tries.
    pub fn count(&mut self, tried: usize, violated: usize) {
        self.tried += tried as u64;
        self.violated += violated as u64;
    }
}

/// What the rounds counted.
#[derive(Debug, Clone, Default, Serialize)]
pub struct FaultReport {
    /// Rounds.
    pub rounds: u32,
    /// Each caller receives the whole answer to its own request.
    pub whole_own_answer: Tally,
    /// "Not run" is true, counted at the services.
    pub not_run_is_true: Tally,
    /// Calls that run at most once run at most once.
    pub at_most_once: Tally,
    /// An accepted bundle is in force everywhere and never reverts.
    pub bundle_in_force: Tally,
    /// Never more than three loads of weights at once.
    pub loads_at_once: Tally,
    /// Repeatable requests, and those among them that were not answered whole.
    pub repeatable: Tally,
    /// Calls that ended as unknown.
    pub unknown: u64,
    /// Faults injected, by name.
    pub injected: BTreeMap<String, u32>,
}

impl FaultReport {
    /// Promises violated.
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
