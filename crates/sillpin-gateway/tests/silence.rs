//! Tests of the decision which engines are silent, on a paused clock.
//!
//! Without it, each stream at an engine that stops waits for some seconds, and each box sends to the engine until its
//! own attempts have failed. Wrong findings are as bad: they end streams of engines that are only busy.

mod common;

use common::{engine, name};
use rstest::rstest;
use sillpin_core::{PoolId, ZoneId};
use sillpin_gateway::config::{EngineSpec, FleetConfig, Idempotency, Pool, Priority, Route, Share};
use sillpin_gateway::peers::datagram::BoxHash;
use sillpin_gateway::placement::Loads;
use sillpin_gateway::placement::silence::{
    Decisions, Evidence, TICK, TickInputs, WaitId, WatchedEngine,
};
use sillpin_gateway::placement::silence_watch::watched_engines;
use sillpin_gateway::placement::work::{EngineWork, IncarnationHash, RowKind, TargetHash};
use std::collections::{HashMap, HashSet, VecDeque};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const MAX_EVENT_GAP: Duration = Duration::from_millis(800);

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

const ZONE: &str = "za";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn watched(id: &str, zone: &str, observer: &str) -> WatchedEngine {
    let entry = Arc::new(engine(id, zone));
    let observer: ZoneId = name(observer);
    WatchedEngine {
        incarnation: IncarnationHash::of(&entry),
        rows: TargetHash::for_rows(id, RowKind::Silent(&observer)),
        entry,
        min_event_gap: MAX_EVENT_GAP,
    }
}

/// What an engine does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    /// It sends events and responds to requests for its report.
    Streams,
    /// It sends no events and responds to requests for its report after this time.
    Prefills(Duration),
    /// It sends nothing.
    Silent,
}

struct Stream {
    engine: usize,
    wait: WaitId,
    next_event: Instant,
}

struct SimBox {
    loads: Loads,
    streams: Vec<Stream>,
    /// Responses to requests for reports that are on their way.
    reports: Vec<(Instant, usize)>,
    /// Whether no engine can be reached.
    is_cut_off: bool,
    /// Until when the process does not run.
    frozen_until: Option<Instant>,
    suspended: Duration,
    /// When each engine went out of use, and whether it is.
    found: Vec<(Instant, usize, Evidence)>,
    out: Vec<bool>,
    lost: Vec<(Instant, usize)>,
    asked: Vec<(Instant, usize)>,
    next_tick: Instant,
}

/// Boxes of one zone and the engines that they use; a hub sends the rows to all.
struct Zone {
    boxes: Vec<SimBox>,
    engines: Vec<WatchedEngine>,
    behaviour: Vec<Behaviour>,
    members: Vec<BoxHash>,
    bulletins: VecDeque<(Instant, Vec<EngineWork>)>,
    next_bulletin: Instant,
}

const STEP: Duration = Duration::from_millis(5);

/// Time between two reports to the hub.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time until a hub's sums arrive.
const HUB_DELAY: Duration = Duration::from_millis(100);

impl Zone {
    fn new(boxes: usize, engines: usize) -> Self {
        let now = Instant::now();
        let new_box = |index: u64| SimBox {
            loads: Loads::default(),
            streams: Vec::new(),
            reports: Vec::new(),
            is_cut_off: false,
            frozen_until: None,
            suspended: Duration::ZERO,
            found: Vec::new(),
            out: vec![false; engines],
            lost: Vec::new(),
            asked: Vec::new(),
            // Boxes do not tick at the same time.
            next_tick: now + ms(5 * (index % 5)),
        };
        let member = |index: usize| BoxHash::unranked_from_id(&name(&format!("b-{index}")));
        let mut zone = Self {
            boxes: (0..boxes as u64).map(new_box).collect(),
            engines: (0..engines)
                .map(|index| watched(&format!("e-{index}"), ZONE, ZONE))
                .collect(),
            behaviour: vec![Behaviour::Streams; engines],
            members: (0..boxes).map(member).collect(),
            bulletins: VecDeque::new(),
            next_bulletin: now,
        };
        // The engines become known with the first tick.
        for index in 0..boxes {
            zone.tick(index);
        }
        zone
    }

