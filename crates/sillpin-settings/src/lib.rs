//! Settings of all programs, read from INI files and checked against a schema.
//!
//! A program declares its sections and keys as a [`Schema`]. [`load`] takes each value from, in order
//! of precedence, the command line (`--set section.key=value`), the environment
//! (`SILLPIN_SECTION_KEY`), the file and the default. It reports all faults together, with file, line,
//! key and accepted values. A key that is not in the schema is a fault.

pub mod args;
mod file;
mod load;
pub mod program;

use derive_more::{Display, Error};

pub use load::{Loaded, Origin, Sources, env_name, load};

/// Type of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Kind {
    /// Any text.
    #[display("text")]
    Text,
    /// A name.
    #[display("a name of a-z, 0-9, '.', '_' and '-'")]
    Name,
    /// An IP address and port.
    #[display("an IP address and port, such as 127.0.0.1:8080")]
    Addr,
    /// IP addresses and ports.
    #[display("IP addresses and ports, separated by commas")]
    AddrList,
    /// A list of words.
    #[display("words, separated by commas")]
    List,
    /// A whole number within a range.
    #[display("a whole number from {min} to {max}")]
    Number {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// An IP address.
    #[display("an IP address, such as 127.0.0.1")]
    Ip,
    /// A number from 0 to 1.
    #[display("a number from 0 to 1")]
    Fraction,
    /// A decimal number, 0 or more.
    #[display("a number of 0 or more, such as 2 or 0.5")]
    Decimal,
    /// One of the given words.
    #[display("one of {}", _0.join(", "))]
    OneOf(&'static [&'static str]),
}

/// Declaration of a key.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// Name of the key.
    pub name: &'static str,
    /// Type of the value.
    pub kind: Kind,
    /// Default value; `None` if the key is required.
    pub default: Option<&'static str>,
    /// Whether the value is masked when printed.
    pub secret: bool,
    /// Description, for `docs/SETTINGS.md`.
    pub help: &'static str,
}

impl Key {
    /// Declares a required key.
    pub const fn required(name: &'static str, kind: Kind, help: &'static str) -> Self {
        Self {
            name,
            kind,
            default: None,
            secret: false,
            help,
        }
    }

    /// Declares a key with a default.
    pub const fn optional(
        name: &'static str,
        kind: Kind,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            name,
            kind,
            default: Some(default),
            secret: false,
            help,
        }
    }

    /// Marks the key as secret, so that its value is masked when printed.
    pub const fn secret(mut self) -> Self {
        self.secret = true;
        self
    }
}

/// Declaration of a section.
#[derive(Debug, Clone, Copy)]
pub struct Section {
    /// Name of the section.
    pub name: &'static str,
    /// Keys of the section.
    pub keys: &'static [Key],
}

/// All sections of a program.
pub type Schema = &'static [Section];

/// A fault in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{place}: {what}")]
pub struct Fault {
    /// Location: file and line, environment variable, flag or key.
    pub place: String,
    /// Description of the fault, with the accepted values.
    pub what: String,
}

/// All faults in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("settings have {} fault(s)\n{}", _0.len(), join(_0))]
pub struct Faults(#[error(not(source))] pub Vec<Fault>);

fn join(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|f| format!("  {f}")).collect();
    lines.join("\n")
}
