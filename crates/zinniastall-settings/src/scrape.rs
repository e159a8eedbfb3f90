//! Counters, gauges and histograms in the Prometheus text format.

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

/// Upper bound of the first histogram bucket, in seconds, and number of buckets. Each bound is
/// twice the previous one; the last is about 16 s.
const BUCKETS: (f64, u16) = (0.002, 14);

/// Gauge with an integer value.
pub type Gauge = gauge::Gauge<u64, AtomicU64>;
/// Family of gauges by labels.
pub type Gauges<L> = Family<L, Gauge>;
/// Family of counters by labels.
pub type Counters<L> = Family<L, Counter>;
/// Family of histograms by labels, in seconds.
pub type Histograms<L> = Family<L, histogram::Histogram>;

/// Registers the metrics of a process.
#[derive(Debug)]
pub struct Builder {
    registry: Registry,
}

/// Registered metrics of a process. Clones share the same metrics.
#[derive(Debug, Clone)]
pub struct Page {
    registry: Arc<Registry>,
}

impl Builder {
    /// Creates a builder; the names of all metrics get a prefix.
    pub fn new(prefix: &str) -> Self {
        Self {
            registry: Registry::with_prefix(prefix),
        }
    }

    /// Registers a family of counters.
    pub fn counters<L>(&mut self, name: &str, help: &str) -> Counters<L>
    where
        L: Clone + Debug + Eq + Hash + EncodeLabelSet + Send + Sync + 'static,
    {
        let counters = Counters::default();
        self.registry.register(name, help, counters.clone());
        counters
    }

    /// Registers a family of histograms of durations in seconds.
    pub fn histograms<L>(&mut self, name: &str, help: &str) -> Histograms<L>
    where
        L: Clone + Debug + Eq + Hash + EncodeLabelSet + Send + Sync + 'static,
    {
        let new = || histogram::Histogram::new(exponential_buckets(BUCKETS.0, 2.0, BUCKETS.1));
        let histograms: Histograms<L> = Family::new_with_constructor(new);
        self.registry.register(name, help, histograms.clone());
        histograms
    }

    /// Registers a family of gauges.
    pub fn gauges<L>(&mut self, name: &str, help: &str) -> Gauges<L>
    where
        L: Clone + Debug + Eq + Hash + EncodeLabelSet + Send + Sync + 'static,
    {
        let gauges = Gauges::default();
        self.registry.register(name, help, gauges.clone());
        gauges
    }

    /// Registers a gauge.
    pub fn gauge(&mut self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.registry.register(name, help, gauge.clone());
        gauge
    }

    /// Finishes the registration.
    pub fn build(self) -> Page {
        Page {
            registry: Arc::new(self.registry),
        }
    }
}

impl Page {
    /// Encodes all metrics in the text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(event = "metrics-not-written", error = %error);
        }
        text
    }
}
