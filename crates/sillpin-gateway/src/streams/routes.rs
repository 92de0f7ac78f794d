//! What earlier configurations said of routes whose streams callers may still resume.

use super::resumable_for;
use crate::config::{FleetConfig, Route};
use sillpin_core::PoolId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Routes of the configurations that this box has seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouteHistory {
    /// Longest time limit of a route whose streams may be resumed.
    longest_timeout: Duration,
    /// When such a route last got other pools.
    moved: Option<Instant>,
}

/// Host and path prefix of a route.
type RouteKey<'a> = (&'a str, &'a str);

impl RouteHistory {
    /// Records that `config` comes into force in place of `before`.
    pub fn record(&mut self, before: Option<&FleetConfig>, config: &FleetConfig, now: Instant) {
        let timeouts = resumable(config).map(|route| route.timeout);
        self.longest_timeout = timeouts
            .max()
            .max(Some(self.longest_timeout))
            .unwrap_or_default();
        let Some(before) = before else {
            return;
        };
        if has_moved(before, config) || has_moved(config, before) {
            self.moved = Some(now);
        }
    }

    /// Returns how long callers may come back to a stream of a route with this time limit after it began: one that began under an
    /// earlier configuration may have had a longer limit.
    pub fn window(&self, timeout: Duration) -> Duration {
        resumable_for(timeout.max(self.longest_timeout))
    }

    /// Whether streams that began in the last `window` may have begun in other pools than those that their routes have now.
    pub fn may_have_moved(&self, window: Duration, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < window;
        self.moved.is_some_and(is_recent)
    }
}

fn resumable(config: &FleetConfig) -> impl Iterator<Item = &Route> {
    let routes = config.routes.iter().map(|route| &**route);
    routes.filter(|route| route.resumable)
}

/// Whether requests of a route of `from` whose streams may be resumed go to other pools in `to`.
fn has_moved(from: &FleetConfig, to: &FleetConfig) -> bool {
    let routes = to.routes.iter().map(|route| (key(route), &**route));
    let routes: HashMap<RouteKey<'_>, &Route> = routes.collect();
    resumable(from).any(|route| {
        let same = routes.get(&key(route)).copied();
        // Without a route of its own, its path may have that of a shorter prefix.
        let found = same.or_else(|| to.route(&route.host, &route.prefix).map(|route| &**route));
        found.is_some_and(|found| pools(found) != pools(route))
    })
}

fn key(route: &Route) -> RouteKey<'_> {
    (&route.host, &route.prefix)
}

/// Pools of a route, sorted.
fn pools(route: &Route) -> Vec<&PoolId> {
    let used = route.shares.iter().filter(|share| share.weight > 0);
    let mut pools: Vec<&PoolId> = used.map(|share| &share.pool).collect();
    pools.sort_unstable();
    pools
}
