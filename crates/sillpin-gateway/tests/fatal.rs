//! Requests that crash the targets that run them: which are refused, which are not, and what boxes report to each other.

mod common;

use common::crashes::incarnation;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use sillpin_gateway::fatal::record::MAX_REQUESTS;
use sillpin_gateway::fatal::{CrashRecord, CrashReport, Fingerprint};
use std::time::Duration;
use tokio::time::Instant;

const FATAL: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

/// Records that targets crashed under the fatal request alone.
fn record_crashes(
    record: &mut CrashRecord,
    targets: impl IntoIterator<Item = usize>,
    now: Instant,
) {
    for number in targets {
        record.record_crash(incarnation(number), [FATAL], now, now);
    }
}

fn is_refused(record: &CrashRecord, fingerprint: Fingerprint, now: Instant) -> bool {
    record.refused_until(fingerprint, now).is_some()
}

#[tokio::test(start_paused = true)]
async fn a_request_is_refused_from_the_third_crashed_target_on() {
    let (mut record, now) = (CrashRecord::default(), Instant::now());
    record_crashes(&mut record, [0, 1, 1, 1], now);
    assert!(
        !is_refused(&record, FATAL, now),
        "the same target counts once"
    );
    record_crashes(&mut record, [2], now);
    assert!(is_refused(&record, FATAL, now));
    let hour = now + Duration::from_secs(3_599);
    assert!(is_refused(&record, FATAL, hour));
    assert!(!is_refused(&record, FATAL, hour + Duration::from_secs(2)));
}

#[tokio::test(start_paused = true)]
async fn a_request_beside_a_fatal_one_is_not_refused() {
    let (mut record, now) = (CrashRecord::default(), Instant::now());
    for number in 0..3 {
        record.record_crash(incarnation(number), [FATAL, OTHER], now, now);
    }
    assert!(
        !is_refused(&record, OTHER, now) && !is_refused(&record, FATAL, now),
        "either may be the cause: each is sent once more"
    );
    record_crashes(&mut record, [3], now);
    assert!(is_refused(&record, FATAL, now));
    assert!(!is_refused(&record, OTHER, now));
}

#[tokio::test(start_paused = true)]
async fn two_requests_that_always_run_together_are_refused_after_one_more_crash() {
    let (mut record, now) = (CrashRecord::default(), Instant::now());
    for number in 0..4 {
        record.record_crash(incarnation(number), [FATAL, OTHER], now, now);
    }
    assert!(is_refused(&record, OTHER, now) && is_refused(&record, FATAL, now));
}

