//! Engines as a keeper reports them to an entry. The tests and the benchmark of placement include
//! this file.

use sillpin_core::target::TargetEntry;
use sillpin_core::{LoadReport, Presence, Share, TargetKind, Tokens, WeightVersion};
use sillpin_rpc::entry_link::TargetView;
use sillpin_rpc::gossip::TargetState;

/// Returns a live engine with 16 slots, `running` running requests and `waiting_blocks` blocks to
/// compute.
pub fn view(id: &str, zone: &str, running: u32, waiting_blocks: u64) -> TargetView {
    TargetView {
        entry: TargetEntry {
            id: id.parse().unwrap(),
            kind: TargetKind::Engine,
            pool: "llm".parse().unwrap(),
            zone: zone.parse().unwrap(),
            addr: ([127, 0, 0, 1], 1).into(),
            presence: Presence::Live,
            model: "mfano".parse().ok(),
            link_rate: None,
        },
        state: Some(TargetState {
            load: Some(LoadReport {
                sequence: 1,
                presence: Presence::Live,
                running,
                slots: 16,
                waiting: 0,
                waiting_tokens: Tokens(1_000 * waiting_blocks),
                version: Some(WeightVersion(1)),
                block_micros: 20_000,
                cache_blocks: 60,
                fill: Share::NONE,
            }),
            reachable: true,
        }),
        leaving: false,
    }
}
