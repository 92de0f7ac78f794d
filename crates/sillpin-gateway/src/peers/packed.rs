//! Compact encoding of store changes in datagrams.
//!
//! The boxes of a zone are notified of each part that is stored or freed: a thousand a second in a
//! large fleet, and several times that when weights change. Most of the data is names: salts
//! repeat, and most parts are named by hexadecimal digits. Packed, a change takes some 11 bytes
//! instead of 30.

use super::datagram::StoreUpdate;
use crate::control::{PartChange, PartKey};
use crate::dialect::{PartId, Salt};
use serde::{Deserialize, Serialize};
use sillpin_core::{Tokens, bounds};
use std::net::SocketAddr;

/// Hexadecimal digits that fit a `u64`.
const MAX_DIGITS: usize = 16;

/// Name of a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum PartName {
    /// The value of hexadecimal digits, and their number.
    Digits(u64, u8),
    /// Any other text.
    Text(String),
}

impl From<PartId> for PartName {
    fn from(part: PartId) -> Self {
        let digits = part.0.len();
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let fits = (1..=MAX_DIGITS).contains(&digits) && part.0.bytes().all(is_digit);
        match u64::from_str_radix(&part.0, 16) {
            Ok(number) if fits => PartName::Digits(number, digits as u8),
            _ => PartName::Text(part.0),
        }
    }
}

impl From<PartName> for PartId {
    fn from(name: PartName) -> Self {
        match name {
            PartName::Digits(number, digits) => {
                let digits = usize::from(digits);
                PartId(format!("{number:0digits$x}"))
            }
            PartName::Text(text) => PartId(text),
        }
    }
}

/// A change: the difference of its number to that of the previous change, the index of its salt in
/// the message's salts, the part, and its tokens plus one, or zero if the part was removed.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PackedChange(u64, u32, PartName, u64);

/// Encoded form of [`StoreUpdate`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PackedStoreUpdate {
    addr: SocketAddr,
    since: u64,
    epoch: u64,
    next: u64,
    #[serde(deserialize_with = "bounds::de::millis")]
    age_ms: u64,
    salts: Vec<Salt>,
    changes: Vec<PackedChange>,
}

impl From<StoreUpdate> for PackedStoreUpdate {
    fn from(update: StoreUpdate) -> Self {
        let mut salts: Vec<Salt> = Vec::new();
        let mut previous = update.since;
        let mut pack = |change: PartChange| {
            let PartKey { salt, part } = change.key;
            let known = salts.iter().position(|known| *known == salt);
            let index = known.unwrap_or_else(|| {
                salts.push(salt);
                salts.len() - 1
            });
            let step = change.number.wrapping_sub(previous);
            previous = change.number;
            let tokens = change.tokens.map_or(0, |tokens| tokens.0.saturating_add(1));
            PackedChange(step, index as u32, part.into(), tokens)
        };
        let changes = update.changes.into_iter().map(&mut pack).collect();
        Self {
            addr: update.addr,
            since: update.since,
            epoch: update.epoch,
            next: update.next,
            age_ms: update.age_ms,
            salts,
            changes,
        }
    }
}

impl From<PackedStoreUpdate> for StoreUpdate {
    fn from(update: PackedStoreUpdate) -> Self {
        let mut previous = update.since;
        let unpack = |PackedChange(step, index, part, tokens): PackedChange| {
            previous = previous.wrapping_add(step);
            // An index that is out of range comes from a faulty sender; an empty salt matches no
            // lookup.
            let salt = update.salts.get(index as usize).cloned();
            let salt = salt.unwrap_or(Salt(String::new()));
            PartChange {
                number: previous,
                key: PartKey {
                    salt,
                    part: part.into(),
                },
                tokens: tokens.checked_sub(1).map(Tokens::from),
            }
        };
        Self {
            addr: update.addr,
            since: update.since,
            epoch: update.epoch,
            next: update.next,
            age_ms: update.age_ms,
            changes: update.changes.into_iter().map(unpack).collect(),
        }
    }
}
