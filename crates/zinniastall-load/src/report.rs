//! The report of an experiment.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use crate::{
    audit::Audit,
    settings::{self, Experiment},
    tally::{Series, Tally},
};

/// Quantiles of the curves for the plot.
const CURVE_QUANTILES: [f64; 12] = [
    0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 1.0,
];

/// Times within which the share of whole answers is reported.
const WITHIN_THRESHOLDS_MS: [u64; 3] = [250, 500, 800];

/// The report of an experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Planned requests of each variant, including the warm-up.
    pub planned: usize,
    /// Measured time, in milliseconds.
    pub duration_ms: u128,
    /// Deadline, in milliseconds.
    pub deadline_ms: u128,
    /// Results.
    pub variants: Vec<Variant>,
}

/// The result of one variant.
#[derive(Debug, Clone, Serialize)]
pub struct Variant {
    /// Name.
    pub name: String,
    /// All clients and classes.
    pub all: Row,
    /// By client and class.
    pub rows: Vec<Row>,
    /// Comparison with the ledgers.
    pub audit: Audit,
    /// Longest delay of a request's start, in microseconds.
    pub latest_start_us: u128,
}

/// The result of one client and class.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Client; empty for all.
    pub client: String,
    /// Class; empty for all.
    pub class: String,
    /// Requests.
    pub requests: u64,
    /// Whole answers.
    pub answered: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Whole answers within the deadline, per second.
    pub goodput: f64,
    /// Shares of all requests with a whole answer within given milliseconds. Refused and lost
    /// requests count as missed: quantiles of answers alone look better the more are refused.
    pub within: Vec<(u64, f64)>,
    /// Whole answers from another region.
    pub away: u64,
    /// Time to the first token.
    pub first: Latency,
    /// Time between tokens.
    pub between: Latency,
    /// Time to the end.
    pub whole: Latency,
    /// Errors by type.
    pub errors: IndexMap<String, u64>,
    /// Requests by receiving instance.
    pub instances: IndexMap<String, u64>,
}

/// Distribution of a latency, in microseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Latency {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
    /// Quantiles and their values.
    pub curve: Vec<(f64, u64)>,
}

impl Report {
    /// Starts a report.
    pub fn new(experiment: &Experiment, planned: usize) -> Self {
        Self {
            seed: experiment.seed,
            planned,
            duration_ms: experiment.duration.as_millis(),
            deadline_ms: experiment.deadline.as_millis(),
            variants: Vec::new(),
        }
    }
}

impl Variant {
    /// Summarises the results of a variant.
    pub fn new(
        experiment: &Experiment,
        variant: &settings::Variant,
        tally: &Tally,
        audit: Audit,
        max_delay: Duration,
    ) -> Self {
        let row = |client: &str, class: &str, series: &Series| {
            Row::new(client, class, series, experiment.duration)
        };
        let rows = tally.series.iter();
        Self {
            name: variant.name.clone(),
            all: row("", "", &tally.sum()),
            rows: rows
                .map(|((client, class), series)| row(client, class, series))
                .collect(),
            audit,
            latest_start_us: max_delay.as_micros(),
        }
    }

    /// Returns whether the audit found no violation.
    pub const fn is_clean(&self) -> bool {
        self.audit.violations() == 0
    }
}

impl Row {
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts stay far below the 52 bits that are exact"
    )]
    fn new(client: &str, class: &str, series: &Series, duration: Duration) -> Self {
        Self {
            client: client.to_owned(),
            class: class.to_owned(),
            requests: series.requests,
            answered: series.answered,
            not_run: series.not_run,
            unknown: series.unknown,
            goodput: series.within_deadline as f64 / duration.as_secs_f64(),
            within: WITHIN_THRESHOLDS_MS
                .map(|millis| (millis, series.within(millis)))
                .to_vec(),
            away: series.remote,
            first: Latency::new(&series.first_token),
            between: Latency::new(&series.token_gaps),
            whole: Latency::new(&series.total),
            errors: series.errors.clone(),
            instances: series.instances.clone(),
        }
    }
}

impl Latency {
    fn new(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile);
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max(),
            curve: CURVE_QUANTILES
                .map(|quantile| (quantile, at(quantile)))
                .to_vec(),
        }
    }
}
