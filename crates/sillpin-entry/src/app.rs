//! What every request needs.

use crate::arms::ArmsHandle;
use crate::keeper_link::KeeperLink;
use crate::metrics::EntryMetrics;
use crate::place::PlacerHandle;
use crate::settings::EntryConfig;
use crate::snapshot::Snapshot;
use sillpin_http::Client;
use sillpin_targets::Engine;
use sillpin_telemetry::traces::Traces;
use slog::Logger;
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// What every request needs; clones share it.
#[derive(Clone)]
pub struct App<E> {
    /// Settings.
    pub cfg: Arc<EntryConfig>,
    /// What is known of the fleet.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Places requests.
    pub placer: PlacerHandle,
    /// The keeper of this box.
    pub keeper: KeeperLink,
    /// Speaks to engines.
    pub engine: E,
    /// Speaks to plain services.
    pub client: Client,
    /// What arms measure.
    pub arms: ArmsHandle,
    /// Instruments.
    pub metrics: EntryMetrics,
    /// Spans.
    pub traces: Traces,
    /// Log.
    pub log: Logger,
    /// Cancelled when the entry stops.
    pub draining: CancellationToken,
}

impl<E: Engine> App<E> {
    /// The last snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// Whether it has an accepted bundle and does not stop.
    pub fn is_ready(&self) -> bool {
        self.snapshot.borrow().in_force.is_some() && !self.draining.is_cancelled()
    }
}
