//! `sillpin-standin engine`

use super::{flag, millis, option, serve, value, with_listen};
use clap::{ArgMatches, Command};
use sillpin_core::{ModelId, WeightVersion};
use sillpin_standin::engine::{EngineShape, EngineStandin};
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

pub fn cli() -> Command {
    let command = Command::new("engine").about("A model engine");
    with_listen(command)
        .arg(option::<ModelId>("model", "mfano", "Model to serve"))
        .arg(option::<u64>(
            "weights-version",
            "1",
            "Weight version to start with",
        ))
        .arg(option::<u64>("step-ms", "10", "Duration of a step"))
        .arg(option::<u64>(
            "block-ms",
            "20",
            "Duration of computing a block",
        ))
        .arg(option::<u32>(
            "blocks-per-step",
            "1",
            "Maximum number of blocks computed in a step",
        ))
        .arg(option::<usize>(
            "max-batch",
            "16",
            "Maximum number of runs in the batch",
        ))
        .arg(option::<usize>(
            "max-waiting",
            "256",
            "Maximum number of waiting runs",
        ))
        .arg(option::<usize>(
            "cache-blocks",
            "64",
            "Capacity of the prefix cache, in blocks",
        ))
        .arg(option::<usize>(
            "block-len",
            "16384",
            "Length of an exported block, in bytes",
        ))
        .arg(option::<u64>("load-lag-ms", "200", "Age of load reports"))
        .arg(option::<u64>(
            "event-lag-ms",
            "100",
            "Delay of cache events",
        ))
        .arg(option::<u64>(
            "gap-every",
            "0",
            "Lose every Nth cache event (0: none)",
        ))
        .arg(flag(
            "unfenced",
            "Accept weight loads with an outdated fence",
        ))
}

pub async fn run(args: &ArgMatches) -> io::Result<()> {
    let shape = EngineShape {
        step: millis(args, "step-ms")?,
        block: millis(args, "block-ms")?,
        blocks_per_step: value(args, "blocks-per-step")?,
        max_batch: value(args, "max-batch")?,
        max_waiting: value(args, "max-waiting")?,
        cache_blocks: value(args, "cache-blocks")?,
        block_len: value(args, "block-len")?,
        load_lag: millis(args, "load-lag-ms")?,
        event_lag: millis(args, "event-lag-ms")?,
        gap_every: value(args, "gap-every")?,
        check_fence: !args.get_flag("unfenced"),
        ..EngineShape::default()
    };
    let epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_err(io::Error::other)?;
    let version = WeightVersion(value(args, "weights-version")?);
    let engine = EngineStandin::start(
        shape,
        value(args, "model")?,
        version,
        epoch.as_millis() as u64,
    );
    serve("engine", args, move |req| engine.clone().handle(req)).await
}
