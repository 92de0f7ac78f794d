//! Determines what stays fixed for a run: bundle revision, arm, pool, weight version and the names
//! of the prompt's blocks.

use super::Call;
use crate::app::App;
use crate::front::Failure;
use crate::metrics::Labels;
use crate::snapshot::Snapshot;
use sillpin_bundle::bundle::CONTROL_ARM;
use sillpin_core::block::{BLOCK_BYTES, PromptScope};
use sillpin_core::{ArmName, BlockName, PoolId, Revision, TargetKind, WeightVersion};
use sillpin_policy::PolicySet;
use sillpin_targets::Engine;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// What a run is pinned to.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    pub(super) revision: Revision,
    pub(super) arm: ArmName,
    pub(super) policy: Arc<PolicySet>,
    pub(super) pool: PoolId,
    pub(super) version: WeightVersion,
    /// Hash of the prompt, which determines its home engines.
    pub(super) home: u64,
    /// Names of the complete blocks of the prompt.
    pub(super) blocks: Vec<BlockName>,
    /// Number of blocks, including an incomplete last one.
    pub(super) block_count: u32,
    pub(super) started_at: Instant,
    pub(super) deadline: Instant,
    pub(super) labels: Labels,
}

/// Plans a run; `version` is the weight version if an engine has returned the one it serves.
pub(super) fn plan<E: Engine>(
    app: &App<E>,
    call: &Call,
    version: Option<WeightVersion>,
) -> Result<Plan, Failure> {
    let started_at = Instant::now();
    let snapshot = app.snapshot();
    let in_force = snapshot.in_force.as_ref();
    let in_force =
        in_force.ok_or_else(|| Failure::unavailable("no bundle yet", Duration::from_secs(1)))?;
    let body = &call.body;
    let block_count = body.prompt.len().div_ceil(BLOCK_BYTES);
    if block_count as u64 > app.cfg.limits.max_blocks {
        let detail = format!(
            "the prompt has more than {} blocks",
            app.cfg.limits.max_blocks
        );
        return Err(Failure::too_long(detail));
    }
    let pool = in_force.bundle.pool_of_model(&body.model);
    let pool =
        pool.ok_or_else(|| Failure::not_found(format!("no pool serves model {}", body.model)))?;
    let mut scope = PromptScope {
        org: call.org.clone(),
        model: body.model.clone(),
        adapter: body.adapter.clone(),
        version: WeightVersion(0),
    };
    let key = &app.cfg.block_key;
    let arm_hash = scope.home_hash(key, &body.prompt, usize::from(u8::MAX));
    let stopped = |arm: &ArmName| in_force.stopped.contains(arm);
    let arm = in_force.bundle.arm(&app.cfg.zone, arm_hash, stopped);
    let policy = arm.map_or(&in_force.bundle.control, |arm| &arm.policy);
    let arm = match arm {
        Some(arm) => arm.name.clone(),
        None => CONTROL_ARM
            .parse()
            .map_err(|_| Failure::unknown("no control arm"))?,
    };
    let home_blocks = usize::from(policy.placement.home_blocks);
    let home = scope.home_hash(key, &body.prompt, home_blocks);
    let version = version.or_else(|| choose_version(&snapshot, pool, home));
    let version = version.ok_or_else(|| {
        let detail = format!("no engine of pool {pool} is in reach");
        Failure::unavailable(detail, Duration::from_secs(1))
    })?;
    scope.version = version;
    let allowed = Duration::from_millis(policy.priorities.first_token_deadline_ms(call.class));
    let allowed = call
        .deadline
        .map_or(allowed, |requested| requested.min(allowed));
    Ok(Plan {
        revision: in_force.revision,
        labels: Labels {
            org: call.org.clone(),
            pool: pool.clone(),
            class: call.class,
            revision: in_force.revision,
            arm: arm.clone(),
        },
        arm,
        policy: Arc::new(policy.clone()),
        pool: pool.clone(),
        version,
        home,
        blocks: scope.block_names(key, &body.prompt),
        block_count: block_count as u32,
        started_at,
        deadline: started_at + allowed,
    })
}

/// Returns the weight version for a prompt. While the weights of a pool are being replaced, both
/// versions are served; prompts are divided in proportion to the engines of each version.
fn choose_version(snapshot: &Snapshot, pool: &PoolId, home: u64) -> Option<WeightVersion> {
    let mut engines: BTreeMap<WeightVersion, u64> = BTreeMap::new();
    for target in snapshot.usable_targets(pool, TargetKind::Engine) {
        if let Some(version) = target.version() {
            *engines.entry(version).or_default() += 1;
        }
    }
    let total: u64 = engines.values().sum();
    let mut point = home.checked_rem(total)?;
    for (version, count) in engines {
        if point < count {
            return Some(version);
        }
        point -= count;
    }
    None
}
