//! What is made of other boxes' datagrams.

mod news;

use super::asker::Asker;
use super::datagram::{BoxHash, Datagram, Digest, Extent, KeptExtent};
use super::lag::{Behind, Lag};
use super::spread::ZoneNews;
use super::stall::StallGuard;
use super::wire::{self, FleetKey, MAX_DATAGRAM, WireFault};
use crate::beliefs::transfers::Transfers;
use crate::beliefs::wanted::NamedAge;
use crate::beliefs::{BoxEntry, FleetHandle, FleetMsg, Known, Named, Source, Topic};
use crate::fatal::Fatal;
use crate::kept::Kept;
use crate::kept::directory::Directory;
use crate::metrics::BoxMetrics;
use crate::place::Loads;
use crate::place::words::limit::{LimitNews, log_limit};
use crate::place::work::LifeHash;
use sillpin_core::ZoneId;
use sillpin_platform::KvRevision;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Wait after the socket reported an error: it may report the same one again at once.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Taken off what a datagram tells of its age, for its way here.
const WAY: Duration = Duration::from_millis(20);

/// How long the store goes before other boxes where it is to tell this box of changes: its answer begins within milliseconds, on a slow
/// day within 240 ms.
const STORE_FIRST: Duration = Duration::from_millis(300);

/// How long the zone's reader goes first where a hub is heard: what is short comes with the news, in datagrams behind the one that says
/// how far the hub knows.
const NEWS_FIRST: Duration = Duration::from_millis(50);

/// After this long without anything arriving from the store, called anew, other boxes are asked.
const STORE_AGAIN: Duration = Duration::from_millis(1_000);

/// Times at which boxes learned of the same, or reached the store, are taken for alike within this: each watches the store, which tells all
/// within some ten milliseconds.
const JITTER: Duration = Duration::from_millis(100);

/// Something that is being asked of another box, so that many digests cause one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Asked {
    /// A prefix.
    Topic(Topic),
    /// Stores of kept KV cache.
    Stores,
}

/// Where a box that is behind turns.
enum Next {
    /// Nowhere: what it lacks is on its way.
    Wait,
    /// To the store, again.
    Store,
    /// To the box that told it.
    Box,
}

/// Calls under way.
pub type Asking = Arc<Mutex<HashSet<Asked>>>;

/// Hears what other boxes say.
#[derive(Clone)]
pub struct Ear {
    /// The fleet; datagrams of others are dropped.
    pub fleet_key: FleetKey,
    /// What the box knows.
    pub fleet: FleetHandle,
    /// Loads of targets.
    pub loads: Loads,
    /// What is known of kept parts.
    pub kept: Kept,
    /// Requests that end the targets that run them.
    pub fatal: Fatal,
    /// Calls under way.
    pub asking: Asking,
    /// Asks the boxes that know more.
    pub asker: Asker,
    /// Since when others know more.
    pub lag: Arc<Mutex<Lag>>,
    /// What is on its way to this box.
    pub transfers: Transfers,
    /// Notices datagrams that waited in a stall.
    pub stall: StallGuard,
    /// Counts datagrams.
    pub metrics: BoxMetrics,
    /// This box's short name.
    pub name: BoxHash,
    /// Its zone.
    pub zone: ZoneId,
    /// How the news of a large zone spread.
    pub zone_news: ZoneNews,
    /// Log.
    pub log: Logger,
}

