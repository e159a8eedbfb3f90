//! Measures requests that overtake the configuration change that permits them.
//!
//! Requests are forwarded between two regions over a slow link. The receiver decides either at once
//! or after waiting for the sender's revision.
//!
//! `cargo build --release --bins && cargo run --release -p xtask --example revisions`

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use zinniastall_tests::{
    Result,
    cluster::Cluster,
    http,
    log::field,
    proxy::rule::{Direction, Rule},
};

/// Number of changes, each followed by a request that depends on it.
const ROUNDS: usize = 150;
/// One-way latency between the regions.
const REGION_DELAY: Duration = Duration::from_millis(40);
/// Additional latencies of configuration over that of requests.
const CONFIGURATION_LAGS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(100)];
const MODEL: &str = "map-labels";

#[actix_rt::main]
async fn main() -> Result<()> {
    zinniastall_tests::binary::use_folder("target/release".into());
    println!("| configuration later by | wait | refused | judged behind | p50 | p99 |");
    println!("|---|---|---|---|---|---|");
    for lag in CONFIGURATION_LAGS {
        for behind_ms in [0, 500] {
            run(lag, behind_ms).await?;
        }
    }
    Ok(())
}

async fn run(lag: Duration, behind_ms: u64) -> Result<()> {
    let mut cluster = start_cluster(lag, behind_ms).await?;
    let home = cluster
        .entry("home-a-1")?
        .process()
        .address("callers")
        .await?;
    let mut refused = 0;
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let (client, key) = (format!("client-{round}"), format!("key-{round}"));
        let digest = blake3::hash(key.as_bytes()).to_hex().to_string();
        let object =
            |withdrawn| json!({"client": {"id": client, "keys": [digest], "withdrawn": withdrawn}});
        cluster.apply(&object(true)).await?;
        cluster.residency(&client, &["home", "far"]).await?;
        cluster.apply(&object(false)).await?;
        let (status, took) = first_request(home, &key).await?;
        refused += usize::from(status != 200);
        times.push(took);
    }
    times.sort_unstable();
    let log = cluster
        .entry("far-a-1")?
        .process()
        .log()
        .events("forwarded");
    let behind = log
        .iter()
        .filter(|line| number(line, "revision") < number(line, "sent_under"));
    println!(
        "| {} ms | {behind_ms} ms | {refused} of {ROUNDS} | {} | {:.1} ms | {:.1} ms |",
        lag.as_millis(),
        behind.count(),
        millis(times[ROUNDS / 2]),
        millis(times[ROUNDS * 99 / 100]),
    );
    cluster.stop().await
}

/// Starts two regions with a delayed link between them; the engine runs in the remote one.
async fn start_cluster(lag: Duration, behind_ms: u64) -> Result<Cluster> {
    let mut cluster = Cluster::builder()
        .zone("home", "a", 1)
        .zone("far", "a", 1)
        .entry(json!({"behind_ms": behind_ms}))
        .start()
        .await?;
    let engine = json!({"engine": {"first_ms": 1, "token_us": 1_000}});
    cluster
        .engine("engine", ("far", "a"), MODEL, engine)
        .await?;
    cluster.model(MODEL).await?;
    cluster.client("probe", "probe").await?;
    cluster.residency("probe", &["home", "far"]).await?;
    let home = cluster
        .entry("home-a-1")?
        .process()
        .address("callers")
        .await?;
    cluster.wait_serving(home, "probe", &body("probe")).await?;
    let rule = |delay| Rule::default().with(Direction::Both, |effect| effect.delay = delay);
    cluster.set_link_rules(|from, to| {
        let control = to.name().starts_with("control");
        match (from.name(), control) {
            ("far-a-1", true) => Some(rule(REGION_DELAY + lag)),
            ("far-a-1" | "home-a-1", false) => Some(rule(REGION_DELAY)),
            _ => None,
        }
    });
    Ok(cluster)
}

/// Sends requests until the home instance has the change; returns status and duration of the first
/// request that it forwards.
async fn first_request(home: std::net::SocketAddr, key: &str) -> Result<(u16, Duration)> {
    loop {
        let started = Instant::now();
        let request = http::post(home, "/v1/chat/completions").key(key);
        let answer = request.json(&body(key)).send().await?;
        if !answer.text().contains("\"client-withdrawn\"") {
            return Ok((answer.status(), started.elapsed()));
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn body(prompt: &str) -> Value {
    json!({"model": MODEL, "max_tokens": 2, "messages": [{"role": "user", "content": prompt}]})
}

fn number(line: &str, name: &str) -> u64 {
    field(line, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
