//! Measures the cost of many open streams through one entry.

use super::procfs::{cpu_time, memory};
use serde::Serialize;
use sillpin_http::Client;
use sillpin_load::caller::{CompletionRequest, call};
use sillpin_testsuite::fleet::{MODEL, api_key};
use sillpin_testsuite::{Fleet, FleetShape};
use std::time::Duration;
use tokio::task::JoinSet;

/// Number of streams over one HTTP/2 connection of a caller.
const STREAMS_PER_CONNECTION: usize = 100;

/// Number of tokens of each stream; the engines generate one every two seconds.
const TOKENS: u32 = 12;

/// Time between the starts of two connections' streams.
const CONNECTION_INTERVAL: Duration = Duration::from_millis(60);

/// Cost of many open streams for an entry.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct StreamCost {
    /// Number of streams.
    pub streams: usize,
    /// Number of streams that received their complete response.
    pub whole: usize,
    /// Maximum number of streams open at the same time, as counted by the engines.
    pub open_at_once: u32,
    /// Memory of the entry per stream, in bytes.
    pub bytes_per_stream: f64,
    /// Processor time of the entry per request with one token, in microseconds.
    pub cpu_per_request_us: f64,
    /// Processor time of the entry per token, in microseconds: from the difference between long and short
    /// responses.
    pub cpu_per_token_us: f64,
}

/// Opens `streams` streams through one entry and measures their cost.
pub async fn measure(streams: usize) -> StreamCost {
    let args = [
        "--max-batch",
        "4000",
        "--max-waiting",
        "4000",
        "--step-ms",
        "2000",
        "--block-ms",
        "0",
        "--blocks-per-step",
        "4000",
    ];
    let fleet = Fleet::start(FleetShape {
        engines: 4,
        services: 0,
        stores: 0,
        engine_args: args.map(str::to_owned).into(),
        entry_settings: vec![
            "entry.drain-lag-ms=0",
            "limits.attempt-ms=20000",
            "limits.waiting=20000",
        ],
        ..FleetShape::default()
    })
    .await;
    let entry_box = &fleet.boxes[0];
    let (callers, id) = (entry_box.callers(), entry_box.entry.id());
    let before = memory(id);
    let mut tasks = JoinSet::new();
    for connection in 0..streams / STREAMS_PER_CONNECTION {
        let client = Client::http2();
        for stream in 0..STREAMS_PER_CONNECTION {
            let client = client.clone();
            let request = CompletionRequest {
                timeout: Duration::from_secs(120),
                ..CompletionRequest::new(
                    &api_key("riders"),
                    MODEL,
                    format!("{connection} {stream}"),
                    TOKENS,
                )
            };
            tasks.spawn(async move { call(&client, callers, &request).await.is_answered() });
        }
        tokio::time::sleep(CONNECTION_INTERVAL).await;
    }
    let (mut open_at_once, mut max_memory) = (0, before);
    let mut whole = 0;
    let mut sample_interval = tokio::time::interval(Duration::from_millis(500));
    loop {
        tokio::select! {
            ended = tasks.join_next() => match ended {
                Some(answered) => whole += usize::from(answered.unwrap_or(false)),
                None => break,
            },
            _ = sample_interval.tick() => {
                max_memory = max_memory.max(memory(id));
                open_at_once = open_at_once.max(running(&fleet).await);
            }
        }
    }
    let (short, long) = (cpu_of(1).await, cpu_of(101).await);
    StreamCost {
        streams,
        whole,
        open_at_once,
        bytes_per_stream: (max_memory - before) as f64 / streams as f64,
        cpu_per_request_us: short,
        cpu_per_token_us: (long - short) / 100.0,
    }
}

async fn running(fleet: &Fleet) -> u32 {
    let Some(status) = fleet.status(&fleet.boxes[0]).await else {
        return 0;
    };
    let loads = status
        .targets
        .iter()
        .filter_map(|t| t.state.as_ref()?.load.as_ref());
    loads.map(|load| load.running).sum()
}

/// Returns the processor time of an entry per request with `tokens` tokens, in microseconds.
async fn cpu_of(tokens: u32) -> f64 {
    const REQUESTS: u32 = 1_000;
    const CONCURRENCY: u32 = 50;
    let args = [
        "--max-batch",
        "1000",
        "--step-ms",
        "2",
        "--block-ms",
        "0",
        "--blocks-per-step",
        "1000",
    ];
    let fleet = Fleet::start(FleetShape {
        services: 0,
        stores: 0,
        engine_args: args.map(str::to_owned).into(),
        ..FleetShape::default()
    })
    .await;
    let (callers, id) = (fleet.boxes[0].callers(), fleet.boxes[0].entry.id());
    let before = cpu_time(id);
    let mut tasks = JoinSet::new();
    for worker in 0..CONCURRENCY {
        let client = fleet.client.clone();
        tasks.spawn(async move {
            for number in 0..REQUESTS / CONCURRENCY {
                let prompt = format!("{worker} {number}");
                let request = CompletionRequest::new(&api_key("riders"), MODEL, prompt, tokens);
                call(&client, callers, &request).await;
            }
        });
    }
    tasks.join_all().await;
    (cpu_time(id) - before).as_secs_f64() * 1e6 / f64::from(REQUESTS)
}