impl Ear {
    /// Hears until the process ends.
    pub async fn hear(self, socket: Arc<UdpSocket>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let len = match socket.recv_from(&mut buf).await {
                Ok((len, _)) => len,
                Err(e) => {
                    // An earlier datagram met a box that is gone; the socket goes on.
                    event!(self.log, events::GOSSIP_FAILED, "why" => e.to_string());
                    tokio::time::sleep(ERROR_PAUSE).await;
                    continue;
                }
            };
            if self.stall.is_stale() {
                continue;
            }
            match wire::decode(self.fleet_key, &buf[..len]) {
                Ok(datagram) => {
                    self.metrics.datagrams(datagram.name(), "received", 1, len);
                    if let Datagram::Bulletin(bulletin) = &datagram {
                        self.pass_on(&socket, &buf[..len], bulletin).await;
                    }
                    self.hear_one(datagram).await;
                }
                // Boxes of another fleet may go on for long at an address that was theirs: counted, not logged.
                Err(WireFault::Foreign) => self.metrics.datagrams("foreign", "dropped", 1, len),
                Err(e) => event!(self.log, events::GOSSIP_FAILED, "why" => e.to_string()),
            }
        }
    }

    async fn hear_one(&self, datagram: Datagram) {
        match datagram {
            Datagram::Digest(digest) => self.take(*digest).await,
            Datagram::Loading(news) => self.take_news(news).await,
            Datagram::Kept(word) => self.take_word(word),
            Datagram::Work(word) => {
                self.loads
                    .words(|words| words.replaced.hear(&word.replaced, Instant::now()));
                self.loads.hear(word.from, word.work);
            }
            Datagram::Report(report) => self.take_report(report).await,
            Datagram::Bulletin(bulletin) => self.take_bulletin(bulletin).await,
            Datagram::Zone(word) => self.take_zone(word).await,
        }
    }

    async fn take(&self, digest: Digest) {
        if digest.stopping {
            self.fleet.tell(FleetMsg::Stopping(digest.from.id)).await;
            return;
        }
        let now = Instant::now();
        let from = digest.from.id.clone();
        self.loads.hear(from.clone(), digest.work);
        self.loads
            .words(|words| words.replaced.hear(&digest.replaced, now));
        self.fatal.hear(&digest.fatal);
        self.take_limits(&digest.limits);
        let silence = digest.targets.age_ms.map(Duration::from_millis);
        let silence = silence.unwrap_or(Duration::MAX);
        let retired = digest.retired;
        self.kept.retirements().hear(from, retired, silence, now);
        self.kept.lock().take_clock(digest.clock, now);
        self.welcome(&digest.from);
        self.fleet.tell(FleetMsg::Heard(digest.from.clone())).await;
        self.take_named(&digest.named, &digest.from, now).await;
        self.take_contact(digest.contact_ms, now).await;
        self.take_extent(Topic::Operators, digest.operators, &digest.from)
            .await;
        self.take_extent(Topic::Targets, digest.targets, &digest.from)
            .await;
        self.take_stores(&digest.stores, &digest.from);
    }

    /// Other boxes know what targets take.
    fn take_limits(&self, news: &[LimitNews]) {
        if news.is_empty() {
            return;
        }
        let changes = self
            .loads
            .words(|words| words.limits.hear(news, Instant::now()));
        if changes.is_empty() {
            return;
        }
        let view = self.fleet.view();
        for change in changes {
            let mut listed = view.targets.values();
            let target = listed.find(|entry| LifeHash::of(entry) == change.target);
            // A target that is not listed yet has no name here.
            let name = target.map_or("", |entry| entry.id.as_str());
            log_limit(&self.log, name, change, "other box");
        }
    }

    /// Has the zone told of a box that this one, if it is the hub, did not know: who passes bulletins on to it must know where it is.
    fn welcome(&self, from: &BoxEntry) {
        let view = self.fleet.view();
        let is_known = view.boxes.iter().any(|peer| peer == from);
        if !is_known && from.zone == self.zone {
            self.zone_news.hub().join(from.clone());
        }
    }

    /// Another box knows when weights were named.
    async fn take_named(&self, named: &[NamedAge], from: &BoxEntry, now: Instant) {
        let view = self.fleet.view();
        for age in named {
            let Some(named) = age.named(now) else {
                continue;
            };
            // Times of boxes that saw the same differ by what news take, and would change the view in each round.
            let later = Named {
                since: named.since + JITTER,
                ..named
            };
            let wanted = view.wanted.get(&age.model);
            if wanted.is_some_and(|wanted| !wanted.is_news(&later)) {
                continue;
            }
            let msg = FleetMsg::Named {
                model: age.model.clone(),
                named,
                source: Source::Peer(from.id.clone()),
            };
            self.fleet.tell(msg).await;
        }
    }

    /// Another box has been in touch with the store for so long: the store has been there.
    async fn take_contact(&self, contact_ms: Option<u64>, now: Instant) {
        let contact = contact_ms.map(Duration::from_millis);
        let Some(since) = contact.and_then(|contact| now.checked_sub(contact)) else {
            return;
        };
        let own = self.fleet.view().operators.contact;
        if own.is_some_and(|own| since + JITTER < own) {
            self.fleet.tell(FleetMsg::Contact(since)).await;
        }
    }

    /// Another box knows a prefix so far: the same confirms what is known here, newer is asked for.
    async fn take_extent(&self, topic: Topic, theirs: Extent, from: &BoxEntry) {
        let Some(asked) = asked_at(theirs.age_ms) else {
            return;
        };
        let mine = self.fleet.view().known(topic);
        if mine.content == theirs.content && mine.confirmed.is_some() {
            if mine.confirmed < Some(asked) {
                let msg = FleetMsg::Confirmed {
                    topic,
                    content: theirs.content,
                    revision: theirs.revision,
                    asked,
                };
                self.fleet.tell(msg).await;
            }
            return;
        }
        if !is_newer(mine, theirs) {
            return;
        }
        let behind = self.fell_behind(topic, mine, theirs, from);
        match self.next_source(topic, &behind) {
            Next::Wait => {}
            Next::Store => self.doubt_store(topic),
            Next::Box => self.copy_from(from, topic, mine.revision),
        }
    }

    fn copy_from(&self, from: &BoxEntry, topic: Topic, after: KvRevision) {
        if !self.begin(Asked::Topic(topic)) {
            return;
        }
        let (ear, from) = (self.clone(), from.clone());
        tokio::spawn(async move {
            ear.asker.ask_copy(&from, topic, after, &ear.fleet).await;
            ear.end(Asked::Topic(topic));
        });
    }

    /// Has the store called anew, on another connection. Once is enough: calls that follow each other before an answer begins would
    /// throw away what a full link holds up.
    fn doubt_store(&self, topic: Topic) {
        self.lag().set_doubted(topic);
        self.transfers.doubt(topic);
    }

    /// Notes that another box knows more, and says so now and then.
    fn fell_behind(&self, topic: Topic, mine: Known, theirs: Extent, from: &BoxEntry) -> Behind {
        let behind = self.lag().behind(topic, mine, theirs, Instant::now());
        if behind.is_due {
            event!(self.log, events::STATE_OUTDATED,
                "what" => topic.name(), "for_ms" => behind.lasted.as_millis(),
                "peer" => from.id.as_str(),
                "revision" => mine.revision.to_string(), "theirs" => theirs.revision.to_string());
        }
        behind
    }

    fn lag(&self) -> MutexGuard<'_, Lag> {
        self.lag.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Where to get what others have known for so long. What is arriving already comes sooner by itself. The store goes first where
    /// it is to tell this box of changes.
    fn next_source(&self, topic: Topic, behind: &Behind) -> Next {
        if self.transfers.is_under_way(topic) {
            return Next::Wait;
        }
        if topic == Topic::Operators && self.loads.hears_hub(Instant::now()) {
            return match behind.is_doubted {
                false if behind.lasted < NEWS_FIRST => Next::Wait,
                false => Next::Store,
                true if behind.lasted >= STORE_AGAIN => Next::Box,
                true => Next::Wait,
            };
        }
        let store_tells = topic == Topic::Operators && self.transfers.is_watched(topic);
        if !store_tells || behind.lasted >= STORE_AGAIN {
            return Next::Box;
        }
        match behind.lasted >= STORE_FIRST && !behind.is_doubted {
            true => Next::Store,
            false => Next::Wait,
        }
    }

    /// Another box knows stores so far.
    fn take_stores(&self, theirs: &[KeptExtent], from: &BoxEntry) {
        let lacking: Vec<SocketAddr> = {
            let mut directory = self.kept.lock();
            let lacks = |theirs: &&KeptExtent| lacks(&mut directory, theirs);
            theirs.iter().filter(lacks).map(|of| of.addr).collect()
        };
        if lacking.is_empty() || !self.begin(Asked::Stores) {
            return;
        }
        let (ear, from) = (self.clone(), from.clone());
        tokio::spawn(async move {
            ear.asker.ask_kept(&from, lacking, &ear.kept).await;
            ear.end(Asked::Stores);
        });
    }

    fn begin(&self, asked: Asked) -> bool {
        let mut asking = self.asking.lock().unwrap_or_else(|e| e.into_inner());
        asking.insert(asked)
    }

    fn end(&self, asked: Asked) {
        let mut asking = self.asking.lock().unwrap_or_else(|e| e.into_inner());
        asking.remove(&asked);
    }
}

/// Whether this box lacks something of a store that another one knows so far. A box that lags knows less although it was not asked
/// longer ago.
fn lacks(directory: &mut Directory, theirs: &KeptExtent) -> bool {
    let Some(asked) = asked_at(Some(theirs.age_ms)) else {
        return false;
    };
    let mine = directory.heard(theirs.addr);
    !directory.confirm(theirs.addr, theirs.position, asked) && mine < Some(asked)
}

/// When a store was asked that a datagram, just arrived, tells of.
fn asked_at(age_ms: Option<u64>) -> Option<Instant> {
    let age = Duration::from_millis(age_ms?) + WAY;
    Instant::now().checked_sub(age)
}

/// Whether another box knows a prefix further.
fn is_newer(mine: Known, theirs: Extent) -> bool {
    mine.confirmed.is_none() || theirs.revision > mine.revision
}
