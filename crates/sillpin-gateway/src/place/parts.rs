//! Where the parts of a prompt come from and go to.

use crate::config::{EngineSpec, FleetConfig, Organisation, StoreSpec};
use crate::control::KeptKey;
use crate::dialect::{EngineSending, Prompt, Salt};
use crate::kept::homes::home;
use crate::kept::{Directory, Kept};
use sillpin_core::{Tokens, WeightVersion, ZoneId};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Prompt tokens that an engine reads in a millisecond. Both sites state 56.9; it only ranks ways to
/// serve a prompt, so another engine's rate changes little.
const READ_TOKENS_PER_MS: f64 = 56.9;

/// Transfers between zones take twice as long.
const FOREIGN_ZONE_FACTOR: f64 = 2.0;

/// Fetches not ended by then are thrown away, and the prompt is read instead. Engines do not begin one
/// that would wait two seconds.
const FETCH_TIME: Duration = Duration::from_millis(2_000);

/// One shared part of a prompt and where it may come from.
#[derive(Debug, Clone)]
pub struct SharedPart {
    /// Its name under the salt.
    pub key: KeptKey,
    /// Its length.
    pub tokens: Tokens,
    /// The store that keeps it, if it is to be kept.
    pub home: Option<StoreSpec>,
    /// Whether it is whole there.
    pub whole: bool,
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
    token_bytes: u64,
}

/// The salt of an organisation's parts under a version of weights.
pub fn salt(prompt: &Prompt, version: WeightVersion, org: Option<&Organisation>) -> Salt {
    let wall = org.filter(|org| org.isolated);
    match wall {
        Some(org) => Salt(format!("{}.{}.{}", prompt.model, version, org.id)),
        None => Salt(format!("{}.{}", prompt.model, version)),
    }
}

/// Looks up the shared parts of a prompt.
pub fn plan(
    prompt: &Prompt,
    salt: Salt,
    config: &FleetConfig,
    engine: &EngineSpec,
    kept: &Kept,
    now: Instant,
) -> Plan {
    let directory = kept.lock();
    let shared_count = prompt.parts.len().saturating_sub(1);
    let shared = prompt.parts[..shared_count].iter().map(|part| {
        let key = KeptKey {
            salt: salt.clone(),
            part: part.id.clone(),
        };
        let home = home(&config.stores, &part.id, part.tokens).cloned();
        let whole = home
            .as_ref()
            .is_some_and(|store| directory.holds(store.addr, &key, part.tokens, now));
        SharedPart {
            key,
            tokens: part.tokens,
            home,
            whole,
        }
    });
    let shared: Vec<SharedPart> = shared.collect();
    let shared_tokens: Tokens = shared.iter().map(|part| part.tokens).sum();
    Plan {
        salt,
        shared,
        part_count: prompt.parts.len(),
        own_tokens: Tokens(prompt.tokens.0.saturating_sub(shared_tokens.0)),
        token_bytes: engine.token_bytes,
    }
}

impl Plan {
    /// The last shared part: requests that have it have all before it.
    pub fn affinity(&self) -> Option<&KeptKey> {
        self.shared.last().map(|part| &part.key)
    }

    /// Time to read tokens anew.
    pub fn read_ms(tokens: Tokens) -> f64 {
        tokens.0 as f64 / READ_TOKENS_PER_MS
    }

    /// Time to have a shared part at an engine in `zone` that does not hold it.
    fn part_ms(&self, part: &SharedPart, zone: &ZoneId) -> f64 {
        match &part.home {
            Some(store) if part.whole => self.fetch_ms(store, part.tokens, zone),
            _ => Self::read_ms(part.tokens),
        }
    }

    /// Time of a transfer from a store to an engine in `zone`, without waits.
    fn fetch_ms(&self, store: &StoreSpec, tokens: Tokens, zone: &ZoneId) -> f64 {
        let bytes = (tokens.0 * self.token_bytes) as f64;
        let near = bytes / store.link_bytes_per_ms.max(1.0);
        let far = if store.zone == *zone {
            1.0
        } else {
            FOREIGN_ZONE_FACTOR
        };
        store.first.as_secs_f64() * 1000.0 + near * far
    }

    /// Time to have all shared parts at an engine in `zone`. Engines fetch a beginning of the prompt:
    /// behind the first part that is nowhere, everything is read.
    pub fn shared_ms(&self, zone: &ZoneId) -> f64 {
        self.shared
            .iter()
            .map(|part| self.part_ms(part, zone))
            .sum()
    }

    /// The zone of the store that holds, or is to hold, the longest shared part.
    pub fn zone(&self) -> Option<&ZoneId> {
        let longest = self.shared.iter().max_by_key(|part| part.tokens)?;
        longest.home.as_ref().map(|store| &store.zone)
    }

    /// What the engine is told: where to fetch parts that are whole, where to keep those that are not.
    pub fn sending(
        &self,
        version: WeightVersion,
        directory: &mut Directory,
        now: Instant,
    ) -> EngineSending {
        let until = directory.engine_time(now, FETCH_TIME);
        let none = || vec![None::<SocketAddr>; self.part_count];
        let (mut fetch, mut save) = (none(), none());
        let mut reachable = until.is_some();
        for (index, part) in self.shared.iter().enumerate() {
            let Some(store) = &part.home else {
                reachable = false;
                continue;
            };
            reachable &= part.whole;
            if reachable {
                fetch[index] = Some(store.addr);
            } else if directory.should_save(store.addr, &part.key, part.tokens, now) {
                save[index] = Some(store.addr);
            }
        }
        EngineSending {
            weights: version,
            salt: self.salt.clone(),
            fetch,
            fetch_until: until,
            save,
        }
    }
}
