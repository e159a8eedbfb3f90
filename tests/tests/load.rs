//! Tests that the load tool measures what it reports.

use std::{
    io::{BufRead, BufReader, Read},
    net::{SocketAddr, TcpListener},
    path::Path,
};

use serde_json::{Value, json};
use zinniastall_tests::{
    Result, cluster::Cluster, http, node::ANY_PORT, process::Process, proxy::Proxy, settings, wait,
};

const MODEL: &str = "map-labels";

/// Runs the load tool directly against one stand-in engine, without the system between them.
async fn run_direct(engine: Value, change: Value) -> Result<Value> {
    Ok(run_counting_connections(engine, change).await?.0)
}

/// Does the same as [`run_direct`] and also returns how many connections the load tool opened.
async fn run_counting_connections(engine: Value, change: Value) -> Result<(Value, u64)> {
    let mut engine_settings = json!({
        "kind": "engine", "listen": ANY_PORT,
        "engine": {"models": [{"model": "map-labels", "version": "1"}]},
    });
    settings::merge(&mut engine_settings, engine);
    let mut engine = settings::start("engine", "zinniastall-standin", &engine_settings)?;
    let address = engine.address("http").await?;
    let proxy = Proxy::bind()?;
    proxy.upstream(address);
    let folder = tempfile::tempdir()?;
    let report = folder.path().join("report.json");
    let plot = folder.path().join("report.svg");
    let mut experiment = json!({
        "warmup_ms": 0, "duration_ms": 500, "report": report, "plot": plot,
        "variants": [{"name": "direct", "direct": proxy.address(), "ledgers": [address]}],
        "sources": [{"client": "maps", "model": "map-labels", "rate": 100}],
    });
    settings::merge(&mut experiment, change);
    let mut load = settings::start("load", "zinniastall-load", &experiment)?;
    let status = load.wait_exit().await?;
    assert!(status.success(), "{status}");
    assert!(std::fs::read_to_string(plot)?.contains("<svg"));
    let report: Value = serde_json::from_str(&std::fs::read_to_string(report)?)?;
    Ok((report["variants"][0].clone(), proxy.opened()))
}

// A stream ends with its closing event, a few bytes before the end of its body. If the tool left
// these bytes unread, it would open a connection for each stream, and the connection setup would
// count as latency of the system.
#[actix_rt::test]
async fn streams_share_connections() -> Result<()> {
    let sparse = json!({"duration_ms": 2_000, "sources": [
        {"client": "maps", "model": "map-labels", "rate": 10, "arrivals": "fixed", "tokens": 2,
         "stream": true},
    ]});
    let (variant, opened) = run_counting_connections(json!({}), sparse).await?;
    let answered = variant["all"]["answered"].as_u64();
    println!("{answered:?} streams, {opened} connections");
    assert!(answered > Some(10), "{variant}");
    assert!(Some(opened) < answered, "{opened} connections");
    Ok(())
}

#[actix_rt::test]
async fn answers_are_counted_and_audited() -> Result<()> {
    let variant = run_direct(json!({}), json!({})).await?;
    let all = &variant["all"];
    assert!(all["requests"].as_u64() > Some(20));
    assert_eq!(all["answered"], all["requests"]);
    assert_eq!(variant["audit"]["runs"], all["requests"]);
    assert_eq!(
        all["between"]["count"],
        json!(all["answered"].as_u64().map(|count| count * 15))
    );
    Ok(())
}

/// Reads each request in full and closes its connection cleanly, without an answer.
fn close_after_reading(listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        let mut reader = BufReader::new(stream);
        let mut length = 0;
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|read| read > 2) {
            let announced = line.strip_prefix("content-length: ");
            length = announced.map_or(length, |value| value.trim().parse().unwrap_or(0));
            line.clear();
        }
        let mut body = vec![0; length];
        // Unread bytes would turn the close into a reset, which the tool reports differently.
        let _ = reader.read_exact(&mut body);
    }
}

