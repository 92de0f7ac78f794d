//! Work of this box and of other boxes at engines.

use crate::control::TargetEntry;
use crate::kept::homes::hash_pair;
use crate::peers::datagram::BoxHash;
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, TargetId, Tokens};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The load that requests put on an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Prefill work that is not done yet, in milliseconds of engine time.
    pub prefill_ms: f64,
    /// Memory in tokens.
    pub tokens: f64,
    /// Number of requests.
    pub requests: f64,
}

impl Work {
    /// Returns the work of one request.
    pub fn one(prefill_ms: f64, tokens: Tokens) -> Self {
        Self {
            prefill_ms,
            tokens: tokens.0 as f64,
            requests: 1.0,
        }
    }

    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.prefill_ms += other.prefill_ms;
        self.tokens += other.tokens;
        self.requests += other.requests;
    }

    /// Subtracts work that is done.
    pub fn take(&mut self, other: Self) {
        self.prefill_ms = (self.prefill_ms - other.prefill_ms).max(0.0);
        self.tokens = (self.tokens - other.tokens).max(0.0);
        self.requests = (self.requests - other.requests).max(0.0);
    }

    /// Returns the sum of this work and `other`.
    pub fn plus(mut self, other: Self) -> Self {
        self.add(other);
        self
    }
}

/// Time for which another box's report of its work is used: three rounds of gossip.
const WORD_TIME: Duration = Duration::from_millis(1_300);

/// A hub sends a message every 0.15 s; after this time without one it may be gone.
const HUB_FRESH: Duration = Duration::from_millis(600);

/// Hash of a target's id, used in messages between boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetHash(u32);

impl TargetHash {
    /// Returns the hash of a target's id.
    pub fn of(target: &TargetId) -> Self {
        Self(hash_pair(target.as_str(), "load") as u32)
    }
}

/// Hash of one incarnation of a target at one address, used in messages between boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationHash(u32);

impl IncarnationHash {
    /// Returns the hash of the incarnation that an entry describes.
    pub fn of(target: &TargetEntry) -> Self {
        let life = target.life.map_or(0, |life| life.0);
        let place = format!("{} {life}", target.addr);
        Self(hash_pair(target.id.as_str(), &place) as u32)
    }
}

/// Work of one box at an engine: prefill work in whole milliseconds, memory in tokens, and
/// requests. A tuple, since it is sent several times a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineWork(pub TargetHash, pub u32, pub u32, pub u32);

impl EngineWork {
    /// Creates a report of `work` at `target`.
    pub fn of(target: &TargetId, work: Work) -> Self {
        Self::at(TargetHash::of(target), work)
    }

    /// Creates a report of `work` at the target with this hash.
    pub fn at(target: TargetHash, work: Work) -> Self {
        let (ms, tokens) = (work.prefill_ms as u32, work.tokens as u32);
        Self(target, ms, tokens, work.requests as u32)
    }

    /// Returns the reported work.
    pub fn work(self) -> Work {
        Work {
            prefill_ms: f64::from(self.1),
            tokens: f64::from(self.2),
            requests: f64::from(self.3),
        }
    }
}

#[derive(Debug)]
struct Word {
    at: Instant,
    work: Vec<EngineWork>,
}

/// Total work of all boxes, as the hub of a large zone sent it.
#[derive(Debug)]
struct Told {
    at: Instant,
    sums: Arc<HashMap<TargetHash, Work>>,
    members: HashSet<BoxHash>,
}

/// Work that other boxes have in flight.
#[derive(Debug, Default)]
pub struct Others {
    words: HashMap<BoxId, Word>,
    told: Option<Told>,
    /// What this box last reported to its hub.
    reported: Vec<EngineWork>,
}

impl Others {
    /// Stores the work that a box reported.
    pub fn hear(&mut self, from: BoxId, work: Vec<EngineWork>, now: Instant) {
        self.words.retain(|_, word| now - word.at < WORD_TIME);
        self.words.insert(from, Word { at: now, work });
    }

    /// Stores what this box reported to its hub, which the hub includes in its totals.
    pub fn report(&mut self, work: Vec<EngineWork>) {
        self.reported = work;
    }

    /// Stores a hub's totals of the work of all boxes, including this one, and the boxes of the
    /// zone from which the hub receives messages.
    pub fn apply_zone_totals(&mut self, work: Vec<EngineWork>, members: &[BoxHash], now: Instant) {
        let mut sums: HashMap<TargetHash, Work> = work.iter().map(|w| (w.0, w.work())).collect();
        for own in &self.reported {
            if let Some(sum) = sums.get_mut(&own.0) {
                sum.take(own.work());
            }
        }
        self.told = Some(Told {
            at: now,
            sums: Arc::new(sums),
            members: members.iter().map(|of| of.placeless()).collect(),
        });
    }

    fn told(&self, now: Instant) -> Option<&Told> {
        let told = self.told.as_ref();
        told.filter(|told| now - told.at < WORD_TIME)
    }

    /// Returns whether a recent message came from a box, directly or through the hub.
    pub fn has_recent_report(&self, from: &BoxId, now: Instant) -> bool {
        let word = self.words.get(from);
        let direct = word.is_some_and(|word| now - word.at < WORD_TIME);
        let told = self.told(now);
        direct || told.is_some_and(|told| told.members.contains(&BoxHash::anywhere(from)))
    }

    /// Returns whether the last message from a hub is recent enough for the hub to be considered
    /// alive.
    pub fn is_hub_responsive(&self, now: Instant) -> bool {
        let told = self.told.as_ref();
        told.is_some_and(|told| now - told.at < HUB_FRESH)
    }

    /// Returns whether a box of the zone may be alive: the hub receives its messages, or there is
    /// no hub.
    pub fn may_be_alive(&self, id: &BoxId, now: Instant) -> bool {
        let told = self.told(now);
        told.is_none_or(|told| told.members.contains(&BoxHash::anywhere(id)))
    }

    /// Returns the work of all other boxes at each engine, from the hub or else from the boxes
    /// themselves.
    pub fn sum(&self, now: Instant) -> Arc<HashMap<TargetHash, Work>> {
        if let Some(told) = self.told(now) {
            return told.sums.clone();
        }
        let fresh = self.words.values().filter(|word| now - word.at < WORD_TIME);
        let mut sums: HashMap<TargetHash, Work> = HashMap::new();
        for told in fresh.flat_map(|word| &word.work) {
            sums.entry(told.0).or_default().add(told.work());
        }
        Arc::new(sums)
    }
}
