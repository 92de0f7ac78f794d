//! Settings in INI, the same checker for every program.
//!
//! A program declares its sections and keys as a [`Schema`]. [`load`] takes each value from, in
//! order, the command line (`--set section.key=value`), the environment
//! (`SILLPIN_SECTION_KEY`), the file and the default, and reports every fault at once with file,
//! line, key and what is accepted. A key that the schema does not know is a fault.

pub mod args;
mod file;
mod load;
pub mod program;

use derive_more::{Display, Error};

pub use load::{Loaded, Origin, Sources, env_name, load};

/// What a value must look like.
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
    /// Several of them.
    #[display("IP addresses and ports, separated by commas")]
    AddrList,
    /// Several words.
    #[display("words, separated by commas")]
    List,
    /// A whole number within bounds.
    #[display("a whole number from {min} to {max}")]
    Number {
        /// Lowest.
        min: u64,
        /// Highest.
        max: u64,
    },
    /// An IP address.
    #[display("an IP address, such as 127.0.0.1")]
    Ip,
    /// A number from 0 to 1.
    #[display("a number from 0 to 1")]
    Fraction,
    /// A number from 0, with or without a fraction.
    #[display("a number from 0, such as 2 or 0.5")]
    Decimal,
    /// One of several words.
    #[display("one of {}", _0.join(", "))]
    OneOf(&'static [&'static str]),
}

/// A key of a section.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// What its value must look like.
    pub kind: Kind,
    /// Its value when not given; `None`: it must be given.
    pub default: Option<&'static str>,
    /// Whether its value is masked when printed.
    pub secret: bool,
    /// What it does.
    pub help: &'static str,
}

impl Key {
    /// A key that must be given.
    pub const fn required(name: &'static str, kind: Kind, help: &'static str) -> Self {
        Self {
            name,
            kind,
            default: None,
            secret: false,
            help,
        }
    }

    /// A key with a default.
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

    /// The same key, masked when printed.
    pub const fn secret(mut self) -> Self {
        self.secret = true;
        self
    }
}

/// A section of a file.
#[derive(Debug, Clone, Copy)]
pub struct Section {
    /// Its name.
    pub name: &'static str,
    /// Its keys.
    pub keys: &'static [Key],
}

/// All that a program reads.
pub type Schema = &'static [Section];

/// One fault of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{place}: {what}")]
pub struct Fault {
    /// Where: file and line, environment name, flag or key.
    pub place: String,
    /// What is wrong and what is accepted.
    pub what: String,
}

/// All faults of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("settings have {} fault(s)\n{}", _0.len(), join(_0))]
pub struct Faults(#[error(not(source))] pub Vec<Fault>);

fn join(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|f| format!("  {f}")).collect();
    lines.join("\n")
}
