//! Table of the prompts whose roots this keeper owns. No I/O: callers pass the current time.

use sillpin_core::{BlockName, Generation, TargetId};
use sillpin_policy::keeping::{ReturnGaps, StoreCandidate, retention_value, should_store};
use sillpin_policy::set::KeepingPolicy;
use sillpin_rpc::directory::{BlockHints, HolderChange, PromptUse, StoredObject};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of prompts; beyond it, the least recently used tenth is evicted.
pub const MAX_PROMPTS: usize = 40_000;

/// How long an unpublished object is not accepted again.
const REJECT_UNPUBLISHED_FOR: Duration = Duration::from_secs(60);

/// Blocks to write to a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExportJob {
    /// First block of the prompt.
    pub root: BlockName,
    /// Blocks to write.
    pub blocks: Vec<BlockName>,
    /// Address of the engine that holds them.
    pub engine: SocketAddr,
}

/// Objects to free, already unpublished here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreeJob {
    /// First block of their prompt.
    pub root: BlockName,
    /// Address of the store.
    pub addr: SocketAddr,
    /// Block and generation of each.
    pub objects: Vec<(BlockName, Generation)>,
}

#[derive(Default)]
struct Prompt {
    holders: HashMap<TargetId, HashSet<BlockName>>,
    stored: HashMap<BlockName, StoredObject>,
    exporting: HashSet<BlockName>,
    last_used: Option<Instant>,
}

impl Prompt {
    fn is_empty(&self) -> bool {
        self.holders.is_empty() && self.stored.is_empty() && self.exporting.is_empty()
    }
}

/// Hints about prompts, by root.
#[derive(Default)]
pub struct DirectoryTable {
    prompts: HashMap<BlockName, Prompt>,
    gaps: ReturnGaps,
    unpublished: HashMap<(BlockName, Generation), Instant>,
}

fn prefix_len(blocks: &[BlockName], has: impl Fn(&BlockName) -> bool) -> u32 {
    blocks.iter().take_while(|block| has(block)).count() as u32
}

impl DirectoryTable {
    /// Returns the number of prompts.
    pub fn prompts(&self) -> usize {
        self.prompts.len()
    }

    /// Returns the number of blocks, counted once for each holder and once for each stored object.
    pub fn blocks(&self) -> usize {
        let of = |p: &Prompt| p.stored.len() + p.holders.values().map(HashSet::len).sum::<usize>();
        self.prompts.values().map(of).sum()
    }

    /// Returns the hints for the blocks of a prompt.
    pub fn look_up(&self, blocks: &[BlockName]) -> BlockHints {
        let prompt = blocks.first().and_then(|root| self.prompts.get(root));
        let Some(prompt) = prompt else {
            return BlockHints::default();
        };
        let holders = prompt.holders.iter().filter_map(|(target, held)| {
            let len = prefix_len(blocks, |block| held.contains(block));
            (len > 0).then(|| (target.clone(), len))
        });
        let stored = blocks
            .iter()
            .map_while(|block| prompt.stored.get(block).cloned());
        BlockHints {
            holders: holders.collect(),
            kept: stored.collect(),
        }
    }

    /// Applies a change of an engine's cache.
    pub fn apply_change(&mut self, change: HolderChange) {
        let prompt = self.prompts.entry(change.root).or_default();
        let held = prompt.holders.entry(change.target.clone()).or_default();
        held.extend(change.stored);
        for block in &change.removed {
            held.remove(block);
        }
        if held.is_empty() {
            prompt.holders.remove(&change.target);
        }
        if prompt.is_empty() {
            self.prompts.remove(&change.root);
        }
    }

