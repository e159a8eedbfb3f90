//! Counters, gauges and histograms in the text format that scrapers read.

use std::{
    fmt::Debug,
    hash::Hash,
    sync::{Arc, atomic::AtomicU64},
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge,
        histogram::{self, exponential_buckets},
    },
    registry::Registry,
};

/// First bucket, in seconds, and how many there are, each twice as wide as the one before: to 16 s.
const BUCKETS: (f64, u16) = (0.002, 14);

/// A number that goes up and down.
pub type Gauge = gauge::Gauge<u64, AtomicU64>;
/// Counts by labels.
pub type Counters<L> = Family<L, Counter>;
/// Times in seconds, by labels.
pub type Histograms<L> = Family<L, histogram::Histogram>;

/// Collects the metrics of a process before it starts.
#[derive(Debug)]
pub struct Builder {
    registry: Registry,
}

/// The metrics of a process; clones show the same.
#[derive(Debug, Clone)]
pub struct Page {
    registry: Arc<Registry>,
}

impl Builder {
    /// Begins a page whose metrics' names begin with a prefix.
    pub fn new(prefix: &str) -> Self {
        Self {
            registry: Registry::with_prefix(prefix),
        }
    }

    /// Adds counters.
    pub fn counters<L>(&mut self, name: &str, help: &str) -> Counters<L>
    where
        L: Clone + Debug + Eq + Hash + EncodeLabelSet + Send + Sync + 'static,
    {
        let counters = Counters::default();
        self.registry.register(name, help, counters.clone());
        counters
    }

    /// Adds histograms of times in seconds.
    pub fn histograms<L>(&mut self, name: &str, help: &str) -> Histograms<L>
    where
        L: Clone + Debug + Eq + Hash + EncodeLabelSet + Send + Sync + 'static,
    {
        let new = || histogram::Histogram::new(exponential_buckets(BUCKETS.0, 2.0, BUCKETS.1));
        let histograms: Histograms<L> = Family::new_with_constructor(new);
        self.registry.register(name, help, histograms.clone());
        histograms
    }

    /// Adds a gauge.
    pub fn gauge(&mut self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.registry.register(name, help, gauge.clone());
        gauge
    }

    /// Ends the page.
    pub fn build(self) -> Page {
        Page {
            registry: Arc::new(self.registry),
        }
    }
}

impl Page {
    /// Writes all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(event = "metrics-not-written", error = %error);
        }
        text
    }
}
