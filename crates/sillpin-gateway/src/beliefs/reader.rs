//! Tasks that read the platform's store for the fleet task.
//!
//! One box of a zone reads every prefix again and again, and the others learn from it how far the store has got.
//! What operators publish is watched by every box besides: it may be large, and the store's link carries it to all boxes at
//! once, where a box with a thin link would pass it on to a zone in seconds.

use super::transfers::Transfers;
use super::{BoxEntry, FleetHandle, FleetMsg, Reading, Source, Topic};
use crate::peers::datagram::{News, PublishedWord};
use crate::peers::roles::{self, SMALL_FLEET};
use crate::place::Loads;
use rand::RngExt;
use sillpin_core::BoxId;
use sillpin_platform::{KvRevision, Platform, PlatformError, PlatformFault};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How long a watch waits. What it finds is as old as the moment it began, and other boxes lose patience
/// with knowledge older than 1.5 s; each wait costs a call.
const WATCH_WAIT: Duration = Duration::from_millis(500);

/// What was glanced at may be seconds old, so nothing is confirmed before the first watch ends; without that, no part is fetched and nobody is denied. So the
/// first one waits for nothing: 0.5 s of fetches sooner after a start, for the same number of calls.
const FIRST_WAIT: Duration = Duration::from_millis(1);

/// How long a box that does not read for its zone waits for a change at most: the 30 s that the store allows, less a margin, since each
/// call costs. On 59 boxes all calls of watches rise by 13% (912 to 1,034 in 60 s).
const MAX_HOLD: Duration = Duration::from_secs(25);

/// It waits for this part of the store's history: a watch that lasts longer begins before what the store remembers when nothing has
/// changed meanwhile, fails, and costs a listing besides.
const HOLD_PART: f64 = 0.85;

/// How long to wait for a change in a store that remembers changes for `history`.
pub fn hold_wait(history: Duration) -> Duration {
    history.mul_f64(HOLD_PART).min(MAX_HOLD)
}

/// First and longest wait of such a box after a failure: other boxes tell it of changes meanwhile.
const MIN_HOLD_BACKOFF: Duration = Duration::from_millis(1_000);
const MAX_HOLD_BACKOFF: Duration = Duration::from_millis(4_000);

/// Least time between two calls for what operators publish.
const OPERATORS_PAUSE: Duration = Duration::from_millis(250);

/// Least time between two calls for targets' entries: heartbeats wake a watch many times a second, and
/// each answer costs a call. A leaving target may be sent requests for two seconds.
const TARGETS_PAUSE: Duration = Duration::from_millis(900);

/// The same in a large fleet, where what one box of a zone finds passes a hub before others hear it: with longer pauses half of the
/// boxes lose patience and read for themselves.
const LARGE_TARGETS_PAUSE: Duration = Duration::from_millis(400);

/// Longest value in bytes that is passed on in datagrams: targets' entries take 300, namings of weights 50.
const MAX_PASSED: usize = 2_000;

/// How often a box that does not read looks whether it has to.
const TURN_CHECK: Duration = Duration::from_millis(150);

/// First and longest wait after a failure. A box that the store turns away hears of its return
/// within the latter.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Reads one prefix.
pub struct Reader<P> {
    /// The platform's store.
    pub platform: P,
    /// What is read.
    pub topic: Topic,
    /// Its prefix.
    pub prefix: &'static str,
    /// This box.
    pub me: BoxEntry,
    /// Who is told.
    pub fleet: FleetHandle,
    /// What is on its way to this box.
    pub transfers: Transfers,
    /// How long to wait for a change where another box reads for the zone.
    pub hold: Duration,
    /// Whether the hub of a large zone is heard.
    pub loads: Loads,
    /// News for the zone.
    pub news: mpsc::Sender<News>,
    /// Log.
    pub log: Logger,
}

/// How a box calls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turn {
    /// For its zone, often.
    Reads,
    /// For itself, waiting for a change.
    Holds,
    /// Not at all.
    Rests,
}

impl<P: Platform> Reader<P> {
    /// Reads until the process ends.
    pub async fn run(self) {
        let mut whole = true;
        // What the view says may lag behind what was read last.
        let mut reached = KvRevision::ABSENT;
        let mut failures: u32 = 0;
        loop {
            let mut turn = self.turn();
            if self.transfers.is_under_way(self.topic) {
                tokio::time::sleep(TURN_CHECK).await;
                continue;
            }
            if turn == Turn::Rests {
                self.transfers.set_watched(self.topic, false);
                tokio::select! {
                    () = tokio::time::sleep(TURN_CHECK) => continue,
                    () = self.transfers.doubted(self.topic) => turn = Turn::Reads,
                }
            }
            let asked = Instant::now();
            let read = tokio::select! {
                read = self.read(whole, reached, turn) => read,
                () = self.hold_ends(turn) => continue,
            };
            self.transfers.set_watched(self.topic, read.is_ok());
            match read {
                Ok(reading) => {
                    if failures > 0 {
                        event!(self.log, events::STORE_RECOVERED,
                            "prefix" => self.prefix, "failures" => failures);
                    }
                    failures = 0;
                    whole = false;
                    let glanced = matches!(reading, Reading::Glanced(_));
                    reached = reached.max(reading.revision());
                    self.pass_on(&reading, asked);
                    let (topic, source) = (self.topic, Source::Store);
                    let msg = FleetMsg::Read {
                        topic,
                        reading,
                        asked,
                        source,
                    };
                    self.fleet.tell(msg).await;
                    // The watch from a glance follows at once, but not from nothing.
                    if !glanced || reached == KvRevision::ABSENT {
                        tokio::time::sleep_until(asked + self.pause()).await;
                    }
                }
                Err(e) => {
                    whole = self.must_list(&e);
                    failures += 1;
                    self.failed(&e, failures, turn).await;
                }
            }
        }
    }

