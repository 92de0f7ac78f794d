//! What an entry adds to a call of an engine: interleaved, at a fixed rate.

use hdrhistogram::Histogram;
use sillpin_core::{AttemptId, WeightVersion};
use sillpin_http::Client;
use sillpin_load::caller::{CallResult, CompletionRequest, call};
use sillpin_targets::{Engine, HttpEngine, RunOrder, RunStream};
use sillpin_testsuite::fleet::MODEL;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Quantiles of what an entry adds, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct Overhead {
    /// Difference of the medians.
    pub p50_us: i64,
    /// Difference of the 99th percentiles.
    pub p99_us: i64,
}

/// What is measured.
pub struct Measurement {
    /// The entry.
    pub entry: SocketAddr,
    /// Key of an organisation.
    pub key: String,
    /// Engines to call directly, in turn.
    pub engines: Vec<SocketAddr>,
    /// Calls a second, each way.
    pub rate: u32,
    /// Calls each way.
    pub calls: u32,
}

/// Calls engines through the entry and directly, in turn.
pub async fn measure(measurement: &Measurement) -> Overhead {
    let client = Client::default();
    let mut every = tokio::time::interval(Duration::from_secs(1) / measurement.rate);
    let (mut through, mut direct) = (JoinSet::new(), JoinSet::new());
    for number in 0..measurement.calls {
        every.tick().await;
        let engine = measurement.engines[number as usize % measurement.engines.len()];
        let ask = CompletionRequest::new(&measurement.key, MODEL, format!("overhead {number}"), 1);
        let (via, entry) = (client.clone(), measurement.entry);
        let by_engine = HttpEngine::new(client.clone());
        let prompt = ask.prompt.clone();
        through.spawn(async move {
            match call(&via, entry, &ask).await {
                CallResult::Answered { whole, .. } => Some(whole),
                _ => None,
            }
        });
        direct.spawn(async move { call_engine(&by_engine, engine, prompt).await });
    }
    let through = quantiles(through.join_all().await);
    let direct = quantiles(direct.join_all().await);
    Overhead {
        p50_us: through.0 - direct.0,
        p99_us: through.1 - direct.1,
    }
}

async fn call_engine(engine: &HttpEngine, peer: SocketAddr, prompt: String) -> Option<Duration> {
    let begun = Instant::now();
    let order = RunOrder {
        attempt: AttemptId::generate(),
        model: MODEL.parse().ok()?,
        version: WeightVersion(1),
        adapter: None,
        blocks: Vec::new(),
        prompt,
        delivered: String::new(),
        start_index: 0,
        max_tokens: 1,
        priority: 1,
        imports: Vec::new(),
        parameters: Default::default(),
    };
    let mut run = engine
        .run(peer, &order, Duration::from_secs(5))
        .await
        .ok()?;
    while run.next().await.ok()?.is_some() {}
    Some(begun.elapsed())
}

fn quantiles(times: Vec<Option<Duration>>) -> (i64, i64) {
    let mut histogram: Histogram<u64> =
        Histogram::new(3).unwrap_or_else(|_| unreachable!("constant precision"));
    for time in times.into_iter().flatten() {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as i64;
    (at(0.5), at(0.99))
}
