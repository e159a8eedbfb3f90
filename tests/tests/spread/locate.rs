//! Tests how callers spread over the instances of a zone by the answers of `locate`.

use std::collections::BTreeMap;

use serde_json::Value;
use zinniastall_tests::{Result, cluster::Cluster, wait};

use crate::system::{locate, start, wait_listed};

const INSTANCES: [&str; 3] = ["athens-a-1", "athens-a-2", "athens-a-3"];
/// Callers, all of which ask the one instance that they know.
const CALLERS: usize = 300;

/// Asks once for each caller and counts which instances are listed first.
async fn count_first_choices(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..CALLERS {
        let answer = locate(cluster, INSTANCES[0]).await.unwrap_or_default();
        let first = answer["instances"][0]["instance"]
            .as_str()
            .unwrap_or_default();
        *counts.entry(first.to_owned()).or_default() += 1;
    }
    counts
}

fn weight(answer: &Value, name: &str) -> u64 {
    let instances = answer["instances"].as_array().into_iter().flatten();
    let mut named = instances.filter(|instance| instance["instance"] == name);
    named
        .next()
        .and_then(|instance| instance["weight"].as_u64())
        .unwrap_or_default()
}

/// Waits until an instance has been up for long enough to have its full weight.
async fn wait_full_weight(cluster: &Cluster, name: &str) -> Result<()> {
    wait::until(&format!("full weight of {name}"), async || {
        let answer = locate(cluster, INSTANCES[0]).await?;
        (weight(&answer, name) == 1_000).then_some(())
    })
    .await
}

// There is no load balancer. If all callers got the same first instance, it would be overloaded
// while the others idle; and without a slow start, a new instance would get a third of all
// callers at once with cold caches.
#[actix_rt::test]
async fn callers_spread_and_a_new_instance_ramps_up() -> Result<()> {
    let mut cluster = start(&[("athens", "a")], 3).await?;
    wait_full_weight(&cluster, INSTANCES[2]).await?;
    let counts = count_first_choices(&cluster).await;
    let busiest = counts.values().max().copied().unwrap_or_default();
    let mean = CALLERS / INSTANCES.len();
    println!("{CALLERS} callers: {counts:?}, busiest to mean {busiest}/{mean}");
    assert!(counts.len() == 3 && busiest < mean * 3 / 2, "{counts:?}");
    cluster.entry(INSTANCES[2])?.process().kill()?;
    wait_listed(&cluster, INSTANCES[0], &INSTANCES[..2]).await?;
    cluster.entry(INSTANCES[2])?.restart().await?;
    let answer = wait_listed(&cluster, INSTANCES[0], &INSTANCES).await?;
    let (new, old) = (weight(&answer, INSTANCES[2]), weight(&answer, INSTANCES[1]));
    println!("weights: newcomer {new}, old {old}");
    assert!(new < 500 && old == 1_000, "{answer}");
    cluster.stop().await
}
