//! `cargo xtask docs`: writes the pages that follow from the code.

use clap::Command;
use sillpin_settings::{Schema, env_name};
use sillpin_telemetry::events::CATALOGUE;
use std::fmt::Write;
use std::io;
use std::path::Path;

pub fn cli() -> Command {
    Command::new("docs").about("Writes docs/EVENTS.md and docs/SETTINGS.md from the code")
}

pub fn run() -> io::Result<()> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    std::fs::write(docs.join("EVENTS.md"), events())?;
    std::fs::write(docs.join("SETTINGS.md"), settings())
}

fn events() -> String {
    let mut page = String::from(
        "# Log events\n\nEvery log record carries the number of its event as `event`. Written by \
         `cargo xtask docs`; a test holds it to the code.\n\n| event | level | what happened | what to do |\n\
         |---|---|---|---|\n",
    );
    for e in CATALOGUE {
        let level = e.level.as_str().to_lowercase();
        let _ = writeln!(
            page,
            "| E{} | {level} | {} | {} |",
            e.code, e.text, e.advice
        );
    }
    page
}

fn settings() -> String {
    let mut page = String::from(
        "# Settings\n\nSettings are INI files. A value is taken from, in order: `--set section.key=value`, \
         the environment, the file, the default. `--check` prints every fault with file, line, key and \
         what is accepted; `--print-settings` prints the effective values with their sources, secrets \
         masked. Unknown keys are faults. Written by `cargo xtask docs`.\n",
    );
    program(&mut page, "sillpin-entry", sillpin_entry::settings::SCHEMA);
    program(
        &mut page,
        "sillpin-keeper",
        sillpin_keeper::settings::SCHEMA,
    );
    program(&mut page, "sillpin-box", sillpin_gateway::settings::SCHEMA);
    page
}

fn program(page: &mut String, name: &str, schema: Schema) {
    let _ = writeln!(page, "\n## {name}\n");
    page.push_str("| section | key | accepted | default | environment | what it does |\n|---|---|---|---|---|---|\n");
    for section in schema {
        for key in section.keys {
            let default = match key.default {
                Some("") => "(empty)",
                Some(default) => default,
                None => "must be given",
            };
            let env = env_name(section, key);
            let _ = writeln!(
                page,
                "| {} | {} | {} | {default} | `{env}` | {} |",
                section.name, key.name, key.kind, key.help
            );
        }
    }
}
