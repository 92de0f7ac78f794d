//! Traces are reproducible and survive serialization; the lower bound is consistent; reports and plots are
//! correct.

use sillpin_load::caller::CallResult;
use sillpin_load::driver::RequestRecord;
use sillpin_load::lower_bound;
use sillpin_load::report::{Line, first_token_times, plot, summarize};
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
fn the_same_seed_gives_the_same_trace_and_its_lines_parse_back(#[case] kind: Kind) {
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
    let lower_bound = lower_bound::of(&trace, &Corpus::default(), 100_000);
    assert_eq!(lower_bound.belady_share, lower_bound.compulsory_share);
    assert_eq!(shares[0], 1.0);
}

fn record(result: CallResult, once_key: Option<&str>) -> RequestRecord {
    RequestRecord {
        at: Duration::ZERO,
        class: Default::default(),
        organisation: "a".to_owned(),
        once_key: once_key.map(str::to_owned),
        retries: 0,
        result,
    }
}

#[test]
fn executions_counted_twice_by_services_are_reported_as_doubled() {
    let records = [record(CallResult::Lost("gone".to_owned()), Some("k"))];
    let twice = BTreeMap::from([("k".to_owned(), 2)]);
    let report = summarize(&records, None, &twice);
    assert_eq!((report.lost, report.doubled), (1, 1));
}

#[test]
fn a_plot_is_an_svg_document() {
    let answered = CallResult::Answered {
        first_token: Duration::from_millis(20),
        total: Duration::from_millis(30),
        usage: Default::default(),
        request: None,
    };
    let records = [record(answered, None)];
    let line = Line {
        name: "ours",
        times: first_token_times(&records),
    };
    let svg = plot("first token", &[line]).unwrap();
    assert!(svg.starts_with("<svg ") && svg.trim_end().ends_with("</svg>"));
}
