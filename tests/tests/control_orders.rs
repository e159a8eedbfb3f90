//! Tests orders to targets with real processes: sending, fencing tokens, repair and pacing.

use std::time::Duration;

use serde_json::{Value, json};
use zinniastall_tests::{
    Result,
    cluster::{Builder, Cluster},
    http, wait,
};

const PLACE: (&str, &str) = ("patras", "a");

fn builder(replicas: usize) -> Builder {
    Cluster::builder()
        .replicas(replicas)
        .control(json!({
            "timing": {"heartbeat_ms": 50, "election_ms": 500},
            "targets": {"checks": ["checking"], "send_ms": 500, "loads_per_minute": 6_000, "burst": 8},
        }))
        .zone("patras", "a", 1)
        .zone("athens", "a", 0)
        .zone("nantes", "a", 0)
}

async fn start_engine(cluster: &mut Cluster, name: &str, checks: bool) -> Result<()> {
    let kind = if checks { "checking" } else { "ignoring" };
    let change = json!({"announce": {"kind": kind}, "engine": {"checks_fence": checks}});
    cluster.engine(name, PLACE, "m", change).await
}

async fn apply_version(cluster: &Cluster, version: &str) -> Result<()> {
    cluster
        .apply(&json!({"model": {"id": "m", "version": version}}))
        .await?;
    Ok(())
}

async fn apply_role(cluster: &Cluster) -> Result<()> {
    let role = json!({"role": {"id": "all", "region": "patras", "role": "both", "models": ["m"]}});
    cluster.apply(&role).await?;
    Ok(())
}

/// Starts three control replicas and two targets that are to hold one model: one checks fencing
/// tokens, the other ignores them.
async fn start_both_kinds() -> Result<Cluster> {
    let mut cluster = builder(3).start().await?;
    apply_version(&cluster, "1").await?;
    apply_role(&cluster).await?;
    start_engine(&mut cluster, "checks", true).await?;
    start_engine(&mut cluster, "ignores", false).await?;
    Ok(cluster)
}

/// Returns the orders that a target has received, oldest first.
async fn orders(cluster: &mut Cluster, target: &str) -> Result<Vec<Value>> {
    let address = cluster.target(target)?.process().address("http").await?;
    let list = http::get(address, "/orders").send().await?.json()?;
    Ok(list.as_array().cloned().unwrap_or_default())
}

fn version(order: &Value) -> &str {
    order["body"]["models"][0]["version"]
        .as_str()
        .unwrap_or_default()
}

async fn wait_obeyed(cluster: &mut Cluster, target: &str, wanted: &str) -> Result<()> {
    let what = format!("{target} ordered to hold {wanted}");
    wait::until(&what, async || {
        let orders = orders(cluster, target).await.ok()?;
        let last = orders.iter().rfind(|order| order["obeyed"] == true)?;
        (version(last) == wanted).then_some(())
    })
    .await
}

/// An operator changes the version of a model, and the control leader is lost before it has sent
/// the orders. The next leader must send them, to targets that check fencing tokens and to those
/// that do not, and must send no more once they hold the version.
#[actix_rt::test]
async fn a_new_leader_sends_the_orders_that_a_lost_one_did_not() -> Result<()> {
    let mut cluster = start_both_kinds().await?;
    let leader = cluster.leader().await?;
    apply_version(&cluster, "2").await?;
    cluster.control(&leader)?.process().kill()?;
    wait_obeyed(&mut cluster, "checks", "2").await?;
    wait_obeyed(&mut cluster, "ignores", "2").await?;
    let before = orders(&mut cluster, "ignores").await?.len();
    // Long enough for several reports and repairs.
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    let after = orders(&mut cluster, "ignores").await?.len();
    assert_eq!(after, before);
    Ok(())
}

