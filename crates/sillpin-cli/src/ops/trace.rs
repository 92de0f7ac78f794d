//! One request's records out of the logs of many boxes.

use serde::Serialize;
use serde_json::{Map, Value};

/// Events that change what a box believes or can reach; they explain a request's records.
const CONTEXT_EVENTS: [u64; 10] = [301, 302, 310, 312, 317, 318, 320, 321, 330, 331];

/// Records of the same box this long before and after the request's own are shown beside them.
const CONTEXT_SECONDS: f64 = 3.0;

/// A log record of a box.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Record {
    /// When, as the box's clock has it.
    pub time: String,
    /// The box.
    pub by: String,
    /// Number of the event.
    pub event: u64,
    /// What happened.
    pub text: String,
    /// Everything else that the record says.
    pub fields: Map<String, Value>,
}

/// What is known of a request.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Trace {
    /// Its own records, in order of time.
    pub records: Vec<Record>,
    /// What else its boxes reported around that time.
    pub context: Vec<Record>,
    /// Lines that are no records.
    pub unreadable: usize,
}

/// Finds the records of `request` among `lines`.
pub fn trace<'a>(request: &str, lines: impl Iterator<Item = &'a str>) -> Trace {
    let mut unreadable = 0;
    let mut all = Vec::new();
    for line in lines.filter(|line| !line.trim().is_empty()) {
        match read(line) {
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

/// Whether a record was made by a box of the request around its own records.
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

/// Seconds since midnight of a time such as `2026-01-14T19:05:10.02Z`.
fn second_of_day(time: &str) -> Option<f64> {
    let clock = time.split_once('T')?.1.trim_end_matches('Z');
    let mut fields = clock.split(':');
    let hours: f64 = fields.next()?.parse().ok()?;
    let minutes: f64 = fields.next()?.parse().ok()?;
    let seconds: f64 = fields.next()?.parse().ok()?;
    Some((hours * 60.0 + minutes) * 60.0 + seconds)
}

fn read(line: &str) -> Option<Record> {
    // A collector may have put something before the document.
    let start = line.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let mut take = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => text,
        _ => String::new(),
    };
    let (time, by, text) = (take("ts"), take("box"), take("msg"));
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
