//! Traces of a refused, a broken and a late request: the logs alone must show the cause.

use sillpin_cli::ops::trace::trace;

const LOGS: &str = r#"
{"msg":"platform's store lost","level":"WARN","ts":"2026-05-13T11:57:09.500Z","zone":"za","box":"b2","program":"sillpin-box","prefix":"x","why":"out of reach","event":320}
{"msg":"sending","level":"INFO","ts":"2026-05-13T11:57:10.697Z","zone":"za","box":"b2","program":"sillpin-box","target":"e1","request":"refused","offer":0,"event":340}
{"msg":"sending failed","level":"INFO","ts":"2026-05-13T11:57:11.050Z","zone":"za","box":"b2","program":"sillpin-box","outcome":"unsent","target":"e1","request":"refused","event":341}
{"msg":"request failed","level":"INFO","ts":"2026-05-13T11:57:12.104Z","zone":"za","box":"b2","program":"sillpin-box","status":503,"outcome":"not-run","why":"several targets refused","request":"refused","event":111}
collector prefix {"msg":"sending","level":"INFO","ts":"2026-05-13T11:58:02.500Z","zone":"za","box":"b1","program":"sillpin-box","target":"e2","request":"broken","offer":0,"event":340}
{"msg":"sending failed","level":"INFO","ts":"2026-05-13T11:58:03.700Z","zone":"za","box":"b1","program":"sillpin-box","outcome":"unknown","why":"no answer","target":"e2","request":"broken","event":341}
{"msg":"target unreachable","level":"WARN","ts":"2026-05-13T11:58:03.900Z","zone":"za","box":"b1","program":"sillpin-box","target":"e2","event":317}
{"msg":"target unreachable","level":"WARN","ts":"2026-05-13T11:58:03.900Z","zone":"za","box":"b9","program":"sillpin-box","target":"e2","event":317}
{"msg":"sending","level":"INFO","ts":"2026-05-13T11:59:01.000Z","zone":"za","box":"b1","program":"sillpin-box","target":"e3","request":"late","kept":5000,"fetched":0,"event":340}
{"msg":"stream whole","level":"INFO","ts":"2026-05-13T11:59:04.000Z","zone":"za","box":"b1","program":"sillpin-box","target":"e3","request":"late","head_ms":2100,"event":342}
not a record
"#;

fn events(request: &str) -> (Vec<u64>, Vec<u64>) {
    let found = trace(request, LOGS.lines());
    let numbers =
        |records: &[sillpin_cli::ops::trace::Record]| records.iter().map(|r| r.event).collect();
    (numbers(&found.records), numbers(&found.context))
}

#[test]
fn a_refusal_shows_its_attempts_and_that_the_store_was_unreachable() {
    assert_eq!(events("refused"), (vec![340, 341, 111], vec![320]));
}

#[test]
fn a_broken_request_shows_the_target_that_became_unreachable() {
    assert_eq!(events("broken"), (vec![340, 341], vec![317]));
}

#[test]
fn a_late_response_shows_that_the_prompt_was_recomputed() {
    let found = trace("late", LOGS.lines());
    assert_eq!(found.records[0].fields["fetched"], 0);
    assert_eq!(found.records[0].fields["kept"], 5000);
    assert_eq!(found.records[1].fields["head_ms"], 2100);
    assert_eq!(found.unreadable, 1);
}
