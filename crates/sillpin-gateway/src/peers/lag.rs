//! How long other boxes have known more than this one.

use super::datagram::Extent;
use crate::beliefs::{Known, Topic};
use sillpin_platform::KvRevision;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// A box that others are ahead of for this long says so, and again after as long. What is published is copied within
/// half a second on a good day, and has to be in force within two seconds.
const TELL_AFTER: Duration = Duration::from_secs(1);

/// How long others have been ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Behind {
    /// Since when.
    pub lasted: Duration,
    /// Whether it is time to say so.
    pub is_due: bool,
    /// Whether the store's silence has been doubted meanwhile.
    pub is_doubted: bool,
}

/// What others were heard to know.
#[derive(Debug)]
struct Heard {
    revision: KvRevision,
    content: u64,
    at: Instant,
}

#[derive(Debug)]
struct Since {
    /// What this box lacks, in the order in which others were first heard to know it.
    lacks: VecDeque<Heard>,
    /// What this box knew when it was last found behind.
    content: u64,
    told: Instant,
    doubted: bool,
}

impl Since {
    /// This box knows so far by now.
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

    /// Another box knows so far.
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

/// Since when other boxes have known more of each prefix.
#[derive(Debug, Default)]
pub struct Lag {
    since: HashMap<Topic, Since>,
}

impl Lag {
    /// Another box knows more than this one. Each change that this box lacks counts from when another was first heard to know
    /// it: learning of one ends no other's time, and boxes that know as little end nothing.
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

    /// Notes that the store is called anew; forgotten once the box learns something.
    pub fn set_doubted(&mut self, topic: Topic) {
        if let Some(since) = self.since.get_mut(&topic) {
            since.doubted = true;
        }
    }
}