/// Freezes the leader between its lease check and the write of an order until a new leader has
/// sent the target a newer order; then lets the old order go out. Returns the target's orders.
async fn orders_after_a_stale_one(checks: bool) -> Result<Vec<Value>> {
    let mut cluster = builder(3).start().await?;
    apply_version(&cluster, "1").await?;
    apply_role(&cluster).await?;
    start_engine(&mut cluster, "target", checks).await?;
    let leader = cluster.leader().await?;
    // An obeyed order shows that this leader already sends orders to this kind of target.
    apply_version(&cluster, "1b").await?;
    wait_obeyed(&mut cluster, "target", "1b").await?;
    let data = cluster.control(&leader)?.settings()["data"].clone();
    let pause = std::path::Path::new(data.as_str().unwrap_or_default()).join("pause-order");
    std::fs::write(&pause, "")?;
    apply_version(&cluster, "2").await?;
    cluster.control(&leader)?.process().event("paused").await?;
    cluster.control(&leader)?.process().freeze()?;
    cluster.leader_except(&[&leader]).await?;
    apply_version(&cluster, "3").await?;
    wait_obeyed(&mut cluster, "target", "3").await?;
    std::fs::remove_file(&pause)?;
    cluster.control(&leader)?.process().resume()?;
    wait::until("the stale order received", async || {
        let orders = orders(&mut cluster, "target").await.ok()?;
        let newest = orders.iter().rposition(|order| version(order) == "2")?;
        let before = orders.iter().position(|order| version(order) == "3")?;
        (newest > before).then_some(())
    })
    .await?;
    wait_obeyed(&mut cluster, "target", "3").await?;
    orders(&mut cluster, "target").await
}

/// The leader is frozen between its lease check and the write of an order. Meanwhile a new
/// leader is elected, the operator changes the version, and the target gets the new order. Then
/// the frozen leader resumes and sends the old order, which a target that checks fencing tokens
/// must refuse.
#[actix_rt::test]
async fn a_stale_order_is_refused() -> Result<()> {
    let orders = orders_after_a_stale_one(true).await?;
    let newest = orders.iter().position(|order| version(order) == "3");
    let obeyed = |order: &&Value| version(order) == "2" && order["obeyed"] == true;
    let stale = orders[newest.unwrap_or_default()..].iter().find(obeyed);
    assert_eq!(stale, None);
    Ok(())
}

/// As above with a target that ignores fencing tokens. It obeys the old order and would go on
/// serving a replaced version; it must be ordered back to the new one soon.
#[actix_rt::test]
async fn a_stale_order_is_repaired() -> Result<()> {
    let orders = orders_after_a_stale_one(false).await?;
    assert_eq!(orders.last().map(version), Some("3"), "{orders:?}");
    Ok(())
}

/// Many targets are to load a new version at once, and the weight store can feed only a few. The
/// loads must be spread over time, or the store would slow down for all of them, and in the end
/// every target must have the version.
#[actix_rt::test]
async fn loads_are_paced() -> Result<()> {
    let pacing = json!({"targets": {"loads_per_minute": 120, "burst": 1}});
    let mut cluster = builder(1).control(pacing).start().await?;
    apply_version(&cluster, "1").await?;
    apply_role(&cluster).await?;
    let names: Vec<String> = (0..4).map(|number| format!("engine-{number}")).collect();
    for name in &names {
        start_engine(&mut cluster, name, true).await?;
    }
    apply_version(&cluster, "2").await?;
    let mut times = Vec::new();
    for name in &names {
        wait_obeyed(&mut cluster, name, "2").await?;
        let orders = orders(&mut cluster, name).await?;
        times.extend(orders.first().and_then(|order| order["at"].as_u64()));
    }
    times.sort_unstable();
    assert_eq!(times.len(), names.len());
    // At two loads a second, four loads take at least three intervals, less one tick.
    let spread = times
        .last()
        .zip(times.first())
        .map_or(0, |(last, first)| last - first);
    assert!(spread >= 1_400, "{times:?}");
    Ok(())
}
