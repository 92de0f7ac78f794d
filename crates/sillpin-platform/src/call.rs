//! HTTP and JSON calls of a platform's service, independent of its paths and documents.

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

/// Request without a JSON body.
pub const NO_BODY: Option<&()> = None;

/// Step and outcome of a call.
type Kind = (&'static str, &'static str);

/// Counts the calls of a service by step and outcome; shared by clones.
#[derive(Debug, Clone, Default)]
pub struct CallCounts {
    counts: Arc<Mutex<BTreeMap<Kind, CallTotals>>>,
}

/// Totals of the calls with the same step and outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallTotals {
    /// Number of calls.
    pub calls: u64,
    /// Bytes received in their responses, including incomplete ones.
    pub bytes: u64,
}

/// Totals of one step and outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallCount {
    /// The operation.
    pub step: &'static str,
    /// Name of the outcome.
    pub outcome: &'static str,
    /// Number of calls and bytes received.
    pub totals: CallTotals,
}

impl CallCounts {
    fn count(&self, step: &'static str, outcome: &'static str, bytes: u64) {
        let mut counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        let totals = counts.entry((step, outcome)).or_default();
        totals.calls += 1;
        totals.bytes += bytes;
    }

    /// Returns all counts, ordered by step and outcome.
    pub fn all(&self) -> Vec<CallCount> {
        let counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        let count = |(&(step, outcome), &totals)| CallCount {
            step,
            outcome,
            totals,
        };
        counts.iter().map(count).collect()
    }
}

/// Client of one service that maps errors to [`PlatformFault`] and counts its calls.
#[derive(Clone)]
pub struct Caller {
    /// HTTP client with its connections.
    pub client: Client,
    /// Address of the service.
    pub addr: SocketAddr,
    /// Longest wait for the first byte of a response, in addition to the call's own wait time, and
    /// between its parts.
    pub timeout: Duration,
    /// Maps a status other than 2xx to a fault.
    pub classify: fn(StatusCode) -> PlatformFault,
    /// Counters of the calls.
    pub counts: CallCounts,
}

/// Outcome of a call that was dropped before it ended.
const ABANDONED: &str = "abandoned";

/// Counts a call on drop, so that a call dropped before its end counts too: the service received it
/// nevertheless.
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

/// Options of a call whose response the service may delay.
pub struct Waiting<F = fn()> {
    /// Longest time by which the service may delay the response.
    pub wait: Duration,
    /// Called when the response begins to arrive.
    pub arriving: F,
}

impl Waiting {
    /// Options of a call that the service handles immediately.
    pub fn none() -> Self {
        Self {
            wait: Duration::ZERO,
            arriving: || (),
        }
    }
}

/// A response of the service.
pub struct Answered<R> {
    /// The response headers.
    pub head: HeaderMap,
    /// The decoded JSON document.
    pub doc: R,
}

impl Caller {
    /// Calls the service and decodes its JSON response.
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

    /// Like [`Caller::call`], for a call whose response the service may delay.
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

    /// Like [`Caller::call_for`], but also returns the response headers.
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
