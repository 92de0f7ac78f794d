//! Turns single mechanisms off, so that the checkers of the fault rounds can be seen to fire.
//!
//! Only in builds with the feature `broken`, which nothing but `cargo xtask faults --off` makes; in
//! every other build [`is_off`] is `false` at compile time.

use derive_more::{Display, FromStr};

/// Names the mechanism that is off, in builds with the feature `broken`.
pub const OFF_ENV: &str = "SILLPIN_OFF";

/// A mechanism that can be turned off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
pub enum Mechanism {
    /// The claim before a call that runs at most once.
    #[display("claim")]
    Claim,
    /// Telling "unknown" apart from "not run".
    #[display("outcome")]
    Outcome,
    /// The check of the attempt that an answer belongs to.
    #[display("attempt")]
    Attempt,
    /// Adopting accepted bundles.
    #[display("adopt")]
    Adopt,
    /// The slots of a weight store.
    #[display("slots")]
    Slots,
}

impl Mechanism {
    /// All of them.
    pub const ALL: [Mechanism; 5] = [
        Self::Claim,
        Self::Outcome,
        Self::Attempt,
        Self::Adopt,
        Self::Slots,
    ];
}

/// Whether a mechanism is turned off.
#[cfg(not(feature = "broken"))]
pub const fn is_off(_: Mechanism) -> bool {
    false
}

/// Whether a mechanism is turned off.
#[cfg(feature = "broken")]
pub fn is_off(mechanism: Mechanism) -> bool {
    let off = std::env::var(OFF_ENV);
    off.is_ok_and(|name| name == mechanism.to_string())
}
