//! Which boxes count as crowded by new connections.

use rstest::rstest;
use sillpin_gateway::front::crowding::{Crowding, Sample};
use std::time::Duration;
use tokio::time::Instant;

/// Interval of the samples.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time of usual traffic before that of the test.
const HISTORY: Duration = Duration::from_secs(20);

/// A box, with the totals of its samples.
struct Watched {
    crowding: Crowding,
    sample: Sample,
    fraction: f64,
}

impl Watched {
    fn new() -> Self {
        let at = Instant::now();
        let (opened, busy) = (0, Duration::ZERO);
        Self {
            crowding: Crowding::default(),
            sample: Sample { at, opened, busy },
            fraction: 0.0,
        }
    }

    /// Lets time pass with this rate of new connections, per second, and this share of the thread in use. Returns when the box was
    /// crowded first, and whether it is at the end.
    fn pass(&mut self, time: Duration, rate: f64, busy: f64) -> (Option<Duration>, bool) {
        let began = self.sample.at;
        let (mut first, mut crowded) = (None, false);
        while self.sample.at < began + time {
            self.fraction += rate * INTERVAL.as_secs_f64();
            self.sample.opened += self.fraction as u64;
            self.fraction = self.fraction.fract();
            self.sample.at += INTERVAL;
            self.sample.busy += INTERVAL.mul_f64(busy);
            crowded = self.crowding.update(self.sample);
            if crowded && first.is_none() {
                first = Some(self.sample.at - began);
            }
        }
        (first, crowded)
    }
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

#[test]
fn a_box_that_gets_the_new_connections_of_its_zone_stays_in_use() {
    let mut watched = Watched::new();
    assert_eq!(watched.pass(HISTORY, 2.0, 0.1), (None, false));
    let (first, _) = watched.pass(seconds(3.0), 100.0, 0.7);
    assert!(first.is_some_and(|at| at <= seconds(1.5)), "{first:?}");
}

/// Less than a crowd: traffic that triples at all boxes, a thread that keeps up, connections that are opened again after a reset.
#[rstest]
#[case::three_times_the_usual_rate(15.0, 45.0, 0.9, 10.0)]
#[case::few_new_connections(0.5, 15.0, 0.9, 10.0)]
#[case::a_calm_thread(2.0, 200.0, 0.3, 10.0)]
#[case::connections_opened_again(2.0, 500.0, 0.9, 0.2)]
fn a_box_is_crowded_without_a_crowd(
    #[case] usual: f64,
    #[case] rate: f64,
    #[case] busy: f64,
    #[case] lasts: f64,
) {
    let mut watched = Watched::new();
    watched.pass(HISTORY, usual, 0.1);
    let during = watched.pass(seconds(lasts), rate, busy);
    let after = watched.pass(seconds(2.0), usual, 0.1);
    assert_eq!((during.0, after.0), (None, None));
}

#[test]
fn a_box_that_has_just_started_judges_its_rate() {
    let mut watched = Watched::new();
    assert_eq!(watched.pass(seconds(9.0), 100.0, 0.9), (None, false));
}

#[test]
fn a_crowded_box_is_not_used_again_or_too_soon() {
    let mut watched = Watched::new();
    watched.pass(HISTORY, 2.0, 0.1);
    assert!(watched.pass(seconds(2.0), 100.0, 0.7).1);
    assert!(watched.pass(seconds(30.0), 0.0, 0.7).1, "it is busy");
    assert!(watched.pass(seconds(1.0), 0.0, 0.1).1, "it was busy");
    assert!(!watched.pass(seconds(2.0), 0.0, 0.1).1);
    assert!(watched.pass(seconds(2.0), 100.0, 0.7).1);
    assert!(
        watched.pass(seconds(12.0), 0.0, 0.1).1,
        "new callers come back"
    );
    assert!(!watched.pass(seconds(4.0), 0.0, 0.1).1);
}
