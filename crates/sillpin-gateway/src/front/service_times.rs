//! How long requests of each route take, learnt from those that were served.

use crate::config::FleetConfig;
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Number of requests of a route that its time is learnt from.
const MAX_SAMPLES: usize = 31;

/// Number of requests from which the time counts as known.
const MIN_SAMPLES: usize = 8;

/// Times from the heads of requests to the ends of their responses, newest last, by the names of their routes.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    routes: Mutex<HashMap<String, VecDeque<Duration>>>,
}

impl ServiceTimes {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, VecDeque<Duration>>> {
        self.routes.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records how long a request took.
    pub fn record(&self, route: &str, time: Duration) {
        let mut routes = self.lock();
        let Some(times) = routes.get_mut(route) else {
            routes.insert(route.to_owned(), VecDeque::from([time]));
            return;
        };
        if times.len() >= MAX_SAMPLES {
            times.pop_front();
        }
        times.push_back(time);
    }

    /// Returns the median of the last requests of a route; `None` if too little is known.
    pub fn median(&self, route: &str) -> Option<Duration> {
        let mut times: Vec<Duration> = self.lock().get(route)?.iter().copied().collect();
        if times.len() < MIN_SAMPLES {
            return None;
        }
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        Some(*median)
    }

    /// Drops the times of routes that the configuration no longer has.
    pub fn prune(&self, config: &FleetConfig) {
        let mut routes = self.lock();
        if routes.len() > config.routes.len() {
            routes.retain(|name, _| config.routes.iter().any(|route| route.name == *name));
        }
    }
}
