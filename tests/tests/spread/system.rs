//! The system under test and its observable state.

use std::{collections::BTreeSet, time::Duration};

use serde_json::{Value, json};
use zinniastall_tests::{
    Result,
    cluster::Cluster,
    http,
    log::field,
    node::Node,
    proxy::rule::{Direction, Rule},
    wait,
};

pub(crate) const MODEL: &str = "map-labels";
pub(crate) const KEY: &str = "a-key";

/// Starts zones with entry instances and one engine each, which is named after its zone.
pub(crate) async fn start(zones: &[(&str, &str)], instances: usize) -> Result<Cluster> {
    start_with(zones, instances, json!({})).await
}

/// Starts a system that closes a silent link only after a minute, so that faults must be
/// detected otherwise.
pub(crate) async fn start_with_slow_link_timeout(
    zones: &[(&str, &str)],
    instances: usize,
) -> Result<Cluster> {
    start_with(zones, instances, json!({"spread": {"ceiling_ms": 60_000}})).await
}

async fn start_with(zones: &[(&str, &str)], instances: usize, settings: Value) -> Result<Cluster> {
    let mut builder = Cluster::builder().entry(settings);
    for (region, zone) in zones {
        builder = builder.zone(region, zone, instances);
    }
    let mut cluster = builder.start().await?;
    for (region, zone) in zones {
        let name = format!("engine-{region}-{zone}");
        cluster
            .engine(&name, (region, zone), MODEL, json!({}))
            .await?;
    }
    cluster.client("maps", KEY).await?;
    cluster.model(MODEL).await?;
    let all: Vec<String> = cluster
        .entries()
        .map(|node| node.name().to_owned())
        .collect();
    for entry in &all {
        wait_listed(
            &cluster,
            entry,
            &all.iter().map(String::as_str).collect::<Vec<_>>(),
        )
        .await?;
    }
    Ok(cluster)
}

/// Asks an entry instance which instances to use, bypassing its proxy.
pub(crate) async fn locate(cluster: &Cluster, entry: &str) -> Option<Value> {
    let node = cluster.entries().find(|node| node.name() == entry)?;
    let line = node.running().log().events("listening");
    let callers = line
        .iter()
        .find(|line| field(line, "role") == Some("callers"))?;
    let address = field(callers, "address")?.parse().ok()?;
    let path = format!("/v1/locate?subject={MODEL}");
    let answer = http::get(address, &path).key(KEY).send().await.ok()?;
    answer.json().ok()
}

/// Waits until an entry instance lists exactly these instances.
pub(crate) async fn wait_listed(cluster: &Cluster, entry: &str, names: &[&str]) -> Result<Value> {
    let wanted: BTreeSet<&str> = names.iter().copied().collect();
    wait::until(&format!("{entry} listing {wanted:?}"), async || {
        let answer = locate(cluster, entry).await?;
        (instance_names(&answer) == wanted).then_some(answer)
    })
    .await
}

/// Returns the names of the instances in an answer.
pub(crate) fn instance_names(answer: &Value) -> BTreeSet<&str> {
    let instances = answer["instances"].as_array();
    let names = instances.into_iter().flatten();
    names
        .filter_map(|instance| instance["instance"].as_str())
        .collect()
}

/// Returns the body of a chat request.
pub(crate) fn chat(question: &str) -> Value {
    json!({
        "model": MODEL, "max_tokens": 2,
        "messages": [{"role": "user", "content": question}],
    })
}

/// Sends one chat request to an entry instance, bypassing its proxy; returns the target that
/// served it.
pub(crate) async fn ask(cluster: &mut Cluster, entry: &str) -> Result<Option<String>> {
    let address = cluster.entry(entry)?.process().address("callers").await?;
    let body = chat("Name the zones.");
    let request = http::post(address, "/v1/chat/completions")
        .key(KEY)
        .json(&body);
    let answer = request.send().await?;
    let target = answer.header("x-zinniastall-target").to_owned();
    Ok((answer.status() == 200).then_some(target))
}

/// Silently stalls what nodes picked by `from` send to nodes picked by `to`, and nothing else.
pub(crate) fn cut_one_way(
    cluster: &Cluster,
    from: impl Fn(&Node) -> bool,
    to: impl Fn(&Node) -> bool,
) {
    let one_way = |way| Rule::default().with(way, |lane| lane.stalled = true);
    cluster.set_link_rules(|caller, called| {
        match (from(caller) && to(called), to(caller) && from(called)) {
            (true, true) => Some(one_way(Direction::Both)),
            (true, false) => Some(one_way(Direction::Up)),
            (false, true) => Some(one_way(Direction::Down)),
            (false, false) => None,
        }
    });
}

/// Waits until an entry instance has logged an event with this field at least `count` times.
pub(crate) async fn wait_logged(
    cluster: &Cluster,
    entry: &str,
    (event, name, value): (&str, &str, &str),
    count: usize,
    bound: Duration,
) -> Result<()> {
    wait::within(bound, &format!("{event} {value} at {entry}"), async || {
        (count_logged(cluster, entry, (event, name, value)) >= count).then_some(())
    })
    .await
}

/// Counts how often an entry instance has logged an event with this field.
pub(crate) fn count_logged(
    cluster: &Cluster,
    entry: &str,
    (event, name, value): (&str, &str, &str),
) -> usize {
    let node = cluster.entries().find(|node| node.name() == entry);
    let lines = node
        .map(|node| node.running().log().events(event))
        .unwrap_or_default();
    lines
        .iter()
        .filter(|line| field(line, name) == Some(value))
        .count()
}
