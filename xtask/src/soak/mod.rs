//! Soak test: real processes under load, configuration changes and random faults.
//!
//! The system has three control replicas and three availability zones in two regions. Callers run
//! in the load generator, which compares the outcomes they saw with the targets' ledgers at the
//! end. A scripted operator keeps changing objects and checks that no accepted change is lost. The
//! same seed injects the same faults in the same order; their effects still depend on timing.

mod faults;
mod limits;
mod notices;
mod operator;
mod system;

use std::{path::Path, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use serde_json::Value;
use tokio::time::Instant;

use crate::build::{self, Profile};
use limits::Limits;
use notices::Notices;
use operator::Operator;
use system::System;

/// Shortest soak; a shorter one has no time for a fault and the recovery from it.
const MIN_SECONDS: u64 = 15;
/// Time before the end in which no new fault is injected.
const QUIET_PERIOD: Duration = Duration::from_secs(8);

/// Runs a soak test and prints its summary line.
///
/// # Errors
///
/// Fails if a guarantee was violated or the soak itself could not run.
pub(crate) fn run(root: &Path, seconds: u64, seed: u64) -> eyre::Result<()> {
    build::run(root, Profile::Debug)?;
    let length = Duration::from_secs(seconds.max(MIN_SECONDS));
    let broken = actix_rt::System::new().block_on(soak(length, seed))?;
    eyre::ensure!(
        broken == 0,
        "{broken} promises broken; rerun with --seed {seed}"
    );
    Ok(())
}

async fn soak(length: Duration, seed: u64) -> eyre::Result<usize> {
    println!("soak: seed {seed}, {} s", length.as_secs());
    let mut system = System::start().await?;
    let load = system.load(length, seed)?;
    let end = Instant::now() + length;
    let mut random = StdRng::seed_from_u64(seed);
    let mut operator = Operator::default();
    let mut limits = Limits::default();
    let mut notices = Notices::default();
    let mut faults = 0;
    while Instant::now() + QUIET_PERIOD < end {
        limits.step(&mut system, &mut random).await;
        notices.step(&mut system, &mut random).await?;
        let fault = faults::draw(&mut random, &system);
        println!("soak: {fault:?}");
        limits.before(&fault);
        notices.before(&mut system, &fault).await?;
        faults::inject(&mut system, &fault, &mut operator).await?;
        faults += 1;
        operator.step(&system).await;
    }
    let report = load.wait(length).await?;
    operator.settle(&system).await?;
    let findings = Findings {
        faults,
        strayed: system.strayed().await?,
        limited: limits.exceeded(&mut system).await?,
        limits: limits.counted(),
        ignored: notices.settle(&mut system).await?,
        notices: notices.counted,
        died: system.died(),
    };
    system.stop().await?;
    Ok(summary(seed, &report, &operator, &findings))
}

/// Results that neither the load generator nor the operator observes.
struct Findings {
    faults: usize,
    /// Number of requests that ran outside their client's region.
    strayed: usize,
    /// Number of times that a target got more than the rate that it named.
    limited: usize,
    /// Number of times that a target named a rate for long enough to be counted.
    limits: usize,
    /// Number of pauses and departures that instances did not heed.
    ignored: usize,
    /// Number of those that were long enough to be counted.
    notices: usize,
    /// Number of processes that exited on their own.
    died: usize,
}

/// Prints the summary line and returns the number of violated guarantees.
fn summary(seed: u64, report: &Value, operator: &Operator, findings: &Findings) -> usize {
    let variant = &report["variants"][0];
    let (all, audit) = (&variant["all"], &variant["audit"]);
    let of = |name: &str| {
        let count = audit[name].as_u64().unwrap_or_default();
        usize::try_from(count).unwrap_or(usize::MAX)
    };
    println!("soak: errors {}", all["errors"]);
    let ledger: usize = ["wrong", "invented", "ran_anyway", "doubled", "mixed"]
        .map(of)
        .iter()
        .sum();
    let broken = ledger
        + findings.strayed
        + findings.limited
        + findings.ignored
        + operator.reverted
        + operator.unclean
        + findings.died;
    println!(
        "soak: requests={} answered={} not_run={} unknown={} runs={} changes={} faults={} \
         wrong={} invented={} ran_anyway={} doubled={} mixed={} strayed={} limits={} exceeded={} notices={} ignored={} \
         reverted={} unclean={} died={} \
         violations={broken} seed={seed}",
        all["requests"],
        all["answered"],
        all["not_run"],
        all["unknown"],
        audit["runs"],
        operator.accepted,
        findings.faults,
        audit["wrong"],
        audit["invented"],
        audit["ran_anyway"],
        audit["doubled"],
        audit["mixed"],
        findings.strayed,
        findings.limits,
        findings.limited,
        findings.notices,
        findings.ignored,
        operator.reverted,
        operator.unclean,
        findings.died,
    );
    broken
}