// An instance that is killed between a request and its answer closes the connection, which the
// HTTP library reports like a connection that was never established. If such requests counted as
// "not run", those that had run would show up as violations of the system (`ran_anyway`).
#[actix_rt::test]
async fn connections_closed_before_an_answer_are_unknown() -> Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || close_after_reading(&listener));
    let folder = tempfile::tempdir()?;
    let report = folder.path().join("report.json");
    let experiment = json!({
        "warmup_ms": 0, "duration_ms": 500, "report": report,
        "variants": [{"name": "direct", "direct": address}],
        "sources": [{"client": "maps", "model": "map-labels", "rate": 40, "arrivals": "fixed"}],
    });
    let mut load = settings::start("load", "zinniastall-load", &experiment)?;
    load.wait_exit().await?;
    let report: Value = serde_json::from_str(&std::fs::read_to_string(report)?)?;
    let all = &report["variants"][0]["all"];
    assert!(all["requests"].as_u64() > Some(10), "{all}");
    assert_eq!(all["unknown"], all["requests"], "{all}");
    Ok(())
}

/// A single slot serves a request every 50 ms while ten arrive in that time. Each waits for all
/// that arrived before it; a tool that waited for answers before sending would measure 50 ms for
/// every one (coordinated omission).
#[actix_rt::test]
async fn waiting_is_measured_from_the_planned_start() -> Result<()> {
    let slow = json!({"slots": 1, "engine": {"first_ms": 50}});
    let fixed = json!({"sources": [
        {"client": "maps", "model": "map-labels", "rate": 200, "arrivals": "fixed",
         "until_ms": 200, "tokens": 1},
    ]});
    let variant = run_direct(slow, fixed).await?;
    let all = &variant["all"];
    assert_eq!(all["answered"], 39);
    assert!(all["whole"]["max"].as_u64() > Some(1_500_000), "{all}");
    Ok(())
}

/// Callers of two clients send requests to two availability zones, some of them at most once,
/// while an engine is killed and restarted. Every "answered" must have a run in a ledger and the
/// right text, every "not run" no run, and no at-most-once request may have run twice: it would
/// be billed twice.
#[actix_rt::test]
async fn outcomes_match_ledgers_while_an_engine_is_lost() -> Result<()> {
    let files = tempfile::tempdir()?;
    let mut cluster = Cluster::builder()
        .zone("patras", "a", 2)
        .zone("patras", "b", 1)
        .start()
        .await?;
    for (name, zone) in [("engine-1", "a"), ("engine-2", "a"), ("engine-3", "b")] {
        let file = files.path().join(name);
        let slow = json!({"ledger_file": file, "engine": {"first_ms": 5, "token_us": 3_000}});
        cluster.engine(name, ("patras", zone), MODEL, slow).await?;
    }
    cluster.client("maps", "key-1").await?;
    cluster.client("studio", "key-2").await?;
    cluster.model(MODEL).await?;
    cluster
        .wait_located("patras-a-1", "key-1", MODEL, 3)
        .await?;
    let mut load = start_load(&cluster, &files.path().join("report.json"))?;
    let engine = cluster.target("engine-1")?.address("http")?;
    wait::until("a run at the engine", async || {
        let ledger = http::get(engine, "/ledger")
            .send()
            .await
            .ok()?
            .json()
            .ok()?;
        (ledger.as_array()?.len() > 20).then_some(())
    })
    .await?;
    cluster.target("engine-1")?.process().kill()?;
    cluster.target("engine-1")?.restart().await?;
    let status = load.wait_exit().await?;
    let report = std::fs::read_to_string(files.path().join("report.json"))?;
    assert!(status.success(), "{status}: {report}");
    let report: Value = serde_json::from_str(&report)?;
    let all = &report["variants"][0]["all"];
    let share = all["answered"].as_f64().unwrap_or(0.0) / all["requests"].as_f64().unwrap_or(1.0);
    assert!(share > 0.8, "{all}");
    Ok(())
}

fn start_load(cluster: &Cluster, report: &Path) -> Result<Process> {
    let addresses = |role: &str| -> Vec<SocketAddr> {
        let nodes = cluster.nodes();
        nodes.filter_map(|node| node.address(role).ok()).collect()
    };
    let source = |client: &str, key: &str, idempotent: bool| {
        json!({
            "client": client, "key": key, "model": MODEL, "rate": 25, "tokens": 8,
            "region": "patras", "stream": idempotent, "idempotent": idempotent,
        })
    };
    let experiment = json!({
        "warmup_ms": 0, "duration_ms": 4_000, "deadline_ms": 10_000, "patience_ms": 15_000,
        "report": report,
        "variants": [{"name": "system", "entries": addresses("callers"), "ledgers": addresses("http")}],
        "sources": [source("maps", "key-1", true), source("studio", "key-2", false)],
    });
    settings::start("load", "zinniastall-load", &experiment)
}
