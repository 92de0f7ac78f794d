//! Tests of immediate updates of the work at engines.
//!
//! Guards against prompts placed by reports that are older than the work itself: with reports 0.3 s
//! late, a zone of 60 boxes served 0.58 of what it can serve at twice its capacity.

mod common;

use common::{name, target};
use rstest::rstest;
use sillpin_core::{BoxId, Tokens, ZoneId};
use sillpin_gateway::peers::datagram::{
    BoxHash, Datagram, EngineUpdate, EngineUpdateContent, Report, Sums, SyncSummary, ZoneSummary,
};
use sillpin_gateway::peers::hub::Hub;
use sillpin_gateway::peers::update_limit::{MAX_RATES, MaxRates, Switch, UpdateLimit};
use sillpin_gateway::peers::wire::{self, FleetKey};
use sillpin_gateway::placement::Loads;
use sillpin_gateway::placement::direct_work::ZoneScope;
use sillpin_gateway::placement::work::{EngineWork, RowKind, TargetHash, Work};
use sillpin_gateway::placement::work_changes::BATCH_TIME;
use sillpin_platform::KvRevision;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a box's rows are used.
const LIFETIME: Duration = Duration::from_millis(1_300);

/// Time between two complete lists of a box.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

fn id(index: usize) -> BoxId {
    name(&format!("b-{index}"))
}

fn hash(index: usize) -> BoxHash {
    BoxHash::unranked_from_id(&id(index))
}

fn engine(text: &str) -> TargetHash {
    TargetHash::of(&target(text))
}

fn row(engine_name: &str, ms: u32) -> EngineWork {
    EngineWork(engine(engine_name), ms, 1_000, 1)
}

/// Returns the loads of box 0 in a zone of `boxes` boxes with the engines `e1` and `e2`.
fn loads(boxes: usize) -> Loads {
    let loads = Loads::default();
    loads.set_zone_scope(Some(ZoneScope {
        zone: name("za"),
        peers: (1..boxes).map(hash).collect(),
        engines: [engine("e1"), engine("e2")].into(),
    }));
    loads
}

fn send(loads: &Loads, from: usize, sequence: u32, content: EngineUpdateContent) {
    let from = hash(from);
    let update = EngineUpdate {
        from,
        sequence,
        content,
    };
    loads.apply_engine_update(update, Instant::now());
}

fn complete(loads: &Loads, from: usize, sequence: u32, rows: &[EngineWork]) {
    send(
        loads,
        from,
        sequence,
        EngineUpdateContent::Complete(rows.to_vec()),
    );
}

fn changed(loads: &Loads, from: usize, sequence: u32, rows: &[EngineWork]) {
    send(
        loads,
        from,
        sequence,
        EngineUpdateContent::Changed(rows.to_vec()),
    );
}

fn marker() -> EngineWork {
    EngineWork(TargetHash::other_zones_marker(), 0, 0, 1)
}

/// Returns the prefill work of other boxes at an engine, in milliseconds.
fn ms_at(loads: &Loads, of: TargetHash) -> f64 {
    let work = loads.peer_work(Instant::now());
    work.get(&of).map_or(0.0, |work| work.prefill_ms)
}

fn is_fresh(loads: &Loads) -> bool {
    loads.is_fresh(&name::<ZoneId>("za"), Instant::now())
}

