//! Measures the latency that an entry adds to a call of an engine, by interleaved calls through the
//! entry and directly, at a fixed rate.

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

/// Latency that an entry adds, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct Overhead {
    /// Difference of the median latencies.
    pub p50_us: i64,
    /// Difference of the 99th percentiles of the latency.
    pub p99_us: i64,
}

/// Parameters of the measurement.
pub struct Measurement {
    /// Address of the entry.
    pub entry: SocketAddr,
    /// API key of an organisation.
    pub key: String,
    /// Engines to call directly, in turn.
    pub engines: Vec<SocketAddr>,
    /// Calls per second, through the entry and directly each.
    pub rate: u32,
    /// Number of calls, through the entry and directly each.
    pub calls: u32,
}

/// Calls engines alternately through the entry and directly, and compares the latencies.
pub async fn measure(measurement: &Measurement) -> Overhead {
    let client = Client::default();
    let mut interval = tokio::time::interval(Duration::from_secs(1) / measurement.rate);
    let (mut through, mut direct) = (JoinSet::new(), JoinSet::new());
    for number in 0..measurement.calls {
        interval.tick().await;
        let engine = measurement.engines[number as usize % measurement.engines.len()];
        let request =
            CompletionRequest::new(&measurement.key, MODEL, format!("overhead {number}"), 1);
        let (entry_client, entry) = (client.clone(), measurement.entry);
        let direct_client = HttpEngine::new(client.clone());
        let prompt = request.prompt.clone();
        through.spawn(async move {
            match call(&entry_client, entry, &request).await {
                CallResult::Answered { total, .. } => Some(total),
                _ => None,
            }
        });
        direct.spawn(async move { call_engine(&direct_client, engine, prompt).await });
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
