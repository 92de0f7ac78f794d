//! Shares of the parts of replaced weights that are retired, by version.
//!
//! Whatever replaced a version has replaced the versions before it too, so the share never rises with the version. It is
//! kept as steps: a step holds for its version and all before it, down to the next lower step. How many versions there
//! have been, and how far their numbers rise, does not matter.

use super::retire::{Retired, Weights};
use std::collections::BTreeMap;

/// Largest number of steps for a model. There are more only while engines serve many versions at once; the versions of
/// further steps stay in use until fewer remain.
const MAX_STEPS: usize = 12;

/// Retired shares by version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RetiredShares {
    /// Shares in (0, 1] that hold up to a version.
    steps: BTreeMap<Weights, f64>,
}

impl RetiredShares {
    /// Returns whether any part of any version is retired.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns the retired share of a version's parts.
    pub fn of(&self, weights: &Weights) -> f64 {
        let mut steps = self.steps.range(weights..);
        let next = steps.next().filter(|(of, _)| of.model == weights.model);
        next.map_or(0.0, |(_, share)| *share)
    }

    /// Retires a share of the parts of a version and of those before it, where no larger one is retired.
    pub fn retire(&mut self, weights: &Weights, share: f64) {
        if share <= self.of(weights) {
            return;
        }
        let is_replaced = |of: &Weights, held: f64| {
            of.model == weights.model && of.version <= weights.version && held <= share
        };
        let of_model = |of: &&Weights| of.model == weights.model;
        let kept = self.steps.iter().filter(|(of, _)| of_model(of));
        let kept = kept.filter(|(of, held)| !is_replaced(of, **held));
        if kept.count() >= MAX_STEPS {
            return;
        }
        self.steps.retain(|of, held| !is_replaced(of, *held));
        self.steps.insert(weights.clone(), share);
    }

    /// Returns the steps, for other boxes.
    pub fn to_send(&self) -> Vec<Retired> {
        let steps = self.steps.iter();
        let retired = steps.map(|(weights, share)| Retired {
            weights: weights.clone(),
            share: *share,
        });
        retired.collect()
    }
}

impl<'a> FromIterator<&'a Retired> for RetiredShares {
    fn from_iter<I: IntoIterator<Item = &'a Retired>>(retired: I) -> Self {
        let mut shares = Self::default();
        for retired in retired {
            shares.retire(&retired.weights, retired.share);
        }
        shares
    }
}
