//! Reloads settings while the box runs.
//!
//! Settings are read again at each SIGHUP and periodically, since the file may change without a signal. Seeds and
//! limits on retries take effect immediately; settings that name a listener take effect at the next start.

use crate::settings::BoxConfig;
use sillpin_settings::program::Reloader;
use sillpin_settings::{Faults, Loaded};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// Interval of reads without a signal.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Keys that take effect immediately.
const LIVE_KEYS: [&str; 3] = [
    "platform.seeds",
    "promises.retry-share",
    "promises.retry-slack",
];

/// The settings in force.
pub type Settings = watch::Receiver<BoxConfig>;

/// Starts the task that reloads the settings.
pub fn start(
    loaded: Loaded,
    reloader: Reloader,
    cfg: &BoxConfig,
    hangups: Signal,
    log: Logger,
) -> Settings {
    let (tx, rx) = watch::channel(cfg.clone());
    let task = Task {
        loaded,
        reloader,
        tx,
        refused: None,
        log,
    };
    tokio::spawn(task.run(hangups));
    rx
}

struct Task {
    loaded: Loaded,
    reloader: Reloader,
    tx: watch::Sender<BoxConfig>,
    /// Errors that were logged last, so that a bad file is not logged at each read.
    refused: Option<Faults>,
    log: Logger,
}

impl Task {
    async fn run(mut self, mut hangups: Signal) {
        loop {
            let signalled = tokio::select! {
                _ = hangups.recv() => true,
                () = tokio::time::sleep(READ_INTERVAL) => false,
            };
            match self.reloader.read() {
                Ok(loaded) => self.take(loaded, signalled),
                Err(faults) => self.refuse(faults),
            }
        }
    }

    fn take(&mut self, loaded: Loaded, signalled: bool) {
        self.refused = None;
        let changed = loaded.changed_since(&self.loaded);
        if changed.is_empty() && !signalled {
            return;
        }
        match BoxConfig::from_loaded(&loaded) {
            Ok(cfg) => {
                let live = |key: &&String| LIVE_KEYS.contains(&key.as_str());
                let waiting: Vec<&str> = changed
                    .iter()
                    .filter(|key| !live(key))
                    .map(String::as_str)
                    .collect();
                event!(self.log, events::SETTINGS_RELOADED, "signalled" => signalled,
                    "changed" => changed.join(","), "waiting" => waiting.join(","));
                self.tx.send_replace(cfg);
                self.loaded = loaded;
            }
            Err(faults) => self.refuse(faults),
        }
    }

    fn refuse(&mut self, faults: Faults) {
        if self.refused.as_ref() == Some(&faults) {
            return;
        }
        event!(self.log, events::SETTINGS_REFUSED, "why" => faults.to_string());
        self.refused = Some(faults);
    }
}
