//! `cargo xtask names`: checks that names of the users' platform are used in one folder only.
//!
//! Headers, paths and keys of the platform are decoded in `platform/`. Such a name elsewhere means that
//! something is decoded twice, or that other code depends on the platform's formats.

use clap::Command;
use std::io;
use std::path::{Path, PathBuf};

/// Folders that must not use names of the platform.
const FOLDERS: [&str; 3] = ["crates", "xtask/src/ops", "tests/testsuite"];

/// Names of the platform that only the adapter may use.
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
    Command::new("names").about("Checks that names of the platform are used only in platform/")
}

pub fn run() -> io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut found = Vec::new();
    for folder in FOLDERS {
        search_folder(&root.join(folder), &mut found)?;
    }
    if found.is_empty() {
        return Ok(());
    }
    Err(io::Error::other(format!(
        "names of the platform outside platform/:\n  {}",
        found.join("\n  ")
    )))
}

fn search_folder(folder: &Path, found: &mut Vec<String>) -> io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            search_folder(&path, found)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            search_file(&path, found)?;
        }
    }
    Ok(())
}

fn search_file(path: &PathBuf, found: &mut Vec<String>) -> io::Result<()> {
    let text = std::fs::read_to_string(path)?;
    for (number, line) in text.lines().enumerate() {
        let lower = line.to_ascii_lowercase();
        for name in NAMES.iter().filter(|name| lower.contains(*name)) {
            found.push(format!("{}:{}: {name}", path.display(), number + 1));
        }
    }
    Ok(())
}