    /// Opens streams from a box at each of the engines.
    fn open(&mut self, of: usize, engines: impl IntoIterator<Item = usize>) {
        let now = Instant::now();
        for engine in engines {
            let incarnation = self.engines[engine].incarnation;
            let mut silence = self.boxes[of].loads.silence();
            let wait = silence.begin(incarnation, Some(MAX_EVENT_GAP), now);
            drop(silence);
            self.boxes[of].streams.push(Stream {
                engine,
                wait: wait.unwrap(),
                next_event: now + EVENT_INTERVAL,
            });
        }
    }

    fn heard(&mut self, of: usize, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        let to = &mut self.boxes[of];
        to.loads.silence().heard(incarnation, Instant::now());
        to.out[engine] = false;
    }

    fn receive(&mut self, of: usize) {
        let now = Instant::now();
        let to = &mut self.boxes[of];
        let mut arrived: Vec<usize> = Vec::new();
        for stream in &mut to.streams {
            let sends = self.behaviour[stream.engine] == Behaviour::Streams && !to.is_cut_off;
            if sends && now >= stream.next_event {
                stream.next_event = now + EVENT_INTERVAL;
                to.loads.silence().resume(stream.wait, now);
                arrived.push(stream.engine);
            }
        }
        if !to.is_cut_off {
            let due = to.reports.iter().filter(|(at, _)| now >= *at);
            arrived.extend(due.map(|(_, engine)| *engine));
            to.reports.retain(|(at, _)| now < *at);
        }
        arrived
            .into_iter()
            .for_each(|engine| self.heard(of, engine));
    }

    fn tick(&mut self, of: usize) {
        let now = Instant::now();
        let me = name(&format!("b-{of}"));
        let to = &mut self.boxes[of];
        let peer_work = to.loads.peer_work(now);
        let decisions: Decisions = to.loads.silence().tick(&TickInputs {
            cut_off_pools: &HashSet::new(),
            me: &me,
            engines: &self.engines,
            reported_rows: &peer_work,
            suspended: to.suspended,
            now,
        });
        to.next_tick = now + TICK;
        let index_of = |engine: IncarnationHash| {
            let mut engines = self.engines.iter();
            engines.position(|of| of.incarnation == engine).unwrap()
        };
        for (engine, evidence) in decisions.found {
            to.out[index_of(engine)] = true;
            to.found.push((now, index_of(engine), evidence));
        }
        for engine in decisions.ask.into_iter().map(index_of) {
            to.asked.push((now, engine));
            let response_time = match self.behaviour[engine] {
                Behaviour::Streams => ms(5),
                Behaviour::Prefills(time) => time,
                Behaviour::Silent => continue,
            };
            if !to.is_cut_off {
                to.reports.push((now + response_time, engine));
            }
        }
        let is_lost = |stream: &Stream| to.loads.silence().is_lost(stream.wait);
        let (lost, kept): (Vec<Stream>, Vec<Stream>) = std::mem::take(&mut to.streams)
            .into_iter()
            .partition(is_lost);
        to.streams = kept;
        for stream in lost {
            to.loads.silence().end(stream.wait);
            to.lost.push((now, stream.engine));
        }
        // An engine that is not silent accepts connections.
        let connect: Vec<usize> = decisions.connect.into_iter().map(index_of).collect();
        for engine in connect {
            if self.behaviour[engine] != Behaviour::Silent && !self.boxes[of].is_cut_off {
                self.heard(of, engine);
            }
        }
    }

    fn exchange_rows(&mut self) {
        let now = Instant::now();
        if now >= self.next_bulletin {
            self.next_bulletin = now + REPORT_INTERVAL;
            let mut sums: HashMap<TargetHash, u32> = HashMap::new();
            for from in self.boxes.iter().filter(|from| !from.is_cut_off) {
                let rows = from.loads.updates_to_send();
                rows.iter()
                    .for_each(|row| *sums.entry(row.0).or_default() += row.3);
                from.loads.set_own_report(rows);
            }
            let rows = sums.into_iter().map(|(of, sum)| EngineWork(of, 0, 0, sum));
            self.bulletins.push_back((now + HUB_DELAY, rows.collect()));
        }
        while let Some((_, rows)) = self.bulletins.pop_front_if(|(at, _)| now >= *at) {
            for to in self.boxes.iter().filter(|to| !to.is_cut_off) {
                to.loads.apply_zone_totals(rows.clone(), &self.members);
            }
        }
    }

