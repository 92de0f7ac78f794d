//! The state that all requests share.

use crate::arms::ArmsHandle;
use crate::keeper_link::KeeperLink;
use crate::metrics::EntryMetrics;
use crate::placement::PlacerHandle;
use crate::settings::EntryConfig;
use crate::snapshot::Snapshot;
use sillpin_http::Client;
use sillpin_targets::Engine;
use sillpin_telemetry::traces::Traces;
use slog::Logger;
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// State shared by all requests; clones refer to the same state.
#[derive(Clone)]
pub struct App<E> {
    /// Settings.
    pub cfg: Arc<EntryConfig>,
    /// Latest snapshot of the fleet.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Chooses an engine for each request.
    pub placer: PlacerHandle,
    /// Connection to the keeper of this box.
    pub keeper: KeeperLink,
    /// Client for engines.
    pub engine: E,
    /// Client for plain services.
    pub client: Client,
    /// Receives the measurements for rollout arms.
    pub arms: ArmsHandle,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// Creates spans.
    pub traces: Traces,
    /// Logger.
    pub log: Logger,
    /// Cancelled when the entry begins to stop.
    pub draining: CancellationToken,
}

impl<E: Engine> App<E> {
    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// Returns whether a bundle is in force and the entry is not stopping.
    pub fn is_ready(&self) -> bool {
        self.snapshot.borrow().in_force.is_some() && !self.draining.is_cancelled()
    }
}
