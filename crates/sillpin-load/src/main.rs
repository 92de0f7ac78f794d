//! `sillpin-load`: generates and sends workloads, and summarizes their results.

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = commands::cli().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime.and_then(|runtime| runtime.block_on(commands::run(&matches)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}
