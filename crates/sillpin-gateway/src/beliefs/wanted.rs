//! Weights that operators want, and since when.
//!
//! Each named version has a time of its own, from which on weights older than it are used for a bounded time only. A version
//! that is named before an earlier one is served everywhere takes nothing away from that: with one time for each model, weights stayed in use
//! as long as operators went on naming new ones.
//!
//! A box that starts reads what is wanted, not since when. Others tell it; only if nobody saw a version being named, its time is not known.

use sillpin_core::WeightVersion;
use std::time::Duration;
use tokio::time::Instant;

/// Once a version has been named for so long, versions named before it are forgotten: it alone shows that whatever is older than they are
/// was replaced long ago. Some dozen times any limit on the use of replaced weights, which are seconds.
const MEMORY: Duration = Duration::from_secs(600);

/// Versions of a model that are remembered, so that boxes can tell each other all of them: operators name one within seconds at the most.
const MAX_NAMED: usize = 16;

/// A version that operators named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// The version.
    pub version: WeightVersion,
    /// When it was named, as far as this box knows; never before it was.
    pub since: Instant,
    /// Whether a box saw it being named. If not, it was wanted already when this box started, and may have been for long.
    pub witnessed: bool,
}

impl Named {
    /// Whether this is nearer to the truth than what is known of the same version: a box learns of a version after it was named, so
    /// the earlier of two times is.
    fn is_better_than(&self, known: &Named) -> bool {
        match self.witnessed == known.witnessed {
            true => self.since < known.since,
            false => self.witnessed,
        }
    }
}

/// Versions of one model's weights that operators named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// Rising; never empty.
    named: Vec<Named>,
}

impl Wanted {
    /// One version was named.
    pub fn new(named: Named) -> Self {
        Self { named: vec![named] }
    }

    /// The version that all engines are to serve.
    pub fn newest(&self) -> Named {
        self.named[self.named.len() - 1]
    }

    /// What is known of a version.
    pub fn find(&self, version: WeightVersion) -> Option<&Named> {
        self.named.iter().find(|named| named.version == version)
    }

    /// Whether a version, or when it was named, is better known than here.
    pub fn is_news(&self, named: &Named) -> bool {
        let known = self.find(named.version);
        known.is_none_or(|known| named.is_better_than(known))
    }

    /// Takes note of a version; whether that was news.
    pub fn note(&mut self, named: Named, now: Instant) -> bool {
        let is_news = self.is_news(&named);
        if is_news {
            self.named.retain(|known| known.version != named.version);
            let at = self
                .named
                .partition_point(|known| known.version < named.version);
            self.named.insert(at, named);
        }
        self.forget(now);
        is_news
    }

    /// Versions newer than one that an engine serves: each replaced it.
    pub fn newer(&self, version: WeightVersion) -> impl Iterator<Item = &Named> {
        self.named
            .iter()
            .filter(move |named| named.version > version)
    }

    /// Versions that a box saw being named, for other boxes.
    pub fn witnessed(&self) -> impl Iterator<Item = &Named> {
        self.named.iter().filter(|named| named.witnessed)
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |named: &Named| now.saturating_duration_since(named.since) >= MEMORY;
        let last_old = self.named.iter().rposition(is_old).unwrap_or(0);
        let too_many = self.named.len().saturating_sub(MAX_NAMED);
        self.named.drain(..last_old.max(too_many));
    }
}
