//! Content of the cache stores, and when parts may be fetched, saved and freed.

mod changes;
// Shared with the other tests of this crate.
#[path = "../common/mod.rs"]
mod common;
mod directory;
mod fetch_shares;
mod homes;
mod listing;
mod retire;
mod retired_shares;

use sillpin_core::Tokens;
use sillpin_gateway::control::{PartChange, PartKey, StoreChanges, StoreListing};
use sillpin_gateway::dialect::{EngineTime, PartId, Salt};
use std::net::SocketAddr;

const STORE: SocketAddr = SocketAddr::V4(std::net::SocketAddrV4::new(
    std::net::Ipv4Addr::LOCALHOST,
    7,
));

fn key(part: &str) -> PartKey {
    PartKey {
        salt: Salt("m/1".to_owned()),
        part: PartId(part.to_owned()),
    }
}

fn list(epoch: u64, parts: &[&str]) -> StoreListing {
    StoreListing {
        epoch,
        next: 10,
        complete: parts.iter().map(|part| (key(part), Tokens(100))).collect(),
        partial: Vec::new(),
    }
}

fn update(epoch: u64, changes: Vec<PartChange>) -> StoreChanges {
    StoreChanges {
        epoch,
        next: 11,
        lost: false,
        changes,
        clock: Some(EngineTime(5_000)),
    }
}
