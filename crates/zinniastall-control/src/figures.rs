//! Counters and histograms of a control replica, in the text format that scrapers read.

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

use actix::Addr;
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
use tokio::time;
use zinniastall_coord::replica::Part;

use crate::{
    control::{Control, Glance},
    hub::Hub,
};

/// Time between two looks at the replica.
const LOOK: Duration = Duration::from_secs(1);
/// First bucket, in seconds, and how many there are, each twice as wide as the one before: to 16 s.
const BUCKETS: (f64, u16) = (0.002, 14);

/// An operators' call or a target's report, and how it was answered.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Answered {
    call: &'static str,
    status: u16,
}

/// An operators' call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Call {
    call: &'static str,
}

/// Figures of one replica; clones count into the same.
#[derive(Debug, Clone)]
pub struct Figures {
    registry: Arc<Registry>,
    calls: Family<Answered, Counter>,
    seconds: Family<Call, Histogram>,
    leads: Gauge<u64, AtomicU64>,
    term: Gauge<u64, AtomicU64>,
    commit: Gauge<u64, AtomicU64>,
    revision: Gauge<u64, AtomicU64>,
    voters: Gauge<u64, AtomicU64>,
    spare: Gauge<u64, AtomicU64>,
    instances: Gauge<u64, AtomicU64>,
    unsynced: Gauge<u64, AtomicU64>,
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
        let mut registry = Registry::with_prefix("zinniastall_control");
        let calls = Family::<Answered, Counter>::default();
        let seconds: Family<Call, Histogram> = Family::new_with_constructor(histogram);
        registry.register("calls", "Calls by kind and status", calls.clone());
        registry.register(
            "call_seconds",
            "Time to the answer of a call",
            seconds.clone(),
        );
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::<u64, AtomicU64>::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let leads = gauge("leads", "1 while this replica leads");
        let term = gauge("term", "Term of the consensus");
        let commit = gauge("commit", "Last committed entry");
        let revision = gauge("revision", "Configuration as it is committed");
        let voters = gauge("voters", "Replicas that vote");
        let spare = gauge(
            "spare",
            "Voters that may be lost at once, as the leader sees it",
        );
        let instances = gauge("instances", "Gateway instances that are linked");
        let unsynced = gauge("unsynced", "Batches that wait for the disk");
        Self {
            registry: Arc::new(registry),
            calls,
            seconds,
            leads,
            term,
            commit,
            revision,
            voters,
            spare,
            instances,
            unsynced,
        }
    }

    /// Counts a call that has been answered.
    pub fn call(&self, call: &'static str, status: u16, took: Duration) {
        self.calls.get_or_create(&Answered { call, status }).inc();
        let seconds = self.seconds.get_or_create(&Call { call });
        seconds.observe(took.as_secs_f64());
    }

    /// Looks at the replica again and again, for ever.
    pub async fn watch(self, control: Addr<Control>, hub: Hub) {
        loop {
            if let Ok(glance) = control.send(Glance).await {
                let status = glance.status;
                self.leads.set(u64::from(status.part == Part::Leader));
                self.term.set(status.term);
                self.commit.set(status.commit);
                self.voters.set(status.voters.voters.len() as u64);
                self.spare.set(status.spare() as u64);
                self.revision.set(glance.revision);
                self.unsynced.set(glance.unsynced);
            }
            self.instances.set(hub.instances().len() as u64);
            time::sleep(LOOK).await;
        }
    }

    /// Writes all figures as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            tracing::warn!(event = "figures-not-written", error = %error);
        }
        text
    }
}

/// Measures a call from its arrival to its answer.
#[derive(Debug)]
pub struct Watch(Instant);

impl Watch {
    /// Starts to measure.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Counts the call.
    pub fn stop(self, figures: &Figures, call: &'static str, status: u16) {
        figures.call(call, status, self.0.elapsed());
    }
}
