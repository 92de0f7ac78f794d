//! A fatal request in whole fleets: it arrives repeatedly at random boxes, and crashes each target that it is sent to. Boxes exchange
//! reports by the routes of small and large zones, and some messages are lost. The tests count how often the request reaches a target
//! at a time when boxes must know it, and how many targets crash in total.

mod common;

use common::crashes::incarnation;
use common::gossip::{Fleet, Memory, OneBox, STEP};
use rand::RngExt;
use rand::seq::IndexedRandom;
use rstest::rstest;
use sillpin_gateway::fatal::{CrashRecord, CrashReport, Fingerprint};
use sillpin_gateway::peers::hub::Hub;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of times that the request reaches a target once boxes must know it.
const MAX_LATE: usize = 3;

const FATAL: Fingerprint = Fingerprint(7);

/// Fault of some boxes while the request arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A third of the boxes is partitioned for a while.
    Partition,
    /// Half of the boxes restart without any record.
    Restart,
    /// The hubs stop and do not return.
    HubsStop,
}

impl Memory for CrashRecord {
    type Message = CrashReport;

    fn observed(&mut self, now: Instant) -> Vec<CrashReport> {
        CrashRecord::observed(self, now)
    }

    fn updates_to_send(&mut self, now: Instant) -> Vec<CrashReport> {
        CrashRecord::updates_to_send(self, now)
    }

    fn apply_update(&mut self, reports: &[CrashReport], now: Instant) {
        CrashRecord::apply_update(self, reports, now);
    }
}

/// Injects faults into the fleets of these tests.
trait InjectFaults {
    /// Starts a fault.
    fn start_fault(&mut self, fault: Fault);
    /// Ends the partition.
    fn end_partition(&mut self);
}

impl InjectFaults for Fleet<CrashRecord> {
    fn start_fault(&mut self, fault: Fault) {
        let step = self.step;
        let hubs: Vec<bool> = self.boxes.iter().map(|one| one.hub.is_active()).collect();
        for (index, one) in self.boxes.iter_mut().enumerate() {
            match fault {
                Fault::None => {}
                Fault::Partition => one.cut = index % 3 == 0,
                Fault::Restart if index % 2 == 0 => {
                    let place = one.name;
                    *one = OneBox::new(one.zone, 0, step);
                    one.name = place;
                    one.hub = Hub::new(place);
                }
                Fault::Restart => {}
                Fault::HubsStop => one.crashed |= hubs[index],
            }
        }
    }

    fn end_partition(&mut self) {
        let step = self.step;
        for one in self.boxes.iter_mut().filter(|one| one.cut) {
            (one.cut, one.began) = (false, step);
        }
    }
}

/// Simulates 40 s of a request that arrives every 0.3 to 1.2 s. Returns the number of crashed targets, and how many of them the
/// request reached through boxes that had been in contact long enough to know it.
async fn simulate(
    count: usize,
    zones: usize,
    contact: Duration,
    fault: Fault,
    seed: u64,
) -> (usize, usize) {
    let steps = |time: Duration| (time.as_millis() / STEP.as_millis()) as usize;
    let mut fleet: Fleet<CrashRecord> = Fleet::new(count, zones, seed);
    for _ in 0..20 {
        fleet.round().await;
    }
    let (mut crashed, mut late, mut known) = (0, 0, None);
    let mut next = fleet.step;
    for step in 0..steps(Duration::from_secs(40)) {
        match step {
            5 | 25 => fleet.start_fault(fault),
            45 => fleet.end_partition(),
            _ => {}
        }
        fleet.round().await;
        if fleet.step < next {
            continue;
        }
        next = fleet.step + fleet.rng.random_range(2..8);
        let living: Vec<usize> = (0..count).filter(|at| !fleet.boxes[*at].crashed).collect();
        let at = *living.choose(&mut fleet.rng).unwrap();
        let (now, step) = (Instant::now(), fleet.step);
        let one = &mut fleet.boxes[at];
        if one.memory.refused_until(FATAL, now).is_some() {
            continue;
        }
        let in_contact = !one.cut && step - one.began > steps(contact);
        let must_know = known.is_some_and(|known| step - known > steps(contact));
        late += usize::from(in_contact && must_know);
        one.memory
            .record_crash(incarnation(crashed), [FATAL], now, now);
        crashed += 1;
        if crashed == 3 {
            known = Some(step);
        }
    }
    (crashed, late)
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_fatal_request_reaches_few_targets_in_fleets_of_any_size(
    #[values((7, 3, 3_000), (59, 3, 4_000), (295, 5, 5_000))] fleet: (usize, usize, u64),
    #[values(Fault::None, Fault::Partition, Fault::Restart, Fault::HubsStop)] fault: Fault,
    #[values(1, 2, 3)] seed: u64,
) {
    let (count, zones, contact) = fleet;
    let contact = Duration::from_millis(contact);
    let (crashed, late) = simulate(count, zones, contact, fault, seed).await;
    println!("{count} boxes, {fault:?}: {crashed} targets crashed, {late} late");
    assert!(late <= MAX_LATE, "{late} times late");
}
