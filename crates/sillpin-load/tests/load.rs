//! Workloads are replayable, and the floor is the floor.

use sillpin_load::caller::CallResult;
use sillpin_load::driver::Row;
use sillpin_load::lower_bound;
use sillpin_load::report::{Line, first_tokens, plot, sum_up};
use sillpin_load::workload::{Corpus, Kind, Plan, Trace};
use std::collections::BTreeMap;
use std::time::Duration;

fn plan(kind: Kind, seed: u64) -> Plan {
    Plan {
        kind,
        seed,
        organisations: ["a", "b", "c"].map(str::to_owned).into(),
        rate: 50.0,
        length: Duration::from_secs(10),
        prompts: 40,
    }
}

#[rstest::rstest]
#[case(Kind::Planning)]
#[case(Kind::Kerb)]
fn a_trace_follows_from_its_seed_and_survives_its_file(#[case] kind: Kind) {
    let trace = Trace::make(&plan(kind, 7));
    assert_eq!(trace, Trace::make(&plan(kind, 7)));
    assert_ne!(trace, Trace::make(&plan(kind, 8)));
    assert!(
        (400..900).contains(&trace.events.len()),
        "{}",
        trace.events.len()
    );
    assert_eq!(Trace::from_lines(&trace.to_lines()).unwrap(), trace);
}

#[test]
fn a_larger_cache_is_never_worse_and_none_beats_the_compulsory_share() {
    let trace = Trace::make(&plan(Kind::Planning, 7));
    let shares: Vec<f64> = [0, 50, 200, 100_000]
        .map(|capacity| lower_bound::of(&trace, &Corpus::default(), capacity).belady_share)
        .into();
    assert!(shares.is_sorted_by(|a, b| a >= b), "{shares:?}");
    let floor = lower_bound::of(&trace, &Corpus::default(), 100_000);
    assert_eq!(floor.belady_share, floor.compulsory_share);
    assert_eq!(shares[0], 1.0);
}

fn row(got: CallResult, once_key: Option<&str>) -> Row {
    Row {
        at: Duration::ZERO,
        class: Default::default(),
        organisation: "a".to_owned(),
        once_key: once_key.map(str::to_owned),
        resends: 0,
        got,
    }
}

#[test]
fn doubles_are_counted_from_the_services_side() {
    let rows = [row(CallResult::Lost("gone".to_owned()), Some("k"))];
    let twice = BTreeMap::from([("k".to_owned(), 2)]);
    let report = sum_up(&rows, None, &twice);
    assert_eq!((report.lost, report.doubled), (1, 1));
}

#[test]
fn a_plot_is_an_svg_document() {
    let answered = CallResult::Answered {
        first_token: Duration::from_millis(20),
        whole: Duration::from_millis(30),
        usage: Default::default(),
        request: None,
    };
    let rows = [row(answered, None)];
    let line = Line {
        name: "ours",
        times: first_tokens(&rows),
    };
    let svg = plot("first token", &[line]).unwrap();
    assert!(svg.starts_with("<svg ") && svg.trim_end().ends_with("</svg>"));
}
