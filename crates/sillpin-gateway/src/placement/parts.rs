//! Decides from which cache stores the parts of a prompt are fetched, and in which they are saved.

use crate::cache_stores::homes::{PartPosition, homes};
use crate::cache_stores::isolation::Sharing;
use crate::cache_stores::retire::MAX_FETCH_TIME;
use crate::cache_stores::salt::SaltParts;
use crate::cache_stores::{CacheStores, Directory};
use crate::config::{EngineSpec, FleetConfig, StoreSpec};
use crate::control::PartKey;
use crate::dialect::{EngineDirectives, Prompt, Salt};
use crate::placement::engine_speed::PoolSpeed;
use crate::placement::residency::Residency;
use derive_more::Display;
use sillpin_core::{Tokens, WeightVersion, ZoneId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Transfers between zones take twice as long.
const OTHER_ZONE_TIME_FACTOR: f64 = 2.0;

/// Cost of a transfer from another zone relative to one within a zone. It occupies the store's link
/// twice as long, which delays all other transfers, and that link is the first resource to run out.
const OTHER_ZONE_COST_FACTOR: f64 = 4.0;

/// Share of a store's capacity up to which parts are saved; the rest is for parts being written,
/// which are not counted.
const MAX_FILL: f64 = 0.975;

/// Reason for which a shared part is recomputed and not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RecomputeReason {
    /// It was computed with replaced weights.
    #[display("retired")]
    Retired,
    /// A store holds it, but this box is not in contact with the platform store.
    #[display("out-of-touch")]
    NoContact,
    /// No store's contents are known to be current.
    #[display("stores-unknown")]
    StoresUnknown,
    /// No store has capacity left.
    #[display("no-room")]
    NoCapacity,
    /// A store holds it, but its link can't take more fetches.
    #[display("link-busy")]
    LinkBusy,
    /// A store holds it, but no deadline can be given for the fetch: this box has not read the
    /// engines' clock yet.
    #[display("no-clock")]
    NoClock,
    /// Another request is saving it already.
    #[display("asked")]
    BeingSaved,
}

/// A shared part of a prompt, with the stores that it may be fetched from or saved to.
#[derive(Debug, Clone)]
pub struct SharedPart {
    /// Key of the part.
    pub key: PartKey,
    /// Length of the part.
    pub tokens: Tokens,
    /// Stores that hold the complete part.
    pub sources: Vec<StoreSpec>,
    /// If there are none, the stores that may hold it, which are equal in speed and capacity.
    pub homes: Vec<StoreSpec>,
    /// Reason for which the part is recomputed if it is neither fetched nor saved.
    pub recompute_reason: RecomputeReason,
}

/// The shared parts of a prompt under one salt.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Salt of the part keys.
    pub salt: Salt,
    /// Parts that other requests may share: all but the last.
    pub shared: Vec<SharedPart>,
    /// Number of all parts, including the last.
    part_count: usize,
    /// Tokens of the last part, which no other request shares.
    pub own_tokens: Tokens,
    /// Tokens in stores, whether or not they are fetched.
    pub stored_tokens: Tokens,
    token_bytes: u64,
    /// Speed of the pool's engines.
    pub speed: PoolSpeed,
}

/// Returns the salt that separates the parts of a weights version, and of the organisations that
/// share them, from others.
pub fn salt(prompt: &Prompt, version: WeightVersion, sharing: Sharing) -> SaltParts {
    SaltParts {
        model: prompt.model.clone(),
        version,
        sharing,
    }
}

/// The state that a plan is made from.
pub struct PlanInputs<'a> {
    /// Configuration of the fleet.
    pub config: &'a FleetConfig,
    /// Specification of the pool's engines.
    pub engine: &'a EngineSpec,
    /// Contents of the stores.
    pub cache_stores: &'a CacheStores,
    /// Regions in which the prompt's parts may be stored.
    pub residency: Residency<'a>,
    /// Whether this box is in contact with the platform store, which it must be to fetch parts.
    pub in_contact: bool,
    /// Speed of the pool's engines.
    pub speed: PoolSpeed,
    /// Current time.
    pub now: Instant,
}

/// Looks up in which stores the shared parts of a prompt are, under a salt.
pub fn plan(prompt: &Prompt, salt: &SaltParts, inputs: &PlanInputs<'_>) -> Plan {
    let text = salt.salt();
    let shared_count = prompt.shared_parts().len();
    let shared = prompt.parts[..shared_count]
        .iter()
        .enumerate()
        .map(|(index, part)| {
            let position = match index + 1 < shared_count {
                true => PartPosition::Inner,
                false => PartPosition::Last,
            };
            let key = PartKey {
                salt: text.clone(),
                part: part.id.clone(),
            };
            look_up(key, part.tokens, position, salt, inputs)
        });
    let shared: Vec<SharedPart> = shared.collect();
    let shared_tokens: Tokens = shared.iter().map(|part| part.tokens).sum();
    Plan {
        salt: text,
        shared,
        part_count: prompt.parts.len(),
        own_tokens: Tokens(prompt.tokens.0.saturating_sub(shared_tokens.0)),
        stored_tokens: Tokens(0),
        token_bytes: inputs.engine.token_bytes,
        speed: inputs.speed,
    }
}

