//! What is watched while a request or stream waits for a target.

use crate::placement::reach_watch::PathWaitGuard;
use crate::placement::silence_watch::EngineWait;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the finding that an engine is silent until it is given up: an engine that is sound may send nothing for a
/// second or so and go on.
const SILENCE_GRACE: Duration = Duration::from_millis(1_200);

/// What a wait for a target has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitEnd {
    /// The engine was found silent, or the path to the target lost. It may be sound and go on.
    Doubted,
    /// The engine has been silent for longer than a sound one.
    Lost,
}

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
    /// The last silence that was found while it waited.
    found: Option<FoundSilence>,
}

impl TargetWait {
    /// Begins to wait.
    pub fn new(engine: EngineWait, path: PathWaitGuard) -> Self {
        Self {
            engine,
            path,
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

    /// Waits until the target is doubted, or until it is lost if it `is_doubted` already.
    pub async fn end(&mut self, is_doubted: bool) -> WaitEnd {
        match is_doubted {
            false => self.doubted().await,
            true => self.lost().await,
        }
    }

    async fn doubted(&mut self) -> WaitEnd {
        tokio::select! {
            number = self.engine.silent() => {
                let at = Instant::now();
                self.found = Some(FoundSilence { number, at });
            }
            () = self.path.lost() => {}
        }
        WaitEnd::Doubted
    }

    /// The time of a sound silence counts anew for each silence of the engine, although nothing may arrive for this wait
    /// between two of them.
    async fn lost(&mut self) -> WaitEnd {
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
                return WaitEnd::Lost;
            }
        }
    }
}
