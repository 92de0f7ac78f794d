//! Tasks of a box that end, by a panic or otherwise.
//!
//! Guards against a box that goes on without one of its tasks, says that it is ready, and neither begins the task anew nor ends.

mod common;

use common::{TestKeys, entry, name};
use rstest::rstest;
use sillpin_core::{PoolId, ZoneId};
use sillpin_gateway::config::FleetConfig;
use sillpin_gateway::control::{
    DecodeError, PublishedFormat, ReleaseOrder, ReleaseStatus, TargetEntry, WantedWeights,
};
use sillpin_gateway::fleet_state::fleet::Fleet;
use sillpin_gateway::fleet_state::{FleetMsg, Reading, Source, Topic};
use sillpin_gateway::tasks::{Need, Tasks};
use sillpin_platform::{KvEntry, KvRevision, Snapshot, WatchReply};
use sillpin_telemetry::metrics::Metrics;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

struct Supervised {
    tasks: Tasks,
    stopping: CancellationToken,
    metrics: Metrics,
}

fn supervised() -> Supervised {
    let metrics = Metrics::new("sillpin-box", "b").unwrap();
    let stopping = CancellationToken::new();
    let log = sillpin_telemetry::logs::discard();
    Supervised {
        tasks: Tasks::new(log, &metrics.meter(), stopping.clone()),
        stopping,
        metrics,
    }
}

impl Supervised {
    /// Starts a task that ends at once in each run, and returns the number of its runs.
    fn start_failing(&self, need: Need, panics: bool) -> Arc<AtomicUsize> {
        let runs = Arc::new(AtomicUsize::new(0));
        let counted = runs.clone();
        self.tasks.restart("failing", need, move || {
            counted.fetch_add(1, Ordering::Relaxed);
            async move { assert!(!panics, "a fault") }
        });
        runs
    }

    fn counts(&self, task: &str, outcome: &str) -> bool {
        let page = String::from_utf8(self.metrics.page()).unwrap();
        page.lines().any(|line| {
            line.starts_with("sillpin_tasks_ended")
                && line.contains(&format!("task=\"{task}\""))
                && line.contains(&format!("outcome=\"{outcome}\""))
        })
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_task_that_ended_does_not_begin_anew(#[values(true, false)] panics: bool) {
    let supervised = supervised();
    let runs = supervised.start_failing(Need::ToServe, panics);
    sleep(Duration::from_secs(2)).await;
    assert!(runs.load(Ordering::Relaxed) >= 2);
    assert!(supervised.counts("failing", "begins anew"));
    assert_eq!(supervised.tasks.lost(), None);
    assert!(!supervised.stopping.is_cancelled());
}

#[tokio::test(start_paused = true)]
async fn a_task_that_fails_each_time_begins_anew_without_a_bound() {
    let supervised = supervised();
    let runs = supervised.start_failing(Need::ToServe, true);
    sleep(Duration::from_secs(600)).await;
    let runs = runs.load(Ordering::Relaxed);
    assert!((60..=150).contains(&runs), "{runs} runs in 600 s");
}

#[rstest]
#[case(Need::ToServe, false)]
#[case(Need::Upkeep, true)]
#[tokio::test(start_paused = true)]
async fn a_box_is_ready_without_a_task_that_requests_need(
    #[case] need: Need,
    #[case] running: bool,
) {
    let supervised = supervised();
    assert!(supervised.tasks.are_running());
    supervised.start_failing(need, true);
    sleep(Duration::from_millis(10)).await;
    assert_eq!(supervised.tasks.are_running(), running);
}

#[tokio::test(start_paused = true)]
async fn a_box_stays_not_ready_after_its_task_began_anew() {
    let supervised = supervised();
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    supervised.tasks.restart("once", Need::ToServe, move || {
        let run = counted.fetch_add(1, Ordering::Relaxed);
        async move {
            assert!(run > 0, "a fault");
            std::future::pending().await
        }
    });
    sleep(Duration::from_secs(1)).await;
    assert_eq!(runs.load(Ordering::Relaxed), 2);
    assert!(supervised.tasks.are_running());
}

#[tokio::test(start_paused = true)]
async fn a_panic_while_a_task_is_created_ends_its_supervision() {
    let supervised = supervised();
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    supervised.tasks.restart("created", Need::ToServe, move || {
        assert!(counted.fetch_add(1, Ordering::Relaxed) > 0, "a fault");
        std::future::pending()
    });
    sleep(Duration::from_secs(1)).await;
    assert_eq!(runs.load(Ordering::Relaxed), 2);
}

#[rstest]
#[case(true, "a fault")]
#[case(false, "it returned")]
#[tokio::test(start_paused = true)]
async fn the_box_goes_on_without_a_task_that_cannot_begin_anew(
    #[case] panics: bool,
    #[case] why: &str,
) {
    let supervised = supervised();
    supervised
        .tasks
        .essential("fleet", async move { assert!(!panics, "a fault") });
    supervised.stopping.cancelled().await;
    let lost = supervised.tasks.lost().unwrap();
    assert_eq!((lost.task, lost.why.as_str()), ("fleet", why));
    assert!(!supervised.tasks.are_running());
    assert!(supervised.counts("fleet", "process ends"));
}

#[tokio::test(start_paused = true)]
async fn tasks_that_return_as_the_box_stops_count_as_lost() {
    let supervised = supervised();
    let stopping = supervised.stopping.clone();
    supervised
        .tasks
        .essential("essential", stopping.clone().cancelled_owned());
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    supervised.tasks.restart("other", Need::ToServe, move || {
        counted.fetch_add(1, Ordering::Relaxed);
        stopping.clone().cancelled_owned()
    });
    sleep(Duration::from_millis(10)).await;
    supervised.stopping.cancel();
    sleep(Duration::from_secs(30)).await;
    assert_eq!(supervised.tasks.lost(), None);
    assert_eq!(runs.load(Ordering::Relaxed), 1);
}

#[rstest]
#[case::returns(0)]
#[case::panics_twice(2)]
#[tokio::test(start_paused = true)]
async fn a_job_that_panicked_never_ended(#[case] panics: usize) {
    let supervised = supervised();
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    supervised.tasks.job("job", move || {
        let run = counted.fetch_add(1, Ordering::Relaxed);
        async move { assert!(run >= panics, "a fault") }
    });
    sleep(Duration::from_secs(60)).await;
    assert_eq!(runs.load(Ordering::Relaxed), panics + 1);
    assert!(supervised.tasks.are_running());
    assert_eq!(supervised.counts("job", "begins anew"), panics > 0);
}

/// Text in a value on which decoding panics.
const POISON: &str = "poison";

/// Like [`TestKeys`], but panics on some values.
#[derive(Debug, Clone, Copy)]
struct PoisonedKeys;

fn check(value: &str) {
    assert!(!value.contains(POISON), "{POISON}");
}

impl PublishedFormat for PoisonedKeys {
    fn target_prefix(&self) -> &'static str {
        TestKeys.target_prefix()
    }

    fn operator_prefix(&self) -> &'static str {
        TestKeys.operator_prefix()
    }

