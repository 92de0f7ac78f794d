//! What targets say of themselves beside their answers.
//!
//! The adapter reads it into [`TargetWords`]; everything that targets say is taken here, and what it means for decisions is asked here.
//!
//! - [`limit`]: limits that targets name,
//! - [`leaving`]: targets that leave,
//! - [`backoff`]: times in which targets want no requests from this box,
//! - [`replaced`]: targets whose address belongs to another by now.

pub mod backoff;
pub mod leaving;
pub mod limit;
pub mod replaced;

use self::backoff::Backoffs;
use self::leaving::Leaving;
use self::limit::{Heard, LimitChange, NamedLimits, log_limit};
use self::replaced::Replaced;
use super::work::LifeHash;
use crate::dialect::{RetryAfter, TargetWords};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashSet;
use std::time::Duration;
use tokio::time::Instant;

/// An answer of a target, as far as what it says beside it is concerned.
#[derive(Debug, Clone, Copy)]
pub struct Said {
    /// When its request was sent.
    pub sent: Instant,
    /// What it says.
    pub words: TargetWords,
    /// Whether it is a success that the target vouches for.
    pub success: bool,
    /// Whether it turns the request away for now.
    pub turned_away: bool,
}

/// News of a target by its own word, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A limit began, changed or ended.
    Limit(LimitChange),
    /// It leaves.
    Leaves,
    /// It wants no requests from this box for a while.
    BacksOff {
        /// For so long.
        wait: Duration,
        /// Whether it says for how long in a way that can be read.
        is_readable: bool,
    },
}

/// What is known of targets by their own words.
#[derive(Debug, Default)]
pub struct Words {
    /// Limits that they name.
    pub limits: NamedLimits,
    /// Those that leave.
    pub leaving: Leaving,
    /// Those that want no requests from this box for a while.
    pub backoffs: Backoffs,
    /// Those whose address belongs to another by now.
    pub replaced: Replaced,
    /// Time asleep that what is known has been aged by.
    slept: Duration,
}

impl Words {
    /// Takes what an answer to this box says; what is new of it.
    pub fn take(&mut self, target: LifeHash, said: Said, now: Instant) -> Vec<Change> {
        let heard = Heard {
            sent: said.sent,
            word: said.words.limit,
            success: said.success,
        };
        let limit = self.limits.answered(target, heard, now);
        let mut changes: Vec<Change> = limit.into_iter().map(Change::Limit).collect();
        if said.words.leaving && self.leaving.hear(target, now) {
            changes.push(Change::Leaves);
        }
        if let Some(word) = said.words.retry_after.filter(|_| said.turned_away) {
            let wait = self.backoffs.hear(target, word, now);
            let is_readable = word != RetryAfter::Unreadable;
            changes.extend(wait.map(|wait| Change::BacksOff { wait, is_readable }));
        }
        changes
    }

    /// Targets that get no requests from this box.
    pub fn closed(&self, now: Instant) -> HashSet<LifeHash> {
        let mut closed = self.replaced.known(now);
        closed.extend(self.leaving.all());
        closed.extend(self.backoffs.all(now));
        closed
    }

    /// How long all of these targets want no requests from this box, those that are gone left out; `None` if one of them takes requests, or none is there.
    pub fn backed_off(
        &self,
        targets: impl Iterator<Item = LifeHash>,
        now: Instant,
    ) -> Option<Duration> {
        let replaced = self.replaced.known(now);
        let is_gone = |target: &LifeHash| replaced.contains(target) || self.leaving.has(*target);
        let there = targets.filter(|target| !is_gone(target));
        let waits: Option<Vec<Duration>> = there
            .map(|target| self.backoffs.left(target, now))
            .collect();
        waits?.into_iter().min()
    }

    /// Makes what is known older by the time that the box was suspended, `slept` in all since its start.
    pub fn wake(&mut self, slept: Duration) {
        let time = slept.saturating_sub(self.slept);
        self.slept = slept;
        self.limits.age(time);
        self.backoffs.age(time);
    }

    /// Forgets what is over, and lives that are gone.
    pub fn follow(&mut self, is_listed: impl Fn(LifeHash) -> bool, now: Instant) {
        self.limits.follow(&is_listed, now);
        self.leaving.follow(is_listed, now);
        self.backoffs.follow(now);
    }
}

/// Logs what a target said in an answer to this box.
pub fn log_change(log: &Logger, target: &str, change: Change) {
    match change {
        Change::Limit(change) => log_limit(log, target, change, "answer"),
        Change::Leaves => event!(log, events::TARGET_SIGNALLED_LEAVING, "target" => target),
        Change::BacksOff { wait, is_readable } => event!(log, events::TARGET_REQUESTED_BACKOFF,
            "target" => target, "wait_ms" => wait.as_millis(), "readable" => is_readable),
    }
}
