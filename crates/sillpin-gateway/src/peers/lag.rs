//! Measures for how long other boxes have had newer data than this one.

use super::datagram::SyncSummary;
use crate::fleet_state::{SyncState, Topic};
use sillpin_platform::KvRevision;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a box lags before it logs this, and until it logs it again. Changes are normally
/// copied within half a second, and must be in force within two seconds.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Lag of this box behind other boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LagStatus {
    /// Duration of the lag.
    pub lasted: Duration,
    /// Whether the lag is to be logged now.
    pub is_due: bool,
    /// Whether the call to the store was repeated meanwhile.
    pub is_store_retried: bool,
}

/// A state that another box reported.
#[derive(Debug)]
struct ReportedState {
    revision: KvRevision,
    content: u64,
    at: Instant,
}

#[derive(Debug)]
struct TopicLag {
    /// States that this box lacks, in the order in which other boxes first reported them.
    lacks: VecDeque<ReportedState>,
    /// Content hash of this box when it was last found to lag.
    content: u64,
    logged_at: Instant,
    store_retried: bool,
}

impl TopicLag {
    /// Drops the states that this box has reached.
    fn drop_reached(&mut self, mine: SyncState) {
        let caught_up = self
            .lacks
            .iter()
            .rposition(|state| state.revision <= mine.revision || state.content == mine.content);
        self.lacks.drain(..caught_up.map_or(0, |last| last + 1));
        if self.content != mine.content {
            self.content = mine.content;
            self.store_retried = false;
        }
    }

    /// Records the state of another box, if it is newer than all that this box is known to lack.
    fn record(&mut self, theirs: SyncSummary, at: Instant) {
        let last = self.lacks.back();
        if last.is_none_or(|last| last.revision < theirs.revision && last.content != theirs.content)
        {
            self.lacks.push_back(ReportedState {
                revision: theirs.revision,
                content: theirs.content,
                at,
            });
        }
    }
}

/// Since when other boxes have had newer data of each prefix.
#[derive(Debug, Default)]
pub struct LagTracker {
    topics: HashMap<Topic, TopicLag>,
}

impl LagTracker {
    /// Records that another box has newer data than this one. Each change that this box lacks
    /// counts from when another box first reported it: receiving one change doesn't reset the time
    /// of another, nor does a report of a box that lags as well.
    pub fn record(
        &mut self,
        topic: Topic,
        mine: SyncState,
        theirs: SyncSummary,
        now: Instant,
    ) -> LagStatus {
        let topic_lag = self.topics.entry(topic).or_insert_with(|| TopicLag {
            lacks: VecDeque::new(),
            content: mine.content,
            logged_at: now,
            store_retried: false,
        });
        topic_lag.drop_reached(mine);
        topic_lag.record(theirs, now);
        let began = topic_lag.lacks.front().map_or(now, |first| first.at);
        let is_due = now - topic_lag.logged_at.max(began) >= LOG_INTERVAL;
        if is_due {
            topic_lag.logged_at = now;
        }
        LagStatus {
            lasted: now - began,
            is_due,
            is_store_retried: topic_lag.store_retried,
        }
    }

    /// Records that the call to the store is being repeated; reset once the box receives a change.
    pub fn set_store_retried(&mut self, topic: Topic) {
        if let Some(topic_lag) = self.topics.get_mut(&topic) {
            topic_lag.store_retried = true;
        }
    }
}
