//! What is watched while a request or stream waits for a target.

use crate::placement::reach_watch::PathWaitGuard;
use crate::placement::silence_watch::EngineWait;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the finding that an engine is silent until what cannot run elsewhere is ended: an engine that is sound may
/// send nothing for a second or so and go on.
const SILENCE_GRACE: Duration = Duration::from_millis(1_200);

/// A silence of an engine.
#[derive(Debug, Clone, Copy)]
struct FoundSilence {
    number: u64,
    at: Instant,
}

/// A request or stream that waits for a target.
pub struct TargetWait {
    engine: EngineWait,
    path: PathWaitGuard,
    /// Whether the request may run elsewhere.
    may_rerun: bool,
    /// The last silence that was found while it waited.
    found: Option<FoundSilence>,
}

impl TargetWait {
    /// Begins to wait.
    pub fn new(engine: EngineWait, path: PathWaitGuard, may_rerun: bool) -> Self {
        Self {
            engine,
            path,
            may_rerun,
            found: None,
        }
    }

    /// Records that something arrived.
    pub fn heard(&mut self) {
        self.found = None;
        self.engine.heard();
        self.path.heard();
    }

    /// Records that nothing is expected until [`TargetWait::resume`].
    pub fn pause(&self) {
        self.engine.pause();
    }

    /// Records that more is expected from now on.
    pub fn resume(&self) {
        self.engine.resume();
    }

    /// Waits until the target is given up. A request that may run elsewhere gives it up as soon as the engine is found
    /// silent, or the path to it lost; any other one waits to see whether the engine goes on. That time counts anew for
    /// each silence of the engine, although nothing may arrive for this wait between two of them.
    pub async fn lost(&mut self) {
        if self.may_rerun {
            tokio::select! {
                _ = self.engine.silent() => {}
                () = self.path.lost() => {}
            }
            return;
        }
        loop {
            let number = self.engine.silent().await;
            let known = self.found.filter(|found| found.number == number);
            let found = known.unwrap_or(FoundSilence {
                number,
                at: Instant::now(),
            });
            self.found = Some(found);
            tokio::time::sleep_until(found.at + SILENCE_GRACE).await;
            if self.engine.found_silence() == Some(number) {
                return;
            }
        }
    }
}
