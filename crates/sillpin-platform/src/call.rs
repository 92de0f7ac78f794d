//! Calls of a platform's service over HTTP and JSON, whatever its paths and documents.

use crate::{PlatformError, PlatformFault};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sillpin_http::client::{Call, CallFault};
use sillpin_http::{CallError, Client, Sent};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Stands for no document.
pub const NO_BODY: Option<&()> = None;

/// Calls of a service so far, by step and outcome; clones share them.
#[derive(Debug, Clone, Default)]
pub struct CallCounts {
    counts: Arc<Mutex<BTreeMap<(&'static str, &'static str), u64>>>,
}

/// Calls of one step that ended alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallCount {
    /// What was being done.
    pub step: &'static str,
    /// How the calls ended.
    pub outcome: &'static str,
    /// How many.
    pub calls: u64,
}

impl CallCounts {
    fn count(&self, step: &'static str, outcome: &'static str) {
        let mut counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        *counts.entry((step, outcome)).or_insert(0) += 1;
    }

    /// All counts, in the order of steps.
    pub fn all(&self) -> Vec<CallCount> {
        let counts = self.counts.lock().unwrap_or_else(|e| e.into_inner());
        let count = |(&(step, outcome), &calls)| CallCount {
            step,
            outcome,
            calls,
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
    /// Longest wait for an answer, beyond what a call asks the service to wait.
    pub timeout: Duration,
    /// What each status other than 2xx means.
    pub classify: fn(StatusCode) -> PlatformFault,
    /// Counts the calls.
    pub counts: CallCounts,
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
        self.call_for(step, method, path, doc, Duration::ZERO).await
    }

    /// Calls the service, which may wait up to `wait` before it answers.
    pub async fn call_for<T: Serialize, R: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        doc: Option<&T>,
        wait: Duration,
    ) -> Result<R, PlatformError> {
        let timeout = self.timeout + wait;
        let call = Call {
            step,
            peer: self.addr,
            method,
            path,
            timeout,
        };
        // The whole answer counts, not its head alone: a body may be held up as well.
        let reply = tokio::time::timeout(timeout, self.client.call_json(call, doc)).await;
        let reply = match reply {
            Ok(reply) => reply.map_err(|e| self.fault(step, self.meaning(&e))),
            Err(_) => Err(self.fault(step, PlatformFault::AnswerLost)),
        };
        let outcome = reply
            .as_ref()
            .map_or_else(|e| e.fault.name(), |_| "answered");
        self.counts.count(step, outcome);
        reply
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
