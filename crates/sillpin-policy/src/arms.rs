//! Assigns prompts to the arms of a rollout.
//!
//! As in the migration described in "Saving another 100 TB of RAM with math and Rust", an arm's
//! share of the traffic and the zones where it runs are configured separately. The assignment is
//! stable for each prompt, so that a prompt that returns meets the policy that stored its blocks.

use crate::rendezvous::key_of;
use sillpin_core::{ArmName, Share, ZoneId};

/// Makes the choice of an arm independent of the choice of a home.
const ARM_SALT: u64 = 0x5349_4c4c_4152_4d53;

/// The properties of an arm that decide which prompts it gets.
#[derive(Debug, Clone, Copy)]
pub struct ArmShare<'a> {
    /// Name of the arm.
    pub name: &'a ArmName,
    /// Share of the prompts that the arm gets in its zones.
    pub share: Share,
    /// Zones in which the arm runs.
    pub zones: &'a [ZoneId],
}

/// Returns the arm of a prompt in a zone, or `None` for the control arm. Arms for which `stopped`
/// returns true get no traffic.
///
/// Each prompt hashes to a point in the range of all shares. The point does not depend on which
/// arms are stopped, so stopping one arm moves no prompt between the others.
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
