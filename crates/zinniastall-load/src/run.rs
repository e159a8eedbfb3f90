//! Runs an experiment: every variant receives the same plan of arrivals.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use tokio::sync::mpsc;

use crate::{
    audit,
    plan::{self, Arrival},
    report::{Report, Variant},
    settings::{self, Experiment},
    tally::Tally,
    worker::{self, DueArrival},
};

/// Why an experiment failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A sending thread ended early.
    #[error("a sending thread failed")]
    Worker,
    /// A ledger cannot be read.
    #[error(transparent)]
    Audit(#[from] audit::Error),
}

/// Runs an experiment.
///
/// # Errors
///
/// Fails when a sending thread fails or a ledger cannot be read.
pub fn run(experiment: &Experiment) -> Result<Report, Error> {
    let experiment = Arc::new(experiment.clone());
    let plan = plan::make(&experiment);
    let mut report = Report::new(&experiment, plan.len());
    for variant in &experiment.variants {
        report
            .variants
            .push(run_variant(&experiment, variant, &plan)?);
    }
    Ok(report)
}

/// Sends the planned requests to one variant and audits the outcomes.
fn run_variant(
    experiment: &Arc<Experiment>,
    variant: &settings::Variant,
    plan: &[Arrival],
) -> Result<Variant, Error> {
    let mut channels = Vec::new();
    let mut threads = Vec::new();
    for number in 0..experiment.threads as u64 {
        let (sender, receiver) = mpsc::unbounded_channel();
        let experiment = Arc::clone(experiment);
        let variant = variant.clone();
        threads.push(thread::spawn(move || {
            let system = actix_rt::System::new();
            system.block_on(worker::run(experiment, variant, number, receiver))
        }));
        channels.push(sender);
    }
    let max_delay = pace(plan, &channels)?;
    drop(channels);
    let mut tally = Tally::default();
    for thread in threads {
        tally.merge(thread.join().map_err(|_| Error::Worker)?);
    }
    let runs = actix_rt::System::new().block_on(audit::read(&variant.ledgers))?;
    let audit = audit::compare(&tally.observations, &runs, variant.ledgers.len());
    Ok(Variant::new(experiment, variant, &tally, audit, max_delay))
}

/// Hands each arrival to a sending thread at its time; returns the longest delay of a handover.
///
/// This thread sleeps on the operating system's timer: the timers of the sending threads have a
/// resolution of a millisecond, which is coarser than the latencies to be measured.
fn pace(
    plan: &[Arrival],
    channels: &[mpsc::UnboundedSender<DueArrival>],
) -> Result<Duration, Error> {
    let start = Instant::now();
    let mut max_delay = Duration::ZERO;
    for (arrival, channel) in plan.iter().zip(channels.iter().cycle()) {
        let due = start + arrival.at;
        if let Some(remaining) = due.checked_duration_since(Instant::now()) {
            thread::sleep(remaining);
        }
        max_delay = max_delay.max(due.elapsed());
        channel
            .send((arrival.clone(), due))
            .map_err(|_| Error::Worker)?;
    }
    Ok(max_delay)
}
