//! Continuous batching: each step computes up to `blocks_per_step` blocks of prompts and one token of every decoding run.

use super::EngineShape;
use super::cache::Cache;
use sillpin_core::{AttemptId, BlockName};
use sillpin_targets::{RunOrder, RunSummary};
use std::collections::HashMap;
use tokio::sync::watch;
use tokio::time::Instant;

/// Progress of a run: number of tokens produced and, at its end, the summary.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    pub(super) produced: u32,
    pub(super) ended: Option<RunSummary>,
}

impl Progress {
    fn new(produced: u32) -> Self {
        Self {
            produced,
            ended: None,
        }
    }
}

/// One run of the engine.
pub(super) struct Run {
    pub(super) order: RunOrder,
    pub(super) progress: watch::Sender<Progress>,
    pub(super) prompt_blocks: u32,
    phase: Phase,
    arrived: u64,
    finished_since: Option<Instant>,
    pub(super) summary: RunSummary,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Prefill { left: u32 },
    Decode { produced: u32 },
    Done,
}

/// All runs of the engine, and its cache.
pub(super) struct Batch {
    pub(super) shape: EngineShape,
    pub(super) cache: Cache,
    pub(super) runs: HashMap<AttemptId, Run>,
    arrivals: u64,
}

impl Batch {
    pub(super) fn new(shape: EngineShape) -> Self {
        Self {
            shape,
            cache: Cache::new(shape.cache_blocks, shape.gap_every),
            runs: HashMap::new(),
            arrivals: 0,
        }
    }

    pub(super) fn add(
        &mut self,
        order: RunOrder,
        summary: RunSummary,
    ) -> watch::Receiver<Progress> {
        let (progress, rx) = watch::channel(Progress::new(order.start_index));
        self.arrivals += 1;
        let prompt_blocks = summary
            .prompt_tokens
            .0
            .div_ceil(sillpin_core::block::BLOCK_TOKENS);
        let run = Run {
            prompt_blocks: prompt_blocks as u32,
            progress,
            phase: Phase::Waiting,
            arrived: self.arrivals,
            finished_since: None,
            summary,
            order,
        };
        self.runs.insert(run.order.attempt, run);
        rx
    }

    pub(super) fn waiting(&self) -> impl Iterator<Item = &Run> {
        self.runs.values().filter(|r| r.phase == Phase::Waiting)
    }

    pub(super) fn running(&self) -> usize {
        let active = |r: &&Run| !matches!(r.phase, Phase::Waiting | Phase::Done);
        self.runs.values().filter(active).count()
    }

    /// Returns the number of prompt blocks still to be computed, of waiting runs and runs in prefill.
    pub(super) fn blocks_to_compute(&self) -> u64 {
        let left = |r: &Run| match r.phase {
            Phase::Waiting => self.uncached_blocks(r),
            Phase::Prefill { left } => left,
            Phase::Decode { .. } | Phase::Done => 0,
        };
        self.runs.values().map(|r| u64::from(left(r))).sum()
    }

    fn uncached_blocks(&self, run: &Run) -> u32 {
        let names = &run.order.blocks;
        let cached = names.iter().take_while(|b| self.cache.contains(b)).count();
        run.prompt_blocks - (cached as u32).min(run.prompt_blocks)
    }

    /// Moves waiting runs into the batch, by priority and then by arrival.
    pub(super) fn admit(&mut self) {
        while self.running() < self.shape.max_batch {
            let next = self.waiting().min_by_key(|r| (r.order.priority, r.arrived));
            let Some(attempt) = next.map(|r| r.order.attempt) else {
                return;
            };
            self.start_prefill(attempt);
        }
    }

    fn start_prefill(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        let cached = self.cache.touch_prefix(&run.order.blocks) as u32;
        let cached_tokens = u64::from(cached) * sillpin_core::block::BLOCK_TOKENS;
        let imported = run.summary.imported_tokens;
        run.summary.cached_tokens = sillpin_core::Tokens(cached_tokens.saturating_sub(imported.0));
        let left = run.prompt_blocks - cached.min(run.prompt_blocks);
        run.phase = Phase::Prefill { left };
    }

    /// Returns the run to prefill next, by priority and then by arrival.
    fn next_prefill(&self) -> Option<AttemptId> {
        let in_prefill = |r: &&Run| matches!(r.phase, Phase::Prefill { .. });
        let runs = self.runs.values().filter(in_prefill);
        let next = runs.min_by_key(|r| (r.order.priority, r.arrived));
        next.map(|r| r.order.attempt)
    }

    /// Runs one step and returns the number of blocks that it computed.
    pub(super) fn step(&mut self) -> u32 {
        let mut computed = 0;
        for _ in 0..self.shape.blocks_per_step {
            let Some(attempt) = self.next_prefill() else {
                break;
            };
            computed += self.prefill(attempt);
        }
        for run in self.runs.values_mut() {
            run.decode();
        }
        computed
    }

    fn prefill(&mut self, attempt: AttemptId) -> u32 {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return 0;
        };
        let Phase::Prefill { left } = run.phase else {
            return 0;
        };
        if left > 1 {
            run.phase = Phase::Prefill { left: left - 1 };
            return 1;
        }
        let produced = run.order.start_index;
        run.phase = Phase::Decode { produced };
        let blocks: Vec<BlockName> = run.order.blocks.clone();
        for block in &blocks {
            self.cache.insert(*block, blocks[0]);
        }
        left
    }

    /// Removes runs that ended or lost their last reader at least `keep_finished` ago.
    pub(super) fn remove_finished(&mut self, now: Instant) {
        let keep = self.shape.keep_finished;
        self.runs.retain(|_, run| {
            if run.phase != Phase::Done && run.progress.receiver_count() > 0 {
                run.finished_since = None;
                return true;
            }
            let since = *run.finished_since.get_or_insert(now);
            now - since < keep
        });
    }
}

impl Run {
    fn decode(&mut self) {
        let Phase::Decode { produced } = self.phase else {
            return;
        };
        let last = self.order.max_tokens.max(self.order.start_index);
        let produced = (produced + 1).min(last);
        self.phase = Phase::Decode { produced };
        if produced == last {
            self.phase = Phase::Done;
            self.summary.tokens = last;
        }
        let ended = (self.phase == Phase::Done).then_some(self.summary);
        self.progress.send_modify(|p| {
            p.produced = produced;
            p.ended = ended;
        });
    }
}
