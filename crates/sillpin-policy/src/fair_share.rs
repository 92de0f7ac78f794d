//! Divides the capacity of a pool fairly among organisations.
//!
//! The division is max-min fair: there is a level such that organisations that request less get all
//! that they request, and all others get the level. It is found by water-filling. An organisation
//! that requests many times its share therefore takes nothing from those below the level.

use derive_more::{Display, FromStr};

/// Prefill work in milliseconds of engine time per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Display, FromStr)]
pub struct PrefillRate(pub f64);

/// Demands that differ from the level by less than this factor count as equal to it: measured
/// demands and capacities are not more precise.
const TOLERANCE: f64 = 1.2;

/// The fair division of a capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FairShare {
    /// Most that any organisation gets; `None` if all get what they request.
    level: Option<PrefillRate>,
}

/// How an organisation's demand compares to its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// No organisation is above its share.
    Unlimited,
    /// The organisation requests no more than its share, and others request more than theirs.
    Below,
    /// The organisation requests more than its share.
    Above {
        /// Share of its requests that is within its share, from 0 to 1.
        part: f64,
    },
}

impl FairShare {
    /// Divides `capacity` among organisations with these demands. An organisation that is alone is
    /// not limited.
    pub fn new(demands: impl IntoIterator<Item = PrefillRate>, capacity: PrefillRate) -> Self {
        let is_positive = |rate: &f64| *rate > 0.0;
        let rates = demands.into_iter().map(|demand| demand.0);
        let mut rates: Vec<f64> = rates.filter(is_positive).collect();
        if rates.len() < 2 {
            return Self::default();
        }
        rates.sort_by(f64::total_cmp);
        Self {
            level: water_level(&rates, capacity.0.max(0.0)).map(PrefillRate),
        }
    }

    /// Returns the level; `None` if all get what they request.
    pub fn level(&self) -> Option<PrefillRate> {
        self.level
    }

    /// Returns what an organisation with this demand gets.
    pub fn share(&self, demand: PrefillRate) -> PrefillRate {
        let level = self.level.map_or(f64::INFINITY, |level| level.0);
        PrefillRate(demand.0.max(0.0).min(level))
    }

    /// Returns how an organisation's demand compares to its share.
    pub fn standing(&self, demand: PrefillRate) -> Standing {
        match self.level {
            None => Standing::Unlimited,
            Some(level) if demand.0 <= level.0 * TOLERANCE => Standing::Below,
            Some(level) => Standing::Above {
                part: level.0 / demand.0,
            },
        }
    }
}

/// Returns the level at which `sorted` demands fill `capacity`, or `None` if it suffices for all.
fn water_level(sorted: &[f64], capacity: f64) -> Option<f64> {
    let mut left = capacity;
    for (position, demand) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - position) as f64;
        if *demand > level {
            return Some(level);
        }
        left -= demand;
    }
    None
}

/// How a request is judged by the overload rule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Claim {
    /// By the rule alone.
    Usual,
    /// Its organisation is below its share: it is refused last.
    Protected,
    /// It exceeds its organisation's share: it is refused first.
    Excess {
        /// Share of the organisation's requests that is within its share, from 0 to 1.
        part: f64,
    },
}

impl Standing {
    /// Returns how one request of the organisation is judged. As many requests as fit into the
    /// share are judged as usual, and only the others as excess: if all were, the organisation
    /// would get less than its share whenever the others fill the capacity. `gain` multiplies the
    /// share, and `draw` is a random number from 0 to 1.
    pub fn claim(self, gain: f64, draw: f64) -> Claim {
        match self {
            Standing::Unlimited => Claim::Usual,
            Standing::Below => Claim::Protected,
            Standing::Above { part } if draw < part * gain => Claim::Usual,
            Standing::Above { part } => Claim::Excess { part },
        }
    }
}
