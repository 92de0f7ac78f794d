//! How long other boxes have known more than this one.

use crate::beliefs::Topic;
use std::collections::HashMap;
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

#[derive(Debug, Clone, Copy)]
struct Since {
    /// What this box knew then.
    content: u64,
    began: Instant,
    told: Instant,
    doubted: bool,
}

/// Since when other boxes have known more of each prefix.
#[derive(Debug, Default)]
pub struct Lag {
    since: HashMap<Topic, Since>,
}

impl Lag {
    /// Another box knows more than this one, whose knowledge has this hash. It ends when the box learns something; boxes that
    /// know as little end nothing.
    pub fn behind(&mut self, topic: Topic, content: u64, now: Instant) -> Behind {
        let fresh = Since {
            content,
            began: now,
            told: now,
            doubted: false,
        };
        let since = self.since.entry(topic).or_insert(fresh);
        if since.content != content {
            *since = fresh;
        }
        let is_due = now - since.told >= TELL_AFTER;
        if is_due {
            since.told = now;
        }
        Behind {
            lasted: now - since.began,
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
