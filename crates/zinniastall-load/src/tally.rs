//! Collects samples by client and class.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::{call::Sample, outcome::Outcome, settings::Source};

/// Longest time that is recorded: one hour.
const MAX_MICROS: u64 = 3_600_000_000;
/// Significant decimal digits that histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// What a caller observed of one request, to be compared with the ledgers.
#[derive(Debug, Clone)]
pub struct Observation {
    /// BLAKE3 digest of the body, as hex.
    pub digest: String,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether a whole answer was the one to its prompt.
    pub correct: bool,
    /// Whether a streamed answer holds events of two software versions.
    pub mixed: bool,
}

/// Samples of one client and class.
#[derive(Debug, Clone)]
pub struct Series {
    /// Time to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub token_gaps: Histogram<u64>,
    /// Time to the end of whole answers, in microseconds.
    pub total: Histogram<u64>,
    /// Requests.
    pub requests: u64,
    /// Whole answers.
    pub answered: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Whole answers within the deadline.
    pub within_deadline: u64,
    /// Whole answers from another region than the source's.
    pub remote: u64,
    /// Errors by type.
    pub errors: IndexMap<String, u64>,
    /// Requests by receiving instance.
    pub instances: IndexMap<String, u64>,
}

/// Samples by client and class, and the observations to compare with the ledgers.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Measured samples.
    pub series: IndexMap<(String, String), Series>,
    /// Observations of all requests, including those of the warm-up.
    pub observations: Vec<Observation>,
}

impl Series {
    fn new() -> Self {
        Self {
            first_token: histogram(),
            token_gaps: histogram(),
            total: histogram(),
            requests: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            within_deadline: 0,
            remote: 0,
            errors: IndexMap::new(),
            instances: IndexMap::new(),
        }
    }

    fn add(&mut self, source: &Source, sample: &Sample, deadline: Duration) {
        self.requests += 1;
        if !sample.error.is_empty() {
            *self.errors.entry(sample.error.clone()).or_default() += 1;
        }
        if !sample.instance.is_empty() {
            *self.instances.entry(sample.instance.clone()).or_default() += 1;
        }
        match sample.outcome {
            Outcome::Answered => self.add_answer(source, sample, deadline),
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
        }
    }

    fn add_answer(&mut self, source: &Source, sample: &Sample, deadline: Duration) {
        self.answered += 1;
        self.total.saturating_record(micros(sample.total));
        if let Some(first_token) = sample.first_token {
            self.first_token.saturating_record(micros(first_token));
        }
        for gap in &sample.token_gaps {
            self.token_gaps.saturating_record(micros(*gap));
        }
        if sample.total <= deadline {
            self.within_deadline += 1;
        }
        let region = sample.place.split('/').next().unwrap_or_default();
        let home = source.region.as_deref();
        if !region.is_empty() && home.is_some_and(|home| home != region) {
            self.remote += 1;
        }
    }

    /// Returns the share of all requests that had a whole answer within `millis` milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts stay far below the 52 bits that are exact"
    )]
    pub fn within(&self, millis: u64) -> f64 {
        let answered = self.total.count_between(0, millis.saturating_mul(1_000));
        answered as f64 / self.requests.max(1) as f64
    }

    /// Adds another series to this one.
    pub fn merge(&mut self, other: &Self) {
        // All histograms have the same bounds, so adding cannot fail.
        let _ = self.first_token.add(&other.first_token);
        let _ = self.token_gaps.add(&other.token_gaps);
        let _ = self.total.add(&other.total);
        self.requests += other.requests;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.within_deadline += other.within_deadline;
        self.remote += other.remote;
        for (error, count) in &other.errors {
            *self.errors.entry(error.clone()).or_default() += count;
        }
        for (instance, count) in &other.instances {
            *self.instances.entry(instance.clone()).or_default() += count;
        }
    }
}

impl Tally {
    /// Adds a measured sample.
    pub fn add(&mut self, source: &Source, sample: &Sample, deadline: Duration) {
        let key = (source.client.clone(), source.class.clone());
        let series = self.series.entry(key).or_insert_with(Series::new);
        series.add(source, sample, deadline);
    }

    /// Adds another tally to this one.
    pub fn merge(&mut self, other: Self) {
        self.observations.extend(other.observations);
        for (key, series) in other.series {
            match self.series.get_mut(&key) {
                Some(sum) => sum.merge(&series),
                None => drop(self.series.insert(key, series)),
            }
        }
    }

    /// Returns all series as one.
    pub fn sum(&self) -> Series {
        let mut sum = Series::new();
        self.series.values().for_each(|series| sum.merge(series));
        sum
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS)
}
