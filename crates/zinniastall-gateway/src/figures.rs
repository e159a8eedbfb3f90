//! Counters and histograms, in the text format that scrapers read.

use std::{
    fmt::Write,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use indexmap::IndexSet;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Routes that have figures of their own; further ones are counted together. Operators add hundreds
/// of routes, and each costs some kilobytes in every instance.
const ROUTES: usize = 64;
/// Name under which further routes are counted.
const OTHER: &str = "other";
/// First bucket, in seconds, and how many there are, each twice as wide as the one before: to 16 s.
const BUCKETS: (f64, u16) = (0.002, 14);

/// Which requests a figure is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ended {
    route: String,
    outcome: &'static str,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Route {
    route: String,
}

/// How attempts end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Attempt {
    outcome: &'static str,
}

/// Figures of one instance; clones count into the same.
#[derive(Debug, Clone)]
pub struct Figures {
    registry: Arc<Registry>,
    routes: Arc<Mutex<IndexSet<String>>>,
    requests: Family<Ended, Counter>,
    seconds: Family<Route, Histogram>,
    first_seconds: Family<Route, Histogram>,
    attempts: Family<Attempt, Counter>,
    revision: Gauge<u64, AtomicU64>,
    targets: Gauge<u64, AtomicU64>,
    instances: Gauge<u64, AtomicU64>,
    connections: Gauge<u64, AtomicU64>,
    counted: Arc<AtomicU64>,
}

impl Default for Figures {
    fn default() -> Self {
        Self::new()
    }
}

impl Figures {
    /// Creates figures that are all zero.
    pub fn new() -> Self {
        let histogram = || Histogram::new(exponential_buckets(BUCKETS.0, 2.0, BUCKETS.1));
        let mut registry = Registry::with_prefix("zinniastall_gateway");
        let requests = Family::<Ended, Counter>::default();
        let seconds: Family<Route, Histogram> = Family::new_with_constructor(histogram);
        let attempts = Family::<Attempt, Counter>::default();
        let (revision, targets) = (Gauge::default(), Gauge::default());
        let (instances, connections) = (Gauge::default(), Gauge::default());
        registry.register(
            "requests",
            "Requests by route and outcome",
            requests.clone(),
        );
        registry.register(
            "request_seconds",
            "Time to the final answer",
            seconds.clone(),
        );
        let first_seconds: Family<Route, Histogram> = Family::new_with_constructor(histogram);
        registry.register(
            "first_seconds",
            "Time until the answer begins",
            first_seconds.clone(),
        );
        registry.register("attempts", "Attempts by outcome", attempts.clone());
        registry.register("revision", "Configuration in force", revision.clone());
        registry.register("targets", "Targets that take requests", targets.clone());
        registry.register(
            "instances",
            "Instances that take requests",
            instances.clone(),
        );
        registry.register("connections", "Connections of callers", connections.clone());
        Self {
            registry: Arc::new(registry),
            routes: Arc::default(),
            requests,
            seconds,
            first_seconds,
            attempts,
            revision,
            targets,
            instances,
            connections,
            counted: Arc::default(),
        }
    }

    /// Counts a request that has ended.
    pub fn request(
        &self,
        route: &str,
        outcome: &'static str,
        first: Option<Duration>,
        took: Duration,
    ) {
        let route = self.bounded(route);
        self.counted.fetch_add(1, Ordering::Relaxed);
        let of_route = Route {
            route: route.clone(),
        };
        if let Some(first) = first {
            let seconds = self.first_seconds.get_or_create(&of_route);
            seconds.observe(first.as_secs_f64());
        }
        let seconds = self.seconds.get_or_create(&of_route);
        seconds.observe(took.as_secs_f64());
        self.requests.get_or_create(&Ended { route, outcome }).inc();
    }

    /// Counts an attempt that has ended.
    pub fn attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&Attempt { outcome }).inc();
    }

    /// Sets what is known at present.
    pub fn know(&self, revision: u64, targets: usize, instances: usize) {
        self.revision.set(revision);
        self.targets.set(targets as u64);
        self.instances.set(instances as u64);
    }

    /// Sets the connections that are open.
    pub fn connect(&self, connections: usize) {
        self.connections.set(connections as u64);
    }

    /// Returns the requests counted so far.
    pub fn counted(&self) -> u64 {
        self.counted.load(Ordering::Relaxed)
    }

    /// Writes all figures as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(event = "figures-not-written", error = %error);
            // A scraper takes the rest; the comment says what is missing.
            let _ = writeln!(text, "# not written whole: {error}");
        }
        text
    }

    fn bounded(&self, route: &str) -> String {
        // A panic while a name was added leaves the set as usable as before.
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if routes.contains(route) {
            return route.to_owned();
        }
        if routes.len() >= ROUTES {
            return OTHER.to_owned();
        }
        routes.insert(route.to_owned());
        route.to_owned()
    }
}
