//! Tasks that read the platform store for the fleet task.
//!
//! One box of a zone polls each prefix, and the other boxes get the store's revision from it. In
//! addition every box watches what operators publish: it may be large, and the store's link carries
//! it to all boxes in parallel, while a box with a slow link would take seconds to send it to a zone.

use super::transfers::Transfers;
use super::{BoxEntry, FleetHandle, FleetMsg, Reading, Source, Topic};
use crate::backoff::backoff;
use crate::peers::datagram::{PublishedChanges, ZoneUpdate};
use crate::peers::roles::{self, DataState, SMALL_FLEET};
use crate::placement::Loads;
use rand::RngExt;
use sillpin_core::BoxId;
use sillpin_platform::{KvRevision, Platform, PlatformError, PlatformFault, Snapshot};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Longest time that a polling box waits for a change. The result is as old as the start of the
/// wait, and other boxes read the store themselves once their data is older than 1.5 s. Each wait
/// costs a call.
const WATCH_WAIT: Duration = Duration::from_millis(500);

/// Wait of the first watch, which returns immediately. A stale read may be seconds old, so nothing
/// is confirmed before the first watch ends, and until then no part is fetched and no request is
/// refused definitively. This starts fetches 0.5 s sooner, for the same number of calls.
const FIRST_WAIT: Duration = Duration::from_millis(1);

/// Longest time for which a box that does not read for its zone waits for a change: the 30 s that
/// the store allows, less a margin. Each call costs.
const MAX_LONG_POLL: Duration = Duration::from_secs(25);

/// Share of the store's history for which such a box waits. If nothing changes during a longer
/// watch, its start is beyond what the store remembers, so it fails and costs an additional
/// listing.
const LONG_POLL_SHARE: f64 = 0.85;

/// Returns how long to wait for a change in a store that remembers changes for `history`.
pub fn long_poll_wait(history: Duration) -> Duration {
    history.mul_f64(LONG_POLL_SHARE).min(MAX_LONG_POLL)
}

/// Shortest and longest wait of such a box after a failure: it gets changes from other boxes
/// meanwhile.
const MIN_LONG_POLL_BACKOFF: Duration = Duration::from_millis(1_000);
const MAX_LONG_POLL_BACKOFF: Duration = Duration::from_millis(4_000);

/// Minimum time between two calls for what operators publish.
const OPERATORS_PAUSE: Duration = Duration::from_millis(250);

/// Minimum time between two calls for targets' entries: heartbeats end a watch many times a second,
/// and each response costs a call. Requests may be sent to a leaving target for two seconds.
const TARGETS_PAUSE: Duration = Duration::from_millis(900);

/// The same in a large fleet, where a reader's data reaches other boxes by way of a hub: with
/// longer pauses half of the boxes find their data too old and read the store themselves.
const LARGE_TARGETS_PAUSE: Duration = Duration::from_millis(400);

/// Longest value in bytes that is sent in datagrams: targets' entries take 300, weights versions
/// 50.
const MAX_SENT_VALUE: usize = 2_000;

/// Number of reads that a box makes at its start whichever others there are: the listing, and the watch that confirms it.
const FIRST_READS: u32 = 2;

/// Longest time for which a box that starts waits until it has read which others there are before it polls targets. Boxes
/// spread over the second half of it.
const FIRST_POLL_WAIT: Duration = Duration::from_secs(10);

/// Number of boxes of a zone that read a long listing at their start.
const FIRST_LISTERS: usize = 3;

/// Time in which a box that starts learns which other boxes there are.
const MEMBERSHIP_WAIT: Duration = Duration::from_millis(1_500);

/// Time for which a box that starts waits for a copy of a long listing, and the range over which boxes spread that read
/// it themselves then. Meanwhile they serve with the targets of its first page.
const COPY_WAIT: Duration = Duration::from_secs(10);
const COPY_WAIT_SPREAD: Duration = Duration::from_secs(10);

/// Time between two reads of the first page meanwhile. Targets that leave go on serving for longer.
const FIRST_PAGE_INTERVAL: Duration = Duration::from_secs(3);

/// Time between two checks of a box that does not read whether it has to.
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Shortest and longest wait after a failure. The longest bounds the time until a box notices that
/// the store answers it again.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Reads one prefix.
#[derive(Clone)]
pub struct Reader<P> {
    /// The platform store.
    pub platform: P,
    /// Which prefix is read.
    pub topic: Topic,
    /// The prefix's text.
    pub prefix: &'static str,
    /// This box.
    pub me: BoxEntry,
    /// The fleet task, which gets the data.
    pub fleet: FleetHandle,
    /// Transfers to this box in progress.
    pub transfers: Transfers,
    /// How long to wait for a change if another box reads for the zone.
    pub long_poll: Duration,
    /// Loads of targets, which show whether bulletins of a hub arrive.
    pub loads: Loads,
    /// Updates for the zone.
    pub updates: mpsc::Sender<ZoneUpdate>,
    /// Log.
    pub log: Logger,
}

/// How a box reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadMode {
    /// Polls for its zone.
    Poll,
    /// Waits long for a change, for itself.
    LongPoll,
    /// Makes no calls.
    Idle,
}

