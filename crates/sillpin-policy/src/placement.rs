//! Chooses the engine for a request.
//!
//! The cost of an engine is the time that a request would wait there, the time to compute the
//! blocks that the engine does not hold, and the time to fetch stored blocks, each with its weight
//! in the bundle. Reported loads are stale, so the caller adds what it has sent since the report.
//! Only homes, holders and a few sampled engines are candidates: otherwise all boxes would choose
//! the same idle engine.

use crate::rendezvous::{self, CandidateHash};
use crate::set::{PlacementKind, PlacementPolicy};
use rand::seq::index;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An engine that could take the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Hash of the engine's name.
    pub hash: CandidateHash,
    /// Time that a request sent now would wait, including what this box sent since the last report.
    pub wait: Duration,
    /// Time to compute one block.
    pub block_time: Duration,
    /// Extra time if the engine is in another zone.
    pub distance: Duration,
}

/// The request's blocks that an engine holds, according to a hint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldBlocks {
    /// Number of leading blocks that the engine holds.
    pub blocks: u32,
}

/// The request's blocks that are in stores.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoredBlocks {
    /// Number of leading blocks in stores.
    pub blocks: u32,
    /// Time to fetch one of these blocks.
    pub fetch_time: Duration,
}

/// A request for which an engine is to be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Hash of the prompt, which determines its homes.
    pub home: u64,
    /// Number of blocks of the prompt, including an incomplete last one.
    pub blocks: u32,
    /// Engines that hold leading blocks, by index into the candidates.
    pub holders: &'a [(usize, HeldBlocks)],
    /// Blocks in stores.
    pub kept: StoredBlocks,
    /// Number of the request, for [`PlacementKind::RoundRobin`].
    pub turn: usize,
}

/// Reason for which an engine was a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
pub enum Reason {
    /// It is a home of the prompt.
    #[display("home")]
    Home,
    /// It holds blocks of the prompt, according to a hint.
    #[display("holder")]
    Holder,
    /// It was sampled, or the policy considers all engines.
    #[display("sample")]
    Sample,
}

/// Estimated times and cost of one candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scored {
    /// Index into the candidates.
    pub index: usize,
    /// Reason for which it was a candidate.
    pub reason: Reason,
    /// Time until the engine starts the request.
    pub wait: Duration,
    /// Time to compute the blocks that are neither held nor fetched.
    pub compute: Duration,
    /// Time to fetch blocks from stores.
    pub fetch: Duration,
    /// Number of leading blocks that the engine holds.
    pub held: u32,
    /// Number of blocks after those that are fetched from stores.
    pub fetched: u32,
    /// Weighted cost; the lowest wins.
    pub cost: f64,
}

/// Added to the cost of a candidate that is not a home, in percent of the time to compute the whole
/// prompt: a prompt that no engine holds is sent to its home, where it is found again even if hints
/// are lost.
const NON_HOME_PERCENT: f64 = 10.0;

/// Returns the candidates of a request by increasing cost; empty if there are none.
pub fn rank<R: Rng>(
    policy: &PlacementPolicy,
    candidates: &[Candidate],
    req: &Request<'_>,
    rng: &mut R,
) -> Vec<Scored> {
    let chosen = choose_candidates(policy, candidates, req, rng);
    let mut scored: Vec<Scored> = chosen
        .into_iter()
        .map(|(index, reason)| score(policy, candidates, req, index, reason))
        .collect();
    scored.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    scored
}

fn choose_candidates<R: Rng>(
    policy: &PlacementPolicy,
    candidates: &[Candidate],
    req: &Request<'_>,
    rng: &mut R,
) -> Vec<(usize, Reason)> {
    if candidates.is_empty() {
        return Vec::new();
    }
    match policy.kind {
        PlacementKind::RoundRobin => vec![(req.turn % candidates.len(), Reason::Sample)],
        PlacementKind::LeastLoaded => least_loaded(candidates, rng),
        PlacementKind::Rendezvous => with_reason(homes(candidates, req, 1), Reason::Home),
        PlacementKind::Scored => scored_candidates(policy, candidates, req, rng),
    }
}

fn least_loaded<R: Rng>(candidates: &[Candidate], rng: &mut R) -> Vec<(usize, Reason)> {
    let offset = rng.random_range(0..candidates.len());
    let rotated = (0..candidates.len()).map(|i| (i + offset) % candidates.len());
    let least = rotated.min_by_key(|index| candidates[*index].wait);
    with_reason(least.into_iter().collect(), Reason::Sample)
}

fn homes(candidates: &[Candidate], req: &Request<'_>, count: usize) -> Vec<usize> {
    let all = candidates.iter().enumerate();
    rendezvous::top(req.home, all.map(|(i, c)| (i, c.hash, 1.0)), count)
}

fn with_reason(indices: Vec<usize>, reason: Reason) -> Vec<(usize, Reason)> {
    indices.into_iter().map(|index| (index, reason)).collect()
}

fn scored_candidates<R: Rng>(
    policy: &PlacementPolicy,
    candidates: &[Candidate],
    req: &Request<'_>,
    rng: &mut R,
) -> Vec<(usize, Reason)> {
    let mut chosen = with_reason(homes(candidates, req, policy.homes.into()), Reason::Home);
    let holders = req
        .holders
        .iter()
        .map(|(index, _)| (*index, Reason::Holder));
    add_new(&mut chosen, holders);
    let samples = usize::from(policy.samples).min(candidates.len());
    let sampled = index::sample(rng, candidates.len(), samples);
    add_new(
        &mut chosen,
        sampled.into_iter().map(|i| (i, Reason::Sample)),
    );
    chosen
}

fn add_new(chosen: &mut Vec<(usize, Reason)>, more: impl Iterator<Item = (usize, Reason)>) {
    for (index, reason) in more {
        if chosen.iter().all(|(other, _)| *other != index) {
            chosen.push((index, reason));
        }
    }
}

fn score(
    policy: &PlacementPolicy,
    candidates: &[Candidate],
    req: &Request<'_>,
    index: usize,
    reason: Reason,
) -> Scored {
    let candidate = &candidates[index];
    let holding = req.holders.iter().find(|(holder, _)| *holder == index);
    let held = holding
        .map_or(0, |(_, holding)| holding.blocks)
        .min(req.blocks);
    let fetched = blocks_to_fetch(candidate, req, held);
    let compute = candidate.block_time * (req.blocks - held - fetched);
    let fetch = req.kept.fetch_time * fetched;
    let wait = candidate.wait + candidate.distance;
    let first_token = (wait + compute + fetch).as_secs_f64();
    let mut cost = f64::from(policy.first_token_weight) * first_token
        + f64::from(policy.recompute_weight) * compute.as_secs_f64()
        + f64::from(policy.link_weight) * fetch.as_secs_f64();
    if reason != Reason::Home {
        let whole = (candidate.block_time * req.blocks).as_secs_f64();
        cost += f64::from(policy.first_token_weight) * whole * NON_HOME_PERCENT / 100.0;
    }
    Scored {
        index,
        reason,
        wait,
        compute,
        fetch,
        held,
        fetched,
        cost,
    }
}

/// Returns how many stored blocks after the held ones to fetch: none if computing one is as fast.
fn blocks_to_fetch(candidate: &Candidate, req: &Request<'_>, held: u32) -> u32 {
    if req.kept.fetch_time >= candidate.block_time {
        return 0;
    }
    req.kept.blocks.min(req.blocks).saturating_sub(held)
}
