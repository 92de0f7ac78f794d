//! Asks other boxes for what they know.

use super::handout::{Handout, TransferId};
use super::link::{BoxLinkClient, Copy, KeptContent, KeptCopy};
use super::wire::FleetKey;
use crate::beliefs::transfers::Transfers;
use crate::beliefs::{BoxEntry, FleetHandle, FleetMsg, Reading, Source, Topic};
use crate::control::{KeptList, KeptNews};
use crate::kept::Kept;
use crate::kept::directory::Position;
use crate::metrics::BoxMetrics;
use derive_more::{Display, Error, From};
use serde::de::DeserializeOwned;
use sillpin_platform::KvRevision;
use sillpin_rpc::transport;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::client::{self, RpcError};
use tarpc::context::Context;
use tokio::time::Instant;

/// Longest wait for a connection and for each piece. A piece takes 0.1 s of a link of 10 Mbit/s that another transfer shares; a limit on
/// the whole document would be one on its size, and kept boxes on an old configuration for good.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest document that is taken: some times the longest value of the platform's store.
const MAX_DOCUMENT: u64 = 8 << 20;

/// Rest after a box was busy: others hand out the document in the meantime.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Asks other boxes for what they know.
#[derive(Clone)]
pub struct Asker {
    /// The fleet, which the asked box must be of.
    pub fleet_key: FleetKey,
    /// What is on its way to this box.
    pub transfers: Transfers,
    /// Counts copies.
    pub metrics: BoxMetrics,
    /// Log.
    pub log: Logger,
}

/// Why a copy did not come whole.
#[derive(Debug, Display, Error, From)]
enum CopyFault {
    #[display("cannot connect: {_0}")]
    Connect(io::Error),
    #[display("no answer in time")]
    Silent,
    #[display("{_0}")]
    Call(RpcError),
    #[display("a document of {_0} bytes")]
    #[from(skip)]
    TooLong(#[error(not(source))] u64),
    #[display("it is not handed out any more")]
    Withdrawn,
    #[display("unreadable: {_0}")]
    Unreadable(bincode::Error),
    #[display("copy is older than this box's clock")]
    TooOld,
}

/// A copy that is being asked of a box.
struct Copying<'a> {
    asker: &'a Asker,
    from: &'a BoxEntry,
    what: &'static str,
    /// The prefix, if it is one.
    topic: Option<Topic>,
    began: Instant,
    arrived: u64,
}

impl Asker {
    /// Asks a box for what it knows of a prefix beyond `after` and hands it to the fleet task.
    pub async fn ask_copy(
        &self,
        from: &BoxEntry,
        topic: Topic,
        after: KvRevision,
        fleet: &FleetHandle,
    ) {
        let mut copying = self.begin(from, topic.name(), Some(topic));
        let key = self.fleet_key;
        let call =
            |client: BoxLinkClient| async move { client.copy(within(), key, topic, after).await };
        let copy: Option<(Copy, Instant)> = copying.take(call, |copy: &Copy| copy.age_ms).await;
        let Some((copy, asked)) = copy else {
            return;
        };
        let msg = FleetMsg::Read {
            topic,
            reading: Reading::Copied(copy.copied),
            asked,
            source: Source::Peer(from.id.clone()),
        };
        fleet.tell(msg).await;
    }

    /// Asks a box for what it knows of some stores and takes it over. One call for all: a box that lags lacks changes of dozens.
    pub async fn ask_kept(&self, from: &BoxEntry, stores: Vec<SocketAddr>, kept: &Kept) {
        let mut copying = self.begin(from, "kept parts", None);
        let reached: HashMap<SocketAddr, Option<Position>> = {
            let directory = kept.lock();
            let reached = stores.iter();
            reached
                .map(|store| (*store, directory.position(*store)))
                .collect()
        };
        let wanted: Vec<(SocketAddr, Option<Position>)> = reached
            .iter()
            .map(|(store, after)| (*store, *after))
            .collect();
        let key = self.fleet_key;
        let call = |client: BoxLinkClient| async move { client.kept(within(), key, wanted).await };
        let copies = copying.take(call, |_: &Vec<KeptCopy>| 0).await;
        let Some((copies, began)) = copies else {
            return;
        };
        for copy in copies {
            let after = reached.get(&copy.store).copied().flatten();
            if let Some(asked) = began.checked_sub(Duration::from_millis(copy.age_ms)) {
                take_kept(copy, after, asked, kept);
            }
        }
    }

    fn begin<'a>(
        &'a self,
        from: &'a BoxEntry,
        what: &'static str,
        topic: Option<Topic>,
    ) -> Copying<'a> {
        Copying {
            asker: self,
            from,
            what,
            topic,
            began: Instant::now(),
            arrived: 0,
        }
    }
}

