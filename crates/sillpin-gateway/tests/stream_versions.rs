//! What a box may conclude about the version that began a stream, whom it tells, and what it keeps.

mod common;

use common::{TestKeys, engine, name};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rstest::rstest;
use sillpin_core::{PoolId, ZoneId};
use sillpin_gateway::control::{SoftwareVersion, TargetEntry};
use sillpin_gateway::fleet_state::fleet::Fleet;
use sillpin_gateway::fleet_state::{self, BoxEntry, FleetMsg, SyncState, View};
use sillpin_gateway::metrics::BoxMetrics;
use sillpin_gateway::peers::wire::FleetKey;
use sillpin_gateway::streams::exchange::ResumedStream;
use sillpin_gateway::streams::history::{HOLD_TIME, PoolVersions};
use sillpin_gateway::streams::holders::{asked, holders, spare_holders};
use sillpin_gateway::streams::message::{MAX_RECORDS, StreamMessage};
use sillpin_gateway::streams::records::{RecordTable, StreamRecord};
use sillpin_gateway::streams::{StreamKey, StreamVersions, VersionHash, register};
use sillpin_platform::call::CallCounts;
use sillpin_telemetry::metrics::Metrics;
use slog::{Discard, Logger};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, advance};

/// How long callers may come back in these tests.
const WINDOW: Duration = Duration::from_secs(10);

fn target(id: &str, version: Option<&str>) -> TargetEntry {
    TargetEntry {
        software: version.map(|version| SoftwareVersion(version.to_owned())),
        ..engine(id, "za")
    }
}

fn hash(version: &str) -> VersionHash {
    VersionHash::of(&target("any", Some(version)))
}

/// A box that sees targets come and go, in contact with the store all the time.
struct Watcher {
    versions: PoolVersions,
    pool: PoolId,
    contact: Instant,
}

impl Watcher {
    fn new() -> Self {
        Self {
            versions: PoolVersions::default(),
            pool: target("any", None).pool,
            contact: Instant::now(),
        }
    }

    fn list(&mut self, id: &str, version: &str) {
        let entry = target(id, Some(version));
        self.versions.replace(None, Some(&entry), Instant::now());
    }

    fn unlist(&mut self, id: &str, version: &str) {
        let entry = target(id, Some(version));
        self.versions.replace(Some(&entry), None, Instant::now());
    }

    /// The state of the box's data, last confirmed `age` ago.
    fn sync(&self, age: Duration) -> SyncState {
        SyncState {
            confirmed: Instant::now().checked_sub(age),
            contact: Some(self.contact),
            ..SyncState::default()
        }
    }

    /// The version that the box takes for the only one, if it is certain.
    fn certain(&self, age: Duration) -> Option<VersionHash> {
        let now = Instant::now();
        let sync = self.sync(age);
        let sole = self.versions.sole(&self.pool, WINDOW, &sync, now)?;
        sole.is_certain.then_some(sole.span.hash)
    }

    fn held(&self) -> Vec<String> {
        let held = self.versions.held(&self.pool, Instant::now());
        held.into_iter()
            .flatten()
            .map(|version| version.0)
            .collect()
    }
}

#[tokio::test(start_paused = true)]
async fn one_version_is_certain_only_after_it_was_alone_for_as_long_as_callers_may_wait() {
    let mut seen = Watcher::new();
    seen.list("i-1", "v1");
    advance(WINDOW - Duration::from_millis(1)).await;
    assert_eq!(seen.certain(Duration::ZERO), None);
    advance(Duration::from_millis(1)).await;
    assert_eq!(seen.certain(Duration::ZERO), Some(hash("v1")));
    seen.list("i-2", "v2");
    assert_eq!(seen.certain(Duration::ZERO), None);
    seen.unlist("i-1", "v1");
    advance(WINDOW - Duration::from_millis(1)).await;
    assert_eq!(
        seen.certain(Duration::ZERO),
        None,
        "v1 began streams before it left"
    );
    advance(Duration::from_millis(1)).await;
    assert_eq!(seen.certain(Duration::ZERO), Some(hash("v2")));
}

