//! Orders engines to load the weight versions that the bundle in force specifies.
//!
//! An engine's first reader sends its orders. For each it acquires one of the weight store's three slots,
//! each a key of the platform's service under a lease; a pool never has fewer serving engines than
//! the bundle's floor. The slot's revision is the order's fence: it increases with every holder, so
//! an engine that checks it refuses a delayed order of an earlier holder. For engines that do not
//! check it, an order is only sent in the first half of the lease and times out before the lease
//! expires, by this keeper's own clock.

use crate::fleet::{FleetHandle, FleetMsg, Published};
use crate::settings::KeeperConfig;
use crate::view::View;
use sillpin_bundle::PoolPolicy;
use sillpin_core::switches::{Mechanism, is_off};
use sillpin_core::target::TargetEntry;
use sillpin_core::{Fence, TargetId, TargetKind, WeightVersion};
use sillpin_http::Client;
use sillpin_platform::{KvRevision, Platform, PlatformError};
use sillpin_rpc::entry_link::TargetView;
use sillpin_targets::{Engine, HttpEngine, LoadOrder};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Number of concurrent loads that a weight store serves at full speed.
const SLOTS: u32 = 3;

/// Interval at which outdated engines are searched for.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time to live of a slot's lease.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Key prefix of the slots in the platform's service.
const SLOT_PREFIX: &str = "loads/";

/// How long an engine's confirmation of a load takes precedence over its load reports, which lag.
const CONFIRMATION_TTL: Duration = Duration::from_secs(10);

/// Engines that have confirmed a load, with the version and the time.
type ConfirmedLoads = HashMap<TargetId, (WeightVersion, Instant)>;

/// Dependencies of the task that orders loads.
#[derive(Clone)]
pub struct Weights<P> {
    /// Client of the platform's service.
    pub platform: P,
    /// Settings of the keeper.
    pub cfg: KeeperConfig,
    /// Handle of the fleet task.
    pub fleet: FleetHandle,
    /// State that the fleet task publishes.
    pub published: Published,
    /// Connections to targets.
    pub client: Client,
    /// Logger.
    pub log: Logger,
}

/// An engine that serves another version than its pool's bundle entry specifies.
struct OutdatedEngine {
    engine: TargetEntry,
    version: WeightVersion,
    slots: u32,
    weights: TargetEntry,
}

