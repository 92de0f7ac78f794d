//! What came of a workload: counted at the load side and, for executions, at the stand-ins.

use crate::caller::CallResult;
use crate::driver::Row;
use crate::lower_bound::Floor;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use sillpin_core::{Outcome, PriorityClass};
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts and times of a workload.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refused, and told "not run".
    pub refused_not_run: u64,
    /// Told "unknown" or "ran" without the whole answer.
    pub unknown: u64,
    /// Neither a whole answer nor a word about it.
    pub lost: u64,
    /// Calls that ran more than once, or ran although told "not run"; counted at the services.
    pub doubled: u64,
    /// Answers that were not the caller's own.
    pub mixed: u64,
    /// Times that a caller sent again after a broken connection.
    pub resent: u64,
    /// Median time to first token, in milliseconds.
    pub ttft_p50_ms: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub ttft_p95_ms: f64,
    /// 95th percentile of the urgent class alone.
    pub urgent_p95_ms: f64,
    /// Tokens computed over tokens of all prompts, compulsory ones included.
    pub recomputed_share: f64,
    /// Part of that which no cache could avoid.
    pub compulsory_share: f64,
    /// The same for one cache as large as all engines' together that knows the future.
    pub belady_share: f64,
    /// Bytes fetched from stores.
    pub link_bytes: u64,
}

/// The times to first token of answered requests, in microseconds.
pub fn first_tokens<'a>(rows: impl IntoIterator<Item = &'a Row>) -> Histogram<u64> {
    let mut histogram = micros();
    for row in rows {
        if let CallResult::Answered { first_token, .. } = &row.got {
            histogram.saturating_record(first_token.as_micros() as u64);
        }
    }
    histogram
}

/// The times to refusal of requests that were not run, in microseconds.
pub fn refusals<'a>(rows: impl IntoIterator<Item = &'a Row>) -> Histogram<u64> {
    let mut histogram = micros();
    for row in rows {
        if let CallResult::Refused { after, .. } = &row.got {
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

/// Sums a workload up. `executions`: how often each idempotency key ran, as the services counted.
pub fn sum_up(rows: &[Row], floor: Option<&Floor>, executions: &BTreeMap<String, u32>) -> Report {
    let completions = || rows.iter().filter(|row| row.once_key.is_none());
    let all = first_tokens(completions());
    let urgent = first_tokens(completions().filter(|row| row.class == PriorityClass::Urgent));
    let mut report = Report {
        sent: rows.len() as u64,
        ttft_p50_ms: millis(&all, 0.5),
        ttft_p95_ms: millis(&all, 0.95),
        urgent_p95_ms: millis(&urgent, 0.95),
        doubled: doubled(rows, executions),
        resent: rows.iter().map(|row| u64::from(row.resends)).sum(),
        ..Report::default()
    };
    if let Some(floor) = floor {
        report.compulsory_share = floor.compulsory_share;
        report.belady_share = floor.belady_share;
    }
    let (mut tokens, mut reused) = (0, 0);
    for row in rows {
        match &row.got {
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

fn doubled(rows: &[Row], executions: &BTreeMap<String, u32>) -> u64 {
    let repeated = executions
        .iter()
        .filter(|(key, count)| *key != "-" && **count > 1);
    let untrue = rows.iter().filter(|row| {
        let ran = row
            .once_key
            .as_ref()
            .is_some_and(|key| executions.contains_key(key));
        ran && row.is_not_run()
    });
    (repeated.count() + untrue.count()) as u64
}

impl Report {
    /// The report for people.
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

/// A named line of a plot.
pub struct Line<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its values.
    pub times: Histogram<u64>,
}

/// Plot size in pixels.
const PLOT_SIZE: (u32, u32) = (800, 500);

/// Why a plot could not be drawn.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot draw the plot: {_0}")]
pub struct PlotError(#[error(not(source))] String);

/// Draws the share of answers whose first token came within a time, as SVG.
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
    let longest = lines
        .iter()
        .map(|l| l.times.value_at_quantile(0.99))
        .max()
        .unwrap_or(1);
    let longest_ms = (longest as f64 / 1_000.0).max(1.0);
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..longest_ms, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("time to first token, ms")
        .y_desc("share of answers")
        .draw()?;
    for (number, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).mix(1.0);
        let points = (0..=100).map(|percent| {
            let quantile = f64::from(percent) / 100.0;
            (millis(&line.times, quantile).min(longest_ms), quantile)
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

/// The median of some figures.
pub fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(f64::NAN)
}

/// The time of a figure in milliseconds.
pub fn as_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
