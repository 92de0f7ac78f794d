//! What a box remembers of the routes of earlier configurations.

use rstest::rstest;
use sillpin_gateway::config::{FleetConfig, Idempotency, Priority, Route, Share};
use sillpin_gateway::streams::RouteHistory;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(30);

/// A route of host `h` whose streams may be resumed, to these pools.
fn route(prefix: &str, pools: &[&str], timeout_s: u64) -> Arc<Route> {
    let share = |pool: &&str| Share {
        pool: pool.parse().unwrap(),
        weight: 1,
    };
    Arc::new(Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        streaming: true,
        idempotency: Idempotency::Idempotent,
        resumable: true,
        timeout: Duration::from_secs(timeout_s),
        latency_objective: Duration::from_millis(300),
        event_timeout: Duration::from_secs(2),
        max_event_gap: None,
        priority: Priority(0),
        shares: pools.iter().map(share).collect(),
        max_runs: 2,
        public: true,
        regions: Vec::new(),
    })
}

fn config(routes: &[Arc<Route>]) -> FleetConfig {
    FleetConfig {
        routes: routes.to_vec(),
        ..FleetConfig::default()
    }
}

#[rstest]
#[case::same(&[route("/a/", &["p", "q"], 1)], &[route("/a/", &["q", "p"], 1)], false)]
#[case::other_pool(&[route("/a/", &["p"], 1)], &[route("/a/", &["q"], 1)], true)]
#[case::one_pool_more(&[route("/a/", &["p"], 1)], &[route("/a/", &["p", "q"], 1)], true)]
#[case::new_path(&[route("/a/", &["p"], 1)], &[route("/a/", &["p"], 1), route("/b/", &["q"], 1)], false)]
#[case::new_longer_prefix(&[route("/", &["p"], 1)], &[route("/", &["p"], 1), route("/b/", &["q"], 1)], true)]
#[case::longer_prefix_dropped(&[route("/", &["p"], 1), route("/b/", &["q"], 1)], &[route("/", &["p"], 1)], true)]
#[tokio::test(start_paused = true)]
async fn a_route_that_got_other_pools_is_not_noticed(
    #[case] before: &[Arc<Route>],
    #[case] after: &[Arc<Route>],
    #[case] moves: bool,
) {
    let (mut history, before) = (RouteHistory::default(), config(before));
    let now = Instant::now();
    history.record(None, &before, now);
    assert!(!history.may_have_moved(WINDOW, now), "the first one");
    history.record(Some(&before), &config(after), now);
    assert_eq!(history.may_have_moved(WINDOW, now), moves);
    assert!(!history.may_have_moved(WINDOW, now + WINDOW));
}

#[tokio::test(start_paused = true)]
async fn a_lower_time_limit_shortens_the_time_for_streams_that_began_before() {
    let mut history = RouteHistory::default();
    let (long, short) = (
        config(&[route("/a/", &["p"], 40)]),
        config(&[route("/a/", &["p"], 1)]),
    );
    history.record(None, &long, Instant::now());
    let window = history.window(Duration::from_secs(1));
    history.record(Some(&long), &short, Instant::now());
    assert_eq!(history.window(Duration::from_secs(1)), window);
    assert!(window >= Duration::from_secs(80));
}