#[tokio::test(start_paused = true)]
async fn direct_rows_replace_the_zones_part_of_a_hubs_sums() {
    let loads = loads(3);
    let streams = TargetHash::for_rows("e1", RowKind::Streams);
    let sums = vec![
        marker(),
        // 300 ms of the zone's boxes, reported some time ago, and 40 ms of other zones.
        row("e1", 340),
        EngineWork(engine("e1").in_other_zones(), 40, 0, 1),
        row("e2", 70),
        row("elsewhere", 90),
        EngineWork(streams, 0, 500, 3),
    ];
    loads.apply_zone_totals(sums.clone(), &[hash(0), hash(1), hash(2)]);
    assert_eq!(ms_at(&loads, engine("e1")), 340.0, "nothing direct yet");
    complete(&loads, 1, 1, &[row("e1", 100)]);
    complete(&loads, 2, 1, &[row("e1", 10)]);
    assert!(is_fresh(&loads));
    assert_eq!(ms_at(&loads, engine("e1")), 150.0);
    assert_eq!(
        ms_at(&loads, engine("e2")),
        0.0,
        "the hub's work is done already"
    );
    assert_eq!(ms_at(&loads, engine("elsewhere")), 90.0);
    let work = loads.peer_work(Instant::now());
    assert_eq!(work[&streams].requests, 3.0, "rows of other kinds stay");
    assert!(!loads.is_fresh(&name::<ZoneId>("zb"), Instant::now()));
}

/// An old hub does not state the work of other zones, so it could not be told from the own zone's.
#[tokio::test(start_paused = true)]
async fn without_the_work_of_other_zones_the_hubs_sums_are_used() {
    let loads = loads(3);
    loads.apply_zone_totals(vec![row("e1", 340)], &[hash(0), hash(1), hash(2)]);
    complete(&loads, 1, 1, &[row("e1", 100)]);
    complete(&loads, 2, 1, &[]);
    assert!(!is_fresh(&loads));
    assert_eq!(ms_at(&loads, engine("e1")), 340.0);
}

#[tokio::test(start_paused = true)]
async fn direct_rows_replace_the_reports_of_the_same_boxes() {
    let loads = loads(3);
    loads.apply_update(id(1), vec![row("e1", 100), row("elsewhere", 5)]);
    loads.apply_update(id(2), vec![row("e1", 10)]);
    loads.apply_update(name("other-zone"), vec![row("e1", 40)]);
    assert_eq!(ms_at(&loads, engine("e1")), 150.0);
    complete(&loads, 1, 1, &[row("e1", 200)]);
    complete(&loads, 2, 1, &[]);
    assert!(is_fresh(&loads));
    assert_eq!(ms_at(&loads, engine("e1")), 240.0);
    assert_eq!(ms_at(&loads, engine("elsewhere")), 5.0);
}

#[tokio::test(start_paused = true)]
async fn older_datagrams_are_dropped() {
    let loads = loads(2);
    complete(&loads, 1, u32::MAX, &[row("e1", 100)]);
    changed(&loads, 1, 1, &[row("e1", 50), row("e2", 20)]);
    changed(&loads, 1, 0, &[row("e1", 70)]);
    changed(&loads, 1, 1, &[row("e2", 90)]);
    assert_eq!(ms_at(&loads, engine("e1")), 50.0, "numbers wrap around");
    assert_eq!(ms_at(&loads, engine("e2")), 20.0, "duplicates are dropped");
    changed(&loads, 1, 2, &[EngineWork(engine("e1"), 0, 0, 0)]);
    assert_eq!(ms_at(&loads, engine("e1")), 0.0);
    complete(&loads, 1, 3, &[row("e1", 30)]);
    assert_eq!(ms_at(&loads, engine("e2")), 0.0, "a list replaces all rows");
}

/// Guards against work of a box that has died, and against a box that starts anew being ignored.
#[tokio::test(start_paused = true)]
async fn rows_are_dropped_if_nothing_arrives_for_their_lifetime() {
    let loads = loads(2);
    complete(&loads, 1, 1_000_000, &[row("e1", 100)]);
    tokio::time::advance(LIFETIME - Duration::from_millis(1)).await;
    assert!(is_fresh(&loads));
    assert_eq!(ms_at(&loads, engine("e1")), 100.0);
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(!is_fresh(&loads));
    assert_eq!(ms_at(&loads, engine("e1")), 0.0);
    complete(&loads, 1, 1, &[row("e1", 10)]);
    assert_eq!(
        ms_at(&loads, engine("e1")),
        10.0,
        "the clock was set back meanwhile"
    );
}

