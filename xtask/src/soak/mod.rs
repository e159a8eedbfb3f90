//! The soak: real processes, mixed callers and operators, random faults from a seed.
//!
//! Three control replicas, three availability zones in two regions. Callers run in the load tool,
//! which compares what it was told with the targets' ledgers at the end; an operator's script keeps
//! changing objects and checks that none reverts. The same seed brings the same faults in the same
//! order; their effect still depends on the machine's timing.

mod faults;
mod operator;
mod system;

use std::{path::Path, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use serde_json::Value;
use tokio::time::Instant;

use crate::build::{self, Profile};
use operator::Operator;
use system::System;

/// Least length of a soak; a shorter one has no time for a fault and its end.
const MIN_SECONDS: u64 = 15;
/// Time before the end in which no fault begins.
const QUIET_PERIOD: Duration = Duration::from_secs(8);

/// Runs a soak and prints its summary line.
///
/// # Errors
///
/// Fails when a promise was broken or the soak itself could not run.
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
    let mut faults = 0;
    while Instant::now() + QUIET_PERIOD < end {
        let fault = faults::draw(&mut random, &system);
        println!("soak: {fault:?}");
        faults::inject(&mut system, &fault, &mut operator).await?;
        faults += 1;
        operator.step(&system).await;
    }
    let report = load.wait(length).await?;
    operator.settle(&system).await?;
    let findings = Findings {
        faults,
        strayed: system.strayed().await?,
        died: system.died(),
    };
    system.stop().await?;
    Ok(summary(seed, &report, &operator, &findings))
}

/// What neither the load tool nor the operator sees.
struct Findings {
    faults: usize,
    /// Requests that ran outside the region of their client.
    strayed: usize,
    /// Processes that ended by themselves.
    died: usize,
}

/// Prints the summary line and returns how many promises were broken.
fn summary(seed: u64, report: &Value, operator: &Operator, findings: &Findings) -> usize {
    let variant = &report["variants"][0];
    let (all, audit) = (&variant["all"], &variant["audit"]);
    let of = |name: &str| {
        let count = audit[name].as_u64().unwrap_or_default();
        usize::try_from(count).unwrap_or(usize::MAX)
    };
    println!("soak: errors {}", all["errors"]);
    let ledger: usize = ["wrong", "invented", "ran_anyway", "doubled"]
        .map(of)
        .iter()
        .sum();
    let broken = ledger + findings.strayed + operator.reverted + operator.unclean + findings.died;
    println!(
        "soak: requests={} answered={} not_run={} unknown={} runs={} changes={} faults={} \
         wrong={} invented={} ran_anyway={} doubled={} strayed={} reverted={} unclean={} died={} \
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
        findings.strayed,
        operator.reverted,
        operator.unclean,
        findings.died,
    );
    broken
}
