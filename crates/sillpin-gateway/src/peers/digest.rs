//! Datagrams between boxes.

use super::link;
use crate::beliefs::{BoxEntry, FleetHandle, FleetMsg, Known, Topic, View};
use crate::kept::Kept;
use crate::kept::retire::Retired;
use crate::place::Loads;
use crate::place::load::{Outcome, PromptWork};
use crate::reload::Settings;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use sillpin_core::{ModelId, TargetId, WeightVersion};
use sillpin_platform::KvRevision;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time between two rounds. A change reaches a box that the store turns away within a few rounds; the
/// platform allows two seconds for a configuration.
const ROUND: Duration = Duration::from_millis(400);

/// Boxes told in each round: all of a small fleet. In a large one a change that half of the boxes
/// know reaches the rest in two or three rounds.
const FAN_OUT: usize = 6;

/// Wait after the socket reported an error: it may report the same one again at once.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Longest datagram read: 60 engines' work takes about 1,500 bytes.
const MAX_DATAGRAM: usize = 8_192;

/// Knowledge confirmed this recently needs no help from others.
const FRESH: Duration = Duration::from_millis(1_300);

/// How far a box knows a prefix.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Extent {
    /// Revision up to which nothing is missing.
    pub revision: KvRevision,
    /// Since somebody asked the store and found this, in milliseconds.
    pub age_ms: Option<u64>,
}

/// What a box says of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Digest {
    /// The box.
    pub from: BoxEntry,
    /// How far it knows what operators publish.
    pub operators: Extent,
    /// How far it knows the targets.
    pub targets: Extent,
    /// Its prompt work at engines.
    pub work: Vec<PromptWork>,
    /// Which parts it uses no more.
    pub retired: Vec<Retired>,
    /// Whether it is about to end.
    pub stopping: bool,
}

/// A datagram between boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Datagram {
    /// How far a box knows what is published; sent in each round.
    Digest(Digest),
    /// What the holder of the weights duty does to an engine; sent at once to all.
    Loading(LoadNews),
}

/// What becomes of an engine that gets new weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadNews {
    /// The engine.
    pub target: TargetId,
    /// The model.
    pub model: ModelId,
    /// The weights.
    pub version: WeightVersion,
    /// Whether it serves them now; otherwise it takes no requests for a while.
    pub done: bool,
}

/// Sends and hears digests.
pub struct Gossip {
    /// This box.
    pub me: BoxEntry,
    /// Settings; they name boxes to tell when none is known.
    pub settings: Settings,
    /// What the box knows.
    pub fleet: FleetHandle,
    /// Loads of targets, told of engines that get new weights.
    pub loads: Loads,
    /// What is known of kept parts, told which of them other boxes use no more.
    pub kept: Kept,
    /// News of this box's own orders, for all boxes.
    pub news: mpsc::Receiver<LoadNews>,
    /// Cancelled when the box is about to end.
    pub stopping: CancellationToken,
    /// Log.
    pub log: Logger,
}

impl Gossip {
    /// Runs until the process ends.
    pub async fn run(self, socket: UdpSocket) {
        let socket = Arc::new(socket);
        let ear = Ear {
            fleet: self.fleet.clone(),
            loads: self.loads.clone(),
            kept: self.kept.clone(),
            asking: Arc::default(),
            log: self.log.clone(),
        };
        tokio::spawn(ear.hear(socket.clone()));
        self.speak(&socket).await;
    }

    async fn speak(mut self, socket: &UdpSocket) {
        let mut rounds = tokio::time::interval(ROUND);
        loop {
            tokio::select! {
                _ = rounds.tick() => {
                    let view = self.fleet.view();
                    self.kept.retirements().update(&view, Instant::now());
                    let digest = Datagram::Digest(self.digest(&view));
                    self.send(socket, &digest, self.audience(&view)).await;
                }
                Some(news) = self.news.recv() => {
                    let all = self.fleet.view().boxes.iter().map(|peer| peer.gossip).collect();
                    self.send(socket, &Datagram::Loading(news), all).await;
                }
            }
        }
    }

