//! Reads the values of an INI file with their line numbers.

use crate::{Fault, Schema};
use ini::Ini;
use std::collections::BTreeMap;

/// Maximum length of the file, in bytes.
const MAX_FILE_LEN: usize = 1 << 20;

/// Section and key.
pub(crate) type Path = (String, String);

/// A value with its line number.
pub(crate) struct Value {
    pub(crate) text: String,
    pub(crate) line: usize,
}

/// Parses the values in `text`, the contents of `file`. Keys that are not in `schema` are faults.
pub(crate) fn parse(
    file: &str,
    text: &str,
    schema: Schema,
    faults: &mut Vec<Fault>,
) -> BTreeMap<Path, Value> {
    let fault = |line: usize, what: String| Fault {
        place: format!("{file}:{line}"),
        what,
    };
    if text.len() > MAX_FILE_LEN {
        faults.push(fault(1, format!("longer than {MAX_FILE_LEN} bytes")));
        return BTreeMap::new();
    }
    let ini = match Ini::load_from_str_noescape(text) {
        Ok(ini) => ini,
        Err(e) => {
            faults.push(fault(e.line, e.msg.to_string()));
            return BTreeMap::new();
        }
    };
    let lines = lines_of(text);
    let mut values = BTreeMap::new();
    for (section, properties) in &ini {
        let section = section.unwrap_or_default();
        for (key, value) in properties {
            let path = (section.to_owned(), key.to_owned());
            let line = lines.get(&path).map_or(0, |lines| lines[0]);
            if let Some(what) = unknown(schema, section, key) {
                faults.push(fault(line, what));
                continue;
            }
            if values.contains_key(&path) {
                let again = lines.get(&path).and_then(|lines| lines.get(1));
                let again = again.copied().unwrap_or(line);
                faults.push(fault(again, format!("[{section}] {key} is set twice")));
                continue;
            }
            let text = value.to_owned();
            values.insert(path, Value { text, line });
        }
    }
    values
}

fn unknown(schema: Schema, section: &str, key: &str) -> Option<String> {
    let Some(known) = schema.iter().find(|s| s.name == section) else {
        let names: Vec<&str> = schema.iter().map(|s| s.name).collect();
        let names = names.join(", ");
        return Some(format!("unknown section [{section}]; accepted: {names}"));
    };
    if known.keys.iter().any(|k| k.name == key) {
        return None;
    }
    let names: Vec<&str> = known.keys.iter().map(|k| k.name).collect();
    let names = names.join(", ");
    Some(format!(
        "unknown key {key} in [{section}]; accepted: {names}"
    ))
}

/// Returns the line numbers of each key, which the library does not provide.
fn lines_of(text: &str) -> BTreeMap<Path, Vec<usize>> {
    let mut lines: BTreeMap<Path, Vec<usize>> = BTreeMap::new();
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            section = name.trim().to_owned();
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            let path = (section.clone(), key.trim().to_owned());
            lines.entry(path).or_default().push(index + 1);
        }
    }
    lines
}
