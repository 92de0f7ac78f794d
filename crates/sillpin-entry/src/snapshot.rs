//! The entry's view of the fleet, as last received from its keeper.

use sillpin_bundle::Bundle;
use sillpin_core::target::{LoadReport, TargetEntry};
use sillpin_core::{ArmName, OrgId, PoolId, Revision, TargetId, TargetKind, WeightVersion};
use sillpin_policy::rendezvous::CandidateHash;
use sillpin_rpc::entry_link::{FleetUpdate, TargetView};
use sillpin_rpc::gossip::Organisation;
use std::collections::HashMap;
use std::sync::Arc;

/// A target.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its entry in the box list.
    pub entry: Arc<TargetEntry>,
    /// Hash of its name.
    pub hash: CandidateHash,
    /// Its newest load report.
    pub load: Option<LoadReport>,
    /// Whether it responded to the keepers that poll it.
    pub reachable: bool,
    /// Whether any source reports that it is leaving.
    pub leaving: bool,
}

impl Target {
    /// Returns whether it may receive new requests.
    pub fn is_usable(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// Returns the weight version that it serves, according to its load report.
    pub fn version(&self) -> Option<WeightVersion> {
        self.load.as_ref().and_then(|load| load.version)
    }
}

impl From<TargetView> for Target {
    fn from(view: TargetView) -> Self {
        let hash = CandidateHash::of(view.entry.id.as_str());
        let (load, reachable) = match view.state {
            Some(state) => (state.load, state.reachable),
            None => (None, true),
        };
        Self {
            entry: Arc::new(view.entry),
            hash,
            load,
            reachable,
            leaving: view.leaving,
        }
    }
}

/// The bundle in force.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    /// Its revision.
    pub revision: Revision,
    /// Its contents.
    pub bundle: Arc<Bundle>,
    /// Arms that are stopped in this zone.
    pub stopped: Vec<ArmName>,
}

/// Targets, bundle and organisations.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Targets by id.
    pub targets: HashMap<TargetId, Target>,
    /// The bundle in force; `None` before the first one.
    pub in_force: Option<InForce>,
    /// Organisations by the hash of each of their API keys.
    pub orgs_by_key_hash: Arc<HashMap<[u8; 32], OrgId>>,
}

impl Snapshot {
    /// Returns the snapshot with an update from the keeper applied.
    pub fn with_update(&self, update: FleetUpdate) -> Self {
        let mut next = self.clone();
        if update.complete {
            next.targets.clear();
        }
        for view in update.targets {
            next.targets.insert(view.entry.id.clone(), view.into());
        }
        if let Some(accepted) = update.bundle {
            next.apply_bundle(accepted);
        }
        if let Some(list) = update.organisations {
            next.orgs_by_key_hash = Arc::new(index_by_key_hash(&list));
        }
        if let (Some(stopped), Some(in_force)) = (update.stopped_arms, &mut next.in_force) {
            in_force.stopped = stopped;
        }
        next
    }

    /// Puts a bundle into force if its revision is higher. The keeper has verified its signature.
    fn apply_bundle(&mut self, accepted: sillpin_bundle::Accepted) {
        let current = self.in_force.as_ref().map(|f| f.revision);
        if current.is_some_and(|current| accepted.revision <= current) {
            return;
        }
        if let Ok(bundle) = Bundle::from_json(&accepted.bundle.text) {
            self.in_force = Some(InForce {
                revision: accepted.revision,
                bundle: Arc::new(bundle),
                stopped: Vec::new(),
            });
        }
    }

    /// Returns the targets of a pool and kind that may receive new requests.
    pub fn usable_targets<'a>(
        &'a self,
        pool: &'a PoolId,
        kind: TargetKind,
    ) -> impl Iterator<Item = &'a Target> {
        self.targets.values().filter(move |target| {
            target.entry.pool == *pool && target.entry.kind == kind && target.is_usable()
        })
    }
}

fn index_by_key_hash(list: &[Organisation]) -> HashMap<[u8; 32], OrgId> {
    let mut orgs = HashMap::new();
    for org in list {
        for hash in &org.key_hashes {
            if let Ok(hash) = blake3::Hash::from_hex(hash) {
                orgs.insert(*hash.as_bytes(), org.id.clone());
            }
        }
    }
    orgs
}
