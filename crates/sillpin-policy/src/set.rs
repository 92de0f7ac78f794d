//! The parameters of a policy, as bundles contain them.

use serde::{Deserialize, Serialize};
use sillpin_core::{Bytes, OrgId, PriorityClass, Share};
use std::collections::BTreeMap;

/// The parameters of all decisions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySet {
    /// How the engine for a request is chosen.
    pub placement: PlacementPolicy,
    /// Which blocks are written to stores.
    pub keeping: KeepingPolicy,
    /// Priorities and deadlines of the classes.
    pub priorities: PriorityPolicy,
    /// Limits on queues, attempts and organisations.
    pub limits: LimitPolicy,
}

/// How the engine for a request is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementKind {
    /// The lowest cost among homes, holders and sampled engines.
    #[default]
    Scored,
    /// The first home, whatever its load.
    Rendezvous,
    /// The engine with the shortest wait of all.
    LeastLoaded,
    /// Each engine in turn.
    RoundRobin,
}

/// Parameters of the choice of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// How the engine is chosen.
    pub kind: PlacementKind,
    /// Number of leading blocks of a prompt that determine its homes.
    pub home_blocks: u8,
    /// Number of homes that are candidates.
    pub homes: u8,
    /// Number of other engines sampled as candidates.
    pub samples: u8,
    /// Weight of the time to first token.
    pub first_token_weight: u16,
    /// Weight of the time to compute blocks.
    pub recompute_weight: u16,
    /// Weight of the time to fetch blocks over the links of stores.
    pub link_weight: u16,
    /// A home whose queue is longer than this many percent of the pool's mean is not used.
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

/// Which prompts are written to a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeepingKind {
    /// Prompts whose estimated probability of a return is high enough.
    #[default]
    Learnt,
    /// All prompts.
    Everything,
    /// No prompts.
    Nothing,
}

/// Parameters of storing blocks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeepingPolicy {
    /// Which prompts are written to a store.
    pub kind: KeepingKind,
    /// Prompts with fewer complete blocks are not stored.
    pub min_blocks: u16,
    /// Prompts with a lower probability of a return are not stored.
    pub min_return_chance: Share,
    /// Bandwidth that exports may use of each store's link, in bytes a second.
    pub export_rate: Bytes,
    /// Share of a store's capacity above which blocks are evicted.
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

/// Priorities and deadlines of the classes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PriorityPolicy {
    /// Priority at the engines; 0 is the most urgent.
    pub engine_priority: BTreeMap<PriorityClass, u8>,
    /// Longest expected time to first token with which a request is accepted, in milliseconds.
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
    /// Returns the priority of a class at the engines.
    pub fn engine_priority(&self, class: PriorityClass) -> u8 {
        let given = self.engine_priority.get(&class);
        given.copied().unwrap_or(class.rank())
    }

    /// Returns the longest expected time to first token with which a request is accepted, in
    /// milliseconds.
    pub fn first_token_deadline_ms(&self, class: PriorityClass) -> u64 {
        let given = self.first_token_deadline_ms.get(&class);
        given.copied().unwrap_or(u64::MAX)
    }
}

/// Limits on queues, attempts and organisations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitPolicy {
    /// Longest expected wait at an engine, in milliseconds; beyond it requests wait at the entry
    /// box.
    pub engine_queue_ms: u64,
    /// Attempts at one request, including the first.
    pub max_attempts: u8,
    /// Retries allowed for each hundred requests.
    pub retry_percent: u16,
    /// Weights of organisations for fair queueing; 100 if not listed.
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
    /// Weight of an organisation that is not listed.
    pub const DEFAULT_WEIGHT: u32 = 100;

    /// Returns the weight of `org` for fair queueing.
    pub fn weight(&self, org: &OrgId) -> u32 {
        let given = self.organisation_weights.get(org);
        given.copied().unwrap_or(Self::DEFAULT_WEIGHT).max(1)
    }
}
