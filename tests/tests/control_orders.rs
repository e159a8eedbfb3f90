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
    let mut cluster = builder(3).start().await?;
    versioned(&cluster, "1").await?;
    role(&cluster).await?;
    engine(&mut cluster, "checks", true).await?;
    engine(&mut cluster, "ignores", false).await?;
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

/// The leader is frozen exactly between its look at the lease and the write of an order. Meanwhile
/// a new leader is chosen, the operator changes the version, and the targets get the new order.
/// Then the frozen one goes on and sends the old order. A target that checks numbers must refuse
/// it; one that ignores them must be back at the new version soon.
#[actix_rt::test]
async fn a_stale_order_is_refused_or_repaired() -> Result<()> {
    let mut cluster = builder(3).start().await?;
    versioned(&cluster, "1").await?;
    role(&cluster).await?;
    engine(&mut cluster, "checks", true).await?;
    engine(&mut cluster, "ignores", false).await?;
    let leader = cluster.leader().await?;
    let data = cluster.control(&leader)?.settings()["data"].clone();
    let pause = std::path::Path::new(data.as_str().unwrap_or_default()).join("pause-order");
    // Long enough after it took over that the leader orders both kinds.
    obeyed_once(&mut cluster).await?;
    std::fs::write(&pause, "")?;
    versioned(&cluster, "2").await?;
    cluster.control(&leader)?.process().event("paused").await?;
    cluster.control(&leader)?.process().freeze()?;
    cluster.leader_besides(&[&leader]).await?;
    versioned(&cluster, "3").await?;
    obeys(&mut cluster, "checks", "3").await?;
    obeys(&mut cluster, "ignores", "3").await?;
    std::fs::remove_file(&pause)?;
    cluster.control(&leader)?.process().thaw()?;
    let stale = wait::until("the stale order", async || {
        let mut all = orders(&mut cluster, "checks").await.ok()?;
        all.extend(orders(&mut cluster, "ignores").await.ok()?);
        let last = all.iter().map(|order| order["at"].as_u64()).max()??;
        let late = all
            .iter()
            .find(|order| order["at"] == last && version(order) == "2")?;
        Some(late.clone())
    })
    .await?;
    println!("stale order: {stale}");
    obeys(&mut cluster, "checks", "3").await?;
    obeys(&mut cluster, "ignores", "3").await?;
    let checked = orders(&mut cluster, "checks").await?;
    let newest = checked
        .iter()
        .position(|order| version(order) == "3")
        .unwrap_or_default();
    let obeyed = |order: &&Value| version(order) == "2" && order["obeyed"] == true;
    assert_eq!(checked[newest..].iter().find(obeyed), None);
    Ok(())
}

/// Gives both targets an order that they need, so that the leader is known to order them.
async fn obeyed_once(cluster: &mut Cluster) -> Result<()> {
    versioned(cluster, "1b").await?;
    obeys(cluster, "checks", "1b").await?;
    obeys(cluster, "ignores", "1b").await
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
