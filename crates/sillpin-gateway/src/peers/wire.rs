//! Encoding of datagrams between boxes.
//!
//! A port may be reused: the address of a stopped box passes to another process, and boxes that
//! have not noticed keep sending to it. So each datagram begins with a key of the fleet and of the
//! format, and a box drops datagrams without its own key. The key distinguishes fleets; it
//! authenticates nothing, since the settings hold no secret that boxes share.

use super::datagram::Datagram;
use bincode::Options;
use derive_more::{Display, Error};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Incremented when datagrams change, so that boxes of two builds drop each other's datagrams
/// instead of misreading them.
const FORMAT: u32 = 4;

/// Length of the key at the start of each datagram, in bytes.
const KEY_LEN: usize = 8;

/// Longest datagram in bytes: the size of a receiver's buffer. The work at 256 engines takes 3,000
/// bytes, 60 changes of a store as many.
pub const MAX_DATAGRAM: usize = 16_384;

/// Distinguishes fleets: boxes of one fleet share a platform store, mostly at one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetKey(u64);

impl FleetKey {
    /// Returns the key of the fleet called `name`, or of the one whose store is at `platform` if it
    /// has no name.
    pub fn new(name: Option<&str>, platform: SocketAddr) -> Self {
        match name {
            Some(name) => Self(xxh3_64(format!("{FORMAT} fleet {name}").as_bytes())),
            None => Self::of(platform),
        }
    }

    /// Returns the key of this fleet's datagrams about streams, which share the port of the others.
    pub fn for_streams(self) -> Self {
        Self(xxh3_64(format!("{} streams", self.0).as_bytes()))
    }

    /// Returns the key of the fleet whose store is at `platform`.
    pub fn of(platform: SocketAddr) -> Self {
        Self(xxh3_64(format!("{FORMAT} {platform}").as_bytes()))
    }
}

/// Why a datagram was not encoded or decoded.
#[derive(Debug, Display, Error)]
pub enum WireError {
    /// It belongs to another fleet or has another format.
    #[display("datagram of another fleet or format")]
    Foreign,
    /// It is longer than a receiver's buffer.
    #[display("datagram of {_0} bytes exceeds the limit")]
    TooLong(#[error(not(source))] usize),
    /// It cannot be encoded or decoded.
    #[display("cannot encode or decode the datagram: {_0}")]
    Unreadable(bincode::Error),
}

fn options() -> impl Options {
    // Variable-length integers: most numbers are small, and each byte is sent to a whole zone.
    bincode::DefaultOptions::new().with_limit(MAX_DATAGRAM as u64)
}

/// Encodes a datagram of a fleet.
pub fn encode(fleet: FleetKey, datagram: &Datagram) -> Result<Vec<u8>, WireError> {
    encode_message(fleet, datagram)
}

/// Encodes a datagram of any type.
pub fn encode_message<T: Serialize>(fleet: FleetKey, message: &T) -> Result<Vec<u8>, WireError> {
    let unlimited = || options().with_no_limit();
    let len = unlimited().serialized_size(message);
    let len = KEY_LEN + len.map_err(WireError::Unreadable)? as usize;
    if len > MAX_DATAGRAM {
        return Err(WireError::TooLong(len));
    }
    let mut buf = Vec::with_capacity(len);
    buf.extend_from_slice(&fleet.0.to_le_bytes());
    let written = unlimited().serialize_into(&mut buf, message);
    written.map_err(WireError::Unreadable)?;
    Ok(buf)
}

/// Decodes a datagram, if it belongs to this fleet.
pub fn decode(fleet: FleetKey, buf: &[u8]) -> Result<Datagram, WireError> {
    decode_message(fleet, buf)
}

/// Decodes a datagram of any type, if it belongs to this fleet.
pub fn decode_message<T: DeserializeOwned>(fleet: FleetKey, buf: &[u8]) -> Result<T, WireError> {
    let (key, rest) = buf.split_at_checked(KEY_LEN).ok_or(WireError::Foreign)?;
    if key != fleet.0.to_le_bytes() {
        return Err(WireError::Foreign);
    }
    options().deserialize(rest).map_err(WireError::Unreadable)
}
