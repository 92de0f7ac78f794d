//! Where the parts of a prompt come from and go to.

use crate::config::{EngineSpec, FleetConfig, Organisation, StoreSpec};
use crate::control::PartKey;
use crate::dialect::{EngineDirectives, Prompt, Salt};
use crate::kept::homes::{Place, homes};
use crate::kept::retire::MAX_FETCH_TIME;
use crate::kept::salt::SaltParts;
use crate::kept::{Directory, Kept};
use crate::place::residency::Residency;
use derive_more::Display;
use sillpin_core::{Tokens, WeightVersion, ZoneId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Prompt tokens that an engine reads in a millisecond. Both sites state 56.9; it only ranks ways to
/// serve a prompt, so another engine's rate changes little.
const READ_TOKENS_PER_MS: f64 = 56.9;

/// Transfers between zones take twice as long.
const FOREIGN_ZONE_FACTOR: f64 = 2.0;

/// What a transfer from another zone costs, in times of one within a zone: it also takes the store's link
/// twice as long from all others, and that link is what runs out first.
const FOREIGN_ZONE_COST: f64 = 4.0;

/// Share of a store's room that is filled: parts that are being written are not counted.
const FILLED: f64 = 0.975;

/// Why a shared part is read anew and not kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NotKept {
    /// It was made under replaced weights.
    #[display("retired")]
    Retired,
    /// A store holds it, but this box is out of touch.
    #[display("out-of-touch")]
    OutOfTouch,
    /// No store was heard of late.
    #[display("stores-unknown")]
    StoresUnknown,
    /// No store has room.
    #[display("no-room")]
    NoRoom,
    /// A store holds it, but bears no more fetches.
    #[display("link-busy")]
    LinkBusy,
    /// A store holds it, but until when a fetch may last cannot be said: this box has not read the engines' clock yet.
    #[display("no-clock")]
    NoClock,
    /// It was asked to be saved a moment ago.
    #[display("asked")]
    Asked,
}

/// One shared part of a prompt and where it may come from.
#[derive(Debug, Clone)]
pub struct SharedPart {
    /// Its name under the salt.
    pub key: PartKey,
    /// Its length.
    pub tokens: Tokens,
    /// The stores that hold it whole.
    pub held: Vec<StoreSpec>,
    /// If none does, the stores that may keep it, alike in speed and room.
    pub homes: Vec<StoreSpec>,
    /// Why it is read anew if it is neither fetched nor saved.
    pub not_kept: NotKept,
}

/// The shared parts of a prompt under one salt.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The salt.
    pub salt: Salt,
    /// Parts that other requests may have; all but the last.
    pub shared: Vec<SharedPart>,
    /// All parts, the last included.
    part_count: usize,
    /// Tokens that no other request has.
    pub own_tokens: Tokens,
    /// Tokens that stores hold, whether or not they are fetched.
    pub kept_tokens: Tokens,
    token_bytes: u64,
}

/// The salt of an organisation's parts under a version of weights.
pub fn salt(prompt: &Prompt, version: WeightVersion, org: Option<&Organisation>) -> SaltParts {
    let wall = org.filter(|org| org.isolated);
    SaltParts {
        model: prompt.model.clone(),
        version,
        wall: wall.map(|org| org.id.clone()),
    }
}

/// What a plan is made from.
pub struct PlanInputs<'a> {
    /// The configuration.
    pub config: &'a FleetConfig,
    /// The engines.
    pub engine: &'a EngineSpec,
    /// What the stores hold.
    pub kept: &'a Kept,
    /// Where what is kept of the prompt may be.
    pub residency: Residency<'a>,
    /// Whether this box is in touch, so that it may fetch.
    pub in_touch: bool,
    /// Now.
    pub now: Instant,
}

