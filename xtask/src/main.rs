//! Development tasks of the workspace: `cargo xtask COMMAND`.

mod commands;
mod ops;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = commands::cli().get_matches();
    match commands::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}
