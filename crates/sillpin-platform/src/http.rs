//! The platform's service over HTTP and JSON.

use crate::{
    BoxLister, KvEntry, KvRevision, LeaseId, Platform, PlatformError, PlatformFault, WatchReply,
};
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sillpin_core::target::BoxList;
use sillpin_http::client::{Call, CallFault};
use sillpin_http::{CallError, Client, Sent};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for an answer, beyond what a watch asks to wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Body of a write.
#[derive(Debug, Serialize, Deserialize)]
pub struct PutBody {
    /// The new value.
    pub value: String,
    /// The revision the key must have.
    pub expect: KvRevision,
    /// The lease the key lives under.
    pub lease: Option<LeaseId>,
}

/// Body of a request for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}

/// Client of the platform's service.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    addr: SocketAddr,
}

impl HttpPlatform {
    /// A client of the service at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    async fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        doc: Option<&T>,
    ) -> Result<R, PlatformError> {
        self.call_for(step, method, path, doc, CALL_TIMEOUT).await
    }

    async fn call_for<T: Serialize, R: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        doc: Option<&T>,
        timeout: Duration,
    ) -> Result<R, PlatformError> {
        let call = Call {
            step,
            peer: self.addr,
            method,
            path,
            timeout,
        };
        let reply = self.client.call_json(call, doc).await;
        reply.map_err(|e| PlatformError {
            step,
            peer: self.addr,
            fault: classify(&e),
        })
    }
}

fn classify(e: &CallError) -> PlatformFault {
    match (&e.fault, e.sent) {
        (CallFault::Status { status, .. }, _) => classify_status(*status),
        (_, Sent::No) => PlatformFault::Unreachable,
        (_, Sent::Maybe) => PlatformFault::AnswerLost,
    }
}

fn classify_status(status: StatusCode) -> PlatformFault {
    match status {
        StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => PlatformFault::Conflict,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => PlatformFault::Refused,
        StatusCode::GONE => PlatformFault::LeaseLapsed,
        status if status.is_server_error() => PlatformFault::AnswerLost,
        _ => PlatformFault::Invalid,
    }
}

const NO_BODY: Option<&()> = None;

impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, PlatformError> {
        let path = format!("/v1/kv/{key}");
        self.call("read a key", Method::GET, &path, NO_BODY).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<KvEntry>, PlatformError> {
        let after = after.unwrap_or_default();
        let path = format!("/v1/list?prefix={prefix}&after={after}&limit={limit}");
        self.call("list keys", Method::GET, &path, NO_BODY).await
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        expect: KvRevision,
        lease: Option<LeaseId>,
    ) -> Result<KvRevision, PlatformError> {
        let body = PutBody {
            value: value.to_owned(),
            expect,
            lease,
        };
        let path = format!("/v1/kv/{key}");
        self.call("write a key", Method::PUT, &path, Some(&body))
            .await
    }

    async fn delete(&self, key: &str, expect: KvRevision) -> Result<(), PlatformError> {
        let path = format!("/v1/kv/{key}?expect={expect}");
        self.call("delete a key", Method::DELETE, &path, NO_BODY)
            .await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let body = LeaseBody {
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        };
        self.call("ask for a lease", Method::POST, "/v1/leases", Some(&body))
            .await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let path = format!("/v1/leases/{lease}/renew");
        self.call("renew a lease", Method::POST, &path, NO_BODY)
            .await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvRevision,
        wait: Duration,
    ) -> Result<WatchReply, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let timeout = CALL_TIMEOUT + wait;
        self.call_for("watch keys", Method::GET, &path, NO_BODY, timeout)
            .await
    }
}

impl BoxLister for HttpPlatform {
    async fn box_list(&self) -> Result<BoxList, PlatformError> {
        self.call("read the box list", Method::GET, "/v1/boxes", NO_BODY)
            .await
    }
}