/// Looks up the shared parts of a prompt under a salt.
pub fn plan(prompt: &Prompt, salt: &SaltParts, inputs: &PlanInputs<'_>) -> Plan {
    let text = salt.salt();
    let shared_count = prompt.parts.len().saturating_sub(1);
    let shared = prompt.parts[..shared_count]
        .iter()
        .enumerate()
        .map(|(index, part)| {
            let place = match index + 1 < shared_count {
                true => Place::Inner,
                false => Place::Last,
            };
            let key = PartKey {
                salt: text.clone(),
                part: part.id.clone(),
            };
            look_up(key, part.tokens, place, salt, inputs)
        });
    let shared: Vec<SharedPart> = shared.collect();
    let shared_tokens: Tokens = shared.iter().map(|part| part.tokens).sum();
    Plan {
        salt: text,
        shared,
        part_count: prompt.parts.len(),
        own_tokens: Tokens(prompt.tokens.0.saturating_sub(shared_tokens.0)),
        kept_tokens: Tokens(0),
        token_bytes: inputs.engine.token_bytes,
    }
}

/// Where a part is, or is to be kept.
fn look_up(
    key: PartKey,
    tokens: Tokens,
    place: Place,
    salt: &SaltParts,
    inputs: &PlanInputs<'_>,
) -> SharedPart {
    let nowhere = SharedPart {
        key: key.clone(),
        tokens,
        held: Vec::new(),
        homes: Vec::new(),
        not_kept: NotKept::Retired,
    };
    if inputs.kept.retirements().is_retired(salt, &key) {
        return nowhere;
    }
    let directory = inputs.kept.lock();
    let used = |store: &StoreSpec| directory.used(store.addr);
    let mut homes = homes(&inputs.config.stores, &key.part, tokens, place);
    homes.retain(|store| inputs.residency.allows(&store.zone));
    let holds = |store: &&&StoreSpec| directory.holds(store.addr, &key, tokens, inputs.now);
    let held: Vec<StoreSpec> = homes.iter().filter(holds).copied().cloned().collect();
    if !held.is_empty() {
        return match inputs.in_touch {
            true => SharedPart { held, ..nowhere },
            false => SharedPart {
                not_kept: NotKept::OutOfTouch,
                ..nowhere
            },
        };
    }
    let is_known = |store: &&&StoreSpec| directory.is_known(store.addr, inputs.now);
    let known: Vec<&StoreSpec> = homes.iter().filter(is_known).copied().collect();
    let has_room =
        |store: &&&StoreSpec| (used(store) + tokens).0 as f64 <= store.capacity.0 as f64 * FILLED;
    let roomy: Vec<&StoreSpec> = known.iter().filter(has_room).copied().collect();
    let alike =
        |store: &&&StoreSpec| store.first == roomy[0].first && store.capacity == roomy[0].capacity;
    let not_kept = match (known.is_empty(), roomy.is_empty()) {
        (true, _) => NotKept::StoresUnknown,
        (_, true) => NotKept::NoRoom,
        _ => NotKept::Asked,
    };
    SharedPart {
        not_kept,
        homes: roomy
            .iter()
            .filter(alike)
            .map(|store| (*store).clone())
            .collect(),
        ..nowhere
    }
}

/// The store that an engine in `zone` uses: the first of its zone, or else the first. Two engines that save the same
/// part at the same time may so use two stores; either copy serves.
fn nearest<'a>(stores: &'a [StoreSpec], zone: &ZoneId) -> Option<&'a StoreSpec> {
    let near = stores.iter().find(|store| store.zone == *zone);
    near.or(stores.first())
}

impl Plan {
    /// The last shared part: requests that have it have all before it.
    pub fn affinity(&self) -> Option<&PartKey> {
        self.shared.last().map(|part| &part.key)
    }

    /// Time to read tokens anew.
    pub fn read_ms(tokens: Tokens) -> f64 {
        tokens.0 as f64 / READ_TOKENS_PER_MS
    }

    /// Time to have a shared part at an engine in `zone` that does not hold it, where a transfer from
    /// another zone counts `foreign` times.
    fn part_ms(&self, part: &SharedPart, zone: &ZoneId, foreign: f64) -> f64 {
        match nearest(&part.held, zone) {
            Some(store) => self.fetch_ms(store, part.tokens, zone, foreign),
            None => Self::read_ms(part.tokens),
        }
    }

