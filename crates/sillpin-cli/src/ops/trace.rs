//! Collects the records of one request from the logs of many boxes.

use serde::Serialize;
use serde_json::{Map, Value};

/// Events that change a box's view of the fleet or what it can reach; they are shown as context of a
/// request's records.
const CONTEXT_EVENTS: [u64; 10] = [301, 302, 310, 312, 317, 318, 320, 321, 330, 331];

/// Context events of a box are shown if they are at most this many seconds before or after one of its
/// records of the request.
const CONTEXT_SECONDS: f64 = 3.0;

/// A log record of a box.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Record {
    /// Time by the box's clock (RFC 3339).
    pub time: String,
    /// Box that wrote the record.
    pub by: String,
    /// Number of the event.
    pub event: u64,
    /// Text of the event.
    pub text: String,
    /// All other fields of the record.
    pub fields: Map<String, Value>,
}

/// The records that concern a request.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Trace {
    /// Records of the request itself, by time.
    pub records: Vec<Record>,
    /// Context events of the same boxes around that time.
    pub context: Vec<Record>,
    /// Number of lines that are not records.
    pub unreadable: usize,
}

/// Finds the records of `request` among `lines`.
pub fn trace<'a>(request: &str, lines: impl Iterator<Item = &'a str>) -> Trace {
    let mut unreadable = 0;
    let mut all = Vec::new();
    for line in lines.filter(|line| !line.trim().is_empty()) {
        match parse_record(line) {
            Some(record) => all.push(record),
            None => unreadable += 1,
        }
    }
    all.sort_by(|a, b| a.time.cmp(&b.time));
    let is_own =
        |record: &&Record| record.fields.get("request").and_then(Value::as_str) == Some(request);
    let records: Vec<Record> = all.iter().filter(is_own).cloned().collect();
    let near =
        |record: &&Record| CONTEXT_EVENTS.contains(&record.event) && is_near(record, &records);
    let context = all.iter().filter(near).cloned().collect();
    Trace {
        records,
        context,
        unreadable,
    }
}

/// Returns whether a record is within [`CONTEXT_SECONDS`] of one of the request's records (`own`) from
/// the same box.
fn is_near(record: &Record, own: &[Record]) -> bool {
    let own: Vec<f64> = own
        .iter()
        .filter(|own| own.by == record.by)
        .filter_map(|own| second_of_day(&own.time))
        .collect();
    let Some(at) = second_of_day(&record.time) else {
        return false;
    };
    own.iter().any(|own| (own - at).abs() <= CONTEXT_SECONDS)
}

/// Returns the seconds since midnight of a time such as `2026-01-14T19:05:10.02Z`.
fn second_of_day(time: &str) -> Option<f64> {
    let clock = time.split_once('T')?.1.trim_end_matches('Z');
    let mut fields = clock.split(':');
    let hours: f64 = fields.next()?.parse().ok()?;
    let minutes: f64 = fields.next()?.parse().ok()?;
    let seconds: f64 = fields.next()?.parse().ok()?;
    Some((hours * 60.0 + minutes) * 60.0 + seconds)
}

/// Parses a log line; `None` if it is not a record.
fn parse_record(line: &str) -> Option<Record> {
    // A log collector may prepend text to the document.
    let start = line.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let mut remove_text = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => text,
        _ => String::new(),
    };
    let (time, by, text) = (remove_text("ts"), remove_text("box"), remove_text("msg"));
    for name in ["level", "program", "zone"] {
        fields.remove(name);
    }
    let event = fields.remove("event")?.as_u64()?;
    Some(Record {
        time,
        by,
        event,
        text,
        fields,
    })
}
