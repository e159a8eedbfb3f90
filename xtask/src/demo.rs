//! A demonstration of the whole request path with real processes on loopback.
//!
//! It starts a control replica with a temporary data directory, two entry instances in each of two
//! availability zones, and one engine per zone, which announces itself. An operator applies changes
//! through the command line. A caller locates an instance and reads a streamed response from it.

use std::{net::SocketAddr, path::Path};

use serde_json::{Value, json};
use zinniastall_tests::{cluster::Cluster, http};

use crate::build::{self, Profile};

const MODEL: &str = "map-labels";
const CLIENT: &str = "maps";
const KEY: &str = "demo-key";

/// Runs the demo.
///
/// # Errors
///
/// Fails if any step fails or a process does not exit cleanly.
pub(crate) fn run(root: &Path) -> eyre::Result<()> {
    println!("building the binaries");
    build::run(root, Profile::Debug)?;
    actix_rt::System::new().block_on(demo())?;
    println!("demo: ok");
    Ok(())
}

async fn demo() -> eyre::Result<()> {
    println!("starting control and entry instances in patras/a and patras/b");
    let mut cluster = start().await?;
    println!("applying a client, a model and its route through zinniastall-ctl");
    cluster.client(CLIENT, KEY).await?;
    let change = cluster.model(MODEL).await?;
    println!("  {change}");
    let address = locate(&mut cluster).await?;
    println!("asking for room labels at {address}, streamed");
    let answer = ask(&mut cluster, address).await?;
    println!("  {answer}");
    println!("stopping every process");
    cluster.stop().await?;
    Ok(())
}

async fn start() -> eyre::Result<Cluster> {
    let mut cluster = Cluster::builder()
        .zone("patras", "a", 2)
        .zone("patras", "b", 2)
        .start()
        .await?;
    let slow = json!({"engine": {"first_ms": 20, "token_us": 20_000}});
    for (name, zone) in [("engine-a", "a"), ("engine-b", "b")] {
        cluster
            .engine(name, ("patras", zone), MODEL, slow.clone())
            .await?;
    }
    Ok(cluster)
}

/// Asks an entry instance which instances serve the model and returns the first one's address.
async fn locate(cluster: &mut Cluster) -> eyre::Result<SocketAddr> {
    let answer = cluster.wait_located("patras-b-1", KEY, MODEL, 4).await?;
    println!("instances to use, by the word of patras-b-1:");
    let instances = answer["instances"].as_array().cloned().unwrap_or_default();
    for instance in &instances {
        println!("  {instance}");
    }
    let first = instances
        .first()
        .and_then(|instance| instance["callers"].as_str());
    Ok(first
        .ok_or_else(|| eyre::eyre!("no instance to use"))?
        .parse()?)
}

/// Sends a chat request and reads its streamed response.
async fn ask(cluster: &mut Cluster, address: SocketAddr) -> eyre::Result<String> {
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": 8,
        "messages": [{"role": "user", "content": "Which rooms are there?"}],
    });
    cluster.wait_serving(address, KEY, &body).await?;
    let request = http::post(address, "/v1/chat/completions").key(KEY);
    let (head, events) = request.json(&body).stream().await?;
    eyre::ensure!(head.status == 200, "status {}", head.status);
    let (text, done) = http::content(events).await?;
    eyre::ensure!(done, "the answer broke off after {text:?}");
    println!(
        "  served by instance {}, target {} in {}",
        head.header("x-zinniastall-instance"),
        head.header("x-zinniastall-target"),
        head.header("x-zinniastall-place"),
    );
    let ledgers = [
        cluster.ledger("engine-a").await?,
        cluster.ledger("engine-b").await?,
    ];
    let runs: Vec<&Value> = ledgers.iter().flatten().collect();
    println!("  the engines' ledgers have {} runs", runs.len());
    Ok(text)
}
