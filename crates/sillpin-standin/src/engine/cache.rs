//! An engine's prefix cache, least recently used out first, and the events of its changes.

use sillpin_core::BlockName;
use sillpin_targets::{CacheChange, CacheEvents};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Events kept for readers; a reader that is further behind sees a gap.
const EVENTS_KEPT: usize = 4_096;

/// Events in one answer.
const EVENTS_PER_ANSWER: usize = 512;

/// When a block was used last, and the prompt that brought it in.
#[derive(Clone, Copy)]
struct Use {
    at: u64,
    root: BlockName,
}

pub(super) struct Cache {
    capacity: usize,
    used: HashMap<BlockName, Use>,
    oldest: BTreeMap<u64, BlockName>,
    clock: u64,
    events: VecDeque<(u64, CacheChange)>,
    sequence: u64,
    gap_every: u64,
}

impl Cache {
    /// A cache of `capacity` blocks; each `gap_every`th event is lost (0: none).
    pub(super) fn new(capacity: usize, gap_every: u64) -> Self {
        Self {
            capacity,
            used: HashMap::new(),
            oldest: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            sequence: 0,
            gap_every,
        }
    }

    /// Leading blocks of `blocks` that are cached, which count as used now.
    pub(super) fn touch_prefix(&mut self, blocks: &[BlockName]) -> usize {
        let hits = blocks.iter().take_while(|b| self.used.contains_key(b));
        let hits = hits.count();
        for block in &blocks[..hits] {
            self.touch(*block, blocks[0]);
        }
        hits
    }

    pub(super) fn contains(&self, block: &BlockName) -> bool {
        self.used.contains_key(block)
    }

    /// Adds a block of the prompt that begins with `root`, evicting the least recently used ones
    /// beyond the capacity.
    pub(super) fn insert(&mut self, block: BlockName, root: BlockName) {
        if self.capacity == 0 {
            return;
        }
        if !self.used.contains_key(&block) {
            self.publish(root, block, true);
        }
        self.touch(block, root);
        while self.used.len() > self.capacity {
            self.evict();
        }
    }

    /// Forgets everything, as a swap of weights does.
    pub(super) fn clear(&mut self) {
        while !self.used.is_empty() {
            self.evict();
        }
    }

    fn touch(&mut self, block: BlockName, root: BlockName) {
        self.clock += 1;
        let at = self.clock;
        let root = self.used.get(&block).map_or(root, |before| before.root);
        if let Some(before) = self.used.insert(block, Use { at, root }) {
            self.oldest.remove(&before.at);
        }
        self.oldest.insert(at, block);
    }

    fn evict(&mut self) {
        let Some((_, block)) = self.oldest.pop_first() else {
            return;
        };
        if let Some(last) = self.used.remove(&block) {
            self.publish(last.root, block, false);
        }
    }

    fn publish(&mut self, root: BlockName, block: BlockName, stored: bool) {
        let change = CacheChange {
            root,
            block,
            stored,
        };
        self.sequence += 1;
        let lost = self.gap_every > 0 && self.sequence.is_multiple_of(self.gap_every);
        if !lost {
            self.events.push_back((self.sequence, change));
        }
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// Events after `after`, of the engine's life `epoch`.
    pub(super) fn events_after(&self, epoch: u64, after: u64) -> CacheEvents {
        let newer = self.events.iter().filter(|(sequence, _)| *sequence > after);
        let events: Vec<_> = newer.take(EVENTS_PER_ANSWER).copied().collect();
        let sequence = match events.last() {
            Some((sequence, _)) if events.len() == EVENTS_PER_ANSWER => *sequence,
            _ => self.sequence,
        };
        CacheEvents {
            events,
            epoch,
            sequence,
        }
    }
}