    async fn send(&self, socket: &UdpSocket, datagram: &Datagram, to: Vec<SocketAddr>) {
        let buf = match serde_json::to_vec(datagram) {
            Ok(buf) => buf,
            Err(e) => {
                event!(self.log, events::GOSSIP_FAILED, "why" => e.to_string());
                return;
            }
        };
        for peer in to {
            // A datagram that cannot be sent is lost like any other; the next round follows.
            let _ = socket.send_to(&buf, peer).await;
        }
    }

    fn digest(&self, view: &View) -> Digest {
        Digest {
            from: self.me.clone(),
            operators: extent(view.operators),
            targets: extent(view.listed),
            work: self.loads.told(),
            retired: self.kept.retirements().told(),
            stopping: self.stopping.is_cancelled(),
        }
    }

    fn audience(&self, view: &View) -> Vec<SocketAddr> {
        if view.boxes.is_empty() {
            let ports = self.me.gossip.port();
            let cfg = self.settings.borrow();
            let seeds = cfg
                .seeds
                .iter()
                .map(|seed| SocketAddr::new(seed.ip(), ports));
            return seeds.filter(|seed| *seed != self.me.gossip).collect();
        }
        let picked = view.boxes.sample(&mut rand::rng(), FAN_OUT);
        picked.map(|peer| peer.gossip).collect()
    }
}

/// Hears what other boxes say.
struct Ear {
    fleet: FleetHandle,
    loads: Loads,
    kept: Kept,
    asking: Asking,
    log: Logger,
}

impl Ear {
    async fn hear(self, socket: Arc<UdpSocket>) {
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
            match serde_json::from_slice::<Datagram>(&buf[..len]) {
                Ok(Datagram::Digest(digest)) => self.take(digest).await,
                Ok(Datagram::Loading(news)) => self.take_news(news).await,
                Err(e) => event!(self.log, events::GOSSIP_FAILED, "why" => e.to_string()),
            }
        }
    }

    async fn take_news(&self, news: LoadNews) {
        if !news.done {
            self.loads.note(&news.target, Outcome::Loading);
            return;
        }
        self.loads.note(&news.target, Outcome::Loaded);
        self.fleet
            .tell(FleetMsg::Serves {
                target: news.target,
                model: news.model,
                version: news.version,
            })
            .await;
    }

    async fn take(&self, digest: Digest) {
        let known = self.fleet.view();
        if digest.stopping {
            self.fleet.tell(FleetMsg::Stopping(digest.from.id)).await;
            return;
        }
        let from = digest.from.id.clone();
        self.loads.hear(from.clone(), digest.work);
        let silence = digest.targets.age_ms.map(Duration::from_millis);
        let silence = silence.unwrap_or(Duration::MAX);
        let now = Instant::now();
        self.kept
            .retirements()
            .hear(from, digest.retired, silence, now);
        self.fleet.tell(FleetMsg::Heard(digest.from.clone())).await;
        let extents = [
            (Topic::Operators, digest.operators),
            (Topic::Targets, digest.targets),
        ];
        for (topic, theirs) in extents {
            if !is_needed(known.known(topic), theirs, Instant::now()) {
                continue;
            }
            if !self
                .asking
                .lock()
                .unwrap_or_else(|e| e.into_inner())
                .insert(topic)
            {
                continue;
            }
            let (fleet, log) = (self.fleet.clone(), self.log.clone());
            let (from, asking) = (digest.from.clone(), self.asking.clone());
            tokio::spawn(async move {
                link::ask_copy(&from, topic, &fleet, &log).await;
                asking
                    .lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .remove(&topic);
            });
        }
    }
}

/// Prefixes that are being asked for, so that many digests cause one call.
type Asking = Arc<std::sync::Mutex<HashSet<Topic>>>;

fn extent(known: Known) -> Extent {
    let age = known.confirmed.map(|at| at.elapsed());
    Extent {
        revision: known.revision,
        age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
    }
}

/// Whether to ask for what another box knows: it is newer, and this box hears nothing itself.
fn is_needed(mine: Known, theirs: Extent, now: Instant) -> bool {
    let fresh = mine.confirmed.is_some_and(|at| now - at < FRESH);
    let theirs_fresh = theirs.age_ms.is_some_and(|ms| {
        let mine = mine.confirmed.map(|at| (now - at).as_millis());
        mine.is_none_or(|mine| u128::from(ms) < mine)
    });
    !fresh && (theirs.revision > mine.revision || theirs_fresh)
}