#[tokio::test(start_paused = true)]
async fn nothing_is_certain_for_a_box_whose_data_may_lack_a_version_that_others_use() {
    let mut seen = Watcher::new();
    seen.list("i-1", "v1");
    advance(WINDOW).await;
    assert!(
        seen.certain(HOLD_TIME - Duration::from_millis(500))
            .is_some()
    );
    assert_eq!(seen.certain(HOLD_TIME), None);
    seen.contact = Instant::now();
    assert_eq!(seen.certain(Duration::ZERO), None, "contact had a gap");
}

#[tokio::test(start_paused = true)]
async fn a_version_that_appears_gets_no_new_streams_at_first() {
    let mut seen = Watcher::new();
    seen.list("i-1", "v1");
    advance(HOLD_TIME).await;
    seen.list("i-2", "v2");
    seen.list("i-3", "v2");
    assert_eq!(seen.held(), ["v2"]);
    advance(HOLD_TIME - Duration::from_millis(1)).await;
    assert_eq!(seen.held(), ["v2"]);
    advance(Duration::from_millis(1)).await;
    assert!(seen.held().is_empty());
    seen.unlist("i-1", "v1");
    advance(HOLD_TIME).await;
    seen.list("i-1", "v1");
    assert_eq!(
        seen.held(),
        ["v1"],
        "a version that comes back is new to other boxes"
    );
}

#[tokio::test(start_paused = true)]
async fn a_box_that_has_just_started_uses_the_version_with_the_most_targets() {
    let mut seen = Watcher::new();
    seen.list("i-1", "v1");
    seen.list("i-2", "v2");
    seen.list("i-3", "v2");
    assert_eq!(seen.held(), ["v1"]);
}

#[tokio::test(start_paused = true)]
async fn a_target_that_changes_its_version_under_one_id_ends_the_earlier_one() {
    let mut seen = Watcher::new();
    seen.list("i-1", "v1");
    advance(WINDOW).await;
    let (before, after) = (target("i-1", Some("v1")), target("i-1", Some("v2")));
    let now = Instant::now();
    assert!(seen.versions.replace(Some(&before), Some(&after), now));
    assert!(!seen.versions.is_mixed(&seen.pool));
    assert_eq!(seen.certain(Duration::ZERO), None);
    assert_eq!(
        seen.versions.find(&seen.pool, hash("v1")).unwrap().targets,
        0
    );
    assert_eq!(
        seen.versions.find(&seen.pool, hash("v2")).unwrap().targets,
        1
    );
}

#[tokio::test(start_paused = true)]
async fn targets_that_name_no_version_are_a_version_of_their_own() {
    let mut seen = Watcher::new();
    seen.list("i-1", "v1");
    let unnamed = target("i-2", None);
    seen.versions.replace(None, Some(&unnamed), Instant::now());
    assert!(seen.versions.is_mixed(&seen.pool));
    assert_ne!(VersionHash::of(&unnamed), hash("v1"));
    assert_ne!(VersionHash::of(&unnamed), hash(""));
}

fn boxes(zones: usize, of_zone: usize) -> Vec<BoxEntry> {
    let place = |index: usize| BoxEntry {
        id: name(&format!("b-{index}")),
        zone: name(&format!("z{}", index % zones)),
        peers: ([127, 0, 0, 1], 1).into(),
        gossip: ([127, 0, 0, 1], index as u16).into(),
        link_mbps: 0,
    };
    (0..zones * of_zone).map(place).collect()
}

