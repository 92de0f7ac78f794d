//! The configuration that operators publish: routes, pools, cache stores and organisations, under one version.

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
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// At most once.
    AtMostOnce,
}

/// Priority of a request; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct Priority(pub u8);

/// Number of priorities that engines distinguish.
const PRIORITY_LEVELS: u8 = 10;

impl Priority {
    /// The priority of a request of this priority that will miss its latency objective in any case: behind all that
    /// can meet theirs, with the order among late requests preserved.
    pub fn demoted(self) -> Self {
        Self(
            self.0
                .saturating_add(PRIORITY_LEVELS / 2)
                .min(PRIORITY_LEVELS - 1),
        )
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

/// A route: where requests to one host below one path go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Prefix of the paths that it serves; starts and ends with a slash.
    pub prefix: String,
    /// Whether its responses are event streams.
    pub streaming: bool,
    /// How often its requests may run. A stream that may be resumed may also be run again.
    pub idempotency: Idempotency,
    /// Whether a broken stream may be resumed at another target.
    pub resumable: bool,
    /// Maximum time that a request may take.
    pub timeout: Duration,
    /// Time within which the response, or its first event, should arrive.
    pub latency_objective: Duration,
    /// Callers of a stream give up after this time without an event, also before the first one.
    pub event_timeout: Duration,
    /// Longest pause between events of a stream that its callers accept; `None` if the route names none.
    pub max_event_gap: Option<Duration>,
    /// Priority of its requests, unless the organisation has its own.
    pub priority: Priority,
    /// Pools that serve it.
    pub shares: Vec<Share>,
    /// Maximum number of targets that may run one request.
    pub max_runs: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Regions that its requests must not leave; empty if there is no restriction.
    pub regions: Vec<RegionId>,
}

/// Properties of a pool's engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Tokens that fit into its memory, cached or of running requests.
    pub capacity: Tokens,
    /// Size of a token's KV cache in bytes.
    pub token_bytes: u64,
    /// Models that it serves.
    pub models: Vec<ModelId>,
}

/// Load that a target can take after its start, while others serve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// How long it is cold after its start.
    pub time: Duration,
    /// Requests per second from all boxes together that it can take while it is cold.
    pub per_s: f64,
}

/// A group of targets that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Name.
    pub id: PoolId,
    /// Connections that one target accepts from all boxes together; 0 if unknown.
    pub max_connections: u32,
    /// Load that its targets can take while they are cold; `None` if they need no warm-up.
    pub warm_up: Option<WarmUp>,
    /// Properties of its engines; `None` if its targets are not engines.
    pub engine: Option<EngineSpec>,
}

/// A cache store: holds KV cache of prompt parts.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreSpec {
    /// Name.
    pub id: PoolId,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Number of tokens that fit.
    pub capacity: Tokens,
    /// Rate of its link in bytes per millisecond.
    pub link_bytes_per_ms: f64,
    /// Fixed latency of each transfer.
    pub first: Duration,
    /// Number of readers of its changes that it serves concurrently.
    pub max_readers: u32,
    /// Whether it evicts nothing by itself.
    pub managed: bool,
}

/// An organisation whose callers use the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name.
    pub id: OrgId,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Priority of its requests, overrides that of the route.
    pub priority: Option<Priority>,
    /// Whether it shares no stored part with other organisations.
    pub isolated: bool,
    /// Regions that its requests must not leave; empty if there is no restriction.
    pub regions: Vec<RegionId>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum length of a head in bytes.
    pub head_len: usize,
    /// Maximum length of a body in bytes.
    pub body_len: usize,
    /// Maximum time for a head to arrive.
    pub head_time: Duration,
    /// Maximum idle time of a connection.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Used until a configuration sets others: the customary 16 KiB and 4 MiB of HTTP servers.
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
    /// Version.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Pools of targets.
    pub pools: Vec<Pool>,
    /// Cache stores.
    pub stores: Vec<StoreSpec>,
    /// Organisations; if there are none, callers need no key.
    pub organisations: Vec<Arc<Organisation>>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// What could not be read of it, and is not in force.
    pub unreadable: Vec<UnreadableItem>,
}

/// A kind of item of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ItemKind {
    /// A route.
    #[display("route")]
    Route,
    /// A pool of targets or a cache store.
    #[display("pool")]
    Pool,
    /// An organisation.
    #[display("organisation")]
    Organisation,
    /// The limits on callers.
    #[display("limits")]
    Limits,
}

/// An item of a configuration that could not be read, or a whole list of them.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{kind} {name}: {reason}")]
pub struct UnreadableItem {
    /// Its kind.
    pub kind: ItemKind,
    /// Its name, or its position in the list if it has none.
    pub name: String,
    /// Why it could not be read.
    pub reason: String,
}

impl FleetConfig {
    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let fits = |route: &&Arc<Route>| route.host == host && path.starts_with(&route.prefix);
        let matching = self.routes.iter().filter(fits);
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Whether callers need no key: there are no organisations, not even unreadable ones.
    pub fn is_open(&self) -> bool {
        let mut unreadable = self.unreadable.iter();
        self.organisations.is_empty() && !unreadable.any(|item| item.kind == ItemKind::Organisation)
    }

    /// Returns the organisation that `key` belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        let holds = |org: &&Arc<Organisation>| org.keys.iter().any(|k| k == key);
        self.organisations.iter().find(holds)
    }

    /// Whether several organisations, or requests of several priorities, may compete for targets. Without
    /// organisations this is never the case.
    pub fn has_competition(&self) -> bool {
        if self.organisations.len() != 1 {
            return !self.organisations.is_empty();
        }
        let of_org = self.organisations[0].priority;
        let mut priorities = self
            .routes
            .iter()
            .map(|route| of_org.filter(|_| !route.public).unwrap_or(route.priority));
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    /// Returns a pool by its name.
    pub fn pool(&self, id: &PoolId) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.id == *id)
    }
}