    async fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            tokio::time::advance(STEP).await;
            let now = Instant::now();
            self.exchange_rows();
            for of in 0..self.boxes.len() {
                if self.boxes[of].frozen_until.is_some_and(|until| now < until) {
                    continue;
                }
                // A box that resumes decides before it reads what has arrived meanwhile.
                if now >= self.boxes[of].next_tick {
                    self.tick(of);
                }
                self.receive(of);
            }
        }
    }

    fn found(&self) -> usize {
        self.boxes.iter().map(|of| of.found.len()).sum()
    }

    fn lost(&self) -> usize {
        self.boxes.iter().map(|of| of.lost.len()).sum()
    }

    /// Number of pairs of one of the engines and a box at which it is out of use.
    fn out_of(&self, engines: Range<usize>) -> usize {
        engines.map(|engine| self.out_at(engine)).sum()
    }

    /// Number of boxes at which an engine is out of use.
    fn out_at(&self, engine: usize) -> usize {
        self.boxes.iter().filter(|of| of.out[engine]).count()
    }
}

/// A zone in which each box has a stream at some of the engines.
fn busy_zone(boxes: usize, engines: usize, streams: usize) -> Zone {
    let mut zone = Zone::new(boxes, engines);
    for of in 0..boxes {
        zone.open(of, (0..streams).map(|index| (of * 7 + index * 3) % engines));
    }
    zone
}

/// Guards against boxes that keep sending to an engine until their own attempts have failed.
#[rstest]
#[case::ten_boxes(10, 47)]
#[case::thirty_boxes(30, 30)]
#[tokio::test(start_paused = true)]
async fn an_engine_that_stops_is_out_of_use_in_the_whole_zone_within_1_5_s(
    #[case] boxes: usize,
    #[case] engines: usize,
) {
    let mut zone = busy_zone(boxes, engines, 16);
    zone.run(ms(1_000)).await;
    assert_eq!(zone.found(), 0);
    let stopped = 3;
    zone.behaviour[stopped] = Behaviour::Silent;
    zone.run(ms(1_500)).await;
    assert_eq!(zone.out_at(stopped), boxes);
    assert_eq!(zone.out_of(0..engines), boxes, "no other is out of use");
    let held = |of: &SimBox| of.streams.iter().any(|stream| stream.engine == stopped);
    assert!(!zone.boxes.iter().any(held), "streams stay at the engine");
}

/// Guards against boxes that have too few requests for reports for many engines that stop at the same time, and against
/// boxes with few streams that then believe that they are cut off.
#[rstest]
#[case::many_streams(10, 48, 24)]
#[case::few_streams(29, 30, 5)]
#[tokio::test(start_paused = true)]
async fn a_quarter_of_the_engines_stops(
    #[case] boxes: usize,
    #[case] engines: usize,
    #[case] streams: usize,
) {
    let mut zone = busy_zone(boxes, engines, streams);
    zone.run(ms(1_000)).await;
    let stopped = engines / 4;
    zone.behaviour[..stopped].fill(Behaviour::Silent);
    zone.run(ms(2_500)).await;
    assert_eq!(zone.out_of(0..stopped), stopped * boxes);
    assert_eq!(zone.out_of(stopped..engines), 0);
    let held = |of: &SimBox| of.streams.iter().any(|stream| stream.engine < stopped);
    assert!(!zone.boxes.iter().any(held), "streams stay at the engines");
    zone.behaviour[..stopped].fill(Behaviour::Streams);
    zone.run(ms(3_500)).await;
    assert_eq!(zone.out_of(0..stopped), 0, "they respond again");
}

