//! Workloads: traces of requests, seeded and replayable.
//!
//! A trace names texts instead of carrying them: each prompt is a list of [`Part`]s of a
//! [`Corpus`], so that a trace of many long prompts stays small and is replayed to the letter.

pub mod corpus;
mod kerb;
mod planning;

pub use corpus::{Corpus, Part};

use derive_more::{Display, FromStr};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sillpin_core::PriorityClass;
use std::time::Duration;

/// Which workload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Long bye-law and submission packs shared by an organisation's officers.
    #[display("planning")]
    Planning,
    /// Rider histories, replies, unlocks and swaps.
    #[display("kerb")]
    Kerb,
}

/// Size of a workload.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Which.
    pub kind: Kind,
    /// Seed.
    pub seed: u64,
    /// Organisations; the first are the largest.
    pub organisations: Vec<String>,
    /// Mean requests a second.
    pub rate: f64,
    /// Length.
    pub length: Duration,
    /// Prompts that return: packs or histories in all.
    pub prompts: usize,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// A completion.
    Complete {
        /// The prompt, one part behind the other.
        prompt: Vec<Part>,
        /// Tokens to generate.
        tokens: u32,
    },
    /// A call of a plain service that runs at most once.
    Once {
        /// Its idempotency key.
        key: String,
        /// Its body.
        body: String,
    },
}

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it is sent, in microseconds from the start.
    pub at_us: u64,
    /// Its organisation.
    pub organisation: String,
    /// Its class.
    pub class: PriorityClass,
    /// What it asks for.
    pub action: Action,
}

/// A workload, in the order in which it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// Its requests.
    pub events: Vec<Event>,
}

impl Trace {
    /// Makes a trace.
    pub fn make(plan: &Plan) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut events = match plan.kind {
            Kind::Planning => planning::events(plan, rng),
            Kind::Kerb => kerb::events(plan, rng),
        };
        events.sort_by_key(|event| event.at_us);
        Self { events }
    }

    /// The trace as a text, one request a line.
    pub fn to_lines(&self) -> String {
        let lines = self.events.iter().map(|event| {
            let line = serde_json::to_string(event).unwrap_or_default();
            line + "\n"
        });
        lines.collect()
    }

    /// Reads what [`Trace::to_lines`] wrote.
    pub fn from_lines(text: &str) -> Result<Self, serde_json::Error> {
        let events = text.lines().map(serde_json::from_str);
        Ok(Self {
            events: events.collect::<Result<_, _>>()?,
        })
    }
}

/// Index drawn so that lower ones are likelier (Zipf with exponent 1).
fn skewed<R: rand::Rng>(rng: &mut R, count: usize) -> usize {
    use rand::RngExt;
    let total: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
    let mut point = rng.random::<f64>() * total;
    for rank in 1..=count {
        point -= 1.0 / rank as f64;
        if point <= 0.0 {
            return rank - 1;
        }
    }
    count - 1
}

/// Times of a Poisson process with `rate` events a second, in microseconds.
fn arrivals<R: rand::Rng>(rng: &mut R, rate: f64, length: Duration) -> Vec<u64> {
    use rand::RngExt;
    let mut times = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= length.as_secs_f64() {
            return times;
        }
        times.push((at * 1e6) as u64);
    }
}
