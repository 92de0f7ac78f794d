//! Combines and checks the values from all sources.

use crate::file::{self, Path};
use crate::{Fault, Faults, Key, Kind, Schema, Section};
use derive_more::Display;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// Prefix of the environment variables.
pub const ENV_PREFIX: &str = "SILLPIN";

/// Shown in place of a secret.
const MASK: &str = "********";

/// Source of a value.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Origin {
    /// The file, with the line number.
    #[display("file, line {_0}")]
    File(usize),
    /// The environment.
    #[display("environment")]
    Environment,
    /// The command line.
    #[display("flag")]
    Flag,
    /// The default.
    #[display("default")]
    Default,
}

struct Value {
    text: String,
    origin: Origin,
    key: &'static Key,
}

/// Checked settings.
pub struct Loaded {
    values: BTreeMap<Path, Value>,
}

/// Sources that [`load`] reads.
pub struct Sources<'a> {
    /// Name of the settings file, for faults.
    pub file: &'a str,
    /// Contents of the settings file.
    pub text: &'a str,
    /// `section.key=value`, from the command line.
    pub flags: &'a [String],
    /// Returns the value of an environment variable.
    pub env: &'a dyn Fn(&str) -> Option<String>,
}

/// Reads and checks all settings of `schema`.
pub fn load(schema: Schema, sources: &Sources<'_>) -> Result<Loaded, Faults> {
    let mut faults = Vec::new();
    let from_file = file::parse(sources.file, sources.text, schema, &mut faults);
    let flags = parse_flags(schema, sources.flags, &mut faults);
    let mut values = BTreeMap::new();
    for section in schema {
        for key in section.keys {
            let path = (section.name.to_owned(), key.name.to_owned());
            let given = pick(section, key, &path, &flags, &from_file, sources);
            let Some((text, origin)) = given else {
                faults.push(missing_key(sources.file, section, key));
                continue;
            };
            if let Err(what) = check(key.kind, &text) {
                faults.push(invalid_value(sources.file, section, key, &origin, what));
            }
            values.insert(path, Value { text, origin, key });
        }
    }
    if faults.is_empty() {
        Ok(Loaded { values })
    } else {
        Err(Faults(faults))
    }
}

fn pick(
    section: &Section,
    key: &Key,
    path: &Path,
    flags: &BTreeMap<Path, String>,
    from_file: &BTreeMap<Path, file::Value>,
    sources: &Sources<'_>,
) -> Option<(String, Origin)> {
    if let Some(text) = flags.get(path) {
        return Some((text.clone(), Origin::Flag));
    }
    if let Some(text) = (sources.env)(&env_name(section, key)) {
        return Some((text, Origin::Environment));
    }
    if let Some(value) = from_file.get(path) {
        return Some((value.text.clone(), Origin::File(value.line)));
    }
    let default = key.default?;
    Some((default.to_owned(), Origin::Default))
}

/// Returns the environment variable of a key.
pub fn env_name(section: &Section, key: &Key) -> String {
    let name = format!("{ENV_PREFIX}_{}_{}", section.name, key.name);
    name.to_ascii_uppercase().replace('-', "_")
}

fn missing_key(file: &str, section: &Section, key: &Key) -> Fault {
    Fault {
        place: file.to_owned(),
        what: format!(
            "[{}] {} must be given: {}",
            section.name, key.name, key.kind
        ),
    }
}

fn invalid_value(file: &str, section: &Section, key: &Key, origin: &Origin, what: String) -> Fault {
    let place = match origin {
        Origin::File(line) => format!("{file}:{line}"),
        Origin::Environment => env_name(section, key),
        Origin::Flag | Origin::Default => format!("--set {}.{}", section.name, key.name),
    };
    let what = format!(
        "[{}] {}: {what}; accepted: {}",
        section.name, key.name, key.kind
    );
    Fault { place, what }
}