    /// Time of a transfer from a store to an engine in `zone`, without waits.
    fn fetch_ms(&self, store: &StoreSpec, tokens: Tokens, zone: &ZoneId, foreign: f64) -> f64 {
        let bytes = (tokens.0 * self.token_bytes) as f64;
        let near = bytes / store.link_bytes_per_ms.max(1.0);
        let times = if store.zone == *zone { 1.0 } else { foreign };
        store.first.as_secs_f64() * 1000.0 + near * times
    }

    /// Time to have all shared parts at an engine in `zone`.
    pub fn shared_ms(&self, zone: &ZoneId) -> f64 {
        let parts = self.shared.iter();
        parts
            .map(|part| self.part_ms(part, zone, FOREIGN_ZONE_FACTOR))
            .sum()
    }

    /// The same as a cost for comparing engines.
    pub fn shared_cost(&self, zone: &ZoneId) -> f64 {
        let parts = self.shared.iter();
        parts
            .map(|part| self.part_ms(part, zone, FOREIGN_ZONE_COST))
            .sum()
    }

    /// The zone of the store that holds the longest part.
    pub fn main_zone(&self) -> Option<&ZoneId> {
        let held = self.shared.iter().filter(|part| !part.held.is_empty());
        let longest = held.max_by_key(|part| part.tokens)?;
        longest.held.first().map(|store| &store.zone)
    }

    /// Where most fetched tokens come from.
    pub fn main_source(&self, fetch: &[Option<SocketAddr>]) -> Option<SocketAddr> {
        let parts = self.shared.iter().zip(fetch);
        let fetched = parts.filter_map(|(part, from)| from.map(|from| (part.tokens, from)));
        fetched
            .max_by_key(|(tokens, _)| *tokens)
            .map(|(_, from)| from)
    }

    /// The shared parts and what an engine is to do with each, for logs.
    pub fn describe(&self, sending: &EngineDirectives) -> String {
        let what = |index: usize| match (&sending.fetch[index], &sending.save[index]) {
            (Some(_), _) => "fetch".to_owned(),
            (None, Some(_)) => "save".to_owned(),
            (None, None)
                if sending.fetch_until.is_none() && !self.shared[index].held.is_empty() =>
            {
                format!("read-{}", NotKept::NoClock)
            }
            (None, None) => format!("read-{}", self.shared[index].not_kept),
        };
        let part = |(index, part): (usize, &SharedPart)| {
            format!("{}:{}:{}", part.key.part, part.tokens, what(index))
        };
        let parts: Vec<String> = self.shared.iter().enumerate().map(part).collect();
        parts.join(",")
    }

    /// Gives up fetching from stores that `bears` refuses: their parts are read anew.
    pub fn spare_links(&mut self, bears: impl Fn(SocketAddr) -> bool) {
        let whole = self.shared.iter().filter(|part| !part.held.is_empty());
        self.kept_tokens = whole.map(|part| part.tokens).sum();
        let sources = self.shared.iter().flat_map(|part| &part.held);
        let sources = sources.map(|store| store.addr);
        let spared: BTreeSet<SocketAddr> = sources.filter(|addr| !bears(*addr)).collect();
        for part in self.shared.iter_mut().filter(|part| !part.held.is_empty()) {
            part.not_kept = NotKept::LinkBusy;
            part.held.retain(|store| !spared.contains(&store.addr));
        }
    }

    /// What an engine in `zone` is told: where to fetch parts that are whole, where to keep those that are not.
    pub fn sending(
        &self,
        version: WeightVersion,
        zone: &ZoneId,
        directory: &mut Directory,
        fetch_time: Duration,
        now: Instant,
    ) -> EngineDirectives {
        let until = directory.engine_time(now, fetch_time.min(MAX_FETCH_TIME));
        let none = || vec![None::<SocketAddr>; self.part_count];
        let (mut fetch, mut save) = (none(), none());
        for (index, part) in self.shared.iter().enumerate() {
            if let Some(store) = nearest(&part.held, zone) {
                // A part behind one that nobody holds cannot be used; asking for it costs a millisecond.
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
