//! Compares target selection policies under the same arrivals, at several loads.

mod scenario;
mod system;

use std::{path::Path, time::Duration};

use serde_json::{Value, json};

use super::{
    load,
    table::{Table, millis},
};
pub(crate) use scenario::Scenario;
use system::{DURATION_MS, System, WARMUP_MS, capacity};

const MODEL: &str = "map-labels";
const CLIENT: &str = "maps";
const KEY: &str = "bench-key";
const POLICIES: [&str; 5] = [
    "random",
    "round-robin",
    "least-in-flight",
    "prefix-hash",
    "cost",
];
/// Time within which a response counts towards goodput.
const DEADLINE_MS: u64 = 1_000;

pub(super) async fn run(reports: &Path, scenario: Scenario) -> eyre::Result<()> {
    let capacity = capacity();
    println!(
        "{}: 100 % is {capacity:.0} requests a second\n",
        scenario.name()
    );
    let head = [
        "load",
        "policy",
        "goodput/s",
        "first p50 ms",
        "first p95",
        "first p99",
        "whole p50 ms",
        "whole p95",
        "whole p99",
        "in 250 ms",
        "in 500 ms",
        "in 800 ms",
        "not run",
        "unknown",
        "busy ms a run",
        "cache hits",
        "away",
        "violations",
    ];
    let mut table = Table::new(&head);
    for share in scenario.loads() {
        for policy in POLICIES {
            let name = format!(
                "path-{}-{:.0}-{policy}.json",
                scenario.name(),
                share * 100.0
            );
            let rate = capacity * share;
            let result = measure(scenario, policy, rate, &reports.join(name)).await?;
            table.row(row(*share, policy, &result["variants"][0]));
            eprintln!("{} {:.0} % {policy}: done", scenario.name(), share * 100.0);
        }
    }
    table.print();
    Ok(())
}

async fn measure(
    scenario: Scenario,
    policy: &str,
    rate: f64,
    report: &Path,
) -> eyre::Result<Value> {
    let mut system = System::start(scenario, policy).await?;
    let experiment = json!({
        "seed": 5, "threads": 3, "warmup_ms": WARMUP_MS, "duration_ms": DURATION_MS,
        "deadline_ms": DEADLINE_MS, "patience_ms": 20_000,
        "variants": system.variant(policy),
        "sources": scenario.sources(rate),
        "plot": report.with_extension("svg").display().to_string(),
    });
    let path = report.to_owned();
    let running = actix_rt::spawn(async move { load::run(experiment, &path).await });
    if scenario == Scenario::Loss {
        let after = Duration::from_millis(WARMUP_MS + DURATION_MS / 5);
        let away = Duration::from_millis(DURATION_MS * 3 / 10);
        system.lose_engines(after, away).await?;
    }
    let result = running.await??;
    system.cluster.stop().await?;
    Ok(result)
}

fn row(share: f64, policy: &str, variant: &Value) -> Vec<String> {
    let (all, audit) = (&variant["all"], &variant["audit"]);
    let of = |value: &Value| value.as_f64().unwrap_or_default();
    let percent =
        |part: &Value, whole: &Value| format!("{:.1} %", 100.0 * of(part) / of(whole).max(1.0));
    let violations = ["wrong", "invented", "ran_anyway", "doubled", "mixed"];
    let violations: f64 = violations.iter().map(|name| of(&audit[*name])).sum();
    let mut row = vec![format!("{:.0} %", share * 100.0), policy.to_owned()];
    row.push(format!("{:.0}", of(&all["goodput"])));
    for measure in ["first", "whole"] {
        row.extend(["p50", "p95", "p99"].map(|quantile| millis(&all[measure][quantile])));
    }
    row.extend((0..3).map(|time| format!("{:.1} %", 100.0 * of(&all["within"][time][1]))));
    row.extend([
        all["not_run"].to_string(),
        all["unknown"].to_string(),
        format!("{:.1}", of(&audit["busy_ms"]) / of(&audit["runs"]).max(1.0)),
        percent(&audit["cached"], &audit["blocks"]),
        percent(&all["away"], &all["answered"]),
        format!("{violations:.0}"),
    ]);
    row
}
