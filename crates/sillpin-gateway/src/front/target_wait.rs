//! What is watched while a request or stream waits for a target.

use crate::placement::reach_watch::PathWaitGuard;
use crate::placement::silence_watch::EngineWait;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the finding that an engine is silent until what cannot run elsewhere is ended: an engine that is sound may
/// send nothing for a second or so and go on.
const SILENCE_GRACE: Duration = Duration::from_millis(1_200);

/// A request or stream that waits for a target.
pub struct TargetWait {
    engine: EngineWait,
    path: PathWaitGuard,
    /// Whether the request may run elsewhere.
    may_rerun: bool,
    /// When the engine was found silent, if nothing has arrived since.
    found_silent: Option<Instant>,
}

impl TargetWait {
    /// Begins to wait.
    pub fn new(engine: EngineWait, path: PathWaitGuard, may_rerun: bool) -> Self {
        Self {
            engine,
            path,
            may_rerun,
            found_silent: None,
        }
    }

    /// Records that something arrived.
    pub fn heard(&mut self) {
        self.found_silent = None;
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
    /// silent, or the path to it lost; any other one waits to see whether the engine goes on.
    pub async fn lost(&mut self) {
        if self.may_rerun {
            tokio::select! {
                () = self.engine.lost() => {}
                () = self.path.lost() => {}
            }
            return;
        }
        loop {
            self.engine.lost().await;
            let found_silent = *self.found_silent.get_or_insert_with(Instant::now);
            tokio::time::sleep_until(found_silent + SILENCE_GRACE).await;
            if self.engine.is_lost() {
                return;
            }
            self.found_silent = None;
        }
    }
}
