//! Tests of the traffic that immediate updates cause in zones of two kinds.
//!
//! Guards against updates that take more of a box's link than planned, and against a limit that stops
//! them although the zone's load fits it.

mod common;

use common::{name, target};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use sillpin_core::{TargetId, Tokens};
use sillpin_gateway::peers::datagram::{BoxHash, Datagram, EngineUpdate, EngineUpdateContent};
use sillpin_gateway::peers::update_limit::{MaxRates, UpdateLimit};
use sillpin_gateway::peers::wire::{self, FleetKey};
use sillpin_gateway::peers::work_updates::LIST_INTERVAL;
use sillpin_gateway::placement::direct_work::ZoneScope;
use sillpin_gateway::placement::work::{TargetHash, Work};
use sillpin_gateway::placement::{InFlightGuard, Loads};
use std::f64::consts::TAU;
use std::time::Duration;
use tokio::time::Instant;

const LENGTH: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(1);

/// Longest wait at which the zone counts as fresh.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
struct Kind {
    per_s: f64,
    prompt: Tokens,
    prefill_ms: f64,
    /// Time from the first event to the end.
    stream: Duration,
}

/// A zone and its load.
#[derive(Debug, Clone, Copy)]
struct ZoneLoad {
    boxes: usize,
    engines: usize,
    /// Amplitude of the load's waves, and their period in seconds.
    waves: (f64, f64),
    kinds: [Kind; 2],
}

const TEN_BOXES: ZoneLoad = ZoneLoad {
    boxes: 10,
    engines: 47,
    waves: (0.55, 17.0),
    kinds: [
        Kind {
            per_s: 148.0,
            prompt: Tokens(9_190),
            prefill_ms: 132.0,
            stream: Duration::from_millis(300),
        },
        Kind {
            per_s: 74.0,
            prompt: Tokens(827),
            prefill_ms: 12.0,
            stream: Duration::from_millis(1_800),
        },
    ],
};

const THIRTY_BOXES: ZoneLoad = ZoneLoad {
    boxes: 30,
    engines: 30,
    waves: (0.27, 11.0),
    kinds: [
        Kind {
            per_s: 46.0,
            prompt: Tokens(9_190),
            prefill_ms: 250.0,
            stream: Duration::from_millis(500),
        },
        Kind {
            per_s: 106.0,
            prompt: Tokens(827),
            prefill_ms: 22.0,
            stream: Duration::from_millis(2_600),
        },
    ],
};

/// A request in flight.
struct Request {
    first_event: Instant,
    end: Instant,
    has_started: bool,
    guard: InFlightGuard,
}

/// One box of a zone. The others have the same load, so it receives as much as it sends.
struct OneBox {
    load: ZoneLoad,
    loads: Loads,
    engines: Vec<TargetId>,
    requests: Vec<Request>,
    limit: UpdateLimit,
    rng: StdRng,
    sequence: u32,
    sent: (usize, usize),
    waits: Vec<Duration>,
    stopped: Duration,
}

impl OneBox {
    fn new(load: ZoneLoad, max: MaxRates) -> Self {
        let ids = (0..load.engines).map(|index| target(&format!("engine-{index}")));
        let engines: Vec<TargetId> = ids.collect();
        let loads = Loads::default();
        loads.set_zone_scope(Some(ZoneScope {
            zone: name("za"),
            peers: Vec::new(),
            engines: engines.iter().map(TargetHash::of).collect(),
        }));
        Self {
            load,
            loads,
            engines,
            requests: Vec::new(),
            limit: UpdateLimit::new(max),
            rng: StdRng::seed_from_u64(1),
            sequence: u32::MAX / 2,
            sent: (0, 0),
            waits: Vec::new(),
            stopped: Duration::ZERO,
        }
    }

    fn peers(&self) -> usize {
        self.load.boxes - 1
    }

    fn start_requests(&mut self, since_start: Duration, now: Instant) {
        let (amplitude, period) = self.load.waves;
        let wave = 1.0 + amplitude * (since_start.as_secs_f64() * TAU / period).sin();
        for kind in self.load.kinds {
            let mean = kind.per_s * wave / self.load.boxes as f64 * STEP.as_secs_f64();
            if !self.rng.random_bool(mean) {
                continue;
            }
            let engine = &self.engines[self.rng.random_range(0..self.engines.len())];
            let work = Work::one(kind.prefill_ms, kind.prompt);
            let wait = Duration::from_millis(50);
            let first_event = now + wait + Duration::from_secs_f64(kind.prefill_ms / 1000.0);
            self.requests.push(Request {
                first_event,
                end: first_event + kind.stream,
                has_started: false,
                guard: self.loads.start(engine, work),
            });
        }
    }