/// Looks up where a part is stored or may be stored.
fn look_up(
    key: PartKey,
    tokens: Tokens,
    position: PartPosition,
    salt: &SaltParts,
    inputs: &PlanInputs<'_>,
) -> SharedPart {
    let recomputed = SharedPart {
        key: key.clone(),
        tokens,
        sources: Vec::new(),
        homes: Vec::new(),
        recompute_reason: RecomputeReason::Retired,
    };
    if inputs.cache_stores.retirements().is_retired(salt, &key) {
        return recomputed;
    }
    let directory = inputs.cache_stores.lock();
    let used = |store: &StoreSpec| directory.used(store.addr);
    let mut homes = homes(&inputs.config.stores, &key.part, tokens, position);
    homes.retain(|store| inputs.residency.allows(&store.zone));
    let holds = |store: &&&StoreSpec| directory.holds(store.addr, &key, tokens, inputs.now);
    let sources: Vec<StoreSpec> = homes.iter().filter(holds).copied().cloned().collect();
    if !sources.is_empty() {
        return match inputs.in_contact {
            true => SharedPart {
                sources,
                ..recomputed
            },
            false => SharedPart {
                recompute_reason: RecomputeReason::NoContact,
                ..recomputed
            },
        };
    }
    let is_known = |store: &&&StoreSpec| directory.is_known(store.addr, inputs.now);
    let known: Vec<&StoreSpec> = homes.iter().filter(is_known).copied().collect();
    let has_room =
        |store: &&&StoreSpec| (used(store) + tokens).0 as f64 <= store.capacity.0 as f64 * MAX_FILL;
    let usable: Vec<&StoreSpec> = known.iter().filter(has_room).copied().collect();
    let is_like_first = |store: &&&StoreSpec| {
        store.first == usable[0].first && store.capacity == usable[0].capacity
    };
    let recompute_reason = match (known.is_empty(), usable.is_empty()) {
        (true, _) => RecomputeReason::StoresUnknown,
        (_, true) => RecomputeReason::NoCapacity,
        _ => RecomputeReason::BeingSaved,
    };
    SharedPart {
        recompute_reason,
        homes: usable
            .iter()
            .filter(is_like_first)
            .map(|store| (*store).clone())
            .collect(),
        ..recomputed
    }
}

/// Returns the store that an engine in `zone` uses: the first one in the zone, or else the first
/// one. Two engines that save the same part at the same time may thus use two stores; either copy
/// will do.
fn nearest<'a>(stores: &'a [StoreSpec], zone: &ZoneId) -> Option<&'a StoreSpec> {
    let in_zone = stores.iter().find(|store| store.zone == *zone);
    in_zone.or(stores.first())
}

impl Plan {
    /// Returns the key of the last shared part: requests that share it also share all parts before
    /// it.
    pub fn affinity_key(&self) -> Option<&PartKey> {
        self.shared.last().map(|part| &part.key)
    }

    /// Returns the time to prefill tokens, in milliseconds.
    pub fn prefill_time_ms(&self, tokens: Tokens) -> f64 {
        self.speed.rate.ms(tokens)
    }

    /// Returns the time to fetch or recompute the whole prompt at an engine in `zone`, in
    /// milliseconds.
    pub fn prompt_time_ms(&self, zone: &ZoneId) -> f64 {
        self.prefill_time_ms(self.own_tokens) + self.shared_time_ms(zone)
    }

    /// Returns the time to fetch or recompute a shared part at an engine in `zone`, in
    /// milliseconds; the time of a transfer from another zone is multiplied by `other_zone_factor`.
    fn part_ms(&self, part: &SharedPart, zone: &ZoneId, other_zone_factor: f64) -> f64 {
        match nearest(&part.sources, zone) {
            Some(store) => self.fetch_ms(store, part.tokens, zone, other_zone_factor),
            None => self.prefill_time_ms(part.tokens),
        }
    }

