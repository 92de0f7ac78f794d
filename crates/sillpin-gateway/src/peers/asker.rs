//! Fetches copies of data from other boxes.

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

/// Longest wait for a connection and for each piece. A piece takes 0.1 s on a link of 10 Mbit/s
/// that another transfer shares. A limit for the whole document would limit its size, and left
/// boxes on an old configuration permanently.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest document accepted, in bytes: several times the longest value of the platform store.
const MAX_DOCUMENT: u64 = 8 << 20;

/// Wait after a box replied that it is busy. Other boxes get the document and can serve it
/// meanwhile.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Fetches copies of data from other boxes.
#[derive(Clone)]
pub struct Asker {
    /// Key of the fleet, which the other box must share.
    pub fleet_key: FleetKey,
    /// Transfers to this box in progress.
    pub transfers: Transfers,
    /// Counts copies.
    pub metrics: BoxMetrics,
    /// Log.
    pub log: Logger,
}

/// Why a copy could not be fetched completely.
#[derive(Debug, Display, Error, From)]
enum CopyFault {
    #[display("cannot connect: {_0}")]
    Connect(io::Error),
    #[display("no reply within the time limit")]
    Silent,
    #[display("{_0}")]
    Call(RpcError),
    #[display("document of {_0} bytes exceeds the limit")]
    #[from(skip)]
    TooLong(#[error(not(source))] u64),
    #[display("the sender has dropped the transfer")]
    Withdrawn,
    #[display("cannot decode the document: {_0}")]
    Unreadable(bincode::Error),
    #[display("the age of the copy exceeds the uptime of this machine's clock")]
    TooOld,
}

/// A copy being fetched from another box.
struct Copying<'a> {
    asker: &'a Asker,
    from: &'a BoxEntry,
    what: &'static str,
    /// The prefix that is copied; `None` for stored parts.
    topic: Option<Topic>,
    began: Instant,
    arrived: u64,
}

impl Asker {
    /// Fetches what a box knows of a prefix beyond `after` and passes it to the fleet task.
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

    /// Fetches what a box knows of some stores and applies it. One call covers all of them, because
    /// a box that lags lacks changes of dozens of stores.
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
    /// Sends the call, fetches the complete document and logs the result. Returns the document and
    /// when the store was queried for its content.
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

    /// Fetches the document in pieces. Returns `None` if the box has none, or is busy.
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
        event!(self.asker.log, events::COPIED,
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

/// Applies what another box knows of a store beyond `after`, the position known here when the call
/// was sent.
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
            // The directory may have moved to a later incarnation of the store since the call was
            // sent.
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

/// Waits for the result of a call, at most [`PIECE_TIMEOUT`].
async fn in_time<T>(call: impl Future<Output = Result<T, RpcError>>) -> Result<T, CopyFault> {
    let reply = tokio::time::timeout(PIECE_TIMEOUT, call).await;
    Ok(reply.map_err(|_| CopyFault::Silent)??)
}

fn within() -> Context {
    transport::within(PIECE_TIMEOUT)
}