impl<P: Platform> Reader<P> {
    /// Reads until the process ends.
    pub async fn run(self) {
        let mut must_list_next = true;
        // The view may not yet include the last read.
        let mut reached = KvRevision::ABSENT;
        let mut failures: u32 = 0;
        let mut reads: u32 = 0;
        let poll_from =
            Instant::now() + FIRST_POLL_WAIT.mul_f64(rand::rng().random_range(0.5..1.0));
        loop {
            let mut mode = match reads < FIRST_READS || Instant::now() >= poll_from {
                true => self.mode(),
                false => self.mode_before_poll(),
            };
            if self.transfers.is_in_progress(self.topic) {
                tokio::time::sleep(MODE_CHECK_INTERVAL).await;
                continue;
            }
            if mode == ReadMode::Idle {
                self.transfers.set_watched(self.topic, false);
                tokio::select! {
                    () = tokio::time::sleep(MODE_CHECK_INTERVAL) => continue,
                    () = self.transfers.retry_requested(self.topic) => mode = ReadMode::Poll,
                }
            }
            let requested_at = Instant::now();
            let read = tokio::select! {
                read = self.read(must_list_next, reached, mode) => read,
                () = self.long_poll_ends(mode) => continue,
            };
            self.transfers.set_watched(self.topic, read.is_ok());
            match read {
                Ok(reading) => {
                    if failures > 0 {
                        event!(self.log, events::STORE_RECOVERED,
                            "prefix" => self.prefix, "failures" => failures);
                    }
                    failures = 0;
                    reads += 1;
                    must_list_next = false;
                    let is_stale = matches!(reading, Reading::Stale(_));
                    reached = reached.max(reading.revision());
                    self.send_changes(&reading, requested_at);
                    let (topic, source) = (self.topic, Source::Store);
                    let msg = FleetMsg::Read {
                        topic,
                        reading,
                        requested_at,
                        source,
                    };
                    self.fleet.send(msg).await;
                    // The watch after a stale read follows immediately, unless the read found
                    // nothing.
                    if !is_stale || reached == KvRevision::ABSENT {
                        tokio::time::sleep_until(requested_at + self.pause()).await;
                    }
                }
                Err(e) => {
                    must_list_next = self.must_list(&e);
                    failures += 1;
                    self.handle_failure(&e, failures, mode).await;
                }
            }
        }
    }

    /// Sends the zone the changes, if they fit datagrams. All boxes read longer values themselves.
    fn send_changes(&self, reading: &Reading, requested_at: Instant) {
        let Reading::Changes(reply) = reading else {
            return;
        };
        let texts = reply
            .changed
            .iter()
            .filter_map(|entry| entry.value.as_ref());
        let longest = texts.map(String::len).max().unwrap_or_default();
        if reply.changed.is_empty() || longest > MAX_SENT_VALUE {
            return;
        }
        let known = self.fleet.view().known(self.topic);
        let changes = PublishedChanges {
            topic: self.topic,
            after: known.revision,
            before: Some(known.content),
            changed: reply.changed.clone(),
            revision: reply.revision,
            age_ms: requested_at.elapsed().as_millis() as u64,
        };
        // Boxes that miss the update receive this box's revision in a digest, and fetch a copy.
        let _ = self.updates.try_send(ZoneUpdate::Published(changes));
    }

    fn mode(&self) -> ReadMode {
        match (self.must_read(), self.topic) {
            (true, _) => ReadMode::Poll,
            // The hub's bulletin states within milliseconds that something has changed, and each
            // wait at the store costs a call.
            (false, Topic::Operators) if self.loads.is_hub_responsive(Instant::now()) => {
                ReadMode::Idle
            }
            (false, Topic::Operators) => ReadMode::LongPoll,
            (false, Topic::Targets) => ReadMode::Idle,
        }
    }

    /// Returns how a box reads that has just started. It does not poll targets before it knows which box does so for its
    /// zone: targets of a fleet that starts as a whole all write their entries then, and if each box read them, nothing
    /// else would get through the store's link.
    fn mode_before_poll(&self) -> ReadMode {
        match self.topic == Topic::Targets && !self.fleet.view().has_registered {
            true => ReadMode::Idle,
            false => self.mode(),
        }
    }

    /// Returns whether this box reads for its zone, or its data is too old to wait for the reader.
    fn must_read(&self) -> bool {
        let view = self.fleet.view();
        let confirmed = view.known(self.topic).confirmed;
        let now = Instant::now();
        let alive = |id: &BoxId| self.loads.may_be_alive(id, now);
        let data = DataState {
            confirmed,
            is_relayed: self.loads.is_hub_responsive(now),
        };
        roles::should_read(&view, &self.me, self.prefix, alive, data, now)
    }

