//! Which arm of a rollout a prompt belongs to.
//!
//! As in the paper's migration ("Saving another 100 TB of RAM with math and Rust"), the share of
//! traffic that uses an arm and the places where it may are set apart, and the choice is stable for
//! each prompt, so that a prompt that returns meets the policy that kept its blocks.

use crate::rendezvous::key_of;
use sillpin_core::{ArmName, Share, ZoneId};

/// Separates the choice of an arm from the choice of a home.
const ARM_SALT: u64 = 0x5349_4c4c_4152_4d53;

/// What of an arm decides who belongs to it.
#[derive(Debug, Clone, Copy)]
pub struct ArmShare<'a> {
    /// The arm.
    pub name: &'a ArmName,
    /// Its share of the prompts where it runs.
    pub share: Share,
    /// Where it runs.
    pub zones: &'a [ZoneId],
}

/// The arm of a prompt in a zone; `None` is the control arm. `stopped` arms get no traffic.
///
/// A prompt's point on the line of all prompts does not depend on which arms are stopped, so
/// stopping one arm moves no prompt between the others.
pub fn arm_for<'a>(
    arms: impl IntoIterator<Item = ArmShare<'a>>,
    zone: &ZoneId,
    prompt: u64,
    stopped: impl Fn(&ArmName) -> bool,
) -> Option<&'a ArmName> {
    let units = u64::from(Share::WHOLE_UNITS);
    let salt = key_of("arm") ^ ARM_SALT;
    let point = (u128::from(xor_shift(prompt ^ salt)) * u128::from(units)) >> 64;
    let mut from = 0;
    for arm in arms {
        let until = from + u128::from(arm.share.units());
        let inside = (from..until).contains(&point);
        from = until;
        if inside && arm.zones.contains(zone) && !stopped(arm.name) {
            return Some(arm.name);
        }
    }
    None
}

fn xor_shift(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
