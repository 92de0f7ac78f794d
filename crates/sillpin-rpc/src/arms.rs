//! What each arm of a rollout measured in a box, as sums that can be added up over boxes.

use serde::{Deserialize, Serialize};
use sillpin_core::{ArmName, BoxId, Revision, ZoneId};

/// Sums over pairs of a part and its whole, enough for a ratio and its standard error.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RatioSums {
    /// Pairs.
    pub count: u64,
    /// Sum of the parts.
    pub part: f64,
    /// Sum of the wholes.
    pub whole: f64,
    /// Sum of the parts' squares.
    pub part_squared: f64,
    /// Sum of the wholes' squares.
    pub whole_squared: f64,
    /// Sum of the products.
    pub product: f64,
}

impl RatioSums {
    /// Adds a pair.
    pub fn add(&mut self, part: f64, whole: f64) {
        self.count += 1;
        self.part += part;
        self.whole += whole;
        self.part_squared += part * part;
        self.whole_squared += whole * whole;
        self.product += part * whole;
    }

    /// Adds the sums of others.
    pub fn join(&mut self, other: &RatioSums) {
        self.count += other.count;
        self.part += other.part;
        self.whole += other.whole;
        self.part_squared += other.part_squared;
        self.whole_squared += other.whole_squared;
        self.product += other.product;
    }

    /// Parts over wholes.
    pub fn ratio(&self) -> f64 {
        if self.whole == 0.0 {
            0.0
        } else {
            self.part / self.whole
        }
    }

    /// Standard error of the ratio, by linearisation.
    pub fn standard_error(&self) -> f64 {
        if self.count < 2 || self.whole == 0.0 {
            return f64::INFINITY;
        }
        let ratio = self.ratio();
        let residuals =
            self.part_squared - 2.0 * ratio * self.product + ratio * ratio * self.whole_squared;
        let count = self.count as f64;
        let variance = residuals.max(0.0) / (count - 1.0);
        (variance * count).sqrt() / self.whole
    }
}

/// What an arm measured in a box since its revision came into force there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ArmFigures {
    /// The box.
    pub by: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The revision.
    pub revision: Revision,
    /// The arm.
    pub arm: ArmName,
    /// Times to first token in microseconds, each with how often it was seen.
    pub first_tokens: Vec<(u64, u64)>,
    /// Requests that got no whole answer.
    pub failed: u64,
    /// Prompt tokens computed, over all.
    pub computed: RatioSums,
    /// Bytes fetched from stores, for each request.
    pub link_bytes: RatioSums,
}
