//! What boxes tell each other.
//!
//! Each box sends a small digest over UDP a few times a second: how far it knows what is published, and
//! that it lives. A box that reads in a digest of something newer asks the sender for it over `tarpc`. So
//! a box that the store turns away, or that starts while the store is down, learns from the others.
//!
//! - [`roles`]: which box reads what for its zone,
//! - [`datagram`]: what they say in datagrams,
//! - [`packed`]: how changes of stores are written,
//! - [`wire`]: how datagrams are written, and whose they are,
//! - [`digest`]: who is told what, and when,
//! - [`hub`]: boxes that gather and spread the news of a large zone,
//! - [`spread`]: what a box of a large zone tells,
//! - [`roster`]: boxes of the own zone by their short names,
//! - [`ear`]: what is made of them,
//! - [`handout`]: documents for other boxes, the large ones piece by piece,
//! - [`asker`]: asks other boxes for what they know,
//! - [`lag`]: how long others have known more,
//! - [`stall`]: datagrams that waited in a stall,
//! - [`link`]: calls between boxes and how they are answered,
//! - [`registry`]: boxes registered in the store.

pub mod asker;
pub mod datagram;
pub mod digest;
pub mod ear;
pub mod handout;
pub mod hub;
pub mod lag;
pub mod link;
pub mod packed;
pub mod registry;
pub mod roles;
pub mod roster;
pub mod spread;
pub mod stall;
pub mod wire;

use std::time::Duration;

/// A time in whole milliseconds, as boxes tell it.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