#[tokio::test(start_paused = true)]
async fn changes_without_a_list_are_not_all_of_a_boxs_work() {
    let loads = loads(2);
    changed(&loads, 1, 1, &[row("e1", 100)]);
    assert!(!is_fresh(&loads));
    complete(&loads, 1, 2, &[row("e1", 100)]);
    assert!(is_fresh(&loads));
    // The sender does not hear this box, so it no longer sends its changes here.
    send(&loads, 1, 3, EngineUpdateContent::Hello);
    assert!(!is_fresh(&loads));
    assert_eq!(
        loads.heard_directly(&[hash(1)], Instant::now()),
        [hash(1)].into()
    );
    complete(&loads, 1, 4, &[]);
    send(&loads, 1, 5, EngineUpdateContent::Stopped);
    assert!(!is_fresh(&loads));
    assert!(loads.heard_directly(&[hash(1)], Instant::now()).is_empty());
}

#[rstest]
#[case(4, 0)]
#[case(5, 1)]
#[case(8, 1)]
#[case(30, 4)]
#[case(60, 7)]
#[tokio::test(start_paused = true)]
async fn nearly_all_live_boxes_are_enough(#[case] boxes: usize, #[case] may_miss: usize) {
    let loads = loads(boxes);
    for from in 1..boxes - may_miss - 1 {
        complete(&loads, from, 1, &[]);
    }
    assert!(!is_fresh(&loads), "one more than {may_miss} is missing");
    complete(&loads, boxes - may_miss - 1, 1, &[]);
    assert!(is_fresh(&loads));
}

#[tokio::test(start_paused = true)]
async fn boxes_that_the_hub_does_not_hear_are_not_waited_for() {
    let loads = loads(12);
    (1..6).for_each(|from| complete(&loads, from, 1, &[]));
    let members: Vec<BoxHash> = (0..12).map(hash).collect();
    loads.apply_zone_totals(vec![marker()], &members);
    assert!(!is_fresh(&loads));
    loads.apply_zone_totals(vec![marker()], &members[..6]);
    assert!(is_fresh(&loads));
}

#[tokio::test(start_paused = true)]
async fn boxes_of_no_concern_are_ignored() {
    let loads = loads(2);
    complete(&loads, 1, 1, &[]);
    complete(&loads, 7, 1, &[row("e1", 100)]);
    complete(&loads, 1, 2, &[row("elsewhere", 100)]);
    assert_eq!(ms_at(&loads, engine("e1")), 0.0);
    assert_eq!(ms_at(&loads, engine("elsewhere")), 0.0);
    loads.set_zone_scope(None);
    complete(&loads, 1, 3, &[row("e1", 100)]);
    assert!(!is_fresh(&loads));
    assert_eq!(ms_at(&loads, engine("e1")), 0.0);
}

#[tokio::test(start_paused = true)]
async fn prefill_work_is_sent_immediately_and_ends_are_batched() {
    let loads = loads(2);
    let changes = &loads.work_changes;
    let began = Instant::now();
    let due_after = || changes.due(began, began).map(|due| due - began);
    let work = Work::one(150.0, Tokens(9_000));
    let mut prompt = loads.start(&target("e1"), work);
    assert_eq!(due_after(), Some(Duration::ZERO));
    let rows = loads.work_at(&changes.take().targets);
    assert_eq!(rows, [EngineWork(engine("e1"), 150, 9_000, 1)]);
    assert_eq!(due_after(), None);
    prompt.prefill_done();
    assert_eq!(due_after(), Some(Duration::ZERO));
    let rows = loads.work_at(&changes.take().targets);
    assert_eq!(rows, [EngineWork(engine("e1"), 0, 9_000, 1)]);
    drop(prompt);
    assert_eq!(due_after(), Some(BATCH_TIME));
    drop(loads.start(&target("e1"), work));
    assert_eq!(due_after(), Some(Duration::ZERO));
    let rows = loads.work_at(&changes.take().targets);
    assert_eq!(rows, [EngineWork(engine("e1"), 0, 0, 0)]);
    drop(loads.start(&target("e1"), work));
    assert_eq!(due_after(), Some(Duration::ZERO), "the prefill is not done");
}

