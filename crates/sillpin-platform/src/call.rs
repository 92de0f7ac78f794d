//! HTTP and JSON calls of a platform's service, independent of its paths and documents.

use crate::{PlatformError, PlatformFault};
use hyper::{HeaderMap, Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sillpin_http::client::{Call, CallFault, ResponseReader};
use sillpin_http::{CallError, Client, Sent};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Request without a JSON body.
pub const NO_BODY: Option<&()> = None;

/// Step and outcome of a call.
type StepAndOutcome = (&'static str, &'static str);

/// Counts the calls of a service by step and outcome; shared by clones.
#[derive(Debug, Clone, Default)]
pub struct CallCounts {
    counts: Arc<Mutex<BTreeMap<StepAndOutcome, CallTotals>>>,
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

    /// Counts something odd in the response of a successful call, as a call of its own without bytes.
    pub fn count_oddity(&self, step: &'static str, what: &'static str) {
        self.count(step, what, 0);
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
pub struct ServiceClient {
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
struct CountOnDrop<'a> {
    counts: &'a CallCounts,
    step: &'static str,
    outcome: &'static str,
    bytes_received: &'a AtomicU64,
}

impl Drop for CountOnDrop<'_> {
    fn drop(&mut self) {
        let bytes = self.bytes_received.load(Ordering::Relaxed);
        self.counts.count(self.step, self.outcome, bytes);
    }
}

/// Options of a call whose response the service may delay.
pub struct LongPoll<F = fn()> {
    /// Longest time by which the service may delay the response.
    pub wait: Duration,
    /// Called when the response begins to arrive.
    pub on_response: F,
}

impl LongPoll {
    /// Options of a call that the service handles immediately.
    pub fn immediate() -> Self {
        Self {
            wait: Duration::ZERO,
            on_response: || (),
        }
    }
}

/// A response of the service.
pub struct ServiceResponse<R> {
    /// The response headers.
    pub head: HeaderMap,
    /// The decoded JSON document.
    pub doc: R,
}

impl ServiceClient {
    /// Calls the service and decodes its JSON response.
    pub async fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        doc: Option<&T>,
    ) -> Result<R, PlatformError> {
        self.long_poll(step, method, path, doc, LongPoll::immediate())
            .await
    }

    /// Like [`ServiceClient::call`], for a call whose response the service may delay.
    pub async fn long_poll<T: Serialize, R: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        doc: Option<&T>,
        poll: LongPoll<impl FnOnce() + Send>,
    ) -> Result<R, PlatformError> {
        let response = self
            .long_poll_with_headers(step, method, path, doc, poll)
            .await?;
        Ok(response.doc)
    }

    /// Like [`ServiceClient::long_poll`], but also returns the response headers.
    pub async fn long_poll_with_headers<T: Serialize, R: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        doc: Option<&T>,
        poll: LongPoll<impl FnOnce() + Send>,
    ) -> Result<ServiceResponse<R>, PlatformError> {
        let timeout = self.timeout + poll.wait;
        let call = Call {
            step,
            peer: self.addr,
            method,
            path,
            timeout,
        };
        let bytes_received = AtomicU64::new(0);
        let mut counting = CountOnDrop {
            counts: &self.counts,
            step,
            outcome: ABANDONED,
            bytes_received: &bytes_received,
        };
        let reply = self
            .exchange(call, doc, poll.on_response, &bytes_received)
            .await;
        let reply = reply.map_err(|e| self.fault(step, self.classify_error(&e)));
        counting.outcome = reply
            .as_ref()
            .map_or_else(|e| e.fault.name(), |_| "answered");
        reply
    }

    async fn exchange<T: Serialize, R: DeserializeOwned>(
        &self,
        call: Call<'_>,
        doc: Option<&T>,
        on_response: impl FnOnce(),
        bytes_received: &AtomicU64,
    ) -> Result<ServiceResponse<R>, CallError> {
        let (step, peer) = (call.step, call.peer);
        let resp = self.client.call(call, doc).await?;
        on_response();
        let head = resp.headers().clone();
        let reader = ResponseReader {
            step,
            peer,
            idle_timeout: self.timeout,
            bytes_received,
        };
        let doc = reader.read_json(resp).await?;
        Ok(ServiceResponse { head, doc })
    }

    fn classify_error(&self, e: &CallError) -> PlatformFault {
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
