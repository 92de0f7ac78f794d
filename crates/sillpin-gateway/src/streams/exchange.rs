//! Tells other boxes which versions began streams, and asks them.

use super::holders::{asked, holders, spare_holders};
use super::message::{Known, MAX_RECORDS, StreamMessage, StreamQuery};
use super::records::{RecordTable, StreamRecord};
use super::register::RegisterHandle;
use super::version::{StreamKey, VersionHash};
use crate::fleet_state::{BoxEntry, FleetHandle};
use crate::metrics::BoxMetrics;
use crate::peers::wire::{self, FleetKey};
use derive_more::Display;
use sillpin_core::{PoolId, ZoneId};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, sleep_until};
use tokio_util::sync::CancellationToken;

/// Times after the first query at which boxes that have not answered are asked again: datagrams get lost.
const ASK_AGAIN: [Duration; 3] = [
    Duration::from_millis(30),
    Duration::from_millis(90),
    Duration::from_millis(180),
];

/// Time after which a query ends without an answer. Boxes of another region answer within 150 ms.
const ASK_TIME: Duration = Duration::from_millis(300);

/// Largest number of answers to a query that wait to be read.
const MAX_ANSWERS: usize = 64;

/// Interval at which a box checks whether others have to be told of streams that began earlier.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How a box knows the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum KnownFrom {
    /// From its own record.
    #[display("record")]
    Record,
    /// The pool has had no other version.
    #[display("one version")]
    OneVersion,
    /// Another box has a record.
    #[display("record of a box")]
    BoxRecord,
    /// Another box knows that the pool has had no other version.
    #[display("one version, by a box")]
    BoxOneVersion,
    /// The pool has had no other version, by the platform store.
    #[display("one version, by the store")]
    Stored,
    /// The box that forwarded the request named it.
    #[display("forwarded")]
    Forwarded,
}

/// Returns the boxes that a box in a zone tells of a stream.
type Holders = for<'a> fn(&'a [BoxEntry], &ZoneId, StreamKey) -> Vec<&'a BoxEntry>;

/// Records of streams, shared with other boxes; clones share the state.
#[derive(Clone)]
pub struct StreamVersions {
    inner: Arc<Inner>,
}

struct Inner {
    key: FleetKey,
    me: BoxEntry,
    fleet: FleetHandle,
    socket: Arc<UdpSocket>,
    register: RegisterHandle,
    metrics: BoxMetrics,
    log: Logger,
    records: Mutex<RecordTable>,
    queries: Mutex<HashMap<u64, mpsc::Sender<(SocketAddr, Known)>>>,
}

/// A stream that a caller resumes.
#[derive(Debug, Clone)]
pub struct ResumedStream {
    /// The stream.
    pub key: StreamKey,
    /// The pool, if its route has had only one.
    pub pool: Option<PoolId>,
    /// For how long the caller may have waited at most.
    pub window: Duration,
}

