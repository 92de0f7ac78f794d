//! The prompts of the owned roots. No I/O: the clock is passed in.

use sillpin_core::{BlockName, Generation, TargetId};
use sillpin_policy::keeping::{ReturnGaps, StoreCandidate, retention_value, should_store};
use sillpin_policy::set::KeepingPolicy;
use sillpin_rpc::directory::{BlockHints, HolderChange, PromptUse, StoredObject};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Prompts known; beyond, those that were used least recently are forgotten.
pub const MAX_PROMPTS: usize = 40_000;

/// How long an unpublished object is not taken in again.
const UNPUBLISHED_FOR: Duration = Duration::from_secs(60);

/// Blocks to write to a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExportJob {
    /// First block of the prompt.
    pub root: BlockName,
    /// Blocks to write.
    pub blocks: Vec<BlockName>,
    /// Where the engine that holds them listens.
    pub engine: SocketAddr,
}

/// Objects to free, already unpublished here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreeJob {
    /// First block of their prompt.
    pub root: BlockName,
    /// Where the store listens.
    pub addr: SocketAddr,
    /// Block and generation of each.
    pub objects: Vec<(BlockName, Generation)>,
}

#[derive(Default)]
struct Prompt {
    holders: HashMap<TargetId, HashSet<BlockName>>,
    kept: HashMap<BlockName, StoredObject>,
    exporting: HashSet<BlockName>,
    used: Option<Instant>,
}

impl Prompt {
    fn is_empty(&self) -> bool {
        self.holders.is_empty() && self.kept.is_empty() && self.exporting.is_empty()
    }
}

/// Prompts by root.
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
    /// Prompts known.
    pub fn prompts(&self) -> usize {
        self.prompts.len()
    }

    /// Blocks known, each holder and store counted.
    pub fn blocks(&self) -> usize {
        let of = |p: &Prompt| p.kept.len() + p.holders.values().map(HashSet::len).sum::<usize>();
        self.prompts.values().map(of).sum()
    }

    /// What is known of the blocks of a prompt.
    pub fn look_up(&self, blocks: &[BlockName]) -> BlockHints {
        let prompt = blocks.first().and_then(|root| self.prompts.get(root));
        let Some(prompt) = prompt else {
            return BlockHints::default();
        };
        let holders = prompt.holders.iter().filter_map(|(target, held)| {
            let len = prefix_len(blocks, |block| held.contains(block));
            (len > 0).then(|| (target.clone(), len))
        });
        let kept = blocks
            .iter()
            .map_while(|block| prompt.kept.get(block).cloned());
        BlockHints {
            holders: holders.collect(),
            kept: kept.collect(),
        }
    }

    /// An engine's cache changed.
    pub fn holder_changed(&mut self, change: HolderChange) {
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

    /// A prompt was answered. Says what to write to a store, if this keeper is to see to it.
    pub fn used(
        &mut self,
        used: PromptUse,
        policy: &KeepingPolicy,
        to_export: bool,
        now: Instant,
    ) -> Option<ExportJob> {
        let root = *used.blocks.first()?;
        self.make_room();
        let prompt = self.prompts.entry(root).or_default();
        match prompt.used.replace(now) {
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
            !prompt.kept.contains_key(*block) && !prompt.exporting.contains(*block)
        };
        let blocks: Vec<BlockName> = used.blocks.iter().filter(is_new).copied().collect();
        prompt.exporting.extend(blocks.iter().copied());
        (!blocks.is_empty()).then_some(ExportJob {
            root,
            blocks,
            engine: used.addr,
        })
    }

    /// An export ended, whatever it wrote.
    pub fn export_ended(&mut self, job: &ExportJob) {
        if let Some(prompt) = self.prompts.get_mut(&job.root) {
            prompt.exporting.retain(|block| !job.blocks.contains(block));
        }
    }

    /// Objects were published. Of two of the same block the first stays.
    pub fn kept(&mut self, root: BlockName, objects: Vec<StoredObject>, now: Instant) {
        self.unpublished.retain(|_, at| now - *at < UNPUBLISHED_FOR);
        let prompt = self.prompts.entry(root).or_default();
        for object in objects {
            if !self
                .unpublished
                .contains_key(&(object.block, object.generation))
            {
                prompt.kept.entry(object.block).or_insert(object);
            }
        }
    }

    /// Objects must not be handed out any more.
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
            .kept
            .retain(|_, object| !objects.contains(&(object.block, object.generation)));
    }

    /// Unpublishes the objects of `store` that are worth least, `share` of those known, among the
    /// roots that `mine` accepts.
    pub fn free_least(
        &mut self,
        store: &TargetId,
        share: f64,
        mine: impl Fn(&BlockName) -> bool,
        now: Instant,
    ) -> Vec<FreeJob> {
        let mut candidates: Vec<(f64, BlockName)> = Vec::new();
        let mut known = 0;
        for (root, prompt) in self.prompts.iter().filter(|(root, _)| mine(root)) {
            let objects = prompt.kept.values().filter(|o| o.store == *store).count();
            if objects > 0 {
                let idle = prompt.used.map_or(Duration::MAX, |used| now - used);
                candidates.push((retention_value(&self.gaps, idle), *root));
                known += objects;
            }
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut left = (known as f64 * share).ceil() as usize;
        let mut jobs = Vec::new();
        for (_, root) in candidates {
            if left == 0 {
                break;
            }
            let Some(job) = self.free_of(&root, store, left) else {
                continue;
            };
            left -= job.objects.len();
            self.unpublish(root, &job.objects, now);
            jobs.push(job);
        }
        jobs
    }

    fn free_of(&self, root: &BlockName, store: &TargetId, most: usize) -> Option<FreeJob> {
        let prompt = self.prompts.get(root)?;
        let here = prompt.kept.values().filter(|o| o.store == *store);
        let objects: Vec<&StoredObject> = here.take(most).collect();
        Some(FreeJob {
            root: *root,
            addr: objects.first()?.addr,
            objects: objects.iter().map(|o| (o.block, o.generation)).collect(),
        })
    }

    fn make_room(&mut self) {
        if self.prompts.len() < MAX_PROMPTS {
            return;
        }
        let mut ages: Vec<_> = self
            .prompts
            .iter()
            .map(|(root, p)| (p.used, *root))
            .collect();
        ages.sort_unstable();
        for (_, root) in ages.into_iter().take(MAX_PROMPTS / 10) {
            self.prompts.remove(&root);
        }
    }
}
