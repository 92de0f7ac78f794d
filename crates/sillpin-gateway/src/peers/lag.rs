//! How long other boxes have known more than this one.

use crate::beliefs::Topic;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// A box that others are ahead of for this long says so, and again after as long. What is published is copied within
/// half a second on a good day, and has to be in force within two seconds.
const TELL_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Since {
    began: Instant,
    told: Instant,
}

/// Since when other boxes have known more of each prefix.
#[derive(Debug, Default)]
pub struct Lag {
    since: HashMap<Topic, Since>,
}

impl Lag {
    /// Another box knows more. For how long that has been so, if it is time to say so.
    pub fn behind(&mut self, topic: Topic, now: Instant) -> Option<Duration> {
        let since = self.since.entry(topic).or_insert(Since {
            began: now,
            told: now,
        });
        if now - since.told < TELL_AFTER {
            return None;
        }
        since.told = now;
        Some(now - since.began)
    }

    /// Another box knows the same.
    pub fn caught_up(&mut self, topic: Topic) {
        self.since.remove(&topic);
    }
}