    fn advance_requests(&mut self, now: Instant) {
        let starting = self.requests.iter_mut();
        for request in starting.filter(|r| !r.has_started && r.first_event <= now) {
            request.has_started = true;
            request.guard.prefill_done();
        }
        self.requests.retain(|request| now < request.end);
    }

    fn send_updates(&mut self, is_list_due: bool, now: Instant) {
        let changes = self.loads.work_changes.clone();
        self.limit.switch(changes.immediate_since(), now);
        if !self.limit.is_sending() {
            self.stopped += STEP;
            if is_list_due {
                self.limit.record_unsent(changes.discard() * self.peers());
            }
            return;
        }
        if is_list_due {
            self.send(
                EngineUpdateContent::Complete(self.loads.updates_to_send()),
                now,
            );
        }
        let (immediate, batched) = self.limit.ready_at(self.peers(), now);
        if changes.due(immediate, batched).is_none_or(|due| due > now) {
            return;
        }
        let taken = changes.take();
        if let Some(since) = taken.immediate_since {
            self.limit.record_wait(now - since, now);
            self.waits.push(now - since);
        }
        let rows = self.loads.work_at(&taken.targets);
        self.send(EngineUpdateContent::Changed(rows), now);
    }

    fn send(&mut self, content: EngineUpdateContent, now: Instant) {
        self.sequence += 1;
        let is_list = matches!(content, EngineUpdateContent::Complete(_));
        let datagram = Datagram::EngineUpdate(EngineUpdate {
            from: BoxHash::unranked_from_id(&name("b-1")),
            sequence: self.sequence,
            content,
        });
        let fleet = FleetKey::new(Some("test"), ([127, 0, 0, 1], 1).into());
        let len = wire::encode(fleet, &datagram).unwrap().len();
        let (count, bytes) = (self.peers(), self.peers() * len);
        match is_list {
            true => self.limit.record_list(count, bytes),
            false => self.limit.record_sent(count, bytes, now),
        }
        self.sent.0 += count;
        self.sent.1 += bytes;
    }
}

/// What a box sends per second, for which part of the time it has stopped, and how long 95 in 100
/// updates wait at most.
#[derive(Debug)]
struct Traffic {
    datagrams: f64,
    bytes: f64,
    stopped: f64,
    wait: Duration,
}

async fn simulate(load: ZoneLoad, max: MaxRates) -> Traffic {
    let mut one = OneBox::new(load, max);
    let began = Instant::now();
    let mut next_list = began;
    while began.elapsed() < LENGTH {
        let now = Instant::now();
        one.start_requests(began.elapsed(), now);
        one.advance_requests(now);
        let is_list_due = now >= next_list;
        if is_list_due {
            next_list += LIST_INTERVAL;
        }
        one.send_updates(is_list_due, now);
        tokio::time::advance(STEP).await;
    }
    one.waits.sort_unstable();
    let seconds = LENGTH.as_secs_f64();
    let traffic = Traffic {
        datagrams: one.sent.0 as f64 / seconds,
        bytes: one.sent.1 as f64 / seconds,
        stopped: one.stopped.as_secs_f64() / seconds,
        wait: one.waits[one.waits.len() * 95 / 100],
    };
    println!("{} boxes, {max:?}: {traffic:?}", load.boxes);
    traffic
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn updates_of_a_zone_take_few_datagrams(#[values(TEN_BOXES, THIRTY_BOXES)] load: ZoneLoad) {
    let unlimited = MaxRates {
        datagrams: f64::INFINITY,
        bytes: f64::INFINITY,
    };
    let traffic = simulate(load, unlimited).await;
    assert!(traffic.datagrams < 600.0, "{traffic:?}");
    assert!(traffic.bytes < 24_000.0, "{traffic:?}");
    assert_eq!(traffic.wait, Duration::ZERO);
}

/// The waves of the load exceed the mean, so the limit has to be above it; updates wait a little at
/// the top of a wave.
#[rstest]
#[tokio::test(start_paused = true)]
async fn updates_do_not_stop_while_the_load_fits_the_limit(
    #[values(TEN_BOXES, THIRTY_BOXES)] load: ZoneLoad,
) {
    let max = MaxRates {
        datagrams: 600.0,
        bytes: 28_000.0,
    };
    let traffic = simulate(load, max).await;
    assert_eq!(traffic.stopped, 0.0, "{traffic:?}");
    assert!(traffic.wait < MAX_WAIT, "{traffic:?}");
}

/// Far beyond the limit, a box must not alternate between stopping and sending.
#[rstest]
#[tokio::test(start_paused = true)]
async fn updates_stop_if_the_load_exceeds_the_limit(
    #[values(TEN_BOXES, THIRTY_BOXES)] load: ZoneLoad,
) {
    let max = MaxRates {
        datagrams: 200.0,
        bytes: 6_000.0,
    };
    let traffic = simulate(load, max).await;
    assert!(traffic.stopped > 0.9, "{traffic:?}");
}
