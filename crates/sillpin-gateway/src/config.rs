//! What operators publish: routes, pools, stores and organisations, under one version.

use derive_more::{Display, From, FromStr};
use sillpin_core::{ModelId, OrgId, PoolId, RegionId, Tokens, ZoneId, number_type};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

number_type!(
    /// Version of a published configuration; rises in uneven steps.
    #[derive(From, FromStr)]
    ConfigVersion
);

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// As often as needed.
    Freely,
    /// At most once.
    AtMostOnce,
}

/// Urgency of a request; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct Priority(pub u8);

/// Number of urgencies that engines know.
const URGENCIES: u8 = 10;

impl Priority {
    /// The urgency of a request of this one that comes late whatever is done: behind all that can be in time, and in
    /// the same order among themselves.
    pub fn behind(self) -> Self {
        Self(self.0.saturating_add(URGENCIES / 2).min(URGENCIES - 1))
    }
}

/// A pool and its weight among the pools of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The pool.
    pub pool: PoolId,
    /// Its weight.
    pub weight: u32,
}

/// Where requests of one host below one path go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Paths that it serves begin so; starts and ends with a slash.
    pub prefix: String,
    /// Whether its answers are streams of events.
    pub streaming: bool,
    /// How often its requests may run. A stream that may be resumed may also be run again.
    pub repeat: Repeat,
    /// Whether a broken stream may go on at another target.
    pub resumable: bool,
    /// Longest time that a request may be held.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is wanted.
    pub latency_objective: Duration,
    /// Callers of a stream give it up after this long without an event, before its first one too.
    pub patience: Duration,
    /// Urgency, unless the organisation has its own.
    pub priority: Priority,
    /// Pools that serve it.
    pub shares: Vec<Share>,
    /// Most targets that may run one request.
    pub max_runs: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Regions that its requests must not leave; empty: none.
    pub regions: Vec<RegionId>,
}

/// What is known of the engines of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for kept and running tokens.
    pub room: Tokens,
    /// Size of a token's KV cache in bytes.
    pub token_bytes: u64,
    /// Models that it serves.
    pub models: Vec<ModelId>,
}

/// What a target bears after it has started while others serve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// How long it is cold after its start.
    pub time: Duration,
    /// Requests a second that it bears meanwhile, of all boxes together.
    pub per_s: f64,
}

/// A group of targets that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Its name.
    pub id: PoolId,
    /// Connections that one target accepts from all boxes together; 0: unknown.
    pub max_connections: u32,
    /// What its targets bear while they are cold; `None`: as much as when they are warm.
    pub warm_up: Option<WarmUp>,
    /// What its engines can hold; `None`: plain services.
    pub engine: Option<EngineSpec>,
}

/// A store of kept KV cache.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreSpec {
    /// Its name.
    pub id: PoolId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Tokens that fit.
    pub room: Tokens,
    /// Rate of its link in bytes a millisecond.
    pub link_bytes_per_ms: f64,
    /// Fixed wait of each transfer.
    pub first: Duration,
    /// Readers of events that it serves at once.
    pub max_readers: u32,
    /// Whether it drops nothing by itself.
    pub managed: bool,
}

/// An organisation whose callers use the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub id: OrgId,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Urgency of its requests, above that of the route.
    pub priority: Option<Priority>,
    /// Whether it shares no kept part with others.
    pub isolated: bool,
    /// Regions that its requests must not leave; empty: none.
    pub regions: Vec<RegionId>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head in bytes.
    pub head_len: usize,
    /// Longest body in bytes.
    pub body_len: usize,
    /// Longest time for a head to arrive.
    pub head_time: Duration,
    /// Longest rest of a connection.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Used until a configuration names others: HTTP's customary 16 KiB and 4 MiB.
    fn default() -> Self {
        Self {
            head_len: 16 << 10,
            body_len: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Everything that operators publish under one version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Pools of targets.
    pub pools: Vec<Pool>,
    /// Stores of kept KV cache.
    pub stores: Vec<StoreSpec>,
    /// Organisations; empty: callers need no key.
    pub organisations: Vec<Arc<Organisation>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl FleetConfig {
    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let fits = |route: &&Arc<Route>| route.host == host && path.starts_with(&route.prefix);
        let matching = self.routes.iter().filter(fits);
        matching.max_by_key(|route| route.prefix.len())
    }

    /// The organisation that holds `key`.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        let holds = |org: &&Arc<Organisation>| org.keys.iter().any(|k| k == key);
        self.organisations.iter().find(holds)
    }

    /// A pool by its name.
    pub fn pool(&self, id: &PoolId) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.id == *id)
    }
}
