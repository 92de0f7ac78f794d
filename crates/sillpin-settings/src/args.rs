//! Command-line arguments common to all programs with settings.

use crate::load::Sources;
use crate::{Fault, Faults, Loaded, Schema, load};
use clap::{Arg, ArgAction, ArgMatches, Command};

/// Environment variable with the path of the settings file, used without `--config`.
pub const CONFIG_ENV: &str = "SILLPIN_CONFIG";

/// Adds `--config`, `--set`, `--check` and `--print-settings`.
pub fn with_settings(command: Command) -> Command {
    command
        .arg(
            Arg::new("config")
                .long("config")
                .env(CONFIG_ENV)
                .required(true)
                .value_name("FILE")
                .help("Settings file in INI format"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .action(ArgAction::Append)
                .value_name("SECTION.KEY=VALUE")
                .help("Set a value, overriding file and environment"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print all faults, and exit"),
        )
        .arg(
            Arg::new("print-settings")
                .long("print-settings")
                .action(ArgAction::SetTrue)
                .help("Print the effective settings with their sources, and exit"),
        )
}

/// Action that the arguments request.
pub enum Invocation {
    /// Run the program with these settings.
    Run(Loaded),
    /// Print this text and exit.
    Print(String),
}

/// Reads the settings and determines the requested action.
pub fn read(schema: Schema, args: &ArgMatches) -> Result<Invocation, Faults> {
    let loaded = load_settings(schema, args)?;
    if args.get_flag("print-settings") {
        return Ok(Invocation::Print(loaded.render()));
    }
    if args.get_flag("check") {
        let file = settings_file(args);
        return Ok(Invocation::Print(format!(
            "{file}: settings are accepted\n"
        )));
    }
    Ok(Invocation::Run(loaded))
}

fn settings_file(args: &ArgMatches) -> String {
    let file = args.get_one::<String>("config");
    file.cloned().unwrap_or_default()
}

/// Reads and checks the settings from the file, flags and environment that the arguments specify.
pub fn load_settings(schema: Schema, args: &ArgMatches) -> Result<Loaded, Faults> {
    let file = settings_file(args);
    let text = std::fs::read_to_string(&file).map_err(|e| {
        let what = format!("cannot be read: {e}");
        let place = file.clone();
        Faults(vec![Fault { place, what }])
    })?;
    let flags: Vec<String> = args
        .get_many::<String>("set")
        .map(|flags| flags.cloned().collect())
        .unwrap_or_default();
    let sources = Sources {
        file: &file,
        text: &text,
        flags: &flags,
        env: &|name| std::env::var(name).ok(),
    };
    load(schema, &sources)
}
