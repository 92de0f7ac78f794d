//! Placement under load: which requests wait, which are sent and which are refused.

#[path = "support/engine.rs"]
mod engine;

use sillpin_core::{PriorityClass, WeightVersion};
use sillpin_entry::placement::{PlaceRequest, PlacerHandle, Refusal, start};
use sillpin_entry::snapshot::Snapshot;
use sillpin_policy::PolicySet;
use sillpin_policy::rendezvous::{CandidateHash, top};
use sillpin_policy::set::PlacementKind;
use sillpin_rpc::directory::BlockHints;
use sillpin_rpc::entry_link::FleetUpdate;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

const NAMES: [&str; 2] = ["engine-a", "engine-b"];

/// Returns a placer whose engine A has `busy` blocks to compute and whose engine B is idle.
fn placer(busy: u64) -> (PlacerHandle, watch::Sender<Arc<Snapshot>>) {
    let update = FleetUpdate {
        complete: true,
        targets: vec![
            engine::view(NAMES[0], "zone", 0, busy),
            engine::view(NAMES[1], "zone", 0, 0),
        ],
        ..FleetUpdate::default()
    };
    let snapshot = Snapshot::default().with_update(update);
    let (tx, rx) = watch::channel(Arc::new(snapshot));
    let placer = start("zone".parse().unwrap(), rx, 100);
    (placer, tx)
}

/// Returns a prompt hash whose home is the engine with this index.
fn home_at(index: usize) -> u64 {
    let hashes = NAMES.map(CandidateHash::of);
    let all = || hashes.iter().enumerate().map(|(i, h)| (i, *h, 1.0));
    (0..).find(|key| top(*key, all(), 1) == [index]).unwrap()
}

/// Returns a request that can only be placed at its home.
fn request(home: u64, class: PriorityClass, deadline: Duration) -> PlaceRequest {
    let mut policy = PolicySet::default();
    policy.placement.kind = PlacementKind::Rendezvous;
    PlaceRequest {
        org: "riders".parse().unwrap(),
        class,
        pool: "llm".parse().unwrap(),
        version: WeightVersion(1),
        home,
        blocks: 1,
        hints: BlockHints::default(),
        excluded: Vec::new(),
        is_retry: false,
        policy: Arc::new(policy),
        deadline: Instant::now() + deadline,
    }
}

#[tokio::test(start_paused = true)]
async fn request_for_a_busy_engine_does_not_block_others() {
    let (placer, _snapshots) = placer(100);
    let started_at = Instant::now();
    let (to_busy, to_idle) = (placer.clone(), placer.clone());
    let waiting = tokio::spawn(async move {
        let req = request(home_at(0), PriorityClass::Normal, Duration::from_secs(15));
        to_busy.place(req).await
    });
    tokio::task::yield_now().await;
    let req = request(home_at(1), PriorityClass::Normal, Duration::from_secs(15));
    assert_eq!(to_idle.place(req).await.unwrap().target.as_str(), NAMES[1]);
    assert!(
        started_at.elapsed() < Duration::from_millis(50),
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(waiting.await.unwrap().unwrap().target.as_str(), NAMES[0]);
    let waited = started_at.elapsed();
    assert!((1_500..1_700).contains(&waited.as_millis()), "{waited:?}");
}

#[tokio::test(start_paused = true)]
async fn request_that_cannot_start_before_its_deadline_is_refused_immediately() {
    let (placer, _snapshots) = placer(1_000);
    let started_at = Instant::now();
    let req = request(home_at(0), PriorityClass::Normal, Duration::from_secs(15));
    let refusal = placer.place(req).await.unwrap_err();
    assert!(matches!(refusal, Refusal::TooLate { .. }), "{refusal}");
    assert!(started_at.elapsed() < Duration::from_millis(50));
}

#[tokio::test(start_paused = true)]
async fn urgent_requests_may_queue_longer_at_an_engine() {
    let (placer, _snapshots) = placer(50);
    let started_at = Instant::now();
    let req = request(home_at(0), PriorityClass::Urgent, Duration::from_secs(5));
    placer.place(req).await.unwrap();
    assert!(started_at.elapsed() < Duration::from_millis(50));
}
