//! `sillpin organisation`: manages organisations and their keys.

use super::{platform, platform_arg, show, value};
use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use sillpin_cli::ops::organisation;
use sillpin_cli::{CliError, ExitStatus};
use sillpin_core::OrgId;

pub fn cli() -> Command {
    let name = || {
        Arg::new("name")
            .required(true)
            .value_parser(value_parser!(OrgId))
            .help("Name of the organisation")
    };
    Command::new("organisation")
        .about("Manages organisations and their keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("add-key")
                .about("Creates a key, prints it once and stores its hash")
                .arg(name())
                .arg(platform_arg()),
        )
        .subcommand(
            Command::new("revoke")
                .about("Revokes all keys of an organisation")
                .arg(name())
                .arg(platform_arg()),
        )
        .subcommand(
            Command::new("list")
                .about("Lists organisations and their number of keys")
                .arg(platform_arg()),
        )
}

/// Output of `organisation add-key`.
#[derive(Serialize)]
struct NewKey {
    key: String,
}

pub async fn run(args: &ArgMatches) -> Result<(), CliError> {
    match args.subcommand() {
        Some(("add-key", args)) => {
            let key = organisation::new_key();
            let hash = organisation::hash_key(&key);
            organisation::add_key(&platform(args)?, value(args, "name")?, hash).await?;
            show(args, &NewKey { key }, |new| format!("{}\n", new.key));
            Ok(())
        }
        Some(("revoke", args)) => {
            organisation::revoke_keys(&platform(args)?, value(args, "name")?).await
        }
        Some(("list", args)) => {
            let list = organisation::list(&platform(args)?).await?;
            show(args, &list, |list| {
                let lines = list
                    .iter()
                    .map(|o| format!("{} {} key(s)\n", o.id, o.key_hashes.len()));
                lines.collect()
            });
            Ok(())
        }
        _ => Err(CliError::new(ExitStatus::Usage, "no command")),
    }
}
