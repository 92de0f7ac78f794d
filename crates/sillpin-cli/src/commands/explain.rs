//! `sillpin explain`: shows why a request was routed to its target.

use super::{keeper_arg, show, value};
use clap::{Arg, ArgMatches, Command, value_parser};
use sillpin_cli::CliError;
use sillpin_cli::ops::fleet;
use sillpin_core::RequestId;
use sillpin_rpc::records::{AttemptRecord, DecisionRecord};

pub fn cli() -> Command {
    Command::new("explain")
        .about(
            "Shows the candidate targets of a request, their costs, and the result of each attempt",
        )
        .arg(
            Arg::new("request")
                .required(true)
                .value_parser(value_parser!(RequestId))
                .help("Request id from the response's headers"),
        )
        .arg(keeper_arg())
}

pub async fn run(args: &ArgMatches) -> Result<(), CliError> {
    let record = fleet::explain(value(args, "keeper")?, value(args, "request")?).await?;
    show(args, &record, text);
    Ok(())
}

fn text(record: &DecisionRecord) -> String {
    let mut text = format!(
        "request {}\n  taken by {} in {}, organisation {}, class {}\n  revision {}, arm {}, {} block(s)\n",
        record.request,
        record.by,
        record.zone,
        record.org,
        record.class,
        record.revision,
        record.arm,
        record.blocks,
    );
    for (number, attempt) in record.attempts.iter().enumerate() {
        text.push_str(&format!(
            "attempt {} at {}: {}\n",
            number + 1,
            attempt.target,
            attempt.result
        ));
        text.push_str(&candidates(attempt));
    }
    let first = record
        .first_token_us
        .map(|us| format!(", first token after {us} us"));
    text.push_str(&format!(
        "outcome {}{}\n",
        record.outcome,
        first.unwrap_or_default()
    ));
    text
}

fn candidates(attempt: &AttemptRecord) -> String {
    let lines = attempt.candidates.iter().map(|c| {
        format!(
            "  {} ({}): cost {:.3} = wait {} us, compute {} us, fetch {} us; holds {}, fetches {}\n",
            c.target, c.reason, c.cost, c.wait_us, c.compute_us, c.fetch_us, c.held, c.fetched
        )
    });
    lines.collect()
}