#[tokio::test(start_paused = true)]
async fn serving_a_request_clears_it_of_earlier_crashes() {
    let (mut record, now) = (CrashRecord::default(), Instant::now());
    record_crashes(&mut record, [0, 1], now);
    record.served(FATAL, now);
    let later = now + Duration::from_secs(1);
    record_crashes(&mut record, [2, 3], later);
    assert!(!is_refused(&record, FATAL, later));
    record_crashes(&mut record, [4], later);
    assert!(is_refused(&record, FATAL, later));
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_attempt_counts_if_its_target_crashes_soon_after() {
    let (mut record, now) = (CrashRecord::default(), Instant::now());
    for number in 0..3 {
        record.record_abandoned(FATAL, incarnation(number), now);
        record.record_abandoned(OTHER, incarnation(number + 10), now);
        record.record_crash(
            incarnation(number),
            [Fingerprint(9 + number as u64)],
            now,
            now,
        );
    }
    let late = now + Duration::from_secs(3);
    for number in 10..13 {
        record.record_crash(incarnation(number), [Fingerprint(50)], late, late);
    }
    assert!(is_refused(&record, FATAL, now));
    assert!(
        !is_refused(&record, OTHER, late),
        "it was abandoned long before"
    );
}

#[tokio::test(start_paused = true)]
async fn a_crash_that_another_box_observed_counts_for_attempts_abandoned_there() {
    let now = Instant::now();
    let (mut here, mut there) = (CrashRecord::default(), CrashRecord::default());
    for number in 0..3 {
        here.record_abandoned(FATAL, incarnation(number), now);
        there.record_crash(incarnation(number), [OTHER], now, now);
    }
    here.apply_update(&there.updates_to_send(now), now);
    // Both requests have three crashes: the next one decides.
    record_crashes(&mut here, [3], now);
    assert!(is_refused(&here, FATAL, now));
}

#[tokio::test(start_paused = true)]
async fn the_record_is_bounded_and_keeps_fatal_requests() {
    let (mut record, now) = (CrashRecord::default(), Instant::now());
    record_crashes(&mut record, 0..3, now);
    for number in 0..3 * MAX_REQUESTS as u64 {
        record.record_crash(incarnation(100), [Fingerprint(10 + number)], now, now);
    }
    assert!(record.len() <= MAX_REQUESTS, "{}", record.len());
    assert!(is_refused(&record, FATAL, now));
    let report = bincode::serialize(&record.updates_to_send(now)).unwrap();
    assert!(report.len() < 2_000, "{} bytes", report.len());
    let minutes = now + Duration::from_secs(61);
    record.updates_to_send(minutes);
    assert_eq!(record.len(), 1, "the others have expired");
}

#[tokio::test(start_paused = true)]
async fn a_box_that_starts_receives_every_fatal_request_however_many_others_there_are() {
    let (mut record, mut now) = (CrashRecord::default(), Instant::now());
    for fingerprint in 0..40 {
        for number in 0..3 {
            now += Duration::from_millis(100);
            record.record_crash(
                incarnation(fingerprint * 3 + number),
                [Fingerprint(fingerprint as u64)],
                now,
                now,
            );
        }
    }
    record.record_crash(incarnation(999), (1_000..1_500).map(Fingerprint), now, now);
    let later = now + Duration::from_secs(5);
    let mut new = CrashRecord::default();
    for _ in 0..8 {
        new.apply_update(&record.updates_to_send(later), later);
    }
    for fingerprint in 0..40 {
        assert!(
            is_refused(&new, Fingerprint(fingerprint), later),
            "{fingerprint}"
        );
    }
}

proptest! {
    /// Boxes that receive the same reports, in whatever order and however often, refuse the same requests.
    #[test]
    fn the_order_of_reports_does_not_matter(
        notes in prop::collection::vec((0usize..4, 1u64..4, 0usize..6, any::<bool>()), 1..30),
        order in prop::collection::vec(0usize..4, 8),
    ) {
        let start = Instant::now();
        let mut boxes: Vec<CrashRecord> = (0..4).map(|_| CrashRecord::default()).collect();
        let mut now = start;
        for (at, fingerprint, target, served) in notes {
            // Longer than the rounding of the reported ages.
            now += Duration::from_millis(5);
            match served {
                true => boxes[at].served(Fingerprint(fingerprint), now),
                false => drop(boxes[at].record_crash(incarnation(target), [Fingerprint(fingerprint)], now, now)),
            }
        }
        let reports: Vec<Vec<CrashReport>> = boxes.iter_mut().map(|record| record.updates_to_send(now)).collect();
        let mut one = CrashRecord::default();
        let mut other = CrashRecord::default();
        for report in &reports {
            one.apply_update(report, now);
        }
        for at in order.into_iter().chain([3, 2, 1, 0]) {
            other.apply_update(&reports[at], now);
        }
        for fingerprint in 1..4 {
            let fingerprint = Fingerprint(fingerprint);
            prop_assert_eq!(is_refused(&one, fingerprint, now), is_refused(&other, fingerprint, now));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_crash_before_a_request_was_served_does_not_count_if_it_is_detected_later() {
    let (mut record, began) = (CrashRecord::default(), Instant::now());
    record_crashes(&mut record, [0, 1], began);
    let served = began + Duration::from_millis(10);
    record.served(FATAL, served);
    let detected = began + Duration::from_millis(500);
    for number in 2..5 {
        record.record_crash(incarnation(number), [FATAL], began, detected);
    }
    assert!(!is_refused(&record, FATAL, detected));
}

#[tokio::test(start_paused = true)]
async fn crashes_before_a_request_was_served_do_not_displace_later_ones() {
    let (mut record, mut now) = (CrashRecord::default(), Instant::now());
    for round in 0..6 {
        record_crashes(&mut record, [2 * round, 2 * round + 1], now);
        now += Duration::from_millis(10);
        record.served(FATAL, now);
        now += Duration::from_millis(10);
    }
    record_crashes(&mut record, [100, 101, 102], now);
    assert!(is_refused(&record, FATAL, now));
    let mut other = CrashRecord::default();
    other.apply_update(&record.updates_to_send(now), now);
    assert!(is_refused(&other, FATAL, now));
}

/// Guards against refusing requests that were merely interrupted: when many targets crash together, as in a rack, their requests are
/// resumed at other targets and may meet the next such crash there. After six such crashes, requests had three crashed targets
/// each without causing any.
#[tokio::test(start_paused = true)]
async fn crashes_at_the_same_time_are_not_attributed_to_one_request() {
    let (mut record, mut now) = (CrashRecord::default(), Instant::now());
    for wave in 0..5 {
        for number in 0..5 {
            let at = now + Duration::from_millis(10 * number as u64);
            let beside = Fingerprint((100 + 10 * wave + number) as u64);
            record.record_crash(incarnation(10 * wave + number), [beside], at, at);
        }
        record.record_crash(incarnation(10 * wave), [OTHER], now, now);
        now += Duration::from_millis(1_500);
    }
    assert!(!is_refused(&record, OTHER, now));
    record_crashes(&mut record, [200, 201, 202], now);
    assert!(
        is_refused(&record, FATAL, now),
        "all three crashed under it"
    );
}

/// Several requests that each crash a target a second, during the same time.
#[rstest]
#[case::two(2)]
#[case::ten(10)]
#[tokio::test(start_paused = true)]
async fn fatal_requests_do_not_clear_each_other(#[case] count: u64) {
    let mut rng = StdRng::seed_from_u64(count);
    let mut record = CrashRecord::default();
    let mut crashes: Vec<(u64, Fingerprint)> = Vec::new();
    for fingerprint in 0..count {
        let mut at = 0;
        for _ in 0..6 {
            at += rng.random_range(600..1_400);
            crashes.push((at, Fingerprint(fingerprint)));
        }
    }
    crashes.sort_unstable();
    let start = Instant::now();
    let mut reached = vec![0; count as usize];
    for (number, (at, fingerprint)) in crashes.into_iter().enumerate() {
        let now = start + Duration::from_millis(at);
        if !is_refused(&record, fingerprint, now) {
            reached[fingerprint.0 as usize] += 1;
            record.record_crash(incarnation(number), [fingerprint], now, now);
        }
    }
    assert!(reached.iter().all(|reached| *reached <= 5), "{reached:?}");
}
