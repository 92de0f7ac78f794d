//! The catalogue of log events in `docs/EVENTS.md` matches the code.

use sillpin_telemetry::events::CATALOGUE;
use std::path::Path;

#[test]
fn the_docs_list_every_event_as_the_code_has_it() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let docs = std::fs::read_to_string(file).unwrap();
    let documented: Vec<&str> = docs
        .lines()
        .filter(|line| line.starts_with("| E"))
        .collect();
    let expected: Vec<String> = CATALOGUE
        .iter()
        .map(|e| {
            format!(
                "| E{} | {} | {} | {} |",
                e.code,
                e.level.as_str().to_lowercase(),
                e.text,
                e.advice
            )
        })
        .collect();
    assert_eq!(documented, expected);
}

#[test]
fn no_code_is_used_twice() {
    let mut codes: Vec<u16> = CATALOGUE.iter().map(|e| e.code).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), CATALOGUE.len());
}