#[rstest]
#[case::small(3, 3)]
#[case::design_size(6, 63)]
#[test]
fn boxes_of_any_two_zones_have_two_holders_of_a_stream_in_common(
    #[case] zones: usize,
    #[case] of_zone: usize,
) {
    let boxes = boxes(zones, of_zone);
    for number in 0..500 {
        let key = StreamKey::new("acme", &format!("r-{number}"));
        let of = |zone: &ZoneId| -> HashSet<_> {
            let found = holders(&boxes, zone, key).into_iter();
            found.map(|entry| entry.id.clone()).collect()
        };
        let (here, there): (ZoneId, ZoneId) = (name("z0"), name("z1"));
        assert_eq!(of(&here).len(), 4);
        assert!(of(&here).intersection(&of(&there)).count() >= 2);
        let in_zone = holders(&boxes, &here, key);
        let in_zone = in_zone.iter().filter(|entry| entry.zone == here);
        assert_eq!(in_zone.count(), 2, "a zone that is cut off has holders");
    }
}

/// Returns the share of streams, begun at the first of some boxes, whose spare holders are found by boxes that ask, once those
/// that `lost` draws for a round are gone.
fn share_known(boxes: &[BoxEntry], lost: impl Fn(usize) -> HashSet<usize>) -> f64 {
    const ROUNDS: usize = 500;
    let index = |entry: &BoxEntry| usize::from(entry.gossip.port());
    let mut known = 0;
    for round in 0..ROUNDS {
        let (key, lost) = (StreamKey::new("acme", &format!("r-{round}")), lost(round));
        let told = spare_holders(&boxes[1..], &boxes[0].zone, key);
        let told: HashSet<usize> = told.into_iter().map(index).collect();
        let alive = (1..boxes.len()).filter(|at| !lost.contains(at));
        let alive: Vec<usize> = alive.collect();
        let asks = alive[round % alive.len()];
        let others = boxes.iter().filter(|entry| index(entry) != asks);
        let others: Vec<BoxEntry> = others.cloned().collect();
        let (first, next) = asked(&others, &boxes[asks].zone, key);
        let mut reached = first.into_iter().chain(next).map(index);
        let knows = |at: usize| told.contains(&at) && !lost.contains(&at);
        known += usize::from(knows(asks) || reached.any(knows));
    }
    known as f64 / ROUNDS as f64
}

#[rstest]
#[case::three_of_nine(3, 3, 2)]
#[case::sixteen_of_the_design_size(6, 63, 15)]
#[test]
fn spare_holders_know_nearly_all_streams_of_a_box_that_is_killed_with_others(
    #[case] zones: usize,
    #[case] of_zone: usize,
    #[case] others: usize,
) {
    let boxes = boxes(zones, of_zone);
    let share = share_known(&boxes, |round| {
        let mut drawn: Vec<usize> = (1..boxes.len()).collect();
        drawn.shuffle(&mut StdRng::seed_from_u64(round as u64));
        drawn.into_iter().take(others).collect()
    });
    println!("{share}");
    assert!(share >= 0.95, "{share}");
}

#[rstest]
#[case::small_site(3, 3)]
#[case::design_size(6, 63)]
#[test]
fn spare_holders_know_nearly_all_streams_of_a_zone_that_is_lost(
    #[case] zones: usize,
    #[case] of_zone: usize,
) {
    let boxes = boxes(zones, of_zone);
    let share = share_known(&boxes, |_| {
        (1..boxes.len()).filter(|at| at % zones == 0).collect()
    });
    println!("{share}");
    assert!(share >= 0.95, "{share}");
}

#[test]
fn few_boxes_are_asked_in_a_large_fleet_and_all_in_a_small_one() {
    let key = StreamKey::new("acme", "r-1");
    let zone: ZoneId = name("z0");
    let small = boxes(3, 5);
    assert_eq!(asked(&small, &zone, key).0.len(), small.len());
    let large = boxes(6, 63);
    let (first, next) = asked(&large, &zone, key);
    let ids: HashSet<_> = first.iter().chain(&next).map(|entry| &entry.id).collect();
    assert_eq!((first.len(), ids.len()), (4, 12));
}

#[test]
fn streams_are_spread_evenly_over_boxes() {
    let boxes = boxes(6, 63);
    let mut counts = vec![0; boxes.len()];
    for number in 0..20_000 {
        let key = StreamKey::new("acme", &format!("r-{number}"));
        let zone: ZoneId = name(&format!("z{}", number % 6));
        for holder in holders(&boxes, &zone, key) {
            counts[usize::from(holder.gossip.port())] += 1;
        }
    }
    let mean = 20_000 * 4 / boxes.len();
    assert!(counts.iter().all(|count| *count < mean * 2), "{counts:?}");
}

