//! Targets that crash, and the prompts of requests that ran there.

use super::{engine, name};
use sillpin_core::Tokens;
use sillpin_gateway::control::TargetEntry;
use sillpin_gateway::dialect::{Part, PartId, Prompt};
use sillpin_gateway::placement::work::IncarnationHash;

/// The target with this number.
pub fn incarnation(number: usize) -> IncarnationHash {
    IncarnationHash::of(&TargetEntry {
        id: name(&format!("i-{number}")),
        ..engine("i", "za")
    })
}

/// The prompt of the request with this number, with these shared parts and one of its own.
pub fn prompt(number: u64, shared: &[impl AsRef<str>]) -> Prompt {
    let shared = shared.iter().map(|id| id.as_ref().to_owned());
    let parts = shared.chain([format!("own-{number}")]).map(|id| Part {
        id: PartId(id),
        tokens: Tokens(100),
    });
    Prompt {
        model: name("m"),
        parts: parts.collect(),
        tokens: Tokens(300),
        max_output: Tokens(10),
    }
}
