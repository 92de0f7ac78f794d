//! Size and speed of an engine.

use std::time::Duration;

/// Size and speed of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineShape {
    /// Time of one step without prompt work.
    pub step: Duration,
    /// Time to compute one block of a prompt.
    pub block: Duration,
    /// Blocks computed in a step, at the most.
    pub blocks_per_step: u32,
    /// Runs in the batch.
    pub max_batch: usize,
    /// Runs that may wait.
    pub max_waiting: usize,
    /// Blocks that the cache holds.
    pub cache_blocks: usize,
    /// Bytes of one block when exported.
    pub block_len: usize,
    /// How old a load report is.
    pub load_lag: Duration,
    /// How late cache events are.
    pub event_lag: Duration,
    /// Each such cache event is lost (0: none).
    pub gap_every: u64,
    /// How long a run without a reader is kept for a resume.
    pub keep_finished: Duration,
    /// Whether orders below the highest fence seen are refused.
    pub check_fence: bool,
}

impl Default for EngineShape {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(10),
            block: Duration::from_millis(20),
            blocks_per_step: 1,
            max_batch: 16,
            max_waiting: 256,
            cache_blocks: 64,
            block_len: 16 << 10,
            load_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(100),
            gap_every: 0,
            keep_finished: Duration::from_secs(3),
            check_fence: true,
        }
    }
}
