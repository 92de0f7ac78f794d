//! Switches that disable single mechanisms, to show that the checkers of `cargo xtask faults` detect
//! their absence.
//!
//! This requires the feature `broken`, which only `cargo xtask faults --off` enables; in every other
//! build [`is_off`] is a constant `false`.

use derive_more::{Display, FromStr};

/// Environment variable that names the disabled mechanism, in builds with the feature `broken`.
pub const OFF_ENV: &str = "SILLPIN_OFF";

/// A mechanism that can be disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
pub enum Mechanism {
    /// The claim before a call that runs at most once.
    #[display("claim")]
    Claim,
    /// The distinction between the outcomes "unknown" and "not run".
    #[display("outcome")]
    Outcome,
    /// The check that a response belongs to the current attempt.
    #[display("attempt")]
    Attempt,
    /// The adoption of accepted bundles.
    #[display("adopt")]
    Adopt,
    /// The limit on concurrent loads from a weight store.
    #[display("slots")]
    Slots,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Mechanism; 5] = [
        Self::Claim,
        Self::Outcome,
        Self::Attempt,
        Self::Adopt,
        Self::Slots,
    ];
}

/// Returns whether a mechanism is disabled.
#[cfg(not(feature = "broken"))]
pub const fn is_off(_: Mechanism) -> bool {
    false
}

/// Returns whether a mechanism is disabled.
#[cfg(feature = "broken")]
pub fn is_off(mechanism: Mechanism) -> bool {
    let off = std::env::var(OFF_ENV);
    off.is_ok_and(|name| name == mechanism.to_string())
}
