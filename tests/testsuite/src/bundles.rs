//! Bundles for a fleet's pools.

use crate::fleet::{ENGINE_POOL, Fleet, MODEL, SERVICE_POOL};
use sillpin_bundle::{Bundle, PoolPolicy, SignedBundle};
use sillpin_core::WeightVersion;
use sillpin_core::target::TargetKind;

impl Fleet {
    /// Returns a bundle with default policies for the fleet's pools.
    pub fn bundle(&self, name: &str) -> Bundle {
        let mut bundle = Bundle {
            name: name.to_owned(),
            ..Bundle::default()
        };
        let engines = PoolPolicy {
            kind: TargetKind::Engine,
            model: MODEL.parse().ok(),
            version: None,
            floor: 1,
        };
        let services = PoolPolicy {
            kind: TargetKind::Service,
            model: None,
            version: None,
            floor: 0,
        };
        bundle.pools.extend([
            (ENGINE_POOL.parse().expect("valid"), engines),
            (SERVICE_POOL.parse().expect("valid"), services),
        ]);
        bundle
    }

    /// Returns a bundle that sets the desired weight version of the fleet's engines.
    pub fn bundle_with_version(&self, name: &str, version: u64) -> Bundle {
        let mut bundle = self.bundle(name);
        for pool in bundle
            .pools
            .values_mut()
            .filter(|p| p.kind == TargetKind::Engine)
        {
            pool.version = Some(WeightVersion(version));
        }
        bundle
    }

    /// Signs a bundle with the key that the fleet's keepers trust.
    pub fn sign(&self, bundle: &Bundle) -> SignedBundle {
        let text = serde_json::to_string(bundle).expect("bundles are JSON");
        SignedBundle::sign(&text, &self.key).expect("the bundle passes its checks")
    }
}
