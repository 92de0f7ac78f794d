//! Common `main` function of the programs: arguments, settings, and error output.

use crate::args::{Invocation, load_settings, read, with_settings};
use crate::{Faults, Loaded, Schema};
use clap::{ArgMatches, Command};
use std::error::Error;
use std::process::ExitCode;

/// Runs a program: reads and checks its settings, and passes them to `start`.
pub fn run(
    command: Command,
    schema: Schema,
    start: impl FnOnce(&Loaded) -> Result<(), Box<dyn Error>>,
) -> ExitCode {
    run_reloading(command, schema, |loaded, _| start(&loaded))
}

/// Reloads a program's settings while it runs.
#[derive(Debug, Clone)]
pub struct Reloader {
    schema: Schema,
    matches: ArgMatches,
}

impl Reloader {
    /// Reads and checks the current settings.
    pub fn read(&self) -> Result<Loaded, Faults> {
        load_settings(self.schema, &self.matches)
    }
}

/// Like [`run`], for a program that can reload its settings while it runs.
pub fn run_reloading(
    command: Command,
    schema: Schema,
    start: impl FnOnce(Loaded, Reloader) -> Result<(), Box<dyn Error>>,
) -> ExitCode {
    let matches = with_settings(command).get_matches();
    let result = match read(schema, &matches) {
        Ok(Invocation::Run(loaded)) => start(loaded, Reloader { schema, matches }),
        Ok(Invocation::Print(text)) => {
            print!("{text}");
            Ok(())
        }
        Err(e) => Err(e.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            print_error(e.as_ref());
            ExitCode::FAILURE
        }
    }
}

/// Prints an error and its causes to standard error.
pub fn print_error(e: &dyn Error) {
    eprintln!("error: {e}");
    let mut cause = e.source();
    if cause.is_some() {
        eprintln!("Caused by:");
    }
    while let Some(source) = cause {
        eprintln!("    {source}");
        cause = source.source();
    }
}
