//! Compares two arms of the bundle in force, by zone: figures and 95% confidence intervals of their
//! differences.

use super::fleet;
use crate::{CliError, ExitStatus};
use plotters::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use sillpin_core::{ArmName, Revision, ZoneId};
use sillpin_rpc::arms::{ArmFigures, RatioSums};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Half the width of a 95% confidence interval, in standard errors.
const Z95: f64 = 1.96;

/// Bootstrap resamples for the confidence interval of a percentile.
const RESAMPLES: usize = 400;

/// Minimum samples of each arm for a comparison.
const MIN_SAMPLES: u64 = 20;

/// Seed of the resampling, so that the same figures give the same interval.
const SEED: u64 = 1;

/// Plot size in pixels.
const PLOT_SIZE: (u32, u32) = (800, 500);

/// A figure of both arms, with the confidence interval of their difference (B minus A).
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Compared {
    /// Value of arm A.
    pub a: f64,
    /// Value of arm B.
    pub b: f64,
    /// Lower bound of the 95% confidence interval of B minus A.
    pub low: f64,
    /// Upper bound of that interval.
    pub high: f64,
}

impl Compared {
    /// Returns whether the difference is significant: the interval does not contain zero.
    pub fn is_significant(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// Comparison of two arms in one zone, or in all zones together.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ZoneComparison {
    /// The zone; `None` is all zones together.
    pub zone: Option<ZoneId>,
    /// Complete responses of each arm.
    pub samples: (u64, u64),
    /// Requests of each arm without a complete response.
    pub failed: (u64, u64),
    /// Median time to first token, in milliseconds.
    pub first_token_p50_ms: Compared,
    /// 95th percentile of the time to first token, in milliseconds.
    pub first_token_p95_ms: Compared,
    /// Share of the prompt tokens that were computed rather than served from caches.
    pub recomputed_share: Compared,
    /// Bytes fetched from cache stores per request.
    pub link_bytes: Compared,
}

/// Comparison of two arms of a revision.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    /// Revision of the bundle.
    pub revision: Revision,
    /// Name of arm A.
    pub a: ArmName,
    /// Name of arm B.
    pub b: ArmName,
    /// All zones together first, then each zone that has enough samples.
    pub zones: Vec<ZoneComparison>,
}

/// Collects from all live boxes the figures of the arms under the newest revision. Boxes that do not
/// answer are skipped.
pub async fn figures(keeper: SocketAddr) -> Result<Vec<ArmFigures>, CliError> {
    let status = fleet::status(keeper).await?;
    let mut all = Vec::new();
    let live = status.boxes.iter().filter(|b| b.live);
    let mut keepers: Vec<SocketAddr> = live.map(|b| b.state.peer_addr).collect();
    if !keepers.contains(&keeper) {
        keepers.push(keeper);
    }
    for keeper in keepers {
        all.extend(fleet::arms(keeper).await.unwrap_or_default());
    }
    all.retain(|figures| figures.revision == status.revision);
    Ok(all)
}

/// Sums of the figures of one arm.
#[derive(Default)]
struct Sums {
    /// Number of responses by time to first token, in microseconds.
    first_tokens: BTreeMap<u64, u64>,
    failed: u64,
    computed: RatioSums,
    link_bytes: RatioSums,
}

impl Sums {
    fn of<'a>(figures: impl Iterator<Item = &'a ArmFigures>) -> Self {
        let mut sums = Self::default();
        for figures in figures {
            for (micros, count) in &figures.first_tokens {
                *sums.first_tokens.entry(*micros).or_default() += count;
            }
            sums.failed += figures.failed;
            sums.computed.merge(&figures.computed);
            sums.link_bytes.merge(&figures.link_bytes);
        }
        sums
    }

    fn samples(&self) -> u64 {
        self.first_tokens.values().sum()
    }

    /// Returns the time to first token, in milliseconds, that `share` of the samples do not exceed.
    fn quantile(&self, share: f64) -> f64 {
        quantile(&self.first_tokens, share)
    }

    /// Returns the same quantile of a bootstrap resample: as many samples, drawn with replacement.
    fn resampled(&self, rng: &mut SmallRng, share: f64) -> f64 {
        let mut ends = Vec::with_capacity(self.first_tokens.len());
        let mut total = 0;
        for (micros, count) in &self.first_tokens {
            total += count;
            ends.push((total, *micros));
        }
        let mut drawn: BTreeMap<u64, u64> = BTreeMap::new();
        for _ in 0..total {
            let point = rng.random_range(0..total);
            let index = ends.partition_point(|(end, _)| *end <= point);
            *drawn.entry(ends[index].1).or_default() += 1;
        }
        quantile(&drawn, share)
    }
}

