//! Size and speed of an engine.

use std::time::Duration;

/// Size and speed of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineShape {
    /// Duration of one step without prefill.
    pub step: Duration,
    /// Additional duration of a step for each block of a prompt that it computes.
    pub block: Duration,
    /// Maximum number of blocks computed in a step.
    pub blocks_per_step: u32,
    /// Maximum number of runs in the batch.
    pub max_batch: usize,
    /// Maximum number of waiting runs; further ones are refused.
    pub max_waiting: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Length of an exported block, in bytes.
    pub block_len: usize,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Delay of cache events.
    pub event_lag: Duration,
    /// Every `gap_every`th cache event is lost (0: none).
    pub gap_every: u64,
    /// How long a run that ended or has no reader is kept, so that it can be resumed.
    pub keep_finished: Duration,
    /// Whether weight loads with a fence below the highest one received are refused.
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
