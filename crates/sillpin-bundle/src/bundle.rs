//! The bundle document: the policies, arms and pools that a fleet runs with, and its validation.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sillpin_core::{ArmName, ModelId, PoolId, Share, TargetKind, WeightVersion, ZoneId};
use sillpin_policy::PolicySet;
use sillpin_policy::arms::{ArmShare, arm_for};
use sillpin_policy::guard::Guard;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum length of a bundle, in bytes of JSON; the platform's store limits values to a megabyte.
pub const MAX_BUNDLE_LEN: usize = 256 << 10;

/// Upper limit of `max_attempts` (attempts per request) in a bundle.
const MAX_ATTEMPTS: u8 = 8;

/// Upper limit of the candidates (homes and samples) that one placement decision may consider.
const MAX_CANDIDATES: u8 = 32;

/// An arm of an experiment: a share of the prompts that gets a policy of its own, for comparison with
/// the control arm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Name of the arm.
    pub name: ArmName,
    /// Share of the prompts in `zones` that the arm gets, in hundredths of a percent.
    pub share: Share,
    /// Availability zones in which the arm runs.
    pub zones: Vec<ZoneId>,
    /// Policy for the arm's prompts.
    pub policy: PolicySet,
}

/// Configuration of a pool of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolPolicy {
    /// Kind of the pool's targets.
    pub kind: TargetKind,
    /// Model that the pool serves; set for engines only.
    #[serde(default)]
    pub model: Option<ModelId>,
    /// Desired weight version of the pool's engines; `None` leaves the loaded version unchanged.
    #[serde(default)]
    pub version: Option<WeightVersion>,
    /// Minimum number of engines that keep serving while others load weights.
    #[serde(default)]
    pub floor: u32,
}

/// A bundle: all policies that are rolled out together as one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Human-readable name.
    pub name: String,
    /// Purpose of the bundle, as free text.
    #[serde(default)]
    pub description: String,
    /// Policy for all traffic that belongs to none of `arms`.
    pub control: PolicySet,
    /// Arms that are compared with the control arm.
    #[serde(default)]
    pub arms: Vec<Arm>,
    /// Thresholds at which an arm is stopped automatically.
    #[serde(default)]
    pub guard: Guard,
    /// Pools that callers may address.
    #[serde(default)]
    pub pools: BTreeMap<PoolId, PoolPolicy>,
}

/// A validation error of a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{field}: {what}")]
pub struct BundleError {
    /// Path of the invalid field.
    pub field: String,
    /// Description of the error and of the accepted values.
    pub what: String,
}

impl Bundle {
    /// Parses a bundle from JSON. Fails if the text is longer than [`MAX_BUNDLE_LEN`] or not a bundle.
    pub fn from_json(text: &str) -> Result<Self, BundleError> {
        let error = |what: String| BundleError {
            field: "bundle".to_owned(),
            what,
        };
        if text.len() > MAX_BUNDLE_LEN {
            return Err(error(format!("longer than {MAX_BUNDLE_LEN} bytes")));
        }
        serde_json::from_str(text).map_err(|e| error(e.to_string()))
    }

    /// Validates the bundle and returns all errors; an empty list means that it may be signed.
    pub fn check(&self) -> Vec<BundleError> {
        let mut errors = ValidationErrors::default();
        errors.require(!self.name.is_empty(), "name", "must not be empty");
        check_policy(&self.control, "control", &mut errors);
        self.check_arms(&mut errors);
        self.check_pools(&mut errors);
        errors.0
    }

    fn check_arms(&self, errors: &mut ValidationErrors) {
        let shares = self.arms.iter().map(|arm| u32::from(arm.share.units()));
        let all_units = u32::from(Share::WHOLE_UNITS);
        let total: u32 = shares.sum();
        errors.require(
            total < all_units,
            "arms",
            "shares must leave some for the control arm",
        );
        let mut names = BTreeSet::new();
        for arm in &self.arms {
            let field = format!("arms.{}", arm.name);
            let is_valid = names.insert(&arm.name) && arm.name.as_str() != CONTROL_ARM;
            errors.require(is_valid, &field, "name is used twice or is `control`");
            errors.require(!arm.zones.is_empty(), &field, "zones must not be empty");
            check_policy(&arm.policy, &field, errors);
        }
    }

    fn check_pools(&self, errors: &mut ValidationErrors) {
        for (id, pool) in &self.pools {
            let field = format!("pools.{id}");
            let is_engine = pool.kind == TargetKind::Engine;
            errors.require(
                pool.model.is_some() == is_engine,
                &field,
                "model must be given for engines, and only for them",
            );
            errors.require(
                pool.version.is_none() || is_engine,
                &field,
                "version is for engines only",
            );
        }
    }

    /// Returns the arm that `prompt` (a hash) belongs to in `zone`; `None` is the control arm. Arms for
    /// which `stopped` returns true are not considered.
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

    /// Returns the engine pool that serves `model`.
    pub fn pool_of_model(&self, model: &ModelId) -> Option<&PoolId> {
        let serves = |pool: &PoolPolicy| pool.model.as_ref() == Some(model);
        let mut pools = self.pools.iter();
        pools.find(|(_, pool)| serves(pool)).map(|(id, _)| id)
    }
}

/// Name of the control arm in metrics and decision records.
pub const CONTROL_ARM: &str = "control";

/// Collects the validation errors of a bundle.
#[derive(Default)]
struct ValidationErrors(Vec<BundleError>);

impl ValidationErrors {
    /// Adds an error for `field` unless `holds`.
    fn require(&mut self, holds: bool, field: &str, what: &str) {
        if !holds {
            self.0.push(BundleError {
                field: field.to_owned(),
                what: what.to_owned(),
            });
        }
    }
}

fn check_policy(policy: &PolicySet, at: &str, errors: &mut ValidationErrors) {
    let placement = &policy.placement;
    let candidates = placement.homes.saturating_add(placement.samples);
    let field = |name: &str| format!("{at}.{name}");
    errors.require(
        (1..=MAX_CANDIDATES).contains(&candidates),
        &field("placement"),
        "homes and samples together must be from 1 to 32",
    );
    errors.require(
        placement.home_blocks > 0,
        &field("placement.home_blocks"),
        "must be at least 1",
    );
    errors.require(
        placement.first_token_weight > 0,
        &field("placement.first_token_weight"),
        "must be at least 1, or a busy engine looks as good as an idle one",
    );
    check_limits(policy, at, errors);
}

fn check_limits(policy: &PolicySet, at: &str, errors: &mut ValidationErrors) {
    let field = |name: &str| format!("{at}.{name}");
    errors.require(
        (1..=MAX_ATTEMPTS).contains(&policy.limits.max_attempts),
        &field("limits.max_attempts"),
        "must be from 1 to 8",
    );
    errors.require(
        policy.limits.retry_percent <= 100,
        &field("limits.retry_percent"),
        "must be at most 100",
    );
    errors.require(
        (10..=60_000).contains(&policy.limits.engine_queue_ms),
        &field("limits.engine_queue_ms"),
        "must be from 10 to 60000",
    );
    let deadlines = policy.priorities.first_token_deadline_ms.values();
    errors.require(
        deadlines.into_iter().all(|ms| (100..=600_000).contains(ms)),
        &field("priorities.first_token_deadline_ms"),
        "must be from 100 to 600000",
    );
}
