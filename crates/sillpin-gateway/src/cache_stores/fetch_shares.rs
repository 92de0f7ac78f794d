//! Limits the share of prompts that fetch from a store while its link is overloaded.
//!
//! A link is a queue whose length is not reported. Each box compares the time that prompts of similar length take
//! with and without a fetch from a store, beyond the time explained by prefill and transfer: a busy engine makes
//! long prompts wait for memory either way. While fetches take much longer, the box
//! fetches for a smaller share of its prompts and has the rest recomputed. Recomputing a stored part costs
//! about as much as a late answer, so the share falls only when fetches are late by a large part of the latency objective.

use sillpin_core::Tokens;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Fetches count as late if they take longer than other prompts by more than this fraction of the latency objective: the remainder
/// is for the prompt's queueing and prefill.
const LATE_FRACTION: f64 = 0.6;

/// Factor applied to the share when fetches are late.
const DECREASE_FACTOR: f64 = 0.85;

/// Increase of the share per second.
const INCREASE_PER_S: f64 = 0.15;

/// Minimum share: some fetches continue, to detect when the link has recovered.
const MIN_SHARE: f64 = 0.1;

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// State of one store's link.
#[derive(Debug, Clone, Copy)]
struct LinkState {
    share: f64,
    /// Average extra time of fetches over similar prompts without one, as a multiple of the latency objective.
    excess_ratio: f64,
    at: Instant,
}

impl LinkState {
    fn share_at(&self, now: Instant) -> f64 {
        let increase = (now - self.at).as_secs_f64() * INCREASE_PER_S;
        (self.share + increase).min(1.0)
    }
}

/// Fetch shares by store, and the time that prompts take without a fetch.
#[derive(Debug, Default)]
pub struct FetchShares {
    links: HashMap<SocketAddr, LinkState>,
    /// Average extra time of prompts without a fetch, by length class.
    prefill_excess_ms: HashMap<u32, f64>,
}

/// Returns the length class of a prompt: each class spans a factor of two.
fn length_class(prompt: Tokens) -> u32 {
    prompt.0.max(1).ilog2()
}

impl FetchShares {
    /// Returns the share of prompts that may fetch from a store.
    pub fn share(&self, store: SocketAddr, now: Instant) -> f64 {
        self.links
            .get(&store)
            .map_or(1.0, |link| link.share_at(now))
    }

    /// Records that a prompt without a fetch took `excess` longer than its prefill explains.
    pub fn record_prefill(&mut self, prompt: Tokens, excess: Duration) {
        let mean = self
            .prefill_excess_ms
            .entry(length_class(prompt))
            .or_insert(0.0);
        *mean += SAMPLE_WEIGHT * (millis(excess) - *mean);
    }

    /// Records that a prompt with a fetch took `excess` longer than prefill and transfer explain. `latency_objective` applies to
    /// its first event.
    pub fn record_fetch(
        &mut self,
        store: SocketAddr,
        prompt: Tokens,
        excess: Duration,
        latency_objective: Duration,
        now: Instant,
    ) {
        let similar = self.prefill_excess_ms.get(&length_class(prompt));
        let extra_ms = millis(excess) - similar.copied().unwrap_or(0.0);
        let link = self.links.entry(store).or_insert(LinkState {
            share: 1.0,
            excess_ratio: 0.0,
            at: now,
        });
        link.share = link.share_at(now);
        link.at = now;
        let excess_ratio = extra_ms / millis(latency_objective).max(1.0);
        link.excess_ratio += SAMPLE_WEIGHT * (excess_ratio - link.excess_ratio);
        if link.excess_ratio > LATE_FRACTION {
            link.share = (link.share * DECREASE_FACTOR).max(MIN_SHARE);
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