#[tokio::test(start_paused = true)]
async fn changes_elsewhere_are_not_recorded() {
    let loads = loads(2);
    let _guard = loads.start(&target("elsewhere"), Work::one(150.0, Tokens(9_000)));
    let _plain = loads.start(&target("e1"), Work::default());
    assert_eq!(loads.work_changes.due(Instant::now(), Instant::now()), None);
    loads.set_zone_scope(None);
    let _prompt = loads.start(&target("e1"), Work::one(150.0, Tokens(9_000)));
    assert_eq!(loads.work_changes.due(Instant::now(), Instant::now()), None);
}

/// Guards against a lost wake-up: a change that is recorded while the task does something else.
#[tokio::test(start_paused = true)]
async fn waiting_for_changes_ends_when_they_are_due() {
    let loads = loads(2);
    let began = Instant::now();
    let recorded = loads.clone();
    let prompt = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut prompt = recorded.start(&target("e1"), Work::one(9.0, Tokens(800)));
        tokio::time::sleep(Duration::from_millis(50)).await;
        prompt.prefill_done();
        recorded.work_changes.take();
    });
    loads.work_changes.wait_until_due(began, began).await;
    assert_eq!(began.elapsed(), Duration::from_millis(50));
    loads.work_changes.take();
    prompt.await.unwrap();
    loads.work_changes.wait_until_due(began, began).await;
    assert_eq!(began.elapsed(), Duration::from_millis(100) + BATCH_TIME);
    let earliest = Instant::now() + Duration::from_millis(30);
    loads.work_changes.wait_until_due(began, earliest).await;
    assert_eq!(Instant::now(), earliest);
}

fn sync_summary() -> SyncSummary {
    SyncSummary {
        revision: KvRevision(1),
        content: 1,
        age_ms: Some(0),
    }
}

fn report(from: usize, work: Vec<EngineWork>) -> Report {
    Report {
        from: hash(from),
        work,
        replaced: Vec::new(),
        operators_sync: sync_summary(),
        targets_sync: sync_summary(),
        retired: Vec::new(),
        fatal: Vec::new(),
        limits: Vec::new(),
        releases: Vec::new(),
        updates: Vec::new(),
    }
}

/// Returns the rows of the bulletin of a hub whose zone has 100 ms of work at `e1`, to which another
/// zone added 40 ms.
async fn bulletin_rows(zone_engines: Vec<TargetHash>) -> Vec<EngineWork> {
    let first = (0..3).min_by_key(|index| hash(*index)).unwrap();
    let mut hub = Hub::new(hash(first));
    hub.set_zone_engines(zone_engines.into_iter().collect());
    let sums = || Sums {
        work: Vec::new(),
        replaced: Vec::new(),
        operators_sync: sync_summary(),
        targets_sync: sync_summary(),
        retired: Vec::new(),
        fatal: Vec::new(),
        limits: Vec::new(),
        releases: Vec::new(),
    };
    hub.bulletins(sums, Instant::now());
    tokio::time::advance(Duration::from_secs(1)).await;
    let now = Instant::now();
    (0..3).for_each(|from| hub.apply_report(report(from, Vec::new()), now));
    hub.apply_report(report(first, vec![row("e1", 100)]), now);
    let summary = ZoneSummary {
        zone: name("zb"),
        from: "127.0.0.1:1".parse().unwrap(),
        work: vec![row("e1", 40), row("elsewhere", 70)],
        replaced: Vec::new(),
        retired: Vec::new(),
        fatal: Vec::new(),
        limits: Vec::new(),
        releases: Vec::new(),
        load_updates: Vec::new(),
    };
    hub.apply_zone_summary(summary, now);
    let bulletins = hub.bulletins(sums, now);
    let mut rows = bulletins[0].sums.as_ref().unwrap().work.clone();
    rows.sort_by_key(|row| (row.1, row.3));
    rows
}

