//! Has engines load the weight versions that the bundle in force names.
//!
//! The first reader of an engine sees to it. It needs one of three slots of the weight store, each
//! a key of the platform's service under a lease, and a pool never has fewer engines serving than
//! the bundle's floor. The slot's revision is the order's fence: it grows with every holder, so an
//! engine that checks refuses the delayed order of an earlier one. For engines that do not check,
//! an order is only sent in the first half of the lease and is given up before the lease's end, by
//! this keeper's own clock.

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

/// Loads at once that a weight store serves at full speed.
const SLOTS: u32 = 3;

/// Time between two looks at which engines are behind.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Life of a slot's lease.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Prefix of the slots in the platform's service.
const SLOT_PREFIX: &str = "loads/";

/// How long an engine's word that it has loaded counts for more than its load reports, which lag.
const TRUST_LOADED: Duration = Duration::from_secs(10);

/// Engines that said that they have loaded a version, and when.
type Loaded = HashMap<TargetId, (WeightVersion, Instant)>;

/// What the orderer of loads needs.
#[derive(Clone)]
pub struct Weights<P> {
    /// The platform.
    pub platform: P,
    /// Settings.
    pub cfg: KeeperConfig,
    /// The fleet task.
    pub fleet: FleetHandle,
    /// What it publishes.
    pub published: Published,
    /// Connections to targets.
    pub client: Client,
    /// Log.
    pub log: Logger,
}

/// An engine that is behind.
struct Behind {
    engine: TargetEntry,
    version: WeightVersion,
    slots: u32,
    weights: TargetEntry,
}

impl<P: Platform> Weights<P> {
    /// Runs until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let mut look = tokio::time::interval(LOOK_EVERY);
        let mut loaded = Loaded::new();
        look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = look.tick() => {}
            }
            loaded.retain(|_, (_, at)| at.elapsed() < TRUST_LOADED);
            if let Some(behind) = self.find_behind(&loaded).await {
                self.bring_up(behind, &mut loaded).await;
            }
        }
    }

    async fn find_behind(&self, loaded: &Loaded) -> Option<Behind> {
        let view = self.published.view.borrow().clone();
        let bundle = &view.in_force.as_ref()?.bundle;
        if bundle.pools.values().all(|pool| pool.version.is_none()) {
            return None;
        }
        let status = self.fleet.ask(FleetMsg::Status).await?;
        let mine = |t: &&TargetView| self.is_mine(&view, t);
        status.targets.iter().filter(mine).find_map(|target| {
            let pool = bundle.pools.get(&target.entry.pool)?;
            let done = loaded.get(&target.entry.id).map(|(version, _)| *version);
            if done.is_some() && done == pool.version {
                return None;
            }
            behind(&view, &status.targets, target, pool)
        })
    }

    fn is_mine(&self, view: &View, target: &TargetView) -> bool {
        let readers = view.readers(&target.entry);
        let first = readers
            .first()
            .is_some_and(|reader| reader.id == self.cfg.box_id);
        first && target.entry.kind == TargetKind::Engine
    }

    async fn bring_up(&self, behind: Behind, loaded: &mut Loaded) {
        let begun = Instant::now();
        let Ok(Some((slot, fence))) = self.take_slot(&behind).await else {
            return;
        };
        if begun.elapsed() < LEASE_TTL / 2 && self.order(&behind, fence).await {
            let done = (behind.version, Instant::now());
            loaded.insert(behind.engine.id.clone(), done);
        }
        let _ = self.platform.delete(&slot, KvRevision(fence.0)).await;
    }

    /// Takes a free slot; gives its key and the fence.
    async fn take_slot(&self, behind: &Behind) -> Result<Option<(String, Fence)>, PlatformError> {
        if is_off(Mechanism::Slots) {
            return Ok(Some((String::new(), Fence(u64::MAX))));
        }
        let prefix = format!("{SLOT_PREFIX}{}/", behind.weights.id);
        let taken = self.platform.list(&prefix, None, SLOTS as usize).await?;
        let slots = (0..behind.slots).map(|slot| format!("{prefix}{slot}"));
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

    /// Orders a load; says whether the engine has loaded.
    async fn order(&self, behind: &Behind, fence: Fence) -> bool {
        let engine = &behind.engine;
        let Some(model) = engine.model.clone() else {
            return false;
        };
        event!(self.log, events::WEIGHTS_ORDERED,
            "engine" => %engine.id, "version" => %behind.version, "fence" => %fence);
        let order = LoadOrder {
            fence,
            model,
            version: behind.version,
            weights: behind.weights.addr,
        };
        let client = HttpEngine::new(self.client.clone());
        let loaded = tokio::time::timeout(LEASE_TTL / 3, client.load_weights(engine.addr, &order));
        match loaded.await {
            Ok(Ok(())) => {
                event!(self.log, events::WEIGHTS_LOADED,
                    "engine" => %engine.id, "version" => %behind.version);
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

/// The load that an engine needs, if it is behind and its pool can spare it.
fn behind(
    view: &View,
    targets: &[TargetView],
    target: &TargetView,
    pool: &PoolPolicy,
) -> Option<Behind> {
    let version = pool.version?;
    if !is_serving(target) || version_of(target)? == version {
        return None;
    }
    let in_pool = targets.iter().filter(|t| t.entry.pool == target.entry.pool);
    let serving = in_pool.filter(|t| is_serving(t)).count() as u32;
    let slots = serving.saturating_sub(pool.floor).min(SLOTS);
    let weights = view.usable(TargetKind::Weights).next()?;
    (slots > 0).then(|| Behind {
        engine: target.entry.clone(),
        version,
        slots,
        weights: weights.entry.clone(),
    })
}
