//! `sillpin status`: shows the fleet as a keeper sees it.

use super::{keeper_arg, show, value};
use clap::{ArgMatches, Command};
use sillpin_cli::CliError;
use sillpin_cli::ops::fleet;
use sillpin_rpc::entry_link::TargetView;
use sillpin_rpc::peer_link::{BoxStatus, FleetStatus};

pub fn cli() -> Command {
    Command::new("status")
        .about(
            "Shows boxes, targets, the revision in force and how old the keeper's information is",
        )
        .arg(keeper_arg())
}

pub async fn run(args: &ArgMatches) -> Result<(), CliError> {
    let status = fleet::status(value(args, "keeper")?).await?;
    show(args, &status, text);
    Ok(())
}

fn text(status: &FleetStatus) -> String {
    let mut text = String::new();
    let age =
        |age: Option<u64>| age.map_or_else(|| "never".to_owned(), |ms| format!("{ms} ms ago"));
    let bundle = status.bundle.as_deref().unwrap_or("none");
    let digest = status.digest.as_deref().unwrap_or("-");
    text.push_str(&format!("seen by {} in {}\n", status.by, status.zone));
    text.push_str(&format!(
        "revision {} ({bundle}, digest {digest})\n",
        status.revision
    ));
    text.push_str(&format!(
        "platform answered {}\n",
        age(status.platform_age_ms)
    ));
    text.push_str(&format!("box list heard {}\n", age(status.box_list_age_ms)));
    let (prompts, blocks) = (status.directory_prompts, status.directory_blocks);
    text.push_str(&format!(
        "directory part: {prompts} prompts, {blocks} blocks\n"
    ));
    for (zone, arm, breach) in &status.stopped_arms {
        text.push_str(&format!("arm {arm} stopped in {zone}: {breach}\n"));
    }
    text.push_str("boxes:\n");
    text.extend(status.boxes.iter().map(box_line));
    text.push_str("targets:\n");
    text.extend(status.targets.iter().map(target_line));
    text
}

fn box_line(status: &BoxStatus) -> String {
    let state = &status.state;
    let live = if status.live { "live" } else { "out of use" };
    format!(
        "  {} {} {} revision {} heartbeat {} ms ago {live}\n",
        status.id, state.zone, state.peer_addr, state.revision, status.heartbeat_age_ms
    )
}

fn target_line(target: &TargetView) -> String {
    let entry = &target.entry;
    let load = target.state.as_ref().and_then(|state| state.load.as_ref());
    let load = load.map_or_else(
        || "load unknown".to_owned(),
        |load| format!("running {} waiting {}", load.running, load.waiting),
    );
    let reachable = target.state.as_ref().is_none_or(|state| state.reachable);
    let reachability = if reachable {
        "in reach"
    } else {
        "out of reach"
    };
    let leaving = if target.leaving { " leaving" } else { "" };
    format!(
        "  {} {} {} {} {} {load} {reachability}{leaving}\n",
        entry.id, entry.kind, entry.pool, entry.zone, entry.addr
    )
}
