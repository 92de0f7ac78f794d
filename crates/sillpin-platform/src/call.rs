//! Calls of a platform's service over HTTP and JSON, whatever its paths and documents.

use crate::{PlatformError, PlatformFault};
use hyper::{HeaderMap, Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sillpin_http::client::{Answer, Call, CallFault};
use sillpin_http::{CallError, Client, Sent};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Stands for no document.
pub const NO_BODY: Option<&()> = None;

/// Step and outcome of calls.
type Kind = (&'static str, &'static str);

/// Calls of a service so far, by step and outcome; clones share them.
#[derive(Debug, Clone, Default)]
pub struct CallCounts {
    counts: Arc<Mutex<BTreeMap<Kind, Tally>>>,
}

/// Calls that ended alike.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// How many.
    pub calls: u64,
    /// Bytes of their answers that arrived, those of answers that were given up midway included.
    pub bytes: u64,
}

/// Calls of one step that ended alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallCount {
    /// What was being done.
    pub step: &'static str,
    /// How the calls ended.
    pub outcome: &'static str,
    /// How many, and how much they brought.
    pub tally: Tally,
}

impl CallCounts {
    fn count(&self, step: &'static str, outcome: &'static str, bytes: u64) {
        let mut counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        let tally = counts.entry((step, outcome)).or_default();
        tally.calls += 1;
        tally.bytes += bytes;
    }

    /// All counts, in the order of steps.
    pub fn all(&self) -> Vec<CallCount> {
        let counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        let count = |(&(step, outcome), &tally)| CallCount {
            step,
            outcome,
            tally,
        };
        counts.iter().map(count).collect()
    }
}

/// Calls one service and turns what goes wrong into the platform's faults.
#[derive(Clone)]
pub struct Caller {
    /// Connections.
    pub client: Client,
    /// The service.
    pub addr: SocketAddr,
    /// Longest wait for an answer to begin, beyond what a call asks the service to wait, and for each next part of it.
    pub timeout: Duration,
    /// What each status other than 2xx means.
    pub classify: fn(StatusCode) -> PlatformFault,
    /// Counts the calls.
    pub counts: CallCounts,
}

/// Outcome of a call whose caller did not wait for its end.
const ABANDONED: &str = "abandoned";

/// Counts a call once it is over, also one that is dropped: the service has it all the same.
struct Counting<'a> {
    counts: &'a CallCounts,
    step: &'static str,
    outcome: &'static str,
    arrived: &'a AtomicU64,
}

impl Drop for Counting<'_> {
    fn drop(&mut self) {
        let bytes = self.arrived.load(Ordering::Relaxed);
        self.counts.count(self.step, self.outcome, bytes);
    }
}

/// A call that the service may answer late.
pub struct Waiting<F = fn()> {
    /// How long it may wait before it answers.
    pub wait: Duration,
    /// Called when its answer begins to arrive.
    pub arriving: F,
}

impl Waiting {
    /// The service answers at once.
    pub fn none() -> Self {
        Self {
            wait: Duration::ZERO,
            arriving: || (),
        }
    }
}

/// An answer of the service.
pub struct Answered<R> {
    /// Its headers.
    pub head: HeaderMap,
    /// Its document.
    pub doc: R,
}

impl Caller {
    /// Calls the service.
    pub async fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        doc: Option<&T>,
    ) -> Result<R, PlatformError> {
        self.call_for(step, method, path, doc, Waiting::none())
            .await
    }

    /// Calls the service, which may wait before it answers.
    pub async fn call_for<T: Serialize, R: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        doc: Option<&T>,
        waiting: Waiting<impl FnOnce() + Send>,
    ) -> Result<R, PlatformError> {
        let answered = self.answered(step, method, path, doc, waiting).await?;
        Ok(answered.doc)
    }

    /// The same for callers that read the answer's headers.
    pub async fn answered<T: Serialize, R: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        doc: Option<&T>,
        waiting: Waiting<impl FnOnce() + Send>,
    ) -> Result<Answered<R>, PlatformError> {
        let timeout = self.timeout + waiting.wait;
        let call = Call {
            step,
            peer: self.addr,
            method,
            path,
            timeout,
        };
        let arrived = AtomicU64::new(0);
        let mut counting = Counting {
            counts: &self.counts,
            step,
            outcome: ABANDONED,
            arrived: &arrived,
        };
        let reply = self.answer(call, doc, waiting.arriving, &arrived).await;
        let reply = reply.map_err(|e| self.fault(step, self.meaning(&e)));
        counting.outcome = reply
            .as_ref()
            .map_or_else(|e| e.fault.name(), |_| "answered");
        reply
    }

    async fn answer<T: Serialize, R: DeserializeOwned>(
        &self,
        call: Call<'_>,
        doc: Option<&T>,
        arriving: impl FnOnce(),
        arrived: &AtomicU64,
    ) -> Result<Answered<R>, CallError> {
        let (step, peer) = (call.step, call.peer);
        let resp = self.client.call(call, doc).await?;
        arriving();
        let head = resp.headers().clone();
        let answer = Answer {
            step,
            peer,
            silence: self.timeout,
            arrived,
        };
        let doc = answer.read_json(resp).await?;
        Ok(Answered { head, doc })
    }

    fn meaning(&self, e: &CallError) -> PlatformFault {
        match (&e.fault, e.sent) {
            (CallFault::Status { status, .. }, _) => (self.classify)(*status),
            (_, Sent::No) => PlatformFault::Unreachable,
            (_, Sent::Maybe) => PlatformFault::AnswerLost,
        }
    }

    fn fault(&self, step: &'static str, fault: PlatformFault) -> PlatformError {
        PlatformError {
            step,
            peer: self.addr,
            fault,
        }
    }
}
