//! `sillpin`: the operators' command line.
//!
//! Exit codes: 0 success; 1 something could not be read, written or reached; 2 invalid arguments;
//! 3 invalid bundle or key; 4 conflict with another operator; 5 not found; 6 may have taken effect.

mod commands;

use sillpin_cli::{CliError, ExitStatus};
use sillpin_settings::program::print_error;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = commands::cli().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => {
            let what = "cannot start";
            return fail(&CliError::caused(ExitStatus::Failed, what, e));
        }
    };
    match runtime.block_on(commands::run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

fn fail(e: &CliError) -> ExitCode {
    print_error(e);
    e.status.into()
}
