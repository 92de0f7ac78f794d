//! Measures for how long other boxes have had newer data than this one.

use super::datagram::Extent;
use crate::beliefs::{Known, Topic};
use sillpin_platform::KvRevision;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a box lags before it logs this, and until it logs it again. Changes are normally
/// copied within half a second, and must be in force within two seconds.
const TELL_AFTER: Duration = Duration::from_secs(1);

/// How far this box lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Behind {
    /// For how long.
    pub lasted: Duration,
    /// Whether the lag is to be logged now.
    pub is_due: bool,
    /// Whether the call to the store was repeated meanwhile.
    pub is_doubted: bool,
}

/// A state that another box reported.
#[derive(Debug)]
struct Heard {
    revision: KvRevision,
    content: u64,
    at: Instant,
}

#[derive(Debug)]
struct Since {
    /// States that this box lacks, in the order in which other boxes first reported them.
    lacks: VecDeque<Heard>,
    /// Content hash of this box when it was last found to lag.
    content: u64,
    told: Instant,
    doubted: bool,
}

impl Since {
    /// Drops the states that this box has reached.
    fn learned(&mut self, mine: Known) {
        let caught_up = self
            .lacks
            .iter()
            .rposition(|heard| heard.revision <= mine.revision || heard.content == mine.content);
        self.lacks.drain(..caught_up.map_or(0, |last| last + 1));
        if self.content != mine.content {
            self.content = mine.content;
            self.doubted = false;
        }
    }

    /// Records the state of another box, if it is newer than all that this box is known to lack.
    fn hear(&mut self, theirs: Extent, at: Instant) {
        let last = self.lacks.back();
        if last.is_none_or(|last| last.revision < theirs.revision && last.content != theirs.content)
        {
            self.lacks.push_back(Heard {
                revision: theirs.revision,
                content: theirs.content,
                at,
            });
        }
    }
}

/// Since when other boxes have had newer data of each prefix.
#[derive(Debug, Default)]
pub struct Lag {
    since: HashMap<Topic, Since>,
}

impl Lag {
    /// Records that another box has newer data than this one. Each change that this box lacks
    /// counts from when another box first reported it: receiving one change doesn't reset the time
    /// of another, nor does a report of a box that lags as well.
    pub fn behind(&mut self, topic: Topic, mine: Known, theirs: Extent, now: Instant) -> Behind {
        let since = self.since.entry(topic).or_insert_with(|| Since {
            lacks: VecDeque::new(),
            content: mine.content,
            told: now,
            doubted: false,
        });
        since.learned(mine);
        since.hear(theirs, now);
        let began = since.lacks.front().map_or(now, |heard| heard.at);
        let is_due = now - since.told.max(began) >= TELL_AFTER;
        if is_due {
            since.told = now;
        }
        Behind {
            lasted: now - began,
            is_due,
            is_doubted: since.doubted,
        }
    }

    /// Records that the call to the store is being repeated; reset once the box receives a change.
    pub fn set_doubted(&mut self, topic: Topic) {
        if let Some(since) = self.since.get_mut(&topic) {
            since.doubted = true;
        }
    }
}
