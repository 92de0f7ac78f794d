//! Communication between boxes, the instances of the gateway.
//!
//! Each box sends a digest, a small UDP datagram, several times a second. It states that the box is
//! up, and up to which revision it knows what is published in the platform store. A box that
//! receives a digest with a newer revision fetches the difference from the sender over `tarpc`. So
//! a box that the store refuses, or that starts while the store is unreachable, gets its data from
//! other boxes.
//!
//! - [`roles`]: which box of a zone reads what,
//! - [`datagram`]: contents of datagrams,
//! - [`packed`]: compact encoding of store changes,
//! - [`wire`]: encoding of datagrams, and the key that distinguishes fleets,
//! - [`sender`]: sends datagrams, and decides when and to which boxes,
//! - [`hub`]: boxes that aggregate and distribute the updates of a large zone,
//! - [`transmitter`]: encodes and sends datagrams,
//! - [`zone_sender`]: what a box of a large zone sends,
//! - [`work_updates`]: sends the boxes of the zone changes of the work at engines immediately,
//! - [`update_limit`]: limits the number of these updates,
//! - [`roster`]: boxes of the own zone by their short ids,
//! - [`receiver`]: processes received datagrams,
//! - [`documents`]: serves documents to other boxes, large ones in pieces,
//! - [`peer_client`]: fetches copies from other boxes,
//! - [`lag`]: for how long other boxes have had newer data,
//! - [`stall`]: detects datagrams that were queued while the process was stalled,
//! - [`link`]: remote procedure calls between boxes,
//! - [`registry`]: boxes registered in the platform store.

pub mod datagram;
pub mod documents;
pub mod fetches;
pub mod hub;
pub mod lag;
pub mod link;
pub mod oversize;
pub mod packed;
pub mod peer_client;
pub mod receiver;
pub mod registry;
pub mod roles;
pub mod roster;
pub mod sender;
pub mod stall;
mod transmitter;
pub mod update_limit;
pub mod wire;
pub mod work_updates;
pub mod zone_sender;

use std::time::Duration;

/// Converts a duration to whole milliseconds, the unit in messages between boxes.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
