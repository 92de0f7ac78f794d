//! A bundle of policies and its checks.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sillpin_core::{ArmName, ModelId, PoolId, Share, TargetKind, WeightVersion, ZoneId};
use sillpin_policy::PolicySet;
use sillpin_policy::arms::{ArmShare, arm_for};
use sillpin_policy::guard::Guard;
use std::collections::{BTreeMap, BTreeSet};

/// Longest bundle accepted, in bytes of JSON; the platform's service holds values to a megabyte.
pub const MAX_BUNDLE_LEN: usize = 256 << 10;

/// Most attempts at one request that a bundle may allow.
const MAX_ATTEMPTS: u8 = 8;

/// Most candidates of one decision that a bundle may ask for.
const MAX_CANDIDATES: u8 = 32;

/// An arm under comparison with the control arm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Its name.
    pub name: ArmName,
    /// Its share of the prompts where it runs, in hundredths of a percent.
    pub share: Share,
    /// Availability zones in which it runs.
    pub zones: Vec<ZoneId>,
    /// Its policy.
    pub policy: PolicySet,
}

/// What a bundle says of a pool of engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolPolicy {
    /// The kind of its targets.
    pub kind: TargetKind,
    /// Model that it serves, if its targets are engines.
    #[serde(default)]
    pub model: Option<ModelId>,
    /// Weight version that its engines are to load; absent: leave them.
    #[serde(default)]
    pub version: Option<WeightVersion>,
    /// Engines that must go on serving while others load.
    #[serde(default)]
    pub floor: u32,
}

/// A bundle of policies.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Name for people.
    pub name: String,
    /// What it is meant to do.
    #[serde(default)]
    pub description: String,
    /// Policy of all traffic that belongs to no other arm.
    pub control: PolicySet,
    /// Arms under comparison.
    #[serde(default)]
    pub arms: Vec<Arm>,
    /// When an arm stops by itself.
    #[serde(default)]
    pub guard: Guard,
    /// Pools that callers may name.
    #[serde(default)]
    pub pools: BTreeMap<PoolId, PoolPolicy>,
}

/// Something in a bundle that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{field}: {what}")]
pub struct BundleFault {
    /// Path of the field.
    pub field: String,
    /// What is wrong and what is accepted.
    pub what: String,
}

impl Bundle {
    /// Reads a bundle; the fault names the place.
    pub fn from_json(text: &str) -> Result<Self, BundleFault> {
        let fault = |what: String| BundleFault {
            field: "bundle".to_owned(),
            what,
        };
        if text.len() > MAX_BUNDLE_LEN {
            return Err(fault(format!("longer than {MAX_BUNDLE_LEN} bytes")));
        }
        serde_json::from_str(text).map_err(|e| fault(e.to_string()))
    }

    /// Every fault of the bundle; empty if it may be signed.
    pub fn check(&self) -> Vec<BundleFault> {
        let mut faults = Faults::default();
        faults.require(!self.name.is_empty(), "name", "must not be empty");
        check_policy(&self.control, "control", &mut faults);
        self.check_arms(&mut faults);
        self.check_pools(&mut faults);
        faults.0
    }

    fn check_arms(&self, faults: &mut Faults) {
        let shares = self.arms.iter().map(|arm| u32::from(arm.share.units()));
        let whole = u32::from(Share::WHOLE_UNITS);
        let total: u32 = shares.sum();
        faults.require(
            total < whole,
            "arms",
            "shares must leave some for the control arm",
        );
        let mut names = BTreeSet::new();
        for arm in &self.arms {
            let field = format!("arms.{}", arm.name);
            let fresh = names.insert(&arm.name) && arm.name.as_str() != CONTROL_ARM;
            faults.require(fresh, &field, "name stands twice or is `control`");
            faults.require(!arm.zones.is_empty(), &field, "zones must not be empty");
            check_policy(&arm.policy, &field, faults);
        }
    }

    fn check_pools(&self, faults: &mut Faults) {
        for (id, pool) in &self.pools {
            let field = format!("pools.{id}");
            let is_engine = pool.kind == TargetKind::Engine;
            faults.require(
                pool.model.is_some() == is_engine,
                &field,
                "model must be given for engines, and only for them",
            );
            faults.require(
                pool.version.is_none() || is_engine,
                &field,
                "version is for engines only",
            );
        }
    }

    /// The arm of a prompt in a zone.
    pub fn arm(
        &self,
        zone: &ZoneId,
        prompt: u64,
        stopped: impl Fn(&ArmName) -> bool,
    ) -> Option<&Arm> {
        let shares = self.arms.iter().map(|arm| ArmShare {
            name: &arm.name,
            share: arm.share,
            zones: &arm.zones,
        });
        let name = arm_for(shares, zone, prompt, stopped)?;
        self.arms.iter().find(|arm| arm.name == *name)
    }

    /// The engine pool that serves a model.
    pub fn pool_of_model(&self, model: &ModelId) -> Option<&PoolId> {
        let serves = |pool: &PoolPolicy| pool.model.as_ref() == Some(model);
        let mut pools = self.pools.iter();
        pools.find(|(_, pool)| serves(pool)).map(|(id, _)| id)
    }
}

/// Name of the control arm in figures and records.
pub const CONTROL_ARM: &str = "control";

#[derive(Default)]
struct Faults(Vec<BundleFault>);

impl Faults {
    fn require(&mut self, holds: bool, field: &str, what: &str) {
        if !holds {
            self.0.push(BundleFault {
                field: field.to_owned(),
                what: what.to_owned(),
            });
        }
    }
}

fn check_policy(policy: &PolicySet, at: &str, faults: &mut Faults) {
    let placement = &policy.placement;
    let candidates = placement.homes.saturating_add(placement.samples);
    let field = |name: &str| format!("{at}.{name}");
    faults.require(
        (1..=MAX_CANDIDATES).contains(&candidates),
        &field("placement"),
        "homes and samples together must be from 1 to 32",
    );
    faults.require(
        placement.home_blocks > 0,
        &field("placement.home_blocks"),
        "must be at least 1",
    );
    faults.require(
        placement.first_token_weight > 0,
        &field("placement.first_token_weight"),
        "must be at least 1, or a busy engine looks as good as an idle one",
    );
    check_limits(policy, at, faults);
}

fn check_limits(policy: &PolicySet, at: &str, faults: &mut Faults) {
    let field = |name: &str| format!("{at}.{name}");
    faults.require(
        (1..=MAX_ATTEMPTS).contains(&policy.limits.max_attempts),
        &field("limits.max_attempts"),
        "must be from 1 to 8",
    );
    faults.require(
        policy.limits.retry_percent <= 100,
        &field("limits.retry_percent"),
        "must be at most 100",
    );
    faults.require(
        (10..=60_000).contains(&policy.limits.engine_queue_ms),
        &field("limits.engine_queue_ms"),
        "must be from 10 to 60000",
    );
    let deadlines = policy.priorities.first_token_deadline_ms.values();
    faults.require(
        deadlines.into_iter().all(|ms| (100..=600_000).contains(ms)),
        &field("priorities.first_token_deadline_ms"),
        "must be from 100 to 600000",
    );
}
