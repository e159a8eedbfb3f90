//! How policies choose: the same arrivals under each, at several loads.
//!
//! Two availability zones with two entry instances and three engines each. Prompts share 96
//! beginnings; an engine's cache holds half of them, so that a choice that forgets where a prefix is
//! cached pays for it in prefill. 100 % is the rate at which all slots are busy when every shared
//! beginning is cached.

use std::{net::SocketAddr, path::Path};

use serde_json::{Value, json};
use zinniastall_tests::cluster::Cluster;

use super::{
    load,
    table::{Table, millis},
};

const MODEL: &str = "map-labels";
const CLIENT: &str = "chartotopos";
const KEY: &str = "bench-key";
const POLICIES: [&str; 5] = [
    "random",
    "round-robin",
    "least-in-flight",
    "prefix-hash",
    "cost",
];
const LOADS: [f64; 4] = [0.5, 0.8, 1.0, 1.5];
const ZONES: [&str; 2] = ["a", "b"];
const ENGINES: u32 = 3;
const SLOTS: u32 = 4;
/// Times of an engine: to the first token, a block of uncached prompt, from token to token.
const FIRST_MS: u32 = 10;
const BLOCK_MS: u32 = 1;
const TOKEN_MS: u32 = 2;
const TOKENS: u32 = 16;
/// Shared beginnings, their length in blocks of 256 bytes, and blocks that an engine caches.
const PREFIXES: u64 = 96;
const PREFIX_BLOCKS: u64 = 16;
const SUFFIX_BLOCKS: u32 = 2;
const CACHE: u64 = PREFIXES * PREFIX_BLOCKS / 2;
/// Time within which an answer counts.
const DEADLINE_MS: u64 = 1_000;
const WARMUP_MS: u64 = 4_000;
const DURATION_MS: u64 = 10_000;

pub(super) async fn run(reports: &Path) -> eyre::Result<()> {
    let capacity = capacity();
    println!("100 % is {capacity:.0} requests a second\n");
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
        "not run",
        "unknown",
        "busy ms a run",
        "cache hits",
        "violations",
    ];
    let mut table = Table::new(&head);
    for share in LOADS {
        for policy in POLICIES {
            let report = reports.join(format!("path-{:.0}-{policy}.json", share * 100.0));
            let result = measure(policy, capacity * share, &report).await?;
            table.row(row(share, policy, &result["variants"][0]));
            eprintln!("{:.0} % {policy}: done", share * 100.0);
        }
    }
    table.print();
    Ok(())
}

/// Returns the requests a second at which all slots are busy with warm prompts.
fn capacity() -> f64 {
    let service = FIRST_MS + SUFFIX_BLOCKS * BLOCK_MS + TOKENS * TOKEN_MS;
    f64::from(ENGINES * SLOTS) * zones() * 1000.0 / f64::from(service)
}

fn zones() -> f64 {
    ZONES.iter().map(|_| 1.0).sum()
}

async fn measure(policy: &str, rate: f64, report: &Path) -> eyre::Result<Value> {
    let mut cluster = Cluster::builder()
        .direct()
        .zone("patras", ZONES[0], 2)
        .zone("patras", ZONES[1], 2)
        .entry(json!({
            "policy": {"choice": policy, "block_ms": BLOCK_MS},
        }))
        .start()
        .await?;
    let ledgers = start_engines(&mut cluster).await?;
    cluster.client(CLIENT, KEY).await?;
    cluster.model(MODEL).await?;
    let mut entries = Vec::new();
    for node in ["patras-a-1", "patras-a-2", "patras-b-1", "patras-b-2"] {
        cluster.located(node, KEY, MODEL, 4).await?;
        entries.push(cluster.entry(node)?.process().address("callers").await?);
    }
    for entry in &entries {
        let body = json!({"model": MODEL, "messages": [{"role": "user", "content": "hello"}]});
        cluster.serves(*entry, KEY, &body).await?;
    }
    let sources: Vec<Value> = ZONES.iter().map(|zone| source(zone, rate)).collect();
    let experiment = json!({
        "seed": 5, "threads": 3, "warmup_ms": WARMUP_MS, "duration_ms": DURATION_MS,
        "deadline_ms": DEADLINE_MS, "patience_ms": 20_000,
        "variants": [{"name": policy, "entries": entries, "ledgers": ledgers}],
        "sources": sources,
    });
    let result = load::run(experiment, report).await?;
    cluster.stop().await?;
    Ok(result)
}

async fn start_engines(cluster: &mut Cluster) -> eyre::Result<Vec<SocketAddr>> {
    let mut ledgers = Vec::new();
    for zone in ZONES {
        for number in 1..=ENGINES {
            let name = format!("engine-{zone}-{number}");
            let settings = json!({
                "slots": SLOTS, "queue": 64,
                "announce": {"lag_ms": 500},
                "engine": {
                    "first_ms": FIRST_MS, "block_us": BLOCK_MS * 1000,
                    "token_us": TOKEN_MS * 1000, "cache_blocks": CACHE,
                },
            });
            cluster
                .engine(&name, ("patras", zone), MODEL, settings)
                .await?;
            ledgers.push(cluster.target(&name)?.process().address("http").await?);
        }
    }
    Ok(ledgers)
}

fn source(zone: &str, rate: f64) -> Value {
    json!({
        "client": CLIENT, "key": KEY, "class": "interactive", "region": "patras", "zone": zone,
        "model": MODEL, "rate": rate / zones(), "stream": true,
        "tokens": TOKENS, "prefixes": PREFIXES, "prefix_bytes": PREFIX_BLOCKS * 256,
        "suffix_bytes": SUFFIX_BLOCKS * 256,
    })
}

fn row(share: f64, policy: &str, variant: &Value) -> Vec<String> {
    let (all, audit) = (&variant["all"], &variant["audit"]);
    let of = |value: &Value| value.as_f64().unwrap_or_default();
    let violations = ["wrong", "invented", "ran_anyway", "doubled"];
    let violations: f64 = violations.iter().map(|name| of(&audit[*name])).sum();
    let mut row = vec![format!("{:.0} %", share * 100.0), policy.to_owned()];
    row.push(format!("{:.0}", of(&all["goodput"])));
    for measure in ["first", "whole"] {
        row.extend(["p50", "p95", "p99"].map(|quantile| millis(&all[measure][quantile])));
    }
    row.extend([
        all["not_run"].to_string(),
        all["unknown"].to_string(),
        format!("{:.1}", of(&audit["busy_ms"]) / of(&audit["runs"]).max(1.0)),
        format!(
            "{:.0} %",
            100.0 * of(&audit["cached"]) / of(&audit["blocks"]).max(1.0)
        ),
        format!("{violations:.0}"),
    ]);
    row
}
