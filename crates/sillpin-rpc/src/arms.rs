//! Measurements of the arms of a rollout on a box, as sums that can be merged across boxes.

use serde::{Deserialize, Serialize};
use sillpin_core::{ArmName, BoxId, Revision, ZoneId};

/// Sums over (part, whole) pairs, from which a ratio and its standard error are computed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RatioSums {
    /// Number of pairs.
    pub count: u64,
    /// Sum of the parts.
    pub part: f64,
    /// Sum of the wholes.
    pub whole: f64,
    /// Sum of the parts' squares.
    pub part_squared: f64,
    /// Sum of the wholes' squares.
    pub whole_squared: f64,
    /// Sum of the products of part and whole.
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

    /// Adds the sums of other pairs.
    pub fn merge(&mut self, other: &RatioSums) {
        self.count += other.count;
        self.part += other.part;
        self.whole += other.whole;
        self.part_squared += other.part_squared;
        self.whole_squared += other.whole_squared;
        self.product += other.product;
    }

    /// Returns the sum of the parts divided by the sum of the wholes, or 0 without wholes.
    pub fn ratio(&self) -> f64 {
        if self.whole == 0.0 {
            0.0
        } else {
            self.part / self.whole
        }
    }

    /// Returns the standard error of the ratio, by linearisation.
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

/// Measurements of an arm on a box since its revision came into force there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ArmFigures {
    /// The box.
    pub by: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Revision of the bundle.
    pub revision: Revision,
    /// The arm.
    pub arm: ArmName,
    /// Times to first token in microseconds, each with its number of occurrences.
    pub first_tokens: Vec<(u64, u64)>,
    /// Number of requests without a complete response.
    pub failed: u64,
    /// Computed prompt tokens as a part of all prompt tokens.
    pub computed: RatioSums,
    /// Bytes fetched from stores per request.
    pub link_bytes: RatioSums,
}
