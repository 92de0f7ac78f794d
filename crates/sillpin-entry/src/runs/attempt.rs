//! A run of one attempt at an engine.

use sillpin_core::AttemptId;
use sillpin_targets::{Engine, EngineError, EngineFault, RunEvent, RunOrder, RunStream};
use std::net::SocketAddr;
use std::time::Duration;

/// A run at an engine. Dropping it before the run has ended cancels the run there.
pub(super) struct Attempt<E: Engine> {
    engine: E,
    peer: SocketAddr,
    id: AttemptId,
    stream: Option<E::Stream>,
    idle_timeout: Duration,
    ended: bool,
}

impl<E: Engine> Attempt<E> {
    /// Sends the order to the engine and waits up to `accept_timeout` for it to be accepted.
    pub(super) async fn start(
        engine: E,
        peer: SocketAddr,
        order: &RunOrder,
        accept_timeout: Duration,
        idle_timeout: Duration,
    ) -> Result<Self, EngineError> {
        let mut attempt = Self {
            engine,
            peer,
            id: order.attempt,
            stream: None,
            idle_timeout,
            ended: false,
        };
        match attempt.engine.run(peer, order, accept_timeout).await {
            Ok(stream) => {
                attempt.stream = Some(stream);
                Ok(attempt)
            }
            Err(e) => {
                attempt.ended = e.outcome == sillpin_core::Outcome::NotRun;
                Err(e)
            }
        }
    }

    /// Returns the next event; `None` after the end mark.
    pub(super) async fn next(&mut self) -> Result<Option<RunEvent>, EngineError> {
        let Some(stream) = &mut self.stream else {
            return Ok(None);
        };
        let next = tokio::time::timeout(self.idle_timeout, stream.next()).await;
        let timed_out = EngineError {
            step: "wait for a token",
            peer: self.peer,
            fault: EngineFault::Timeout,
            outcome: sillpin_core::Outcome::Unknown,
        };
        let next = next.unwrap_or(Err(timed_out));
        if let Ok(Some(RunEvent::End { .. })) = next {
            self.ended = true;
        }
        next
    }

    /// Resumes the response of the same engine at token `cursor`.
    pub(super) async fn resume(
        &mut self,
        cursor: u32,
        accept_timeout: Duration,
    ) -> Result<(), EngineError> {
        self.stream = None;
        let resumed = self
            .engine
            .resume(self.peer, self.id, cursor, accept_timeout)
            .await;
        self.stream = Some(resumed?);
        Ok(())
    }
}

impl<E: Engine> Drop for Attempt<E> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (engine, peer, id) = (self.engine.clone(), self.peer, self.id);
        tokio::spawn(async move {
            let _ = engine.cancel(peer, id).await;
        });
    }
}