/// Guards against findings about engines that prefill long prompts, which a timeout alone can't tell from silent ones.
#[rstest]
#[case::responds_at_once(ms(5))]
#[case::responds_just_in_time(ms(230))]
#[tokio::test(start_paused = true)]
async fn a_busy_engine_is_never_found_silent(#[case] response_time: Duration) {
    let mut zone = busy_zone(6, 8, 8);
    zone.run(ms(500)).await;
    for _ in 0..5 {
        zone.behaviour[2] = Behaviour::Prefills(response_time);
        zone.run(ms(2_000)).await;
        zone.behaviour[2] = Behaviour::Streams;
        zone.run(ms(300)).await;
    }
    assert_eq!((zone.found(), zone.lost()), (0, 0));
    let asked: usize = zone.boxes.iter().map(|of| of.asked.len()).sum();
    assert!(asked > 0, "it is suspected");
}

/// Guards against a flood of calls: at most one a second for an engine, and four for a box.
#[rstest]
#[case::many_busy(40, 16, 20)]
#[case::few(4, 0, 4)]
#[tokio::test(start_paused = true)]
async fn requests_for_reports_are_limited(
    #[case] engines: usize,
    #[case] busy: usize,
    #[case] min_asked: usize,
) {
    let mut zone = Zone::new(1, engines);
    zone.open(0, 0..busy.max(engines / 2));
    zone.run(ms(500)).await;
    zone.behaviour[..busy].fill(Behaviour::Prefills(ms(5)));
    zone.behaviour[0] = Behaviour::Silent;
    zone.run(ms(10_000)).await;
    let asked = &zone.boxes[0].asked;
    assert!(asked.len() >= min_asked, "{}", asked.len());
    for (index, (at, engine)) in asked.iter().enumerate() {
        let within = asked[index..]
            .iter()
            .filter(|(then, _)| *then < *at + ms(1_000));
        assert!(within.clone().count() <= 4);
        assert_eq!(within.filter(|(_, then)| then == engine).count(), 1);
    }
}

/// Guards against a box without network that takes all engines for silent and ends all its streams.
#[tokio::test(start_paused = true)]
async fn a_box_that_is_cut_off_ends_no_streams() {
    // The box has streams at fewer than half of the engines.
    let mut zone = busy_zone(10, 47, 12);
    zone.run(ms(1_000)).await;
    zone.boxes[4].is_cut_off = true;
    zone.run(ms(12_000)).await;
    assert_eq!(zone.boxes[4].lost, []);
    assert!(zone.boxes[4].loads.silence().is_cut_off(&name(ZONE)));
    zone.boxes[4].is_cut_off = false;
    // What was lost is sent again at different times.
    let now = Instant::now();
    for (index, stream) in zone.boxes[4].streams.iter_mut().enumerate() {
        stream.next_event = now + ms(50) * index as u32;
    }
    zone.run(ms(2_000)).await;
    assert_eq!((zone.found(), zone.lost()), (0, 0));
    assert!(!zone.boxes[4].loads.silence().is_cut_off(&name(ZONE)));
}

/// Guards against boxes that keep their streams at engines that none of them can reach, because each believes that it is
/// cut off itself. The engines are most of those of the own zone, or those of another zone that is cut off.
#[rstest]
#[case::most_of_the_own_zone(9, ZONE)]
#[case::another_zone(6, "zb")]
#[tokio::test(start_paused = true)]
async fn boxes_that_agree_are_not_cut_off(#[case] stopped: usize, #[case] zone_of_stopped: &str) {
    let mut zone = Zone::new(6, 12);
    for index in 0..stopped {
        zone.engines[index] = watched(&format!("e-{index}"), zone_of_stopped, ZONE);
    }
    for of in 0..6 {
        zone.tick(of);
        zone.open(of, 0..12);
    }
    zone.run(ms(1_000)).await;
    zone.behaviour[..stopped].fill(Behaviour::Silent);
    zone.run(ms(5_000)).await;
    assert_eq!(zone.out_of(0..stopped), stopped * 6);
    assert_eq!(zone.out_of(stopped..12), 0);
    let held = |of: &SimBox| of.streams.iter().any(|stream| stream.engine < stopped);
    assert!(!zone.boxes.iter().any(held));
}

