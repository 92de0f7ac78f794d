//! An engine's prefix cache with LRU eviction, and the events that report its changes.

use sillpin_core::BlockName;
use sillpin_targets::{CacheChange, CacheEvents};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Maximum number of events kept for readers; a reader that is further behind gets a gap.
const MAX_EVENTS: usize = 4_096;

/// Maximum number of events in one response.
const MAX_EVENTS_PER_RESPONSE: usize = 512;

/// When a block was last used, and the first block of the prompt for which it was inserted.
#[derive(Clone, Copy)]
struct Use {
    at: u64,
    root: BlockName,
}

pub(super) struct Cache {
    capacity: usize,
    uses: HashMap<BlockName, Use>,
    by_last_use: BTreeMap<u64, BlockName>,
    clock: u64,
    events: VecDeque<(u64, CacheChange)>,
    sequence: u64,
    gap_every: u64,
}

impl Cache {
    /// Creates a cache of `capacity` blocks. Every `gap_every`th event is lost (0: none).
    pub(super) fn new(capacity: usize, gap_every: u64) -> Self {
        Self {
            capacity,
            uses: HashMap::new(),
            by_last_use: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            sequence: 0,
            gap_every,
        }
    }

    /// Marks the leading blocks of `blocks` that are cached as used, and returns their number.
    pub(super) fn touch_prefix(&mut self, blocks: &[BlockName]) -> usize {
        let hits = blocks.iter().take_while(|b| self.uses.contains_key(b));
        let hits = hits.count();
        for block in &blocks[..hits] {
            self.touch(*block, blocks[0]);
        }
        hits
    }

    pub(super) fn contains(&self, block: &BlockName) -> bool {
        self.uses.contains_key(block)
    }

    /// Inserts a block of the prompt that begins with `root`, and evicts the least recently used
    /// blocks beyond the capacity.
    pub(super) fn insert(&mut self, block: BlockName, root: BlockName) {
        if self.capacity == 0 {
            return;
        }
        if !self.uses.contains_key(&block) {
            self.publish(root, block, true);
        }
        self.touch(block, root);
        while self.uses.len() > self.capacity {
            self.evict();
        }
    }

    /// Evicts all blocks, as an engine does when it swaps weights.
    pub(super) fn clear(&mut self) {
        while !self.uses.is_empty() {
            self.evict();
        }
    }

    fn touch(&mut self, block: BlockName, root: BlockName) {
        self.clock += 1;
        let at = self.clock;
        let root = self.uses.get(&block).map_or(root, |before| before.root);
        if let Some(before) = self.uses.insert(block, Use { at, root }) {
            self.by_last_use.remove(&before.at);
        }
        self.by_last_use.insert(at, block);
    }

    fn evict(&mut self) {
        let Some((_, block)) = self.by_last_use.pop_first() else {
            return;
        };
        if let Some(last) = self.uses.remove(&block) {
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
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after sequence number `after`; `epoch` identifies the engine's incarnation.
    pub(super) fn events_after(&self, epoch: u64, after: u64) -> CacheEvents {
        let newer = self.events.iter().filter(|(sequence, _)| *sequence > after);
        let events: Vec<_> = newer.take(MAX_EVENTS_PER_RESPONSE).copied().collect();
        let sequence = match events.last() {
            Some((sequence, _)) if events.len() == MAX_EVENTS_PER_RESPONSE => *sequence,
            _ => self.sequence,
        };
        CacheEvents {
            events,
            epoch,
            sequence,
        }
    }
}