impl Copying<'_> {
    /// Asks, draws the whole document and says how it went: the document, and when the store was asked that it tells of.
    async fn take<T, F>(
        &mut self,
        call: impl FnOnce(BoxLinkClient) -> F,
        age_ms: impl FnOnce(&T) -> u64,
    ) -> Option<(T, Instant)>
    where
        T: DeserializeOwned,
        F: Future<Output = Result<Handout, RpcError>>,
    {
        let drawn = self.draw(call).await;
        let taken = drawn.and_then(|document| match document {
            Some(document) => self.read(&document, age_ms).map(Some),
            None => Ok(None),
        });
        match taken {
            Ok(Some(copy)) => {
                self.copied();
                Some(copy)
            }
            Ok(None) => None,
            Err(e) => {
                self.failed(&e);
                None
            }
        }
    }

    /// The document piece by piece; `None` if there is none, or not now.
    async fn draw<F>(
        &mut self,
        call: impl FnOnce(BoxLinkClient) -> F,
    ) -> Result<Option<Vec<u8>>, CopyFault>
    where
        F: Future<Output = Result<Handout, RpcError>>,
    {
        let tcp = transport::connect(self.from.peers).await?;
        let client = BoxLinkClient::new(client::Config::default(), tcp).spawn();
        match in_time(call(client.clone())).await? {
            Handout::Nothing => Ok(None),
            Handout::Busy => {
                self.asker.metrics.copied(self.what, "busy", 0);
                tokio::time::sleep(BUSY_PAUSE).await;
                Ok(None)
            }
            Handout::Whole(document) => {
                self.arrived = document.len() as u64;
                Ok(Some(document))
            }
            Handout::Begun {
                transfer,
                len,
                piece,
            } => self
                .draw_rest(&client, transfer, len, piece)
                .await
                .map(Some),
        }
    }

    async fn draw_rest(
        &mut self,
        client: &BoxLinkClient,
        transfer: TransferId,
        len: u64,
        mut document: Vec<u8>,
    ) -> Result<Vec<u8>, CopyFault> {
        if len > MAX_DOCUMENT {
            return Err(CopyFault::TooLong(len));
        }
        let _under_way = self.topic.map(|topic| self.asker.transfers.begin(topic));
        self.arrived = document.len() as u64;
        while self.arrived < len {
            let piece = in_time(client.more(within(), transfer, self.arrived)).await?;
            let piece = piece.filter(|piece| !piece.is_empty());
            document.extend(piece.ok_or(CopyFault::Withdrawn)?);
            self.arrived = document.len() as u64;
        }
        Ok(document)
    }

    fn read<T: DeserializeOwned>(
        &self,
        document: &[u8],
        age_ms: impl FnOnce(&T) -> u64,
    ) -> Result<(T, Instant), CopyFault> {
        let copy: T = bincode::deserialize(document)?;
        let age = Duration::from_millis(age_ms(&copy));
        let asked = self.began.checked_sub(age).ok_or(CopyFault::TooOld)?;
        Ok((copy, asked))
    }

    fn copied(&self) {
        self.asker.metrics.copied(self.what, "whole", self.arrived);
        event!(self.asker.log, events::STATE_COPIED,
            "peer" => self.from.id.as_str(), "what" => self.what,
            "elapsed_ms" => self.began.elapsed().as_millis(), "bytes" => self.arrived);
    }

    fn failed(&self, e: &CopyFault) {
        let metrics = &self.asker.metrics;
        metrics.copied(self.what, "given-up", self.arrived);
        event!(self.asker.log, events::PEER_FAILED,
            "peer" => self.from.id.as_str(), "why" => e.to_string(), "what" => self.what,
            "elapsed_ms" => self.began.elapsed().as_millis(), "bytes" => self.arrived);
    }
}

/// Takes over what another box knows of a store beyond what was known when it was asked.
fn take_kept(copy: KeptCopy, after: Option<Position>, asked: Instant, kept: &Kept) {
    let KeptCopy {
        store,
        position: Position { epoch, next },
        content,
        ..
    } = copy;
    let mut directory = kept.lock();
    match content {
        KeptContent::Whole(whole) => {
            let partial = Vec::new();
            let list = KeptList {
                epoch,
                next,
                whole,
                partial,
            };
            directory.take_list(store, list, asked);
        }
        KeptContent::Changes(changes) => {
            let since = after.map_or(next, |after| after.next);
            // The box may have learned of a later life of the store meanwhile.
            if !directory.follows(store, Position { epoch, next: since }) {
                return;
            }
            let news = KeptNews {
                epoch,
                next,
                lost: false,
                changes,
                clock: None,
            };
            directory.take_news(store, since, news, asked, asked);
        }
    }
}

/// The answer of a call, if it comes in time.
async fn in_time<T>(call: impl Future<Output = Result<T, RpcError>>) -> Result<T, CopyFault> {
    let reply = tokio::time::timeout(PIECE_TIMEOUT, call).await;
    Ok(reply.map_err(|_| CopyFault::Silent)??)
}

fn within() -> Context {
    transport::within(PIECE_TIMEOUT)
}
