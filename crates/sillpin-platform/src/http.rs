//! Client of the stand-in's platform service, over HTTP and JSON.

use crate::call::{CallCounts, LongPoll, NO_BODY, ServiceClient};
use crate::query::encode;
use crate::{
    BoxLister, KvEntry, KvRevision, LeaseId, Platform, PlatformError, PlatformFault, WatchReply,
};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use sillpin_core::target::BoxList;
use sillpin_http::Client;
use std::net::SocketAddr;
use std::time::Duration;

/// Time-out of a call, in addition to the wait time of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Body of a write request.
#[derive(Debug, Serialize, Deserialize)]
pub struct PutBody {
    /// The new value.
    pub value: String,
    /// The revision that the key must have.
    pub expect: KvRevision,
    /// The lease with which the key expires, if any.
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
    service: ServiceClient,
}

impl HttpPlatform {
    /// Creates a client of the service at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        let service = ServiceClient {
            counts: CallCounts::default(),
            client,
            addr,
            timeout: CALL_TIMEOUT,
            classify: classify_status,
        };
        Self { service }
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

impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, PlatformError> {
        let path = format!("/v1/kv/{}", encode(key));
        self.service
            .call("read a key", Method::GET, &path, NO_BODY)
            .await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<KvEntry>, PlatformError> {
        let (prefix, after) = (encode(prefix), encode(after.unwrap_or_default()));
        let path = format!("/v1/list?prefix={prefix}&after={after}&limit={limit}");
        self.service
            .call("list keys", Method::GET, &path, NO_BODY)
            .await
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
        let path = format!("/v1/kv/{}", encode(key));
        self.service
            .call("write a key", Method::PUT, &path, Some(&body))
            .await
    }

    async fn delete(&self, key: &str, expect: KvRevision) -> Result<(), PlatformError> {
        let path = format!("/v1/kv/{}?expect={expect}", encode(key));
        self.service
            .call("delete a key", Method::DELETE, &path, NO_BODY)
            .await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let body = LeaseBody {
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        };
        self.service
            .call("ask for a lease", Method::POST, "/v1/leases", Some(&body))
            .await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let path = format!("/v1/leases/{lease}/renew");
        self.service
            .call("renew a lease", Method::POST, &path, NO_BODY)
            .await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvRevision,
        wait: Duration,
    ) -> Result<WatchReply, PlatformError> {
        let (prefix, wait_ms) = (encode(prefix), wait.as_millis());
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let on_response = || ();
        let poll = LongPoll { wait, on_response };
        self.service
            .long_poll("watch keys", Method::GET, &path, NO_BODY, poll)
            .await
    }
}

impl BoxLister for HttpPlatform {
    async fn box_list(&self) -> Result<BoxList, PlatformError> {
        self.service
            .call("read the box list", Method::GET, "/v1/boxes", NO_BODY)
            .await
    }
}
