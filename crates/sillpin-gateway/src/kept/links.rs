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
const LATE_AIM_PART: f64 = 0.6;

/// Factor applied to the share when fetches are late.
const DECREASE: f64 = 0.85;

/// Increase of the share per second.
const INCREASE_PER_S: f64 = 0.15;

/// Minimum share: some fetches continue, to detect when the link has recovered.
const LEAST: f64 = 0.1;

/// Weight of the newest sample in the moving averages.
const WEIGHT: f64 = 0.2;

/// State of one store's link.
#[derive(Debug, Clone, Copy)]
struct Link {
    share: f64,
    /// Average extra time of fetches over similar prompts without one, as a multiple of the latency objective.
    beyond_aims: f64,
    at: Instant,
}

impl Link {
    fn share_at(&self, now: Instant) -> f64 {
        let gained = (now - self.at).as_secs_f64() * INCREASE_PER_S;
        (self.share + gained).min(1.0)
    }
}

/// Fetch shares by store, and the time that prompts take without a fetch.
#[derive(Debug, Default)]
pub struct FetchShares {
    links: HashMap<SocketAddr, Link>,
    /// Average extra time of prompts without a fetch, by length class.
    read_excess_ms: HashMap<u32, f64>,
}

/// Returns the length class of a prompt: each class spans a factor of two.
fn class(prompt: Tokens) -> u32 {
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
        let average = self.read_excess_ms.entry(class(prompt)).or_insert(0.0);
        *average += WEIGHT * (millis(excess) - *average);
    }

    /// Records that a prompt with a fetch took `excess` longer than prefill and transfer explain. `aim` is the latency objective for
    /// its first event.
    pub fn record_fetch(
        &mut self,
        store: SocketAddr,
        prompt: Tokens,
        excess: Duration,
        aim: Duration,
        now: Instant,
    ) {
        let alike = self.read_excess_ms.get(&class(prompt));
        let beyond_ms = millis(excess) - alike.copied().unwrap_or(0.0);
        let link = self.links.entry(store).or_insert(Link {
            share: 1.0,
            beyond_aims: 0.0,
            at: now,
        });
        link.share = link.share_at(now);
        link.at = now;
        let beyond_aims = beyond_ms / millis(aim).max(1.0);
        link.beyond_aims += WEIGHT * (beyond_aims - link.beyond_aims);
        if link.beyond_aims > LATE_AIM_PART {
            link.share = (link.share * DECREASE).max(LEAST);
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