    /// Records that an engine answered a prompt. If `to_export` is set, returns the blocks to write to a
    /// store, if any.
    pub fn record_use(
        &mut self,
        used: PromptUse,
        policy: &KeepingPolicy,
        to_export: bool,
        now: Instant,
    ) -> Option<ExportJob> {
        let root = *used.blocks.first()?;
        self.evict_if_full();
        let prompt = self.prompts.entry(root).or_default();
        match prompt.last_used.replace(now) {
            Some(before) => self.gaps.record_return(now - before),
            None => self.gaps.record_first_use(),
        }
        let held = prompt.holders.entry(used.target).or_default();
        held.extend(used.blocks.iter().copied());
        let candidate = StoreCandidate {
            blocks: used.blocks.len() as u32,
            idle: Duration::ZERO,
        };
        if !to_export || !should_store(policy, &self.gaps, candidate) {
            return None;
        }
        let is_new = |block: &&BlockName| {
            !prompt.stored.contains_key(*block) && !prompt.exporting.contains(*block)
        };
        let blocks: Vec<BlockName> = used.blocks.iter().filter(is_new).copied().collect();
        prompt.exporting.extend(blocks.iter().copied());
        (!blocks.is_empty()).then_some(ExportJob {
            root,
            blocks,
            engine: used.addr,
        })
    }

    /// Records the end of an export, successful or not.
    pub fn export_ended(&mut self, job: &ExportJob) {
        if let Some(prompt) = self.prompts.get_mut(&job.root) {
            prompt.exporting.retain(|block| !job.blocks.contains(block));
        }
    }

    /// Adds published objects. Of two objects for the same block, the first stays.
    pub fn publish(&mut self, root: BlockName, objects: Vec<StoredObject>, now: Instant) {
        self.unpublished
            .retain(|_, at| now - *at < REJECT_UNPUBLISHED_FOR);
        let prompt = self.prompts.entry(root).or_default();
        for object in objects {
            if !self
                .unpublished
                .contains_key(&(object.block, object.generation))
            {
                prompt.stored.entry(object.block).or_insert(object);
            }
        }
    }

    /// Removes objects from the hints, and rejects them for `REJECT_UNPUBLISHED_FOR`.
    pub fn unpublish(
        &mut self,
        root: BlockName,
        objects: &[(BlockName, Generation)],
        now: Instant,
    ) {
        for (block, generation) in objects {
            self.unpublished.insert((*block, *generation), now);
        }
        let Some(prompt) = self.prompts.get_mut(&root) else {
            return;
        };
        prompt
            .stored
            .retain(|_, object| !objects.contains(&(object.block, object.generation)));
    }

    /// Unpublishes the objects of `store` with the lowest retention value, `share` of those known,
    /// among the roots that `is_first_owner` accepts.
    pub fn free_least(
        &mut self,
        store: &TargetId,
        share: f64,
        is_first_owner: impl Fn(&BlockName) -> bool,
        now: Instant,
    ) -> Vec<FreeJob> {
        let mut candidates: Vec<(f64, BlockName)> = Vec::new();
        let mut count = 0;
        for (root, prompt) in self.prompts.iter().filter(|(root, _)| is_first_owner(root)) {
            let objects = prompt.stored.values().filter(|o| o.store == *store).count();
            if objects > 0 {
                let idle = prompt
                    .last_used
                    .map_or(Duration::MAX, |last_used| now - last_used);
                candidates.push((retention_value(&self.gaps, idle), *root));
                count += objects;
            }
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut remaining = (count as f64 * share).ceil() as usize;
        let mut jobs = Vec::new();
        for (_, root) in candidates {
            if remaining == 0 {
                break;
            }
            let Some(job) = self.free_job(&root, store, remaining) else {
                continue;
            };
            remaining -= job.objects.len();
            self.unpublish(root, &job.objects, now);
            jobs.push(job);
        }
        jobs
    }

    fn free_job(&self, root: &BlockName, store: &TargetId, limit: usize) -> Option<FreeJob> {
        let prompt = self.prompts.get(root)?;
        let in_store = prompt.stored.values().filter(|o| o.store == *store);
        let objects: Vec<&StoredObject> = in_store.take(limit).collect();
        Some(FreeJob {
            root: *root,
            addr: objects.first()?.addr,
            objects: objects.iter().map(|o| (o.block, o.generation)).collect(),
        })
    }

    fn evict_if_full(&mut self) {
        if self.prompts.len() < MAX_PROMPTS {
            return;
        }
        let mut ages: Vec<_> = self
            .prompts
            .iter()
            .map(|(root, p)| (p.last_used, *root))
            .collect();
        ages.sort_unstable();
        for (_, root) in ages.into_iter().take(MAX_PROMPTS / 10) {
            self.prompts.remove(&root);
        }
    }
}
