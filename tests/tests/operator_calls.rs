//! Tests every call of the operators' interface from the command line against real processes.

use serde_json::{Value, json};
use zinniastall_tests::{Result, cluster::Cluster, wait};

const MODEL: &str = "map-labels";
const KEY: &str = "a-key";
const CLIENT: &str = "maps";

async fn start() -> Result<Cluster> {
    let mut cluster = Cluster::builder().zone("patras", "a", 1).start().await?;
    cluster
        .engine("engine", ("patras", "a"), MODEL, json!({}))
        .await?;
    cluster.client(CLIENT, KEY).await?;
    cluster.model(MODEL).await?;
    Ok(cluster)
}

async fn ctl_json(cluster: &Cluster, arguments: &[&str]) -> Result<Value> {
    cluster.ctl(arguments).await?.json()
}

/// Returns the ids of the records of one kind in a list.
fn names(list: &Value, kind: &str) -> Vec<String> {
    let records = list["records"].as_array().cloned().unwrap_or_default();
    let name = |record: &Value| record["object"][kind]["id"].as_str().map(str::to_owned);
    records.iter().filter_map(name).collect()
}

#[actix_rt::test]
async fn objects_are_applied_read_listed_and_deleted() -> Result<()> {
    let mut cluster = start().await?;
    let objects = [
        ("client", json!({"id": "studio", "keys": [], "weight": 2})),
        (
            "model",
            json!({"id": "names", "version": "3", "weights": "names-3"}),
        ),
        (
            "adapter",
            json!({"id": "br", "model": "names", "version": "1", "weights": "br-1"}),
        ),
        (
            "route",
            json!({"id": "portal", "prefix": "/portal", "service": "portal"}),
        ),
        (
            "residency",
            json!({"id": "home", "client": "studio", "regions": ["patras"]}),
        ),
        (
            "role",
            json!({"id": "all", "region": "patras", "role": "both", "models": ["names"]}),
        ),
    ];
    for (kind, object) in &objects {
        let id = object["id"].as_str().unwrap_or_default();
        cluster.apply(&json!({*kind: object})).await?;
        let record = ctl_json(&cluster, &["get", kind, id]).await?;
        assert_eq!(record["object"][kind]["id"], id, "{record}");
        let list = ctl_json(&cluster, &["list", kind]).await?;
        assert!(names(&list, kind).contains(&id.to_owned()), "{list}");
    }
    for (kind, object) in objects.iter().rev() {
        let id = object["id"].as_str().unwrap_or_default();
        ctl_json(&cluster, &["--wait", "10000", "delete", kind, id]).await?;
        let list = ctl_json(&cluster, &["list", kind]).await?;
        assert!(!names(&list, kind).contains(&id.to_owned()), "{list}");
    }
    cluster.stop().await
}

#[actix_rt::test]
async fn changes_are_watched_in_order() -> Result<()> {
    let mut cluster = start().await?;
    let run = cluster.ctl(&["--count", "3", "watch"]).await?;
    assert_eq!(run.code, Some(0), "{run:?}");
    let events = run.output.lines().map(serde_json::from_str);
    let events: Vec<Value> = events.collect::<std::result::Result<_, _>>()?;
    let revisions: Vec<u64> = events
        .iter()
        .filter_map(|event| event["revision"].as_u64())
        .collect();
    assert_eq!(revisions.len(), 3, "{events:?}");
    assert!(revisions.is_sorted(), "{revisions:?}");
    let model = |event: &Value| event["applied"]["object"]["model"]["id"] == MODEL;
    assert!(events.iter().any(model), "{events:?}");
    cluster.stop().await
}

#[actix_rt::test]
async fn states_and_histograms_are_read() -> Result<()> {
    let mut cluster = start().await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let messages = json!([{"role": "user", "content": "Which rooms are there?"}]);
    let body = json!({"model": MODEL, "max_tokens": 2, "messages": messages});
    cluster.wait_serving(address, KEY, &body).await?;
    let status = ctl_json(&cluster, &["status"]).await?;
    assert_eq!(status["instances"][0]["instance"], "patras-a-1", "{status}");
    let instance = ctl_json(&cluster, &["instance", "patras-a-1"]).await?;
    assert_eq!(instance["region"], "patras", "{instance}");
    let revision = status["revision"].to_string();
    wait::until("the change in force", async || {
        let change = ctl_json(&cluster, &["change", &revision]).await.ok()?;
        (change["waiting"] == json!([])).then_some(())
    })
    .await?;
    wait::until("the client's histogram", async || {
        let answer = ctl_json(&cluster, &["histograms", "patras-a-1"])
            .await
            .ok()?;
        let rows = answer["histograms"].as_array()?.clone();
        let whole = |row: &&Value| row["name"] == "request.whole" && row["client"] == CLIENT;
        (rows.iter().find(whole)?["count"].as_u64()? > 0).then_some(())
    })
    .await?;
    cluster.stop().await
}