    /// Returns the time of a transfer from a store to an engine in `zone` without queueing, in
    /// milliseconds.
    fn fetch_ms(
        &self,
        store: &StoreSpec,
        tokens: Tokens,
        zone: &ZoneId,
        other_zone_factor: f64,
    ) -> f64 {
        let bytes = (tokens.0 * self.token_bytes) as f64;
        let in_zone_ms = bytes / store.link_bytes_per_ms.max(1.0);
        let factor = if store.zone == *zone {
            1.0
        } else {
            other_zone_factor
        };
        store.first.as_secs_f64() * 1000.0 + in_zone_ms * factor
    }

    /// Returns the time to fetch or recompute all shared parts at an engine in `zone`, in
    /// milliseconds.
    pub fn shared_time_ms(&self, zone: &ZoneId) -> f64 {
        let parts = self.shared.iter();
        parts
            .map(|part| self.part_ms(part, zone, OTHER_ZONE_TIME_FACTOR))
            .sum()
    }

    /// Returns the same time with the cost of transfers from other zones, for comparing engines.
    pub fn shared_cost(&self, zone: &ZoneId) -> f64 {
        let parts = self.shared.iter();
        parts
            .map(|part| self.part_ms(part, zone, OTHER_ZONE_COST_FACTOR))
            .sum()
    }

    /// Returns the zone of the store that holds the longest stored part.
    pub fn main_zone(&self) -> Option<&ZoneId> {
        let stored = self.shared.iter().filter(|part| !part.sources.is_empty());
        let longest = stored.max_by_key(|part| part.tokens)?;
        longest.sources.first().map(|store| &store.zone)
    }

    /// Returns the store from which the longest fetched part comes.
    pub fn main_source(&self, fetch: &[Option<SocketAddr>]) -> Option<SocketAddr> {
        let parts = self.shared.iter().zip(fetch);
        let fetched = parts.filter_map(|(part, from)| from.map(|from| (part.tokens, from)));
        fetched
            .max_by_key(|(tokens, _)| *tokens)
            .map(|(_, from)| from)
    }

    /// Formats the shared parts and what the engine does with each, for logs.
    pub fn describe(&self, directives: &EngineDirectives) -> String {
        let action = |index: usize| match (&directives.fetch[index], &directives.save[index]) {
            (Some(_), _) => "fetch".to_owned(),
            (None, Some(_)) => "save".to_owned(),
            (None, None)
                if directives.fetch_until.is_none() && !self.shared[index].sources.is_empty() =>
            {
                format!("read-{}", RecomputeReason::NoClock)
            }
            (None, None) => format!("read-{}", self.shared[index].recompute_reason),
        };
        let part = |(index, part): (usize, &SharedPart)| {
            format!("{}:{}:{}", part.key.part, part.tokens, action(index))
        };
        let parts: Vec<String> = self.shared.iter().enumerate().map(part).collect();
        parts.join(",")
    }

    /// Drops the stores for which `has_capacity` returns false; parts that only they hold are
    /// recomputed.
    pub fn drop_busy_sources(&mut self, has_capacity: impl Fn(SocketAddr) -> bool) {
        let stored = self.shared.iter().filter(|part| !part.sources.is_empty());
        self.stored_tokens = stored.map(|part| part.tokens).sum();
        let sources = self.shared.iter().flat_map(|part| &part.sources);
        let sources = sources.map(|store| store.addr);
        let busy: BTreeSet<SocketAddr> = sources.filter(|addr| !has_capacity(*addr)).collect();
        for part in self
            .shared
            .iter_mut()
            .filter(|part| !part.sources.is_empty())
        {
            part.recompute_reason = RecomputeReason::LinkBusy;
            part.sources.retain(|store| !busy.contains(&store.addr));
        }
    }

    /// Returns the instructions for an engine in `zone`: where to fetch stored parts and where to
    /// save others.
    pub fn directives(
        &self,
        version: WeightVersion,
        zone: &ZoneId,
        directory: &mut Directory,
        fetch_time: Duration,
        now: Instant,
    ) -> EngineDirectives {
        let until = directory.engine_time(now, fetch_time.min(MAX_FETCH_TIME));
        let no_store = || vec![None::<SocketAddr>; self.part_count];
        let (mut fetch, mut save) = (no_store(), no_store());
        for (index, part) in self.shared.iter().enumerate() {
            if let Some(store) = nearest(&part.sources, zone) {
                // A part behind one that no store holds can't be used; requesting it costs a
                // millisecond.
                fetch[index] = until.map(|_| store.addr);
                continue;
            }
            let Some(store) = nearest(&part.homes, zone) else {
                continue;
            };
            if directory.should_save(store.addr, &part.key, part.tokens, now) {
                save[index] = Some(store.addr);
            }
        }
        EngineDirectives {
            weights: version,
            salt: self.salt.clone(),
            fetch,
            fetch_until: until,
            save,
        }
    }
}
