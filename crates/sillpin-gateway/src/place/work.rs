//! Work at engines, this box's and what other boxes tell.

use crate::cache_stores::homes::hash_pair;
use crate::control::TargetEntry;
use crate::peers::datagram::BoxHash;
use serde::{Deserialize, Serialize};
use sillpin_core::{BoxId, TargetId, Tokens};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// What requests take of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Prompts that it has not read yet, in milliseconds of its time.
    pub prompt_ms: f64,
    /// Tokens of its memory.
    pub tokens: f64,
    /// Requests.
    pub requests: f64,
}

impl Work {
    /// The work of one request.
    pub fn one(prompt_ms: f64, tokens: Tokens) -> Self {
        Self {
            prompt_ms,
            tokens: tokens.0 as f64,
            requests: 1.0,
        }
    }

    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.prompt_ms += other.prompt_ms;
        self.tokens += other.tokens;
        self.requests += other.requests;
    }

    /// Takes work away that is done.
    pub fn take(&mut self, other: Self) {
        self.prompt_ms = (self.prompt_ms - other.prompt_ms).max(0.0);
        self.tokens = (self.tokens - other.tokens).max(0.0);
        self.requests = (self.requests - other.requests).max(0.0);
    }

    /// This work and `other` together.
    pub fn plus(mut self, other: Self) -> Self {
        self.add(other);
        self
    }
}

/// How long another box's word about its prompt work counts: three rounds of news.
const WORD_TIME: Duration = Duration::from_millis(1_300);

/// A hub tells something each 0.15 s; one that is silent for this long may be gone.
const HUB_FRESH: Duration = Duration::from_millis(600);

/// Short name of a target in news between boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TargetHash(u32);

impl TargetHash {
    /// The short name of a target.
    pub fn of(target: &TargetId) -> Self {
        Self(hash_pair(target.as_str(), "load") as u32)
    }
}

/// Short name of one life of a target at one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LifeHash(u32);

impl LifeHash {
    /// The short name of the life that an entry tells of.
    pub fn of(target: &TargetEntry) -> Self {
        let life = target.life.map_or(0, |life| life.0);
        let place = format!("{} {life}", target.addr);
        Self(hash_pair(target.id.as_str(), &place) as u32)
    }
}

/// Work of one box at an engine: prompts not read yet in whole milliseconds, tokens, requests. A tuple, since it is
/// told several times a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineWork(pub TargetHash, pub u32, pub u32, pub u32);

impl EngineWork {
    /// The work `work` at `target`.
    pub fn of(target: &TargetId, work: Work) -> Self {
        Self::at(TargetHash::of(target), work)
    }

    /// The work `work` at the target with a short name.
    pub fn at(target: TargetHash, work: Work) -> Self {
        let (ms, tokens) = (work.prompt_ms as u32, work.tokens as u32);
        Self(target, ms, tokens, work.requests as u32)
    }

    /// What it stands for.
    pub fn work(self) -> Work {
        Work {
            prompt_ms: f64::from(self.1),
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

/// What the hub of a large zone tells of all boxes together.
#[derive(Debug)]
struct Told {
    at: Instant,
    sums: Arc<HashMap<TargetHash, Work>>,
    members: HashSet<BoxHash>,
}

/// What other boxes have under way.
#[derive(Debug, Default)]
pub struct Others {
    words: HashMap<BoxId, Word>,
    told: Option<Told>,
    /// What this box last reported to its hub.
    reported: Vec<EngineWork>,
}

impl Others {
    /// Takes what a box tells.
    pub fn apply_update(&mut self, from: BoxId, work: Vec<EngineWork>, now: Instant) {
        self.words.retain(|_, word| now - word.at < WORD_TIME);
        self.words.insert(from, Word { at: now, work });
    }

    /// This box reports so much to its hub, which adds it to what it tells.
    pub fn report(&mut self, work: Vec<EngineWork>) {
        self.reported = work;
    }

    /// Takes what a hub tells of the work of all boxes, this one's included, and which boxes of the zone it hears.
    pub fn hear_sums(&mut self, work: Vec<EngineWork>, members: &[BoxHash], now: Instant) {
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

    /// Whether a box was heard of late, or is heard by the hub.
    pub fn hears(&self, from: &BoxId, now: Instant) -> bool {
        let word = self.words.get(from);
        let direct = word.is_some_and(|word| now - word.at < WORD_TIME);
        let told = self.told(now);
        direct || told.is_some_and(|told| told.members.contains(&BoxHash::anywhere(from)))
    }

    /// Whether a hub was heard so lately that what it has to tell would have come.
    pub fn hears_hub(&self, now: Instant) -> bool {
        let told = self.told.as_ref();
        told.is_some_and(|told| now - told.at < HUB_FRESH)
    }

    /// Whether a box of the zone may live: the hub hears it, or no hub is heard.
    pub fn may_live(&self, id: &BoxId, now: Instant) -> bool {
        let told = self.told(now);
        told.is_none_or(|told| told.members.contains(&BoxHash::anywhere(id)))
    }

    /// Work of all other boxes at each engine: as the hub tells it, else as the boxes themselves do.
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