    /// Tells the zone what changed, if it fits datagrams: all boxes read for themselves what operators publish at length.
    fn pass_on(&self, reading: &Reading, asked: Instant) {
        let Reading::Changes(reply) = reading else {
            return;
        };
        let texts = reply
            .changed
            .iter()
            .filter_map(|entry| entry.value.as_ref());
        let longest = texts.map(String::len).max().unwrap_or_default();
        if reply.changed.is_empty() || longest > MAX_PASSED {
            return;
        }
        let known = self.fleet.view().known(self.topic);
        let word = PublishedWord {
            topic: self.topic,
            after: known.revision,
            before: Some(known.content),
            changed: reply.changed.clone(),
            revision: reply.revision,
            age_ms: asked.elapsed().as_millis() as u64,
        };
        // Boxes that miss it hear that others know more, and ask.
        let _ = self.news.try_send(News::Published(word));
    }

    fn turn(&self) -> Turn {
        match (self.is_my_turn(), self.topic) {
            (true, _) => Turn::Reads,
            // The hub tells within milliseconds that something has changed, and each wait at the store costs a call.
            (false, Topic::Operators) if self.loads.hears_hub(Instant::now()) => Turn::Rests,
            (false, Topic::Operators) => Turn::Holds,
            (false, Topic::Targets) => Turn::Rests,
        }
    }

    /// Whether this box reads for its zone, or knows too little to wait for whoever does.
    fn is_my_turn(&self) -> bool {
        let view = self.fleet.view();
        let confirmed = view.known(self.topic).confirmed;
        let now = Instant::now();
        let alive = |id: &BoxId| self.loads.may_live(id, now);
        roles::should_read(&view, &self.me, self.prefix, alive, confirmed, now)
    }

    /// Resolves when a box that waits for a change has to read for its zone, or others know of a change; not while a
    /// change is arriving.
    async fn hold_ends(&self, turn: Turn) {
        if turn != Turn::Holds {
            return std::future::pending().await;
        }
        loop {
            let is_over = tokio::select! {
                () = tokio::time::sleep(TURN_CHECK) => self.is_my_turn(),
                () = self.transfers.doubted(self.topic) => true,
            };
            if is_over && !self.transfers.is_under_way(self.topic) {
                return;
            }
        }
    }

    fn pause(&self) -> Duration {
        let large = self.fleet.view().box_count() > SMALL_FLEET;
        match self.topic {
            Topic::Operators => OPERATORS_PAUSE,
            Topic::Targets if large => LARGE_TARGETS_PAUSE,
            Topic::Targets => TARGETS_PAUSE,
        }
    }

    async fn read(
        &self,
        whole: bool,
        reached: KvRevision,
        turn: Turn,
    ) -> Result<Reading, PlatformError> {
        let known = self.fleet.view().known(self.topic).revision.max(reached);
        if known == KvRevision::ABSENT {
            let _arriving = self.transfers.begin(self.topic);
            let glanced = self.platform.stale_snapshot(self.prefix).await;
            return glanced.map(Reading::Glanced);
        }
        if whole {
            let _arriving = self.transfers.begin(self.topic);
            let listed = self.platform.snapshot(self.prefix).await;
            return listed.map(Reading::Whole);
        }
        let is_confirmed = self.fleet.view().known(self.topic).confirmed.is_some();
        let wait = match turn {
            _ if !is_confirmed => FIRST_WAIT,
            Turn::Holds => self.hold,
            Turn::Reads | Turn::Rests => WATCH_WAIT,
        };
        let mut under_way = None;
        let arriving = || under_way = Some(self.transfers.begin(self.topic));
        let changes = self
            .platform
            .watch_with_callback(self.prefix, known, wait, arriving)
            .await;
        changes.map(Reading::Changes)
    }

    /// Whether a failure calls for a listing. A watch from what is known misses nothing, unless the store has forgotten it;
    /// what operators publish is too long to be listed for less. Targets' entries may lapse in an outage, and are few.
    fn must_list(&self, e: &PlatformError) -> bool {
        self.topic == Topic::Targets || e.fault == PlatformFault::HistoryLost
    }

    async fn failed(&self, e: &PlatformError, failures: u32, turn: Turn) {
        if failures == 1 {
            event!(self.log, events::STORE_UNREACHABLE, "prefix" => self.prefix, "why" => e.to_string());
        }
        if e.fault == PlatformFault::HistoryLost {
            return;
        }
        if turn == Turn::Holds {
            // The boxes that read find out whether the store is away, or turns only this box away.
            let rest = backoff(failures, MIN_HOLD_BACKOFF, MAX_HOLD_BACKOFF);
            tokio::select! {
                () = tokio::time::sleep(rest) => {}
                () = self.hold_ends(turn) => {}
            }
            return;
        }
        self.fleet.tell(FleetMsg::StoreAway).await;
        tokio::time::sleep(backoff(failures, MIN_BACKOFF, MAX_BACKOFF)).await;
    }
}

/// The wait after so many failures in a row, with jitter, so that a returning store meets no herd.
fn backoff(failures: u32, least: Duration, longest: Duration) -> Duration {
    let doubled = least * 2u32.pow(failures.min(4));
    let most = doubled.min(longest);
    most.mul_f64(rand::rng().random_range(0.5..1.0))
}
