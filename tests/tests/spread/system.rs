//! The system under test and what can be seen of it.

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

/// Starts zones with entry instances and one engine each; an engine is named after its zone.
pub(crate) async fn start(zones: &[(&str, &str)], instances: usize) -> Result<Cluster> {
    start_with(zones, instances, json!({})).await
}

/// Starts a system in which a silent link is closed only after a minute, so that it isn't the
/// closing by which a fault is found.
pub(crate) async fn start_patient(zones: &[(&str, &str)], instances: usize) -> Result<Cluster> {
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
        lists(
            &cluster,
            entry,
            &all.iter().map(String::as_str).collect::<Vec<_>>(),
        )
        .await?;
    }
    Ok(cluster)
}

/// Asks an entry instance which instances to use, past its proxy.
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

/// Waits until an entry instance names exactly these instances.
pub(crate) async fn lists(cluster: &Cluster, entry: &str, names: &[&str]) -> Result<Value> {
    let wanted: BTreeSet<&str> = names.iter().copied().collect();
    wait::until(&format!("{entry} naming {wanted:?}"), async || {
        let answer = locate(cluster, entry).await?;
        (named(&answer) == wanted).then_some(answer)
    })
    .await
}

/// Returns the names in an answer.
pub(crate) fn named(answer: &Value) -> BTreeSet<&str> {
    let instances = answer["instances"].as_array();
    let names = instances.into_iter().flatten();
    names
        .filter_map(|instance| instance["instance"].as_str())
        .collect()
}

/// Makes a chat request's body.
pub(crate) fn chat(question: &str) -> Value {
    json!({
        "model": MODEL, "max_tokens": 2,
        "messages": [{"role": "user", "content": question}],
    })
}

/// Sends one chat request to an entry instance, past its proxy; returns the target that served it.
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

/// Cuts what nodes that `from` picks send to nodes that `to` picks, silently, and nothing else.
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

/// Waits until an entry instance has logged an event with a field, `count` times.
pub(crate) async fn logged(
    cluster: &Cluster,
    entry: &str,
    (event, name, value): (&str, &str, &str),
    count: usize,
    bound: Duration,
) -> Result<()> {
    wait::within(bound, &format!("{event} {value} at {entry}"), async || {
        (times(cluster, entry, (event, name, value)) >= count).then_some(())
    })
    .await
}

/// Counts how often an entry instance has logged an event with a field.
pub(crate) fn times(
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
