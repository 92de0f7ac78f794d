//! How many fetches a store's link bears.
//!
//! Links are queues that nobody reports. Each box compares how long prompts of about the same length take
//! with a fetch from a store and without one, beyond what reading and transfer explain: a busy engine makes
//! long prompts wait for memory either way. While fetches take much longer, the box
//! fetches for a smaller share of its prompts and has the rest read anew. Reading again what is kept costs
//! about as much as a late answer, so the share falls only when fetches are late by more than an aim.

use sillpin_core::Tokens;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Fetches that take longer than other prompts by this part of the aim are late: what is left of it is for the prompt's
/// queue and reading.
const LATE_AIM_PART: f64 = 0.6;

/// What a late fetch leaves of the share.
const DECREASE: f64 = 0.85;

/// What the share regains in a second.
const INCREASE_PER_S: f64 = 0.15;

/// Least share: some fetches go on, to notice when the link is well again.
const LEAST: f64 = 0.1;

/// Weight of the newest sample in an average.
const WEIGHT: f64 = 0.2;

/// Share and average of one store.
#[derive(Debug, Clone, Copy)]
struct Link {
    share: f64,
    /// How much longer fetches take than prompts that are alike, on average, in times of the prompt's aim.
    beyond_aims: f64,
    at: Instant,
}

impl Link {
    fn share_at(&self, now: Instant) -> f64 {
        let gained = (now - self.at).as_secs_f64() * INCREASE_PER_S;
        (self.share + gained).min(1.0)
    }
}

/// Shares by store, and what prompts take without a fetch.
#[derive(Debug, Default)]
pub struct Links {
    links: HashMap<SocketAddr, Link>,
    /// By class of length.
    read_excess_ms: HashMap<u32, f64>,
}

/// Prompts whose lengths differ by less than two times are alike.
fn class(prompt: Tokens) -> u32 {
    prompt.0.max(1).ilog2()
}

impl Links {
    /// Share of prompts that may fetch from a store.
    pub fn share(&self, store: SocketAddr, now: Instant) -> f64 {
        self.links
            .get(&store)
            .map_or(1.0, |link| link.share_at(now))
    }

    /// A prompt without a fetch took this much longer than its reading explains.
    pub fn note_read(&mut self, prompt: Tokens, excess: Duration) {
        let average = self.read_excess_ms.entry(class(prompt)).or_insert(0.0);
        *average += WEIGHT * (millis(excess) - *average);
    }

    /// A prompt with a fetch, whose first event is wanted within `latency_objective`, took this much longer than reading and transfer
    /// explain.
    pub fn note_fetch(
        &mut self,
        store: SocketAddr,
        prompt: Tokens,
        excess: Duration,
        latency_objective: Duration,
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
        let beyond_aims = beyond_ms / millis(latency_objective).max(1.0);
        link.beyond_aims += WEIGHT * (beyond_aims - link.beyond_aims);
        if link.beyond_aims > LATE_AIM_PART {
            link.share = (link.share * DECREASE).max(LEAST);
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