    /// Resolves when a box that waits for a change has to read for its zone, or other boxes know of
    /// a change; not while a change is being transferred.
    async fn long_poll_ends(&self, mode: ReadMode) {
        if mode != ReadMode::LongPoll {
            return std::future::pending().await;
        }
        loop {
            let is_over = tokio::select! {
                () = tokio::time::sleep(MODE_CHECK_INTERVAL) => self.must_read(),
                () = self.transfers.retry_requested(self.topic) => true,
            };
            if is_over && !self.transfers.is_in_progress(self.topic) {
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
        must_list_next: bool,
        reached: KvRevision,
        mode: ReadMode,
    ) -> Result<Reading, PlatformError> {
        let known = self.fleet.view().known(self.topic).revision.max(reached);
        if known == KvRevision::ABSENT {
            return self.read_first().await;
        }
        if must_list_next {
            let _transfer = self.transfers.begin(self.topic);
            let snapshot = self.platform.snapshot(self.prefix).await;
            return snapshot.map(Reading::Complete);
        }
        let is_confirmed = self.fleet.view().known(self.topic).confirmed.is_some();
        let wait = match mode {
            _ if !is_confirmed => FIRST_WAIT,
            ReadMode::LongPoll => self.long_poll,
            ReadMode::Poll | ReadMode::Idle => WATCH_WAIT,
        };
        let mut transfer = None;
        let on_response = || transfer = Some(self.transfers.begin(self.topic));
        let changes = self
            .platform
            .watch_with_callback(self.prefix, known, wait, on_response)
            .await;
        changes.map(Reading::Changes)
    }

    /// Reads a prefix for the first time. If the listing of targets is long, few boxes of the zone read all of it, and the
    /// others get copies from them: all boxes together would need minutes of the store's link. Until then a box serves
    /// with the targets of the first page, which it reads again and again.
    async fn read_first(&self) -> Result<Reading, PlatformError> {
        let began = Instant::now();
        let wait = COPY_WAIT + COPY_WAIT_SPREAD.mul_f64(rand::rng().random());
        loop {
            let transfer = self.transfers.begin(self.topic);
            let first = self.platform.stale_first_page(self.prefix).await?;
            if first.is_complete {
                return Ok(Reading::Stale(first.snapshot));
            }
            if self.topic == Topic::Operators {
                let all = self.platform.stale_other_pages(self.prefix, first.snapshot);
                return all.await.map(Reading::Stale);
            }
            let msg = FleetMsg::Read {
                topic: self.topic,
                reading: Reading::Part(first.snapshot.clone()),
                requested_at: Instant::now(),
                source: Source::Store,
            };
            self.fleet.send(msg).await;
            if self.must_list_all(began, wait) {
                let all = self.platform.stale_other_pages(self.prefix, first.snapshot);
                return all.await.map(Reading::Stale);
            }
            drop(transfer);
            if self.copy_arrives(began, wait).await {
                // The copy is in the view already.
                return Ok(Reading::Part(Snapshot::default()));
            }
        }
    }

    /// Waits for a copy from another box. Returns whether one has arrived; if not, this box is to read again.
    async fn copy_arrives(&self, began: Instant, wait: Duration) -> bool {
        let refresh = Instant::now() + FIRST_PAGE_INTERVAL;
        while self.fleet.view().known(self.topic).revision == KvRevision::ABSENT {
            let is_due = Instant::now() >= refresh || self.must_list_all(began, wait);
            if is_due && !self.transfers.is_in_progress(self.topic) {
                return false;
            }
            tokio::time::sleep(MODE_CHECK_INTERVAL).await;
        }
        true
    }

    /// Returns whether this box is one of those that read a long listing, or has waited too long for a copy.
    fn must_list_all(&self, began: Instant, wait: Duration) -> bool {
        let (view, now) = (self.fleet.view(), Instant::now());
        let waited = now - began;
        let knows_others = view.has_registered || waited >= MEMBERSHIP_WAIT;
        let alive = |id: &BoxId| self.loads.may_be_alive(id, now);
        let is_first = || roles::is_among_first(&view, &self.me, self.prefix, FIRST_LISTERS, alive);
        (knows_others && is_first()) || waited >= wait
    }

    /// Returns whether a failure requires a new listing. A watch from the known revision misses
    /// nothing unless the store has dropped that history, and what operators publish is too large
    /// to be listed for other failures. Targets' entries may expire in an outage, and are few.
    fn must_list(&self, e: &PlatformError) -> bool {
        self.topic == Topic::Targets || e.fault == PlatformFault::HistoryLost
    }

    async fn handle_failure(&self, e: &PlatformError, failures: u32, mode: ReadMode) {
        if failures == 1 {
            event!(self.log, events::STORE_UNREACHABLE, "prefix" => self.prefix, "why" => e.to_string());
        }
        if e.fault == PlatformFault::HistoryLost {
            return;
        }
        if mode == ReadMode::LongPoll {
            // The polling boxes find out whether the store is unreachable, or only refuses this
            // box.
            let wait = backoff(failures, MIN_LONG_POLL_BACKOFF, MAX_LONG_POLL_BACKOFF);
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.long_poll_ends(mode) => {}
            }
            return;
        }
        self.fleet.send(FleetMsg::StoreUnreachable).await;
        tokio::time::sleep(backoff(failures, MIN_BACKOFF, MAX_BACKOFF)).await;
    }
}