fn record(id: &str, version: &str, life: Duration) -> StreamRecord {
    StreamRecord::new(StreamKey::new("acme", id), hash(version), life)
}

#[tokio::test(start_paused = true)]
async fn a_record_lasts_for_its_life_and_longer_if_it_is_stated_again() {
    let (mut table, key) = (RecordTable::default(), StreamKey::new("acme", "r"));
    table.insert(&record("r", "v1", WINDOW), Instant::now());
    advance(WINDOW - Duration::from_millis(1)).await;
    assert_eq!(table.version(key, Instant::now()), Some(hash("v1")));
    table.insert(&record("r", "v1", WINDOW), Instant::now());
    advance(WINDOW - Duration::from_millis(1)).await;
    table.insert(&record("other", "v1", WINDOW), Instant::now());
    assert_eq!(table.version(key, Instant::now()), Some(hash("v1")));
    advance(Duration::from_millis(1)).await;
    assert_eq!(table.version(key, Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn a_stream_of_which_two_versions_are_stated_has_none() {
    let mut table = RecordTable::default();
    for version in ["v1", "v2", "v1"] {
        table.insert(&record("r", version, WINDOW), Instant::now());
    }
    let key = StreamKey::new("acme", "r");
    assert_eq!(table.version(key, Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn the_number_of_records_is_bounded_and_the_newest_stay() {
    let mut table = RecordTable::default();
    for number in 0..40_000 {
        let record = record(&format!("r-{number}"), "v1", WINDOW);
        table.insert(&record, Instant::now());
    }
    assert!(table.len() <= 32_768, "{}", table.len());
    let newest = StreamKey::new("acme", "r-39999");
    assert_eq!(table.version(newest, Instant::now()), Some(hash("v1")));
}

#[tokio::test(start_paused = true)]
async fn streams_are_told_once_when_their_pool_gets_a_second_version() {
    let mut table = RecordTable::default();
    let (pool, other): (PoolId, PoolId) = (name("llm"), name("other"));
    let now = Instant::now();
    table.keep_untold(record("a", "v1", WINDOW), pool.clone(), now);
    table.keep_untold(record("b", "v1", WINDOW), other.clone(), now);
    assert!(table.take_untold(|_, _| false, now).is_empty());
    let told = table.take_untold(|of, _| *of == pool, now);
    assert_eq!(told, [record("a", "v1", WINDOW)]);
    assert!(table.take_untold(|of, _| *of == pool, now).is_empty());
    advance(WINDOW).await;
    let late = table.take_untold(|_, _| true, Instant::now());
    assert!(late.is_empty(), "nobody resumes them any more");
}

#[test]
fn a_caller_of_another_organisation_has_other_streams() {
    assert_ne!(StreamKey::new("acme", "r"), StreamKey::new("other", "r"));
    assert_ne!(StreamKey::new("a", "cme\nr"), StreamKey::new("acme", "r"));
}

#[test]
fn a_datagram_holds_as_many_records_as_are_put_into_one() {
    let fleet = sillpin_gateway::peers::wire::FleetKey::of(([10, 0, 0, 1], 1).into());
    let life = Duration::from_secs(600);
    let all = (0..MAX_RECORDS).map(|number| record(&number.to_string(), "v1", life));
    let message = StreamMessage::Records(all.collect());
    let key = fleet.for_streams();
    let buf = sillpin_gateway::peers::wire::encode_message(key, &message).unwrap();
    assert!(buf.len() < 6_000, "{}", buf.len());
    let one = StreamMessage::Records(vec![record("r", "v1", life)]);
    let one = sillpin_gateway::peers::wire::encode_message(key, &one).unwrap();
    assert!(one.len() <= 42, "{}", one.len());
    let read: StreamMessage = sillpin_gateway::peers::wire::decode_message(key, &buf).unwrap();
    assert_eq!(read, message);
    assert!(sillpin_gateway::peers::wire::decode(fleet, &buf).is_err());
}

/// Two boxes of a fleet that exchange datagrams about streams, and any number of others that get them.
struct Pair {
    first: StreamVersions,
    second: StreamVersions,
}

impl Pair {
    async fn start(others: usize) -> Self {
        let mut sockets = Vec::new();
        for _ in 0..2 {
            let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            sockets.push(Arc::new(socket));
        }
        let quiet = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut all = boxes(6, others.div_ceil(6));
        for entry in &mut all {
            entry.gossip = quiet.local_addr().unwrap();
        }
        for (index, socket) in sockets.iter().enumerate() {
            all.push(BoxEntry {
                id: name(&format!("own-{index}")),
                zone: name("own"),
                gossip: socket.local_addr().unwrap(),
                ..all[0].clone()
            });
        }
        let mut started = Vec::new();
        for (index, socket) in sockets.into_iter().enumerate() {
            let me = all[all.len() - 2 + index].clone();
            started.push(start_box(me, all.clone(), socket).await);
        }
        // Keeps the port taken, so that datagrams to it are not refused.
        std::mem::forget(quiet);
        let second = started.pop().unwrap();
        Self {
            first: started.pop().unwrap(),
            second,
        }
    }
}

/// Starts a box that knows these boxes and receives datagrams at `socket`.
async fn start_box(me: BoxEntry, all: Vec<BoxEntry>, socket: Arc<UdpSocket>) -> StreamVersions {
    let log = Logger::root(Discard, slog::o!());
    let (fleet, port) = fleet_state::channel();
    tokio::spawn(Fleet::new(me.id.clone(), TestKeys, log.clone()).run(port));
    fleet.send(FleetMsg::Registered(all.clone())).await;
    let mut views = fleet.subscribe();
    let knows_all = |view: &Arc<View>| view.box_count() == all.len();
    views.wait_for(knows_all).await.unwrap();
    let metrics = Metrics::new("sillpin-box", me.id.as_str()).unwrap();
    let metrics = BoxMetrics::new(&metrics.meter(), CallCounts::default());
    let key = FleetKey::of(([10, 0, 0, 1], 1).into());
    let register = register::channel().0;
    let streams = StreamVersions::new(key, me, fleet, socket.clone(), register, metrics, log);
    let receiving = streams.clone();
    tokio::spawn(async move {
        let mut buf = vec![0; 16_384];
        while let Ok((len, from)) = socket.recv_from(&mut buf).await {
            receiving.receive(&buf[..len], from);
        }
    });
    streams
}

fn resumed(id: &str) -> ResumedStream {
    ResumedStream {
        key: StreamKey::new("acme", id),
        pool: Some(target("any", None).pool),
        window: WINDOW,
    }
}

#[tokio::test]
async fn a_box_of_the_zone_knows_what_another_recorded_and_asks_for_nothing_else() {
    let pair = Pair::start(380).await;
    let pool = target("any", None).pool;
    pair.first.record(&pool, record("r", "v1", WINDOW));
    let found = pair.second.find(&resumed("r")).await;
    assert_eq!(found.map(|(version, _)| version), Some(hash("v1")));
    let asked = Instant::now();
    assert_eq!(pair.second.find(&resumed("never-was")).await, None);
    assert!(
        asked.elapsed() < Duration::from_secs(1),
        "{:?}",
        asked.elapsed()
    );
}

#[tokio::test]
async fn the_first_event_of_a_stream_waits_less_than_a_millisecond_for_its_record() {
    let pair = Pair::start(380).await;
    let pool = target("any", None).pool;
    let mut times = Vec::new();
    for number in 0..500 {
        let began = std::time::Instant::now();
        pair.first
            .record(&pool, record(&number.to_string(), "v1", WINDOW));
        times.push(began.elapsed());
    }
    times.sort_unstable();
    let median = times[times.len() / 2];
    println!("median {median:?}");
    assert!(median < Duration::from_millis(1), "{median:?}");
}