#[tokio::test(start_paused = true)]
async fn a_hub_states_the_work_of_other_zones_apart() {
    let rows = bulletin_rows(vec![engine("e1"), engine("e2")]).await;
    let in_other_zones = EngineWork(engine("e1").in_other_zones(), 40, 1_000, 1);
    let total = EngineWork(engine("e1"), 140, 2_000, 2);
    assert_eq!(
        rows,
        [marker(), in_other_zones, row("elsewhere", 70), total]
    );
    let rows = bulletin_rows(Vec::new()).await;
    assert_eq!(rows, [row("elsewhere", 70), total], "switched off");
}

/// Returns the most that a box that always has changes sends per second, counted over two seconds,
/// with lists of `list` bytes.
async fn sent_per_second(peers: usize, update: usize, list: usize) -> (usize, usize) {
    let mut limit = UpdateLimit::default();
    let mut sent: Vec<(Instant, usize)> = Vec::new();
    let began = Instant::now();
    let mut next_list = began;
    while began.elapsed() < Duration::from_secs(20) {
        let now = Instant::now();
        if now >= next_list {
            next_list += LIST_INTERVAL;
            limit.record_list(peers, peers * list);
            sent.push((now, peers * list));
        }
        if limit.ready_at(peers, now).0 <= now {
            limit.record_sent(peers, peers * update, now);
            sent.push((now, peers * update));
        }
        tokio::time::advance(Duration::from_millis(1)).await;
    }
    let within_window = |start: Instant| {
        let within = sent
            .iter()
            .filter(|(at, _)| *at >= start && *at < start + 2 * Duration::from_secs(1));
        let bytes: Vec<usize> = within.map(|(_, bytes)| *bytes).collect();
        (bytes.len() * peers / 2, bytes.iter().sum::<usize>() / 2)
    };
    let seconds: Vec<_> = sent.iter().map(|(at, _)| within_window(*at)).collect();
    let datagrams = seconds.iter().map(|(datagrams, _)| *datagrams).max();
    let bytes = seconds.iter().map(|(_, bytes)| *bytes).max();
    (datagrams.unwrap(), bytes.unwrap())
}

/// Guards against boxes that spend their CPU time and link on updates.
#[rstest]
#[case(9, 32, 60)]
#[case(9, 15, 18)]
#[case(29, 32, 60)]
#[case(63, 28, 28)]
#[tokio::test(start_paused = true)]
async fn a_box_sends_within_the_limit(
    #[case] peers: usize,
    #[case] update: usize,
    #[case] list: usize,
) {
    let (datagrams, bytes) = sent_per_second(peers, update, list).await;
    println!("{peers} peers: {datagrams} datagrams, {bytes} bytes in a second");
    assert!(datagrams <= MAX_RATES.datagrams as usize, "{datagrams}");
    assert!(bytes <= MAX_RATES.bytes as usize, "{bytes}");
    let is_used = datagrams * 10 > MAX_RATES.datagrams as usize * 7
        || bytes * 10 > MAX_RATES.bytes as usize * 7;
    assert!(is_used, "the limit is hardly used");
}

#[tokio::test(start_paused = true)]
async fn a_box_stops_if_its_updates_wait_too_long_and_resumes() {
    let mut limit = UpdateLimit::default();
    let late = Duration::from_millis(150);
    let second = Duration::from_secs(1);
    let late_time = Duration::from_millis(500);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        limit.record_wait(late, Instant::now());
        assert_eq!(
            limit.switch(None, Instant::now()),
            None,
            "late for a moment"
        );
        limit.record_wait(Duration::from_millis(50), Instant::now());
        tokio::time::advance(late_time).await;
        assert_eq!(limit.switch(None, Instant::now()), None, "in time again");
        limit.record_wait(late, Instant::now());
        tokio::time::advance(late_time).await;
        limit.record_wait(late, Instant::now());
        assert_eq!(
            limit.switch(None, Instant::now()),
            Some(Switch::StoppedSending)
        );
        let stopped = Instant::now();
        while limit.switch(None, Instant::now()).is_none() {
            assert!(!limit.is_sending());
            tokio::time::advance(second).await;
        }
        assert!(limit.is_sending());
        pauses.push(stopped.elapsed().as_secs());
    }
    assert_eq!(pauses, [5, 10, 20, 40, 80, 80]);
    tokio::time::advance(Duration::from_secs(40)).await;
    limit.record_wait(late, Instant::now());
    tokio::time::advance(second).await;
    limit.switch(None, Instant::now());
    tokio::time::advance(Duration::from_secs(5)).await;
    assert_eq!(limit.switch(None, Instant::now()), Some(Switch::Resumed));
}

