//! The parameters of a policy, as a bundle carries them.

use serde::{Deserialize, Serialize};
use sillpin_core::{Bytes, OrgId, PriorityClass, Share};
use std::collections::BTreeMap;

/// One whole policy.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySet {
    /// Which engine takes a request.
    pub placement: PlacementPolicy,
    /// Which blocks are kept in stores.
    pub keeping: KeepingPolicy,
    /// How urgent each class is.
    pub priorities: PriorityPolicy,
    /// Limits on waiting, retries and organisations.
    pub limits: LimitPolicy,
}

/// How candidates are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementKind {
    /// By score among homes, holders and samples.
    #[default]
    Scored,
    /// The home alone, whatever its load.
    Rendezvous,
    /// The least loaded of all.
    LeastLoaded,
    /// One after the other.
    RoundRobin,
}

/// Which engine takes a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// How candidates are chosen.
    pub kind: PlacementKind,
    /// Leading blocks of a prompt that decide its homes.
    pub home_blocks: u8,
    /// Homes that are candidates.
    pub homes: u8,
    /// Other engines sampled as candidates.
    pub samples: u8,
    /// Weight of the time to first token.
    pub first_token_weight: u16,
    /// Weight of recomputed prompt work.
    pub recompute_weight: u16,
    /// Weight of time on the links of stores.
    pub link_weight: u16,
    /// A home whose queue is longer than this many percent of the pool's mean spills over.
    pub spill_percent: u16,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            kind: PlacementKind::Scored,
            home_blocks: 4,
            homes: 2,
            samples: 4,
            first_token_weight: 100,
            recompute_weight: 50,
            link_weight: 10,
            spill_percent: 200,
        }
    }
}

/// When blocks are written to a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeepingKind {
    /// By the learnt chance of a return.
    #[default]
    Learnt,
    /// Every block.
    Everything,
    /// None.
    Nothing,
}

/// Which blocks are kept in stores.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeepingPolicy {
    /// When blocks are written to a store.
    pub kind: KeepingKind,
    /// Prompts with fewer whole blocks are not kept.
    pub min_blocks: u16,
    /// Chance of a return below which a prompt is not kept.
    pub min_return_chance: Share,
    /// Bytes a second that exports may use of each store's link.
    pub export_rate: Bytes,
    /// Part of a store's capacity above which blocks are freed.
    pub high_water: Share,
}

impl Default for KeepingPolicy {
    fn default() -> Self {
        Self {
            kind: KeepingKind::Learnt,
            min_blocks: 2,
            min_return_chance: Share::try_from(1_000).unwrap_or_default(),
            export_rate: Bytes(20_000_000),
            high_water: Share::try_from(8_500).unwrap_or(Share::WHOLE),
        }
    }
}

/// How urgent each class is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PriorityPolicy {
    /// Priority at the engines; 0 is the most urgent.
    pub engine_priority: BTreeMap<PriorityClass, u8>,
    /// Longest wait before the first token, in milliseconds; beyond it a request is refused at
    /// once.
    pub first_token_deadline_ms: BTreeMap<PriorityClass, u64>,
}

impl Default for PriorityPolicy {
    fn default() -> Self {
        let engine_priority = PriorityClass::ALL.map(|class| (class, class.rank()));
        Self {
            engine_priority: engine_priority.into(),
            first_token_deadline_ms: [
                (PriorityClass::Urgent, 5_000),
                (PriorityClass::Normal, 15_000),
                (PriorityClass::Batch, 60_000),
            ]
            .into(),
        }
    }
}

impl PriorityPolicy {
    /// Priority of a class at the engines.
    pub fn engine_priority(&self, class: PriorityClass) -> u8 {
        let given = self.engine_priority.get(&class);
        given.copied().unwrap_or(class.rank())
    }

    /// Longest wait before the first token, in milliseconds.
    pub fn first_token_deadline_ms(&self, class: PriorityClass) -> u64 {
        let given = self.first_token_deadline_ms.get(&class);
        given.copied().unwrap_or(u64::MAX)
    }
}

/// Limits on waiting, retries and organisations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitPolicy {
    /// Longest wait at an engine before further requests are held back at the entry, in
    /// milliseconds.
    pub engine_queue_ms: u64,
    /// Attempts at one request, the first included.
    pub max_attempts: u8,
    /// Retries allowed for each hundred requests.
    pub retry_percent: u16,
    /// Weight of an organisation among those that wait; 100 if not named.
    pub organisation_weights: BTreeMap<OrgId, u32>,
}

impl Default for LimitPolicy {
    fn default() -> Self {
        Self {
            engine_queue_ms: 400,
            max_attempts: 4,
            retry_percent: 20,
            organisation_weights: BTreeMap::new(),
        }
    }
}

impl LimitPolicy {
    /// Weight of an organisation that is not named.
    pub const DEFAULT_WEIGHT: u32 = 100;

    /// Weight of `org` among those that wait.
    pub fn weight(&self, org: &OrgId) -> u32 {
        let given = self.organisation_weights.get(org);
        given.copied().unwrap_or(Self::DEFAULT_WEIGHT).max(1)
    }
}
