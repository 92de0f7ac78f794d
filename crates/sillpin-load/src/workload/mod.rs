//! Workloads: traces of requests, generated from a seed and replayable.
//!
//! A trace refers to texts instead of containing them: each prompt is a list of [`Part`]s of a [`Corpus`]. A
//! trace of many long prompts therefore stays small, and its prompts are reproduced exactly.

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

/// Kind of workload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Questions about long bye-laws and submission packs that an organisation's officers share.
    #[display("planning")]
    Planning,
    /// Rider histories, replies, unlocks and swaps.
    #[display("kerb")]
    Kerb,
}

/// Parameters of a generated workload.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Kind of workload.
    pub kind: Kind,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Organisations, by descending expected number of requests.
    pub organisations: Vec<String>,
    /// Mean requests per second.
    pub rate: f64,
    /// Duration.
    pub length: Duration,
    /// Number of packs or histories whose prompts return.
    pub prompts: usize,
}

/// Content of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// A completion request.
    Complete {
        /// Parts of the prompt, which are concatenated.
        prompt: Vec<Part>,
        /// Number of tokens to generate.
        tokens: u32,
    },
    /// A call of a plain service that runs at most once.
    Once {
        /// Idempotency key of the call.
        key: String,
        /// Body of the call.
        body: String,
    },
}

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time at which it is sent, in microseconds from the start.
    pub at_us: u64,
    /// Name of the organisation.
    pub organisation: String,
    /// Priority class.
    pub class: PriorityClass,
    /// Content of the request.
    pub action: Action,
}

/// A workload: its requests in the order in which they are sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// Requests by ascending time.
    pub events: Vec<Event>,
}

impl Trace {
    /// Generates a trace. The same plan always gives the same trace.
    pub fn make(plan: &Plan) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut events = match plan.kind {
            Kind::Planning => planning::events(plan, rng),
            Kind::Kerb => kerb::events(plan, rng),
        };
        events.sort_by_key(|event| event.at_us);
        Self { events }
    }

    /// Formats the trace as JSON lines, one request per line.
    pub fn to_lines(&self) -> String {
        let lines = self.events.iter().map(|event| {
            let line = serde_json::to_string(event).unwrap_or_default();
            line + "\n"
        });
        lines.collect()
    }

    /// Parses the output of [`Trace::to_lines`].
    ///
    /// # Errors
    /// If a line is not a valid request.
    pub fn from_lines(text: &str) -> Result<Self, serde_json::Error> {
        let events = text.lines().map(serde_json::from_str);
        Ok(Self {
            events: events.collect::<Result<_, _>>()?,
        })
    }
}

/// Draws an index below `count`; lower ones are more likely (Zipf distribution with exponent 1).
fn zipf_index<R: rand::Rng>(rng: &mut R, count: usize) -> usize {
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

/// Draws the times of a Poisson process with `rate` events per second, in microseconds.
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