/// Returns the quantile, in milliseconds, of samples that are counted by microseconds.
fn quantile(counts: &BTreeMap<u64, u64>, share: f64) -> f64 {
    let total: u64 = counts.values().sum();
    let rank = ((total as f64 * share).ceil() as u64).max(1);
    let mut cumulative = 0;
    for (micros, count) in counts {
        cumulative += count;
        if cumulative >= rank {
            return *micros as f64 / 1_000.0;
        }
    }
    0.0
}

/// Compares two arms. Fails if an arm has fewer than [`MIN_SAMPLES`] samples.
pub fn compare(
    figures: &[ArmFigures],
    revision: Revision,
    a: &ArmName,
    b: &ArmName,
) -> Result<Comparison, CliError> {
    let mut zones: Vec<ZoneId> = figures.iter().map(|f| f.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let overall = compare_in(figures, None, a, b);
    for (arm, samples) in [(a, overall.samples.0), (b, overall.samples.1)] {
        if samples < MIN_SAMPLES {
            let what = format!(
                "arm {arm} has {samples} answers under revision {revision}; {MIN_SAMPLES} are needed"
            );
            return Err(CliError::new(ExitStatus::NotFound, what));
        }
    }
    let each = zones
        .into_iter()
        .map(|zone| compare_in(figures, Some(zone), a, b));
    let enough = |c: &ZoneComparison| c.samples.0.min(c.samples.1) >= MIN_SAMPLES;
    Ok(Comparison {
        revision,
        a: a.clone(),
        b: b.clone(),
        zones: std::iter::once(overall)
            .chain(each.filter(enough))
            .collect(),
    })
}

fn compare_in(
    figures: &[ArmFigures],
    zone: Option<ZoneId>,
    a: &ArmName,
    b: &ArmName,
) -> ZoneComparison {
    let sums_of = |arm: &ArmName| {
        let here = figures
            .iter()
            .filter(|f| zone.as_ref().is_none_or(|zone| f.zone == *zone));
        Sums::of(here.filter(|f| f.arm == *arm))
    };
    let (a, b) = (sums_of(a), sums_of(b));
    ZoneComparison {
        samples: (a.samples(), b.samples()),
        failed: (a.failed, b.failed),
        first_token_p50_ms: compare_quantile(&a, &b, 0.5),
        first_token_p95_ms: compare_quantile(&a, &b, 0.95),
        recomputed_share: compare_ratio(&a.computed, &b.computed),
        link_bytes: compare_ratio(&a.link_bytes, &b.link_bytes),
        zone,
    }
}

/// Compares a quantile of both arms by bootstrap: the interval is the middle 95% of the differences of
/// resampled quantiles.
fn compare_quantile(a: &Sums, b: &Sums, share: f64) -> Compared {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut differences: Vec<f64> = (0..RESAMPLES)
        .map(|_| b.resampled(&mut rng, share) - a.resampled(&mut rng, share))
        .collect();
    differences.sort_by(f64::total_cmp);
    let cut_off = RESAMPLES / 40;
    Compared {
        a: a.quantile(share),
        b: b.quantile(share),
        low: differences[cut_off],
        high: differences[RESAMPLES - 1 - cut_off],
    }
}

/// Compares a ratio of both arms by the normal approximation.
fn compare_ratio(a: &RatioSums, b: &RatioSums) -> Compared {
    let error = a.standard_error().hypot(b.standard_error());
    let difference = b.ratio() - a.ratio();
    Compared {
        a: a.ratio(),
        b: b.ratio(),
        low: difference - Z95 * error,
        high: difference + Z95 * error,
    }
}

/// Plots the cumulative distribution of the time to first token of both arms, as SVG.
pub fn plot(figures: &[ArmFigures], a: &ArmName, b: &ArmName) -> Result<String, CliError> {
    let mut svg = String::new();
    draw(figures, a, b, &mut svg).map_err(|e| {
        let what = format!("cannot draw the plot: {e}");
        CliError::new(ExitStatus::Failed, what)
    })?;
    Ok(svg)
}

fn draw(
    figures: &[ArmFigures],
    a: &ArmName,
    b: &ArmName,
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let sums_of = |arm: &ArmName| Sums::of(figures.iter().filter(|f| f.arm == *arm));
    let sides = [(a, sums_of(a)), (b, sums_of(b))];
    let longest = sides
        .iter()
        .map(|(_, sums)| sums.quantile(0.99))
        .fold(1.0, f64::max);
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Time to first token", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..longest, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("ms")
        .y_desc("share of answers")
        .draw()?;
    for (number, (arm, sums)) in sides.iter().enumerate() {
        let colour = Palette99::pick(number).mix(1.0);
        let points = (1..=100).map(|percent| {
            let share = f64::from(percent) / 100.0;
            (sums.quantile(share).min(longest), share)
        });
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(arm.as_str())
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