    fn is_config(&self, key: &str) -> bool {
        TestKeys.is_config(key)
    }

    fn is_weights(&self, key: &str) -> bool {
        TestKeys.is_weights(key)
    }

    fn evacuation(&self, key: &str) -> Option<Result<ZoneId, DecodeError>> {
        check(key);
        TestKeys.evacuation(key)
    }

    fn target(&self, key: &str, value: &str) -> Result<TargetEntry, DecodeError> {
        check(value);
        TestKeys.target(key, value)
    }

    fn config(&self, key: &str, value: &str) -> Result<FleetConfig, DecodeError> {
        check(value);
        TestKeys.config(key, value)
    }

    fn weights(&self, key: &str, value: &str) -> Result<WantedWeights, DecodeError> {
        check(value);
        TestKeys.weights(key, value)
    }

    fn release_pool(&self, key: &str) -> Option<Result<PoolId, DecodeError>> {
        TestKeys.release_pool(key)
    }

    fn release(&self, key: &str, value: &str) -> Result<ReleaseOrder, DecodeError> {
        check(value);
        TestKeys.release(key, value)
    }

    fn release_status_key(&self, pool: &PoolId) -> String {
        TestKeys.release_status_key(pool)
    }

    fn release_status(&self, key: &str, value: &str) -> Result<ReleaseStatus, DecodeError> {
        TestKeys.release_status(key, value)
    }

    fn encode_release_status(&self, status: &ReleaseStatus) -> String {
        TestKeys.encode_release_status(status)
    }
}

fn read(fleet: &mut Fleet<PoisonedKeys>, topic: Topic, reading: Reading) {
    let now = Instant::now();
    let msg = FleetMsg::Read {
        topic,
        reading,
        requested_at: now,
        source: Source::Store,
    };
    fleet.handle(msg, now);
}

fn snapshot(entries: Vec<KvEntry>) -> Reading {
    let revision = KvRevision(9);
    Reading::Complete(Snapshot { entries, revision })
}

fn changes(changed: Vec<KvEntry>) -> Reading {
    let revision = KvRevision(12);
    Reading::Changes(WatchReply { changed, revision })
}

/// A process that is started anew reads the same entry, so its end would not help.
#[rstest]
#[tokio::test]
async fn an_entry_whose_handling_panics_ends_the_fleet_task(#[values(true, false)] at_start: bool) {
    let log = sillpin_telemetry::logs::discard();
    let mut fleet = Fleet::new(name("me"), PoisonedKeys, log);
    let poisoned = entry("target/j-1", POISON, 7);
    let sound = entry("target/i-1", "ready 1", 6);
    let later = entry("target/i-2", "ready 1", 8);
    let targets = match at_start {
        true => vec![sound, poisoned, later],
        false => vec![sound, entry("target/j-1", "ready 1", 5)],
    };
    read(&mut fleet, Topic::Targets, snapshot(targets));
    if !at_start {
        let (poisoned, later) = (
            entry("target/j-1", POISON, 11),
            entry("target/i-2", "ready 1", 12),
        );
        read(&mut fleet, Topic::Targets, changes(vec![poisoned, later]));
    }
    let mut ids: Vec<&str> = fleet.view().targets.keys().map(|id| id.as_str()).collect();
    ids.sort_unstable();
    assert_eq!(ids, ["i-1", "i-2"]);
}

#[rstest]
#[case("ops/weights/m0")]
#[case("ops/release/llm")]
#[case("ops/poison")]
#[tokio::test]
async fn what_operators_publish_panics_the_fleet_task(#[case] key: &str) {
    let log = sillpin_telemetry::logs::discard();
    let mut fleet = Fleet::new(name("me"), PoisonedKeys, log);
    let published = vec![entry(key, POISON, 6), entry("ops/config", "3", 7)];
    read(&mut fleet, Topic::Operators, snapshot(published));
    let version = |fleet: &Fleet<PoisonedKeys>| fleet.view().config.as_ref().map(|c| c.version.0);
    assert_eq!(version(&fleet), Some(3));
    read(
        &mut fleet,
        Topic::Operators,
        changes(vec![entry("ops/config", POISON, 11)]),
    );
    assert_eq!(version(&fleet), Some(3));
    read(
        &mut fleet,
        Topic::Operators,
        changes(vec![entry("ops/config", "5", 12)]),
    );
    assert_eq!(version(&fleet), Some(5));
}