/// Guards against a box that did not run for a while and takes the engines for silent, since its clock went on. It is
/// frozen at different points of a request for a report.
#[rstest]
#[case(0)]
#[case(60)]
#[case(120)]
#[case(200)]
#[case(240)]
#[tokio::test(start_paused = true)]
async fn a_box_that_was_frozen_finds_no_engine_silent(#[case] after_asking_ms: u64) {
    let mut zone = busy_zone(4, 8, 8);
    zone.run(ms(500)).await;
    zone.behaviour[1] = Behaviour::Prefills(ms(245));
    while zone.boxes[0].asked.is_empty() {
        zone.run(STEP).await;
    }
    zone.run(ms(after_asking_ms)).await;
    zone.boxes[0].frozen_until = Some(Instant::now() + ms(5_000));
    zone.run(ms(8_000)).await;
    assert_eq!((zone.found(), zone.lost()), (0, 0));
    let asked = &zone.boxes[0].asked;
    assert!(
        asked.iter().all(|(_, engine)| *engine == 1),
        "engines are suspected for the time in which the box was frozen: {asked:?}"
    );
}

/// Guards against findings after the machine was suspended: its clock stood still, but what arrives then is late.
#[tokio::test(start_paused = true)]
async fn a_box_that_was_suspended_finds_no_engine_silent() {
    let mut zone = busy_zone(1, 3, 3);
    zone.run(ms(500)).await;
    zone.behaviour.fill(Behaviour::Silent);
    zone.run(ms(700)).await;
    zone.boxes[0].suspended = ms(5_000);
    zone.run(ms(700)).await;
    zone.behaviour.fill(Behaviour::Streams);
    zone.run(ms(1_000)).await;
    assert_eq!((zone.found(), zone.lost()), (0, 0));
    assert_eq!(zone.boxes[0].asked, []);
}

/// Guards against an engine that goes in and out of use with each late response.
#[tokio::test(start_paused = true)]
async fn a_late_response_brings_an_engine_back_and_the_next_finding_needs_new_evidence() {
    let mut zone = busy_zone(1, 4, 4);
    zone.run(ms(500)).await;
    zone.behaviour[0] = Behaviour::Prefills(ms(400));
    zone.run(ms(1_160)).await;
    assert_eq!(zone.out_at(0), 1, "found silent after 250 ms");
    zone.run(ms(140)).await;
    assert_eq!(zone.out_at(0), 0, "back in use after 400 ms");
    let back = Instant::now();
    zone.open(0, [0]);
    zone.run(ms(1_500)).await;
    let found = &zone.boxes[0].found;
    let again: Vec<Duration> = found[1..].iter().map(|(at, _, _)| *at - back).collect();
    assert_eq!(again.len(), 1, "{again:?}");
    assert!(again[0] >= MAX_EVENT_GAP + ms(250), "{again:?}");
}

/// A box alone, which tests drive directly.
struct Lone {
    engines: Vec<WatchedEngine>,
    loads: Loads,
    cut_off_pools: HashSet<PoolId>,
}

impl Lone {
    fn new() -> Self {
        let ids = ["e-0", "e-1", "e-2"];
        let lone = Self {
            engines: ids.iter().map(|id| watched(id, ZONE, ZONE)).collect(),
            loads: Loads::default(),
            cut_off_pools: HashSet::new(),
        };
        lone.tick();
        lone
    }

    fn begin(&self, limit: Option<Duration>) -> WaitId {
        let mut silence = self.loads.silence();
        let wait = silence.begin(self.engines[0].incarnation, limit, Instant::now());
        wait.unwrap()
    }

    fn hear(&self) -> bool {
        let mut silence = self.loads.silence();
        silence.heard(self.engines[0].incarnation, Instant::now())
    }

    fn tick(&self) -> Decisions {
        let now = Instant::now();
        let peer_work = self.loads.peer_work(now);
        self.loads.silence().tick(&TickInputs {
            cut_off_pools: &self.cut_off_pools,
            me: &name("box-1"),
            engines: &self.engines,
            reported_rows: &peer_work,
            suspended: Duration::ZERO,
            now,
        })
    }