/// A limit with fewer bytes than that of a box.
const SMALL_LIMIT: MaxRates = MaxRates {
    datagrams: 600.0,
    bytes: 12_000.0,
};

/// Guards against a box that sends nothing but lists and counts as one that sends its changes: the
/// lists alone took the limit, so its changes waited for 9 s.
#[tokio::test(start_paused = true)]
async fn a_box_stops_if_its_lists_take_the_limit() {
    let mut limit = UpdateLimit::new(SMALL_LIMIT);
    limit.record_list(60, 6_000);
    let recorded = Instant::now();
    let (immediate, batched) = limit.ready_at(60, recorded);
    assert!(immediate > recorded && batched > recorded);
    tokio::time::advance(Duration::from_millis(500)).await;
    assert_eq!(limit.switch(Some(recorded), Instant::now()), None);
    tokio::time::advance(Duration::from_millis(50)).await;
    let switch = limit.switch(Some(recorded), Instant::now());
    assert_eq!(switch, Some(Switch::StoppedSending));
}

#[tokio::test(start_paused = true)]
async fn a_box_stops_if_it_receives_too_much() {
    let mut limit = UpdateLimit::default();
    for received in 0..3 * MAX_RATES.datagrams as usize {
        limit.record_received(15, Instant::now());
        assert_eq!(limit.switch(None, Instant::now()), None, "after {received}");
        tokio::time::advance(Duration::from_micros(1_700)).await;
    }
    tokio::time::advance(Duration::from_secs(1)).await;
    for _ in 0..2 * MAX_RATES.datagrams as usize + 1 {
        limit.record_received(15, Instant::now());
    }
    assert_eq!(
        limit.switch(None, Instant::now()),
        Some(Switch::StoppedReceiving)
    );
}

/// Guards against a box that tries again and again although its zone has too many requests.
#[tokio::test(start_paused = true)]
async fn a_box_resumes_only_if_its_changes_fit_the_limit() {
    let mut limit = UpdateLimit::new(SMALL_LIMIT);
    limit.record_sent(100, 3_000, Instant::now());
    limit.record_wait(Duration::from_secs(1), Instant::now());
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(limit.switch(None, Instant::now()).is_some());
    for unsent in [450, 310, 290] {
        assert!(!limit.is_sending(), "before {unsent} a second");
        for _ in 0..5 {
            limit.record_unsent(unsent);
            tokio::time::advance(Duration::from_secs(1)).await;
        }
        limit.switch(None, Instant::now());
    }
    assert!(limit.is_sending(), "290 datagrams of 30 bytes a second fit");
}

/// During an upgrade, boxes without a kind of datagram drop it.
#[test]
fn a_datagram_of_an_unknown_kind_is_not_read() {
    let fleet = FleetKey::new(Some("test"), "127.0.0.1:1".parse().unwrap());
    let update = Datagram::EngineUpdate(EngineUpdate {
        from: hash(1),
        sequence: 1,
        content: EngineUpdateContent::Changed(vec![row("e1", 150)]),
    });
    let mut buf = wire::encode(fleet, &update).unwrap();
    println!("an update of one engine takes {} bytes", buf.len());
    assert!(wire::decode(fleet, &buf).is_ok());
    let kind = 8;
    assert_eq!(buf[kind], 7, "kinds keep their numbers");
    buf[kind] = 8;
    assert!(wire::decode(fleet, &buf).is_err());
}
