//! Traffic returns to targets with cold caches.

use std::net::SocketAddr;

use serde_json::json;
use zinniastall_tests::{Result, cluster::Cluster, wait};

use super::support::{KEY, MODEL, System, ask, chat, configure};

/// Requests that must have gone elsewhere after the first one that was served at home again, and
/// those at home one after the other by which all traffic counts as returned.
const ELSEWHERE: usize = 3;
const RETURNED: usize = 30;

/// Asks once and returns the target that served.
async fn served_by(address: SocketAddr, number: usize) -> Option<String> {
    let body = chat(&format!("request {number}"), 1, false);
    let answer = ask(address, &body).send().await.ok()?;
    (answer.status() == 200).then(|| answer.header("x-zinniastall-target").to_owned())
}

/// Waits until a target serves.
async fn serving(address: SocketAddr, target: &str) -> Result<()> {
    wait::until(&format!("{target} serving"), async || {
        (served_by(address, 0).await? == target).then_some(())
    })
    .await
}

// The only engine of a zone is killed, its zone's callers are served by the zone beside it, and the
// engine comes back with an empty cache. It is idle then and looks cheaper than the other zone; with
// all requests at once its callers would wait for prompts that are prefilled in full. They move
// back step by step instead, and in the end all of them.
#[actix_rt::test]
async fn traffic_returns_to_a_cold_zone_step_by_step() -> Result<()> {
    let builder = Cluster::builder()
        .zone("patras", "a", 1)
        .zone("patras", "b", 1);
    let mut cluster = System::start(builder).await?;
    let engine = json!({"slots": 16, "engine": {"token_us": 2_000, "block_us": 1_000}});
    for (name, zone) in [("engine-1", "a"), ("engine-2", "b")] {
        cluster
            .engine(name, ("patras", zone), MODEL, engine.clone())
            .await?;
    }
    configure(&mut cluster).await?;
    cluster.wait_located("patras-a-1", KEY, MODEL, 2).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    serving(address, "engine-1").await?;
    cluster.target("engine-1")?.process().kill()?;
    cluster
        .entry("patras-a-1")?
        .process()
        .event("target-gone")
        .await?;
    serving(address, "engine-2").await?;
    cluster.target("engine-1")?.restart().await?;
    let mut asked = 0;
    wait::until("the first request at home", async || {
        asked += 1;
        (served_by(address, asked).await? == "engine-1").then_some(())
    })
    .await?;
    let mut elsewhere = 0;
    let mut row = 0;
    wait::until("all requests at home", async || {
        asked += 1;
        let home = served_by(address, asked).await? == "engine-1";
        elsewhere += usize::from(!home);
        row = if home { row + 1 } else { 0 };
        (row >= RETURNED).then_some(())
    })
    .await?;
    assert!(elsewhere >= ELSEWHERE, "{elsewhere} went elsewhere");
    cluster.stop().await
}