    /// Ticks for a time and returns all decisions.
    async fn run(&self, time: Duration) -> Decisions {
        let end = Instant::now() + time;
        let mut all = Decisions::default();
        while Instant::now() < end {
            tokio::time::advance(TICK).await;
            let decisions = self.tick();
            all.found.extend(decisions.found);
            all.ask.extend(decisions.ask);
            all.connect.extend(decisions.connect);
            all.lost_again |= decisions.lost_again;
        }
        all
    }

    /// Applies that boxes of a zone find the first engine silent.
    fn report(&self, boxes: u32, zone: &str) {
        let zone: ZoneId = name(zone);
        let rows = TargetHash::for_rows("e-0", RowKind::Silent(&zone));
        for index in 0..boxes {
            let from = name(&format!("box-{}", index + 2));
            self.loads
                .apply_update(from, vec![EngineWork(rows, 0, 0, 1)]);
        }
    }
}

/// Guards against a box whose finding alone takes an engine from all others, and against boxes of another zone, whose
/// path to the engine is another.
#[rstest]
#[case::one_box(1, ZONE, 0)]
#[case::two_boxes(2, ZONE, 1)]
#[case::two_boxes_of_another_zone(2, "zb", 0)]
#[tokio::test(start_paused = true)]
async fn two_boxes_of_the_own_zone_are_enough(
    #[case] boxes: u32,
    #[case] zone: &str,
    #[case] found: usize,
) {
    let lone = Lone::new();
    lone.report(boxes, zone);
    let decisions = lone.run(ms(200)).await;
    assert_eq!(decisions.found.len(), found);
    assert!(decisions.ask.is_empty(), "no request is needed for that");
}

/// Guards against other boxes' findings about an engine from which events arrive here.
#[tokio::test(start_paused = true)]
async fn an_engine_that_is_heard_stays_in_use_whatever_others_find() {
    let lone = Lone::new();
    lone.hear();
    for _ in 0..10 {
        lone.report(3, ZONE);
        assert!(lone.run(ms(500)).await.found.is_empty());
        lone.hear();
    }
}

/// Guards against engines that stay out of use when the others no longer find them silent.
#[tokio::test(start_paused = true)]
async fn an_engine_is_back_in_use_when_the_findings_expire_and_it_can_be_reached() {
    let lone = Lone::new();
    lone.report(2, ZONE);
    assert_eq!(lone.run(ms(1_200)).await.found.len(), 1);
    assert_eq!(lone.loads.silence().count(), 1);
    let after = lone.run(ms(700)).await;
    assert!(!after.connect.is_empty(), "a connection is attempted");
    assert_eq!(lone.loads.silence().count(), 1, "nothing arrived yet");
    assert!(lone.hear());
    assert_eq!(lone.loads.silence().count(), 0);
    let after = lone.run(ms(2_000)).await;
    assert!(after.found.is_empty() && after.connect.is_empty());
}

/// Guards against a stream that is ended because its caller does not read: then nothing is read from the engine either.
#[tokio::test(start_paused = true)]
async fn a_caller_that_does_not_read_makes_no_engine_suspect() {
    let lone = Lone::new();
    let wait = lone.begin(Some(MAX_EVENT_GAP));
    lone.loads.silence().pause(wait);
    assert!(lone.run(ms(5_000)).await.ask.is_empty());
    lone.loads.silence().resume(wait, Instant::now());
    assert!(lone.run(ms(700)).await.ask.is_empty());
    assert_eq!(lone.run(ms(200)).await.ask.len(), 1);
}

/// Guards against findings for routes that name no accepted pause.
#[tokio::test(start_paused = true)]
async fn a_stream_without_an_accepted_pause_is_not_ended() {
    let lone = Lone::new();
    let (limited, unlimited) = (lone.begin(Some(MAX_EVENT_GAP)), lone.begin(None));
    assert_eq!(lone.run(ms(1_300)).await.found.len(), 1);
    assert!(lone.loads.silence().is_lost(limited));
    assert!(!lone.loads.silence().is_lost(unlimited));
}

