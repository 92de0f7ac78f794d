//! `cargo xtask names`: the users' platform is spelled in one folder only.
//!
//! Headers, paths and keys of the platform are decoded in `platform/`; a name of theirs elsewhere means that
//! something was decoded twice, or that a decision has moved into the adapter's language.

use clap::Command;
use std::io;
use std::path::{Path, PathBuf};

/// Folders of the product's own code.
const FOLDERS: [&str; 3] = ["crates", "xtask/src/ops", "tests/testsuite"];

/// Names that only the adapter may spell.
const NAMES: [&str; 24] = [
    "expect-instance",
    "expect-version",
    "prefix-hash",
    "token-usage",
    "cache-salt",
    "not-executed",
    "response-signature",
    "deadline-ms:",
    "kv-fetch",
    "kv-save",
    "kv-until",
    "kv-events",
    "kv-list",
    "kv-free",
    "kv-txn",
    "kv-range",
    "kv-watch",
    "kv-lease",
    "path_prefix",
    "fence_token",
    "boot_epoch",
    "next_token",
    "op/config",
    "servers/",
];

pub fn cli() -> Command {
    Command::new("names").about("Checks that only platform/ spells the platform's names")
}

pub fn run() -> io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut found = Vec::new();
    for folder in FOLDERS {
        look_into(&root.join(folder), &mut found)?;
    }
    if found.is_empty() {
        return Ok(());
    }
    Err(io::Error::other(format!(
        "names of the platform outside platform/:\n  {}",
        found.join("\n  ")
    )))
}

fn look_into(folder: &Path, found: &mut Vec<String>) -> io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            look_into(&path, found)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            look_at(&path, found)?;
        }
    }
    Ok(())
}

fn look_at(path: &PathBuf, found: &mut Vec<String>) -> io::Result<()> {
    let text = std::fs::read_to_string(path)?;
    for (number, line) in text.lines().enumerate() {
        let lower = line.to_ascii_lowercase();
        for name in NAMES.iter().filter(|name| lower.contains(*name)) {
            found.push(format!("{}:{}: {name}", path.display(), number + 1));
        }
    }
    Ok(())
}
