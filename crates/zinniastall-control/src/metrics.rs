//! Counters, gauges and histograms of a control replica.

use std::time::{Duration, Instant};

use actix::Addr;
use prometheus_client::encoding::EncodeLabelSet;
use tokio::time;
use zinniastall_coord::replica::Role;
use zinniastall_settings::scrape::{Builder, Counters, Gauge, Histograms, Page};

use crate::{
    control::{Control, Sample},
    hub::Hub,
};

/// Interval at which the replica's state is sampled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Labels of answered calls of operators and reports of targets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    call: &'static str,
    status: u16,
}

/// Labels of call durations.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
}

/// Metrics of one replica; clones share their values.
#[derive(Debug, Clone)]
pub struct Metrics {
    page: Page,
    calls: Counters<AnswerLabels>,
    seconds: Histograms<CallLabels>,
    leads: Gauge,
    term: Gauge,
    commit: Gauge,
    revision: Gauge,
    voters: Gauge,
    spare: Gauge,
    instances: Gauge,
    quarantined: Gauge,
    unsynced: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics that are all zero.
    pub fn new() -> Self {
        let mut page = Builder::new("zinniastall_control");
        Self {
            calls: page.counters("calls", "Calls by kind and status"),
            seconds: page.histograms("call_seconds", "Time to the answer of a call"),
            leads: page.gauge("leads", "1 while this replica leads"),
            term: page.gauge("term", "Term of the consensus"),
            commit: page.gauge("commit", "Last committed entry"),
            revision: page.gauge("revision", "Configuration as it is committed"),
            voters: page.gauge("voters", "Replicas that vote"),
            spare: page.gauge(
                "spare",
                "Voters that may be lost at once, as the leader sees it",
            ),
            instances: page.gauge("instances", "Gateway instances that are linked"),
            quarantined: page.gauge("quarantined", "Requests that are not run any more"),
            unsynced: page.gauge("unsynced", "Batches that wait for the disk"),
            page: page.build(),
        }
    }

    /// Records an answered call and its duration.
    pub fn observe_call(&self, call: &'static str, status: u16, took: Duration) {
        self.calls
            .get_or_create(&AnswerLabels { call, status })
            .inc();
        let seconds = self.seconds.get_or_create(&CallLabels { call });
        seconds.observe(took.as_secs_f64());
    }

    /// Samples the replica's state at regular intervals, forever.
    pub async fn poll(self, control: Addr<Control>, hub: Hub) {
        loop {
            if let Ok(stats) = control.send(Sample).await {
                let status = stats.status;
                self.leads.set(u64::from(status.role == Role::Leader));
                self.term.set(status.term);
                self.commit.set(status.commit);
                self.voters.set(status.voters.voters.len() as u64);
                self.spare.set(status.failure_tolerance() as u64);
                self.revision.set(stats.revision);
                self.unsynced.set(stats.unsynced);
            }
            self.instances.set(hub.linked() as u64);
            self.quarantined.set(hub.quarantined() as u64);
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns all metrics in the text exposition format.
    pub fn text(&self) -> String {
        self.page.text()
    }
}

/// Measures a call from its arrival to its answer.
#[derive(Debug)]
pub struct Timer(Instant);

impl Timer {
    /// Starts the measurement.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Records the call.
    pub fn stop(self, metrics: &Metrics, call: &'static str, status: u16) {
        metrics.observe_call(call, status, self.0.elapsed());
    }
}
