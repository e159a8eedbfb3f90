//! The control group: commands, leadership, partitions and lost disks, with real processes.

use std::time::Duration;

use serde_json::{Value, json};
use zinniastall_tests::{
    Result,
    cluster::{Builder, Cluster},
    ctl::Run,
    proxy::rule::{Rule, Way},
    wait,
};

/// Exit code of a conflict.
const CONFLICT: Option<i32> = Some(3);
/// Exit code of a reused command id.
const REUSED: Option<i32> = Some(5);

/// Times that let a test see elections soon, on a busy machine.
fn group(replicas: usize) -> Builder {
    Cluster::builder()
        .replicas(replicas)
        .control(json!({"timing": {"heartbeat_ms": 50, "election_ms": 500}}))
        .zone("patras", "a", 0)
        .zone("athens", "a", 0)
        .zone("thessaloniki", "a", 0)
}

fn model(name: &str, version: &str) -> String {
    json!({"model": {"id": name, "version": version}}).to_string()
}

async fn version(cluster: &Cluster, name: &str) -> Option<String> {
    let record = cluster
        .ctl(&["get", "model", name])
        .await
        .ok()?
        .json()
        .ok()?;
    let version = record["object"]["model"]["version"].as_str();
    version.map(str::to_owned)
}

fn revision(run: &Run) -> u64 {
    let answer: Value = serde_json::from_str(&run.output).unwrap_or_default();
    answer["revision"].as_u64().unwrap_or_default()
}

/// An operator's script sends a change, the leader is killed before the answer comes, and the
/// script sends the same command again. The change must be there once, with its first revision,
/// and what was accepted before the kill must still be there.
#[actix_rt::test]
async fn a_killed_leader_loses_nothing() -> Result<()> {
    let mut cluster = group(3).start().await?;
    let command = ["--command", "c1", "--expected", "0", "apply"];
    let first = cluster
        .ctl(&[&command[..], &[&model("m", "1")]].concat())
        .await?;
    assert_eq!(first.code, Some(0), "{first:?}");
    let leader = cluster.leader().await?;
    cluster.control(&leader)?.process().kill()?;
    let again = cluster
        .ctl(&[&command[..], &[&model("m", "1")]].concat())
        .await?;
    assert_eq!(again.code, Some(0), "{again:?}");
    assert_eq!(revision(&again), revision(&first));
    let other = cluster
        .ctl(&[&command[..], &[&model("m", "2")]].concat())
        .await?;
    assert_eq!(other.code, REUSED, "{other:?}");
    assert_eq!(version(&cluster, "m").await.as_deref(), Some("1"));
    Ok(())
}
