//! Tests how traffic returns to targets with cold caches.

use std::net::SocketAddr;

use serde_json::json;
use zinniastall_tests::{Result, cluster::Cluster, wait};

use super::support::{KEY, MODEL, System, ask, chat, configure};

/// Requests that must have gone elsewhere although the home zone could serve them again, and
/// consecutive requests served at home after which all traffic counts as returned.
const MIN_ELSEWHERE: usize = 3;
const MIN_CONSECUTIVE_AT_HOME: usize = 30;

/// Sends one request and returns the target that served it.
async fn served_by(address: SocketAddr, number: usize) -> Option<String> {
    let body = chat(&format!("request {number}"), 1, false);
    let answer = ask(address, &body).send().await.ok()?;
    (answer.status() == 200).then(|| answer.header("x-zinniastall-target").to_owned())
}

/// Waits until a target serves a request.
async fn wait_served_by(address: SocketAddr, target: &str) -> Result<()> {
    wait::until(&format!("{target} serving"), async || {
        (served_by(address, 0).await? == target).then_some(())
    })
    .await
}

// The only engine of a zone is killed, the neighbouring zone takes over its callers, and the
// engine returns with an empty cache. It is idle then and looks cheaper than the other zone; if
// it got all requests at once, callers would wait for full prefills. Traffic must move back
// gradually, and in the end completely.
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
    wait_served_by(address, "engine-1").await?;
    cluster.target("engine-1")?.process().kill()?;
    cluster
        .entry("patras-a-1")?
        .process()
        .event("target-gone")
        .await?;
    wait_served_by(address, "engine-2").await?;
    cluster.target("engine-1")?.restart().await?;
    let entry = cluster.entry("patras-a-1")?.process();
    wait::until("the engine may get work again", async || {
        (entry.log().events("target-serving").len() > 1).then_some(())
    })
    .await?;
    let mut asked = 0;
    let mut elsewhere = 0;
    let mut consecutive = 0;
    wait::until("all requests at home", async || {
        asked += 1;
        let home = served_by(address, asked).await? == "engine-1";
        elsewhere += usize::from(!home);
        consecutive = if home { consecutive + 1 } else { 0 };
        (consecutive >= MIN_CONSECUTIVE_AT_HOME).then_some(())
    })
    .await?;
    assert!(elsewhere >= MIN_ELSEWHERE, "{elsewhere} went elsewhere");
    cluster.stop().await
}