fn parse_flags(
    schema: Schema,
    flags: &[String],
    faults: &mut Vec<Fault>,
) -> BTreeMap<Path, String> {
    let mut values = BTreeMap::new();
    for flag in flags {
        let parts = flag.split_once('=').and_then(|(path, value)| {
            let (section, key) = path.split_once('.')?;
            Some((section, key, value))
        });
        let known = |section: &str, key: &str| {
            let section = schema.iter().find(|s| s.name == section);
            section.is_some_and(|s| s.keys.iter().any(|k| k.name == key))
        };
        match parts {
            Some((section, key, value)) if known(section, key) => {
                values.insert((section.to_owned(), key.to_owned()), value.to_owned());
            }
            _ => faults.push(Fault {
                place: format!("--set {flag}"),
                what: "unknown; accepted: section.key=value of a known key".to_owned(),
            }),
        }
    }
    values
}

fn check(kind: Kind, text: &str) -> Result<(), String> {
    let is_addr = |text: &str| text.trim().parse::<SocketAddr>().is_ok();
    let name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "._-".contains(c);
    let accepted = match kind {
        Kind::Text | Kind::List => true,
        Kind::Name => !text.is_empty() && text.len() <= 64 && text.chars().all(name_char),
        Kind::Addr => is_addr(text),
        Kind::AddrList => text.is_empty() || text.split(',').all(is_addr),
        Kind::Number { min, max } => text.parse().is_ok_and(|n: u64| (min..=max).contains(&n)),
        Kind::Ip => text.parse::<IpAddr>().is_ok(),
        Kind::Fraction => text.parse().is_ok_and(|f: f64| (0.0..=1.0).contains(&f)),
        Kind::Decimal => text.parse().is_ok_and(|n: f64| n.is_finite() && n >= 0.0),
        Kind::OneOf(words) => words.contains(&text),
    };
    if accepted {
        return Ok(());
    }
    Err(format!("{text:?} is not accepted"))
}

impl Loaded {
    /// Returns the value of a key as `T`. Fails if the schema does not declare the key, or its value
    /// cannot be parsed as `T`.
    pub fn get<T: FromStr>(&self, section: &str, key: &str) -> Result<T, Faults> {
        let path = (section.to_owned(), key.to_owned());
        let value = self.values.get(&path);
        let parsed = value.and_then(|value| value.text.parse().ok());
        parsed.ok_or_else(|| {
            Faults(vec![Fault {
                place: format!("[{section}] {key}"),
                what: "is not accepted".to_owned(),
            }])
        })
    }

    /// Returns the values of a key with a comma-separated list.
    pub fn list<T: FromStr>(&self, section: &str, key: &str) -> Result<Vec<T>, Faults> {
        let text: String = self.get(section, key)?;
        let words = text.split(',').map(str::trim).filter(|w| !w.is_empty());
        words
            .map(|word| {
                word.parse().map_err(|_| {
                    Faults(vec![Fault {
                        place: format!("[{section}] {key}"),
                        what: format!("{word:?} is not accepted"),
                    }])
                })
            })
            .collect()
    }

    /// Returns the keys whose values differ from those in `before`, as `section.key`.
    pub fn changed_since(&self, before: &Loaded) -> Vec<String> {
        let differs = |path: &Path, value: &Value| {
            before.values.get(path).map(|old| &old.text) != Some(&value.text)
        };
        let changed = self
            .values
            .iter()
            .filter(|(path, value)| differs(path, value));
        changed
            .map(|((section, key), _)| format!("{section}.{key}"))
            .collect()
    }

    /// Formats all values with their sources as an INI file; secrets are masked.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let mut last = "";
        for ((section, key), value) in &self.values {
            if section != last {
                text.push_str(&format!("[{section}]\n"));
                last = section;
            }
            let masked = value.key.secret && !value.text.is_empty();
            let shown = if masked { MASK } else { &value.text };
            text.push_str(&format!("{key} = {shown}  ; {}\n", value.origin));
        }
        text
    }
}
