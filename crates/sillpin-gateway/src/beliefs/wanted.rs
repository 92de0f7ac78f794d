//! Weights that operators want, and since when.
//!
//! Each named version has a time of its own, from which on weights older than it are used for a bounded time only. A version
//! that is named before an earlier one is served everywhere takes nothing away from that: with one time for each model, weights stayed in use
//! as long as operators went on naming new ones.

use sillpin_core::WeightVersion;
use std::time::Duration;
use tokio::time::Instant;

/// Once a version has been named for so long, versions named before it are forgotten: it alone shows that whatever is older than they are
/// was replaced long ago. Some dozen times any limit on the use of replaced weights, which are seconds.
const MEMORY: Duration = Duration::from_secs(600);

/// A version that operators named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// The version.
    pub version: WeightVersion,
    /// When it was named, as far as this box knows.
    pub since: Instant,
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

    /// Takes note of a version; whether that changes anything. Of two times for one version the earlier is nearer to the truth: a box
    /// learns of a version after it was named, never before.
    pub fn note(&mut self, named: Named, now: Instant) -> bool {
        let changed = match self
            .named
            .binary_search_by_key(&named.version, |n| n.version)
        {
            Ok(at) if named.since < self.named[at].since => {
                self.named[at] = named;
                true
            }
            Ok(_) => false,
            Err(at) => {
                self.named.insert(at, named);
                true
            }
        };
        self.forget(now);
        changed
    }

    /// When weights of a version were replaced: when the first newer one was named.
    pub fn replaced_at(&self, version: WeightVersion) -> Option<Instant> {
        let newer = self.named.iter().filter(|n| n.version > version);
        newer.map(|n| n.since).min()
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |named: &Named| now.saturating_duration_since(named.since) >= MEMORY;
        let last_old = self.named.iter().rposition(is_old);
        self.named.drain(..last_old.unwrap_or(0));
    }
}