/// Guards against requests that are ended by an earlier finding, although they were sent because there was no other
/// engine, and against such requests that are never ended.
#[tokio::test(start_paused = true)]
async fn a_request_sent_to_a_silent_engine_is_lost_by_new_evidence_only() {
    let lone = Lone::new();
    let first = lone.begin(Some(MAX_EVENT_GAP));
    assert_eq!(lone.run(ms(1_300)).await.found.len(), 1);
    lone.loads.silence().end(first);
    let second = lone.begin(Some(MAX_EVENT_GAP));
    lone.run(ms(700)).await;
    assert!(!lone.loads.silence().is_lost(second));
    assert!(lone.run(ms(2_000)).await.lost_again);
    assert!(lone.loads.silence().is_lost(second));
}

/// Guards against rows about engines that respond again.
#[tokio::test(start_paused = true)]
async fn a_finding_is_reported_until_something_arrives() {
    let lone = Lone::new();
    let _wait = lone.begin(Some(MAX_EVENT_GAP));
    assert_eq!(lone.loads.updates_to_send(), []);
    lone.run(ms(1_300)).await;
    let row = EngineWork(lone.engines[0].rows, 0, 0, 1);
    assert_eq!(lone.loads.updates_to_send(), [row]);
    assert!(lone.hear());
    assert_eq!(lone.loads.updates_to_send(), []);
}

fn route(pool: &str, max_event_gap: Option<Duration>) -> Arc<Route> {
    Arc::new(Route {
        name: "route".to_owned(),
        host: "h.example".to_owned(),
        prefix: "/".to_owned(),
        streaming: true,
        idempotency: Idempotency::Idempotent,
        resumable: true,
        timeout: ms(15_000),
        latency_objective: ms(800),
        event_timeout: ms(3_000),
        max_event_gap,
        priority: Priority(0),
        shares: vec![Share {
            pool: name(pool),
            weight: 1,
        }],
        max_runs: 2,
        public: true,
        regions: Vec::new(),
    })
}

/// Guards against findings in pools that do not ask for them: targets that are no engines have no reports.
#[test]
fn engines_of_pools_with_a_route_that_names_an_accepted_pause_are_watched() {
    let spec = EngineSpec {
        slots: 64,
        capacity: sillpin_core::Tokens(45_000),
        token_bytes: 1,
        models: vec![name("m")],
    };
    let pool = |id: &str, engine: Option<EngineSpec>| Pool {
        id: name(id),
        max_connections: 0,
        warm_up: None,
        engine,
    };
    let config = |routes| FleetConfig {
        routes,
        pools: vec![pool("llm", Some(spec.clone())), pool("plain", None)],
        ..FleetConfig::default()
    };
    let mut entries = vec![engine("e-0", "za"), engine("p-0", "za")];
    entries[1].pool = name("plain");
    let entries = entries.into_iter().map(|of| (of.id.clone(), Arc::new(of)));
    let targets = entries.collect();
    let gaps = |routes| {
        let watched = watched_engines(&config(routes), &targets, &name(ZONE));
        let gap = |of: &WatchedEngine| (of.entry.id.to_string(), of.min_event_gap);
        watched.iter().map(gap).collect::<Vec<_>>()
    };
    assert_eq!(
        gaps(vec![route("llm", None), route("plain", Some(ms(400)))]),
        []
    );
    assert_eq!(
        gaps(vec![
            route("llm", Some(ms(800))),
            route("llm", Some(ms(400))),
            route("llm", None),
        ]),
        [("e-0".to_owned(), ms(400))]
    );
}

/// Guards against boxes that tell others that engines are silent while it is their own links that are cut.
#[tokio::test(start_paused = true)]
async fn a_box_that_cannot_connect_to_engines_reports_none_as_silent() {
    let mut lone = Lone::new();
    let wait = lone.begin(Some(ms(400)));
    lone.run(ms(800)).await;
    assert_eq!(lone.loads.silence().rows().count(), 1);
    lone.cut_off_pools.insert(name("llm"));
    let decisions = lone.run(ms(5_000)).await;
    assert_eq!(lone.loads.silence().rows().count(), 0);
    assert!(decisions.ask.is_empty() && decisions.found.is_empty());
    assert!(!decisions.lost_again);
    lone.cut_off_pools.clear();
    let decisions = lone.run(ms(300)).await;
    assert!(decisions.found.is_empty(), "the wait starts anew");
    lone.loads.silence().end(wait);
}