impl<P: Platform> Weights<P> {
    /// Runs the task until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let mut poll = tokio::time::interval(POLL_INTERVAL);
        let mut loaded = ConfirmedLoads::new();
        poll.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = poll.tick() => {}
            }
            loaded.retain(|_, (_, at)| at.elapsed() < CONFIRMATION_TTL);
            if let Some(outdated) = self.find_outdated(&loaded).await {
                self.update_weights(outdated, &mut loaded).await;
            }
        }
    }

    async fn find_outdated(&self, loaded: &ConfirmedLoads) -> Option<OutdatedEngine> {
        let view = self.published.view.borrow().clone();
        let bundle = &view.in_force.as_ref()?.bundle;
        if bundle.pools.values().all(|pool| pool.version.is_none()) {
            return None;
        }
        let status = self.fleet.query(FleetMsg::Status).await?;
        let is_first_reader = |t: &&TargetView| self.is_first_reader(&view, t);
        status
            .targets
            .iter()
            .filter(is_first_reader)
            .find_map(|target| {
                let pool = bundle.pools.get(&target.entry.pool)?;
                let confirmed = loaded.get(&target.entry.id).map(|(version, _)| *version);
                if confirmed.is_some() && confirmed == pool.version {
                    return None;
                }
                if_outdated(&view, &status.targets, target, pool)
            })
    }

    fn is_first_reader(&self, view: &View, target: &TargetView) -> bool {
        let readers = view.readers(&target.entry);
        let first = readers
            .first()
            .is_some_and(|reader| reader.id == self.cfg.box_id);
        first && target.entry.kind == TargetKind::Engine
    }

    async fn update_weights(&self, outdated: OutdatedEngine, loaded: &mut ConfirmedLoads) {
        let started = Instant::now();
        let Ok(Some((slot, fence))) = self.acquire_slot(&outdated).await else {
            return;
        };
        if started.elapsed() < LEASE_TTL / 2 && self.order(&outdated, fence).await {
            let confirmed = (outdated.version, Instant::now());
            loaded.insert(outdated.engine.id.clone(), confirmed);
        }
        let _ = self.platform.delete(&slot, KvRevision(fence.0)).await;
    }

    /// Acquires a free slot, if there is one. Returns its key and the fence.
    async fn acquire_slot(
        &self,
        outdated: &OutdatedEngine,
    ) -> Result<Option<(String, Fence)>, PlatformError> {
        if is_off(Mechanism::Slots) {
            return Ok(Some((String::new(), Fence(u64::MAX))));
        }
        let prefix = format!("{SLOT_PREFIX}{}/", outdated.weights.id);
        let taken = self.platform.list(&prefix, None, SLOTS as usize).await?;
        let slots = (0..outdated.slots).map(|slot| format!("{prefix}{slot}"));
        let mut free = slots.filter(|slot| taken.iter().all(|entry| entry.key != *slot));
        let Some(slot) = free.next() else {
            return Ok(None);
        };
        let lease = self.platform.grant_lease(LEASE_TTL).await?;
        let holder = self.cfg.box_id.as_str();
        let written = self
            .platform
            .put(&slot, holder, KvRevision::ABSENT, Some(lease))
            .await?;
        Ok(Some((slot, Fence(written.0))))
    }

    /// Orders a load. Returns whether the engine confirmed it.
    async fn order(&self, outdated: &OutdatedEngine, fence: Fence) -> bool {
        let engine = &outdated.engine;
        let Some(model) = engine.model.clone() else {
            return false;
        };
        event!(self.log, events::WEIGHTS_ORDERED,
            "engine" => %engine.id, "version" => %outdated.version, "fence" => %fence);
        let order = LoadOrder {
            fence,
            model,
            version: outdated.version,
            weights: outdated.weights.addr,
        };
        let client = HttpEngine::new(self.client.clone());
        let loaded = tokio::time::timeout(LEASE_TTL / 3, client.load_weights(engine.addr, &order));
        match loaded.await {
            Ok(Ok(())) => {
                event!(self.log, events::WEIGHTS_LOADED,
                    "engine" => %engine.id, "version" => %outdated.version);
                true
            }
            Ok(Err(e)) => {
                event!(self.log, events::WEIGHTS_FAILED, "engine" => %engine.id, "error" => %e);
                false
            }
            Err(_) => {
                event!(self.log, events::WEIGHTS_FAILED, "engine" => %engine.id, "error" => "timeout");
                false
            }
        }
    }
}

fn version_of(target: &TargetView) -> Option<WeightVersion> {
    target.state.as_ref()?.load.as_ref()?.version
}

fn is_serving(target: &TargetView) -> bool {
    !target.leaving && target.state.as_ref().is_some_and(|state| state.reachable)
}

/// Returns the load that an engine needs, if it is outdated and its pool can do without it meanwhile.
fn if_outdated(
    view: &View,
    targets: &[TargetView],
    target: &TargetView,
    pool: &PoolPolicy,
) -> Option<OutdatedEngine> {
    let version = pool.version?;
    if !is_serving(target) || version_of(target)? == version {
        return None;
    }
    let in_pool = targets.iter().filter(|t| t.entry.pool == target.entry.pool);
    let serving = in_pool.filter(|t| is_serving(t)).count() as u32;
    let slots = serving.saturating_sub(pool.floor).min(SLOTS);
    let weights = view.usable(TargetKind::Weights).next()?;
    (slots > 0).then(|| OutdatedEngine {
        engine: target.entry.clone(),
        version,
        slots,
        weights: weights.entry.clone(),
    })
}
