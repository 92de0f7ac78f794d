//! How changes of stores are written in datagrams.
//!
//! A zone's boxes are told of each part that is kept or freed, a thousand a second in a large fleet and several times that when weights
//! change. Names are most of it: salts repeat, and parts are mostly named by hexadecimal digits. Packed, a change takes some 11 bytes
//! instead of 30.

use super::datagram::KeptWord;
use crate::control::{PartChange, PartKey};
use crate::dialect::{PartId, Salt};
use serde::{Deserialize, Serialize};
use sillpin_core::Tokens;
use std::net::SocketAddr;

/// Digits of a name that fit a number.
const MAX_DIGITS: usize = 16;

/// A part's name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Name {
    /// Hexadecimal digits, and how many.
    Digits(u64, u8),
    /// Anything else.
    Text(String),
}

impl From<PartId> for Name {
    fn from(part: PartId) -> Self {
        let digits = part.0.len();
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let fits = (1..=MAX_DIGITS).contains(&digits) && part.0.bytes().all(is_digit);
        match u64::from_str_radix(&part.0, 16) {
            Ok(number) if fits => Name::Digits(number, digits as u8),
            _ => Name::Text(part.0),
        }
    }
}

impl From<Name> for PartId {
    fn from(name: Name) -> Self {
        match name {
            Name::Digits(number, digits) => {
                let digits = usize::from(digits);
                PartId(format!("{number:0digits$x}"))
            }
            Name::Text(text) => PartId(text),
        }
    }
}

/// A change: its number less that of the one before, the place of its salt among those of the word, the part, and its tokens
/// and one, or zero if it is gone.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PackedChange(u64, u32, Name, u64);

/// Changes of a store's content, as written.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PackedWord {
    addr: SocketAddr,
    since: u64,
    epoch: u64,
    next: u64,
    age_ms: u64,
    salts: Vec<Salt>,
    changes: Vec<PackedChange>,
}

impl From<KeptWord> for PackedWord {
    fn from(word: KeptWord) -> Self {
        let mut salts: Vec<Salt> = Vec::new();
        let mut before = word.since;
        let mut pack = |change: PartChange| {
            let PartKey { salt, part } = change.key;
            let known = salts.iter().position(|known| *known == salt);
            let place = known.unwrap_or_else(|| {
                salts.push(salt);
                salts.len() - 1
            });
            let step = change.number.wrapping_sub(before);
            before = change.number;
            let tokens = change.tokens.map_or(0, |tokens| tokens.0.saturating_add(1));
            PackedChange(step, place as u32, part.into(), tokens)
        };
        let changes = word.changes.into_iter().map(&mut pack).collect();
        Self {
            addr: word.addr,
            since: word.since,
            epoch: word.epoch,
            next: word.next,
            age_ms: word.age_ms,
            salts,
            changes,
        }
    }
}

impl From<PackedWord> for KeptWord {
    fn from(word: PackedWord) -> Self {
        let mut before = word.since;
        let unpack = |PackedChange(step, place, part, tokens): PackedChange| {
            before = before.wrapping_add(step);
            // A place that the word does not have comes from a broken sender; a salt that nobody uses finds nothing.
            let salt = word.salts.get(place as usize).cloned();
            let salt = salt.unwrap_or(Salt(String::new()));
            PartChange {
                number: before,
                key: PartKey {
                    salt,
                    part: part.into(),
                },
                tokens: tokens.checked_sub(1).map(Tokens),
            }
        };
        Self {
            addr: word.addr,
            since: word.since,
            epoch: word.epoch,
            next: word.next,
            age_ms: word.age_ms,
            changes: word.changes.into_iter().map(unpack).collect(),
        }
    }
}
