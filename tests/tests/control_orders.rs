//! Orders to targets: sent, checked by number, repaired, and paced, with real processes.

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

async fn engine(cluster: &mut Cluster, name: &str, checks: bool) -> Result<()> {
    let kind = if checks { "checking" } else { "ignoring" };
    let change = json!({"announce": {"kind": kind}, "engine": {"checks_fence": checks}});
    cluster.engine(name, PLACE, "m", change).await
}

async fn versioned(cluster: &Cluster, version: &str) -> Result<()> {
    cluster
        .apply(&json!({"model": {"id": "m", "version": version}}))
        .await?;
    Ok(())
}

async fn role(cluster: &Cluster) -> Result<()> {
    let role = json!({"role": {"id": "all", "region": "patras", "role": "both", "models": ["m"]}});
    cluster.apply(&role).await?;
    Ok(())
}

/// Starts three control replicas and a target of each kind, which are to hold one model.
async fn both_kinds() -> Result<Cluster> {
    let mut cluster = builder(3).start().await?;
    versioned(&cluster, "1").await?;
    role(&cluster).await?;
    engine(&mut cluster, "checks", true).await?;
    engine(&mut cluster, "ignores", false).await?;
    Ok(cluster)
}

/// Returns the orders that a target got, oldest first.
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

async fn obeys(cluster: &mut Cluster, target: &str, wanted: &str) -> Result<()> {
    let what = format!("{target} ordered to hold {wanted}");
    wait::until(&what, async || {
        let orders = orders(cluster, target).await.ok()?;
        let last = orders.iter().rfind(|order| order["obeyed"] == true)?;
        (version(last) == wanted).then_some(())
    })
    .await
}

/// An operator changes the version of a model, and the control leader is lost before the targets
/// are ordered. The next leader must order them, those that check numbers and those that do not,
/// and once they hold the version nobody may bother them any more.
#[actix_rt::test]
async fn a_new_leader_orders_what_the_last_one_owed() -> Result<()> {
    let mut cluster = both_kinds().await?;
    let leader = cluster.leader().await?;
    versioned(&cluster, "2").await?;
    cluster.control(&leader)?.process().kill()?;
    obeys(&mut cluster, "checks", "2").await?;
    obeys(&mut cluster, "ignores", "2").await?;
    let before = orders(&mut cluster, "ignores").await?.len();
    // Several reports and repairs would fit into this time.
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    let after = orders(&mut cluster, "ignores").await?.len();
    assert_eq!(after, before);
    Ok(())
}

/// Freezes the leader between its look at the lease and the write of an order, until a new leader
/// has given the target a newer one; then lets the old order go out. Returns the target's orders.
async fn after_a_stale_order(checks: bool) -> Result<Vec<Value>> {
    let mut cluster = builder(3).start().await?;
    versioned(&cluster, "1").await?;
    role(&cluster).await?;
    engine(&mut cluster, "target", checks).await?;
    let leader = cluster.leader().await?;
    // An order that is obeyed first shows that this leader orders this kind by now.
    versioned(&cluster, "1b").await?;
    obeys(&mut cluster, "target", "1b").await?;
    let data = cluster.control(&leader)?.settings()["data"].clone();
    let pause = std::path::Path::new(data.as_str().unwrap_or_default()).join("pause-order");
    std::fs::write(&pause, "")?;
    versioned(&cluster, "2").await?;
    cluster.control(&leader)?.process().event("paused").await?;
    cluster.control(&leader)?.process().freeze()?;
    cluster.leader_except(&[&leader]).await?;
    versioned(&cluster, "3").await?;
    obeys(&mut cluster, "target", "3").await?;
    std::fs::remove_file(&pause)?;
    cluster.control(&leader)?.process().resume()?;
    wait::until("the stale order", async || {
        let orders = orders(&mut cluster, "target").await.ok()?;
        let newest = orders.iter().rposition(|order| version(order) == "2")?;
        let before = orders.iter().position(|order| version(order) == "3")?;
        (newest > before).then_some(())
    })
    .await?;
    obeys(&mut cluster, "target", "3").await?;
    orders(&mut cluster, "target").await
}

/// The leader is frozen exactly between its look at the lease and the write of an order. Meanwhile
/// a new leader is chosen, the operator changes the version, and the target gets the new order.
/// Then the frozen one goes on and sends the old order. A target that checks numbers must refuse
/// it.
#[actix_rt::test]
async fn a_stale_order_is_refused() -> Result<()> {
    let orders = after_a_stale_order(true).await?;
    let newest = orders.iter().position(|order| version(order) == "3");
    let obeyed = |order: &&Value| version(order) == "2" && order["obeyed"] == true;
    let stale = orders[newest.unwrap_or_default()..].iter().find(obeyed);
    assert_eq!(stale, None);
    Ok(())
}

/// The same with a target that ignores numbers. It obeys the old order, and would go on serving a
/// version that the operator has replaced; it must be back at the new one soon.
#[actix_rt::test]
async fn a_stale_order_is_repaired() -> Result<()> {
    let orders = after_a_stale_order(false).await?;
    assert_eq!(orders.last().map(version), Some("3"), "{orders:?}");
    Ok(())
}

/// Many targets are to load a new version at once, and the weight store can only feed a few. The
/// loads must be spread over time, or the store would slow down for everyone, and all targets must
/// have the version in the end.
#[actix_rt::test]
async fn loads_are_paced() -> Result<()> {
    let pace = json!({"targets": {"loads_per_minute": 120, "burst": 1}});
    let mut cluster = builder(1).control(pace).start().await?;
    versioned(&cluster, "1").await?;
    role(&cluster).await?;
    let names: Vec<String> = (0..4).map(|number| format!("engine-{number}")).collect();
    for name in &names {
        engine(&mut cluster, name, true).await?;
    }
    versioned(&cluster, "2").await?;
    let mut times = Vec::new();
    for name in &names {
        obeys(&mut cluster, name, "2").await?;
        let orders = orders(&mut cluster, name).await?;
        times.extend(orders.first().and_then(|order| order["at"].as_u64()));
    }
    times.sort_unstable();
    assert_eq!(times.len(), names.len());
    // Two a second: four loads take at least the time of three intervals, less one tick.
    let spread = times
        .last()
        .zip(times.first())
        .map_or(0, |(last, first)| last - first);
    assert!(spread >= 1_400, "{times:?}");
    Ok(())
}
