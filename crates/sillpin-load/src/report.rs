//! Results of a workload, counted by the callers and, for executions, by the stand-ins.

use crate::caller::CallResult;
use crate::driver::RequestRecord;
use crate::lower_bound::LowerBound;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use sillpin_core::{Outcome, PriorityClass};
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts and times of a workload.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete and expected responses.
    pub answered: u64,
    /// Number of refusals with the outcome "not run".
    pub refused_not_run: u64,
    /// Number of requests without a complete response whose outcome is "unknown" or "ran".
    pub unknown: u64,
    /// Number of requests that got neither a complete response nor a problem document.
    pub lost: u64,
    /// Number of calls that ran more than once, or ran although reported as "not run"; counted by the services.
    pub doubled: u64,
    /// Number of responses that were not the one to the request.
    pub mixed: u64,
    /// Number of retries by callers.
    pub resent: u64,
    /// Median time to first token, in milliseconds.
    pub ttft_p50_ms: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub ttft_p95_ms: f64,
    /// 95th percentile of the time to first token of the urgent class, in milliseconds.
    pub urgent_p95_ms: f64,
    /// Share of all prompt tokens that were computed, compulsory ones included.
    pub recomputed_share: f64,
    /// Share of all prompt tokens that must be computed with any cache.
    pub compulsory_share: f64,
    /// Share that must be computed with one optimal cache (Belady) of all engines' total capacity.
    pub belady_share: f64,
    /// Number of bytes fetched from stores.
    pub link_bytes: u64,
}

/// Returns the times to first token of answered requests, in microseconds.
pub fn first_token_times<'a>(
    records: impl IntoIterator<Item = &'a RequestRecord>,
) -> Histogram<u64> {
    let mut histogram = micros();
    for record in records {
        if let CallResult::Answered { first_token, .. } = &record.result {
            histogram.saturating_record(first_token.as_micros() as u64);
        }
    }
    histogram
}

/// Returns the times to refusal of requests, in microseconds.
pub fn refusal_times<'a>(records: impl IntoIterator<Item = &'a RequestRecord>) -> Histogram<u64> {
    let mut histogram = micros();
    for record in records {
        if let CallResult::Refused { after, .. } = &record.result {
            histogram.saturating_record(after.as_micros() as u64);
        }
    }
    histogram
}

fn micros() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3)
        .unwrap_or_else(|_| unreachable!("constant bounds"))
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Summarizes a workload. `executions` is the number of executions of each idempotency key, as counted by the
/// services.
pub fn summarize(
    records: &[RequestRecord],
    bound: Option<&LowerBound>,
    executions: &BTreeMap<String, u32>,
) -> Report {
    let completions = || records.iter().filter(|record| record.once_key.is_none());
    let all = first_token_times(completions());
    let urgent =
        first_token_times(completions().filter(|record| record.class == PriorityClass::Urgent));
    let mut report = Report {
        sent: records.len() as u64,
        ttft_p50_ms: millis(&all, 0.5),
        ttft_p95_ms: millis(&all, 0.95),
        urgent_p95_ms: millis(&urgent, 0.95),
        doubled: doubled(records, executions),
        resent: records.iter().map(|record| u64::from(record.retries)).sum(),
        ..Report::default()
    };
    if let Some(bound) = bound {
        report.compulsory_share = bound.compulsory_share;
        report.belady_share = bound.belady_share;
    }
    let (mut tokens, mut reused) = (0, 0);
    for record in records {
        match &record.result {
            CallResult::Answered { usage, .. } => {
                let details = usage.prompt_tokens_details;
                report.answered += 1;
                report.link_bytes += details.imported_bytes;
                tokens += usage.prompt_tokens;
                reused += details.cached_tokens + details.imported_tokens;
            }
            CallResult::Refused { problem, .. } if problem.outcome == Outcome::NotRun => {
                report.refused_not_run += 1;
            }
            CallResult::Refused { .. } => report.unknown += 1,
            CallResult::Lost(_) => report.lost += 1,
            CallResult::Mixed(_) => report.mixed += 1,
        }
    }
    report.recomputed_share = tokens.saturating_sub(reused) as f64 / tokens.max(1) as f64;
    report
}

fn doubled(records: &[RequestRecord], executions: &BTreeMap<String, u32>) -> u64 {
    let ran_twice = executions
        .iter()
        .filter(|(key, count)| *key != "-" && **count > 1);
    let ran_anyway = records.iter().filter(|record| {
        let ran = record
            .once_key
            .as_ref()
            .is_some_and(|key| executions.contains_key(key));
        ran && record.is_not_run()
    });
    (ran_twice.count() + ran_anyway.count()) as u64
}

impl Report {
    /// Formats the report as readable text.
    pub fn text(&self) -> String {
        format!(
            "sent {}, answered {}, refused as not run {}, unknown {}, lost {}, doubled {}, mixed {}; \
             sent again after a broken connection {}\n\
             time to first token: median {:.0} ms, 95th percentile {:.0} ms (urgent {:.0} ms)\n\
             prompt work computed: {:.1}% (no cache avoids {:.1}%, the best cache {:.1}%)\n\
             fetched from stores: {} bytes\n",
            self.sent,
            self.answered,
            self.refused_not_run,
            self.unknown,
            self.lost,
            self.doubled,
            self.mixed,
            self.resent,
            self.ttft_p50_ms,
            self.ttft_p95_ms,
            self.urgent_p95_ms,
            100.0 * self.recomputed_share,
            100.0 * self.compulsory_share,
            100.0 * self.belady_share,
            self.link_bytes,
        )
    }
}

/// A line of a plot.
pub struct Line<'a> {
    /// Name in the legend.
    pub name: &'a str,
    /// Times to first token, in microseconds.
    pub times: Histogram<u64>,
}

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 500);

/// A plot could not be drawn, with the reason.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot draw the plot: {_0}")]
pub struct PlotError(#[error(not(source))] String);

/// Plots the share of responses over their time to first token, as an SVG document.
///
/// # Errors
/// If the plotting library fails.
pub fn plot(title: &str, lines: &[Line<'_>]) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(title, lines, &mut svg).map_err(|e| PlotError(e.to_string()))?;
    Ok(svg)
}

fn draw(
    title: &str,
    lines: &[Line<'_>],
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let max_us = lines
        .iter()
        .map(|l| l.times.value_at_quantile(0.99))
        .max()
        .unwrap_or(1);
    let max_ms = (max_us as f64 / 1_000.0).max(1.0);
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..max_ms, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("time to first token, ms")
        .y_desc("share of responses")
        .draw()?;
    for (number, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).mix(1.0);
        let points = (0..=100).map(|percent| {
            let quantile = f64::from(percent) / 100.0;
            (millis(&line.times, quantile).min(max_ms), quantile)
        });
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns the median of `figures`, or NaN if there are none.
pub fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Returns a duration in milliseconds.
pub fn as_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
