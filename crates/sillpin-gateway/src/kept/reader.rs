//! Tasks that read the stores' events, one for each store of the configuration.

use super::Kept;
use crate::beliefs::{BoxEntry, FleetHandle};
use crate::config::StoreSpec;
use crate::control::{Control, ControlError};
use crate::peers::datagram::KeptWord;
use crate::peers::roles;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// How long a reading waits for changes. What it finds is as old as the moment it began, and other boxes lose
/// patience with knowledge older than 1.5 s; waits below 200 ms cost as much as a probe.
const NEWS_WAIT: Duration = Duration::from_millis(500);

/// Least time between two readings.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// Wait after a failed reading.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// What readers of stores use.
pub struct Readers<C> {
    /// Calls of stores.
    pub control: C,
    /// This box.
    pub me: BoxEntry,
    /// Who is told.
    pub kept: Kept,
    /// What is known of the fleet.
    pub fleet: FleetHandle,
    /// News for the boxes of the zone.
    pub news: mpsc::Sender<KeptWord>,
    /// Log.
    pub log: Logger,
}

/// Starts and ends readers as the configuration names stores.
pub async fn run<C: Control>(readers: Readers<C>) {
    let Readers {
        control,
        me,
        kept,
        fleet,
        news,
        log,
    } = readers;
    let mut view = fleet.subscribe();
    let mut readers: HashMap<SocketAddr, AbortHandle> = HashMap::new();
    loop {
        let config = view.borrow_and_update().config.clone();
        let stores: &[StoreSpec] = config.as_ref().map_or(&[], |config| &config.stores);
        readers.retain(|addr, reader| {
            let named = stores.iter().any(|store| store.addr == *addr);
            if !named {
                reader.abort();
                kept.lock().forget(*addr);
            }
            named
        });
        for store in stores {
            readers.entry(store.addr).or_insert_with(|| {
                kept.lock().follow(store.addr, Instant::now());
                let reader = StoreReader {
                    control: control.clone(),
                    addr: store.addr,
                    me: me.clone(),
                    fleet: fleet.clone(),
                    news: news.clone(),
                    kept: kept.clone(),
                    log: log.clone(),
                };
                tokio::spawn(reader.run()).abort_handle()
            });
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

struct StoreReader<C> {
    control: C,
    addr: SocketAddr,
    me: BoxEntry,
    fleet: FleetHandle,
    news: mpsc::Sender<KeptWord>,
    kept: Kept,
    log: Logger,
}

impl<C: Control> StoreReader<C> {
    async fn run(self) {
        let mut reachable = true;
        loop {
            if !self.is_my_turn() {
                tokio::time::sleep(READ_PAUSE).await;
                continue;
            }
            let asked = Instant::now();
            match self.read(asked).await {
                Ok(()) => {
                    if !reachable {
                        event!(self.log, events::KEPT_STORE_BACK, "store" => self.addr.to_string());
                    }
                    reachable = true;
                    tokio::time::sleep_until(asked + READ_PAUSE).await;
                }
                Err(e) => {
                    self.kept.lock().forget(self.addr);
                    if reachable {
                        event!(self.log, events::KEPT_STORE_LOST,
                            "store" => self.addr.to_string(), "why" => &e.what);
                    }
                    reachable = false;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Whether this box reads for its zone, or knows too little to wait for whoever does.
    fn is_my_turn(&self) -> bool {
        let view = self.fleet.view();
        let heard = self.kept.lock().heard(self.addr);
        roles::should_read(
            &view,
            &self.me,
            &self.addr.to_string(),
            heard,
            Instant::now(),
        )
    }

    async fn read(&self, asked: Instant) -> Result<(), ControlError> {
        let position = self.kept.lock().position(self.addr);
        let Some(position) = position else {
            let list = self.control.kept_list(self.addr).await?;
            event!(self.log, events::KEPT_STORE_LISTED, "store" => self.addr.to_string(),
                "epoch" => list.epoch, "whole" => list.whole.len(), "partial" => list.partial.len());
            self.kept.lock().take_list(self.addr, list, asked);
            return Ok(());
        };
        let news = self
            .control
            .kept_news(self.addr, position.next, NEWS_WAIT)
            .await?;
        let (epoch, lost) = (news.epoch, news.lost);
        if !news.changes.is_empty() && !lost {
            let word = KeptWord {
                addr: self.addr,
                since: position.next,
                epoch,
                next: news.next,
                changes: news.changes.clone(),
            };
            // Boxes that miss it see in a digest that they lack something.
            let _ = self.news.try_send(word);
        }
        if !self
            .kept
            .lock()
            .take_news(self.addr, position.next, news, asked, Instant::now())
        {
            event!(self.log, events::KEPT_STORE_GAP, "store" => self.addr.to_string(),
                "epoch_before" => position.epoch, "epoch" => epoch, "lost" => lost);
        }
        Ok(())
    }
}