impl StreamVersions {
    /// Creates the records of box `me`, which sends datagrams from `socket`.
    pub fn new(
        fleet_key: FleetKey,
        me: BoxEntry,
        fleet: FleetHandle,
        socket: Arc<UdpSocket>,
        register: RegisterHandle,
        metrics: BoxMetrics,
        log: Logger,
    ) -> Self {
        let inner = Inner {
            key: fleet_key.for_streams(),
            me,
            fleet,
            socket,
            register,
            metrics,
            log,
            records: Mutex::default(),
            queries: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    fn records(&self) -> MutexGuard<'_, RecordTable> {
        self.inner.records.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records that targets of a version began a stream of a route with several pools, before its first event goes to the
    /// caller. Pools' versions do not tell other boxes which pool began it, so its holders are told at once.
    pub fn record_of_split_route(&self, record: StreamRecord) {
        self.records().insert(&record, Instant::now());
        self.tell(&[record], holders);
    }

    /// Records that targets of a version began a stream of a route whose only pool is `pool`, before its first event goes
    /// to the caller, and tells its holders; fewer of them if other boxes know it by the pool's versions.
    pub fn record(&self, pool: &PoolId, record: StreamRecord) {
        let now = Instant::now();
        self.records().insert(&record, now);
        let life = Duration::from_millis(record.life_ms.into());
        if self.sole(pool, life).is_some() {
            self.tell(&[record], spare_holders);
            return self.records().keep_untold(record, pool.clone(), now);
        }
        self.tell(&[record], holders);
        self.request_stored(pool, life);
    }

    /// Returns the version that began all of a pool's streams in the last `window`, if this box knows that: by what it has
    /// seen itself, or by the versions in the store as read since it has been in contact.
    fn sole(&self, pool: &PoolId, window: Duration) -> Option<VersionHash> {
        let view = self.inner.fleet.view();
        let sync = &view.targets_sync;
        let sole = view.versions.sole(pool, window, sync, Instant::now())?;
        if sole.is_certain {
            return Some(sole.span.hash);
        }
        let stored = self.inner.register.stored();
        let has_read = stored.read_at.is_some_and(|at| at >= sole.contact);
        let is_alone = || stored.only(pool) == Some(&sole.span.software);
        (has_read && is_alone()).then_some(sole.span.hash)
    }

    /// Requests the versions in the store if they may tell that a pool has one version.
    fn request_stored(&self, pool: &PoolId, window: Duration) {
        let view = self.inner.fleet.view();
        let sync = &view.targets_sync;
        let sole = view.versions.sole(pool, window, sync, Instant::now());
        if sole.is_some() {
            self.inner.register.request();
        }
    }

    /// Tells the holders of these streams.
    fn tell(&self, records: &[StreamRecord], holders: Holders) {
        let view = self.inner.fleet.view();
        let zone = &self.inner.me.zone;
        let mut by_box: HashMap<SocketAddr, Vec<StreamRecord>> = HashMap::new();
        for record in records {
            for holder in holders(&view.boxes, zone, record.key) {
                by_box.entry(holder.gossip).or_default().push(*record);
            }
        }
        for (to, records) in by_box {
            for chunk in records.chunks(MAX_RECORDS) {
                self.send(&StreamMessage::Records(chunk.to_vec()), to);
            }
        }
    }

    /// Sends a datagram. One that cannot be sent counts as lost, like one that gets lost on its way.
    fn send(&self, message: &StreamMessage, to: SocketAddr) {
        match wire::encode_message(self.inner.key, message) {
            Ok(buf) => {
                let metrics = &self.inner.metrics;
                metrics.datagrams(message.name(), "sent", 1, buf.len());
                let _ = self.inner.socket.try_send_to(&buf, to);
            }
            Err(e) => event!(self.inner.log, events::GOSSIP_FAILED, "why" => e.to_string()),
        }
    }

    /// Handles a datagram if it is about streams; returns whether it is.
    pub fn receive(&self, buf: &[u8], from: SocketAddr) -> bool {
        let Ok(message) = wire::decode_message::<StreamMessage>(self.inner.key, buf) else {
            return false;
        };
        let metrics = &self.inner.metrics;
        metrics.datagrams(message.name(), "received", 1, buf.len());
        match message {
            StreamMessage::Records(records) => {
                let (mut table, now) = (self.records(), Instant::now());
                records.iter().for_each(|record| table.insert(record, now));
            }
            StreamMessage::Query(query) => {
                let answer = StreamMessage::Answer {
                    query: query.number,
                    known: self.answer(&query),
                };
                self.send(&answer, from);
            }
            StreamMessage::Answer { query, known } => {
                if let Some(tx) = self.queries().get(&query) {
                    // Fails once the query has ended; an answer that does not fit repeats others.
                    let _ = tx.try_send((from, known));
                }
            }
        }
        true
    }

    fn queries(&self) -> MutexGuard<'_, HashMap<u64, mpsc::Sender<(SocketAddr, Known)>>> {
        self.inner.queries.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn answer(&self, query: &StreamQuery) -> Known {
        if let Some(version) = self.records().version(query.key, Instant::now()) {
            return Known::Version(version);
        }
        let window = Duration::from_millis(query.window_ms.into());
        let sole = query.pool.as_ref().and_then(|pool| self.sole(pool, window));
        sole.map_or(Known::Nothing, Known::Sole)
    }

    /// Returns the version that began a stream, and how it is known; `None` if no box that can be asked knows it.
    pub async fn find(&self, stream: &ResumedStream) -> Option<(VersionHash, KnownFrom)> {
        if let Some(version) = self.records().version(stream.key, Instant::now()) {
            return Some((version, KnownFrom::Record));
        }
        let sole = stream.pool.as_ref();
        if let Some(version) = sole.and_then(|pool| self.sole(pool, stream.window)) {
            return Some((version, KnownFrom::OneVersion));
        }
        let answered = self.ask(stream).await;
        if answered.is_some() || sole.is_none() {
            return answered;
        }
        self.inner.register.read().await;
        let version = sole.and_then(|pool| self.sole(pool, stream.window))?;
        Some((version, KnownFrom::Stored))
    }

    async fn ask(&self, stream: &ResumedStream) -> Option<(VersionHash, KnownFrom)> {
        let (mut query, mut answers) = Query::start(self, stream);
        let view = self.inner.fleet.view();
        let (first, next) = asked(&view.boxes, &self.inner.me.zone, stream.key);
        query.add(first);
        let began = Instant::now();
        let mut again = ASK_AGAIN.iter();
        let mut next = Some(next);
        loop {
            if query.waiting.is_empty() {
                match next.take() {
                    Some(next) if !next.is_empty() => query.add(next),
                    _ => return None,
                }
            }
            let (due, is_end) = match again.clone().next() {
                Some(after) => (began + *after, false),
                None => (began + ASK_TIME, true),
            };
            tokio::select! {
                Some((from, known)) = answers.recv() => match known {
                    Known::Version(version) => return Some((version, KnownFrom::BoxRecord)),
                    Known::Sole(version) => return Some((version, KnownFrom::BoxOneVersion)),
                    Known::Nothing => query.waiting.retain(|addr| *addr != from),
                },
                () = sleep_until(due) => {
                    if is_end {
                        return None;
                    }
                    again.next();
                    query.repeat();
                    query.add(next.take().unwrap_or_default());
                }
            }
        }
    }

    /// Tells all holders of streams that began while the pool had one version, once it has more, or this box is stopping or
    /// not in contact with the store any longer.
    pub async fn run(self, stopping: CancellationToken) {
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let is_stopping = stopping.is_cancelled();
            let must_tell = |pool: &PoolId, life| is_stopping || self.sole(pool, life).is_none();
            let untold = self.records().take_untold(must_tell, Instant::now());
            self.tell(&untold, holders);
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records().len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records().is_empty()
    }
}

/// A query in progress.
struct Query<'a> {
    streams: &'a StreamVersions,
    message: StreamMessage,
    number: u64,
    /// Boxes that were asked and have not answered.
    waiting: HashSet<SocketAddr>,
}

impl<'a> Query<'a> {
    fn start(
        streams: &'a StreamVersions,
        stream: &ResumedStream,
    ) -> (Self, mpsc::Receiver<(SocketAddr, Known)>) {
        let (tx, rx) = mpsc::channel(MAX_ANSWERS);
        let number = rand::random();
        streams.queries().insert(number, tx);
        let query = StreamQuery {
            number,
            key: stream.key,
            pool: stream.pool.clone(),
            window_ms: u32::try_from(stream.window.as_millis()).unwrap_or(u32::MAX),
        };
        let query = Self {
            streams,
            message: StreamMessage::Query(query),
            number,
            waiting: HashSet::new(),
        };
        (query, rx)
    }

    /// Asks further boxes.
    fn add(&mut self, boxes: Vec<&BoxEntry>) {
        for entry in boxes {
            self.streams.send(&self.message, entry.gossip);
            self.waiting.insert(entry.gossip);
        }
    }

    /// Asks the boxes that have not answered again.
    fn repeat(&self) {
        for to in &self.waiting {
            self.streams.send(&self.message, *to);
        }
    }
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        self.streams.queries().remove(&self.number);
    }
}
