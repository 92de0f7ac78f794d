//! Tasks that read the platform's store for the fleet task.

use super::{BoxEntry, FleetHandle, FleetMsg, Reading, Source, Topic};
use crate::peers::roles;
use rand::RngExt;
use sillpin_platform::{KvRevision, Platform, PlatformError, PlatformFault};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::time::Duration;
use tokio::time::Instant;

/// How long a watch waits. What it finds is as old as the moment it began, and other boxes lose patience
/// with knowledge older than 1.5 s; each wait costs a call.
const WATCH_WAIT: Duration = Duration::from_millis(500);

/// Least time between two calls for what operators publish.
const OPERATORS_PAUSE: Duration = Duration::from_millis(250);

/// Least time between two calls for targets' entries: heartbeats wake a watch many times a second, and
/// each answer costs a call. A leaving target may be sent requests for two seconds.
const TARGETS_PAUSE: Duration = Duration::from_millis(900);

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
    /// Log.
    pub log: Logger,
}

impl<P: Platform> Reader<P> {
    /// Reads until the process ends.
    pub async fn run(self) {
        let mut whole = true;
        let mut failures: u32 = 0;
        loop {
            if !self.is_my_turn() {
                tokio::time::sleep(TURN_CHECK).await;
                continue;
            }
            let asked = Instant::now();
            match self.read(whole).await {
                Ok(reading) => {
                    if failures > 0 {
                        event!(self.log, events::STORE_BACK,
                            "prefix" => self.prefix, "failures" => failures);
                    }
                    failures = 0;
                    whole = false;
                    let (topic, source) = (self.topic, Source::Store);
                    let msg = FleetMsg::Read {
                        topic,
                        reading,
                        asked,
                        source,
                    };
                    self.fleet.tell(msg).await;
                    tokio::time::sleep_until(asked + self.pause()).await;
                }
                Err(e) => {
                    whole = true;
                    failures += 1;
                    self.failed(&e, failures).await;
                }
            }
        }
    }

    /// Whether this box reads for its zone, or knows too little to wait for whoever does.
    fn is_my_turn(&self) -> bool {
        let view = self.fleet.view();
        let confirmed = view.known(self.topic).confirmed;
        roles::should_read(&view, &self.me, self.prefix, confirmed, Instant::now())
    }

    fn pause(&self) -> Duration {
        match self.topic {
            Topic::Operators => OPERATORS_PAUSE,
            Topic::Targets => TARGETS_PAUSE,
        }
    }

    async fn read(&self, whole: bool) -> Result<Reading, PlatformError> {
        let known = self.fleet.view().known(self.topic).revision;
        if whole || known == KvRevision::ABSENT {
            return self
                .platform
                .snapshot(self.prefix)
                .await
                .map(Reading::Whole);
        }
        let changes = self.platform.watch(self.prefix, known, WATCH_WAIT).await;
        changes.map(Reading::Changes)
    }

    async fn failed(&self, e: &PlatformError, failures: u32) {
        if failures == 1 {
            event!(self.log, events::STORE_LOST, "prefix" => self.prefix, "why" => e.to_string());
        }
        if e.fault == PlatformFault::HistoryLost {
            return;
        }
        self.fleet.tell(FleetMsg::StoreAway).await;
        tokio::time::sleep(backoff(failures)).await;
    }
}

/// The wait after so many failures in a row, with jitter, so that a returning store meets no herd.
fn backoff(failures: u32) -> Duration {
    let doubled = MIN_BACKOFF * 2u32.pow(failures.min(4));
    let most = doubled.min(MAX_BACKOFF);
    most.mul_f64(rand::rng().random_range(0.5..1.0))
}
