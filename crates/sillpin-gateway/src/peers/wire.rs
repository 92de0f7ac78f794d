//! How datagrams between boxes are written, and whose they are.
//!
//! A port may be given out again: a box that ends leaves its address to whoever comes next, and boxes that have not
//! noticed go on telling it news. So each datagram opens with a key of the fleet and of the format, and a box drops
//! what does not carry its own. The key tells fleets apart; it proves nothing, since the settings hold no secret that
//! boxes share.

use super::datagram::Datagram;
use bincode::Options;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Changes whenever datagrams do, so that boxes of two builds drop each other's instead of misreading them.
const FORMAT: u32 = 2;

/// Bytes of the key in front of each datagram.
const KEY_LEN: usize = 8;

/// Longest datagram: what a receiver's buffer holds. 256 engines' work takes 3,000 bytes, 60 changes of a store as many.
pub const MAX_DATAGRAM: usize = 16_384;

/// Tells fleets apart: boxes of one fleet share a platform's store, mostly at one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetKey(u64);

impl FleetKey {
    /// The key of the fleet called `name`, or whose store is at `platform` if it has no name.
    pub fn new(name: Option<&str>, platform: SocketAddr) -> Self {
        match name {
            Some(name) => Self(xxh3_64(format!("{FORMAT} fleet {name}").as_bytes())),
            None => Self::of(platform),
        }
    }

    /// The key of the fleet whose store is at `platform`.
    pub fn of(platform: SocketAddr) -> Self {
        Self(xxh3_64(format!("{FORMAT} {platform}").as_bytes()))
    }
}

/// A datagram that is not taken.
#[derive(Debug, Display, Error)]
pub enum WireFault {
    /// It is of another fleet, or of another format.
    #[display("of another fleet or format")]
    Foreign,
    /// It is longer than a receiver's buffer.
    #[display("{_0} bytes are too long")]
    TooLong(#[error(not(source))] usize),
    /// It cannot be read or written.
    #[display("unreadable: {_0}")]
    Unreadable(bincode::Error),
}

fn options() -> impl Options {
    // Small numbers are the rule, and each byte is sent to a whole zone.
    bincode::DefaultOptions::new().with_limit(MAX_DATAGRAM as u64)
}

/// Writes a datagram of a fleet.
pub fn encode(fleet: FleetKey, datagram: &Datagram) -> Result<Vec<u8>, WireFault> {
    let mut buf = fleet.0.to_le_bytes().to_vec();
    let written = options().serialize_into(&mut buf, datagram);
    written.map_err(WireFault::Unreadable)?;
    match buf.len() <= MAX_DATAGRAM {
        true => Ok(buf),
        false => Err(WireFault::TooLong(buf.len())),
    }
}

/// Reads a datagram, if it is of this fleet.
pub fn decode(fleet: FleetKey, buf: &[u8]) -> Result<Datagram, WireFault> {
    let (key, rest) = buf.split_at_checked(KEY_LEN).ok_or(WireFault::Foreign)?;
    if key != fleet.0.to_le_bytes() {
        return Err(WireFault::Foreign);
    }
    options().deserialize(rest).map_err(WireFault::Unreadable)
}
