//! Tests routing tables and evacuations through the operators' calls, and a control group that
//! repairs itself, with real processes.

use serde_json::{Value, json};
use zinniastall_tests::{Result, cluster::Cluster, wait};

/// Exit code of an invalid object.
const INVALID: Option<i32> = Some(6);

fn table(number: u64, service: &str) -> Value {
    json!({
        "number": number,
        "routes": [{
            "name": "plans", "host": "maps.example", "prefix": "/plans/", "kind": "idempotent",
            "timeout_ms": 5_000, "objective_ms": 300, "attempts": 2,
            "split": [{"service": service, "weight": 1}],
        }],
        "services": [{"name": "api"}, {"name": "other"}],
    })
}

async fn publish(cluster: &Cluster, table: &Value) -> Result<Value> {
    cluster.ctl(&["publish", &table.to_string()]).await?.json()
}

async fn table_in_force(cluster: &Cluster) -> Result<(u64, Value)> {
    let routing = cluster.ctl(&["routing"]).await?.json()?;
    let number = routing["table"]["number"].as_u64().unwrap_or_default();
    let service = routing["table"]["routes"][0]["split"][0]["service"].clone();
    Ok((number, service))
}

/// The table with the highest number is in force. A table with a lower or equal number, resent
/// or from a second operator, is accepted and changes nothing.
#[actix_rt::test]
async fn the_highest_table_is_in_force() -> Result<()> {
    let cluster = Cluster::builder().zone("patras", "a", 1).start().await?;
    publish(&cluster, &table(7, "api")).await?;
    for stale in [table(7, "other"), table(6, "other"), table(7, "api")] {
        let answer = publish(&cluster, &stale).await?;
        assert_eq!(answer["outcome"], "accepted", "{answer}");
        assert_eq!(table_in_force(&cluster).await?, (7, json!("api")));
    }
    publish(&cluster, &table(12, "other")).await?;
    assert_eq!(table_in_force(&cluster).await?, (12, json!("other")));
    Ok(())
}

/// An inconsistent table is refused as a whole, with the reason, and no part of it comes into
/// force.
#[actix_rt::test]
async fn an_invalid_table_is_refused_whole() -> Result<()> {
    let cluster = Cluster::builder().zone("patras", "a", 1).start().await?;
    publish(&cluster, &table(7, "api")).await?;
    let mut weightless = table(9, "api");
    weightless["routes"][0]["split"][0]["weight"] = json!(0);
    let mut timeless = table(9, "api");
    timeless["routes"][0]["timeout_ms"] = json!(0);
    let mut duplicate = table(9, "api");
    let route = duplicate["routes"][0].clone();
    if let Some(routes) = duplicate["routes"].as_array_mut() {
        routes.push(route);
    }
    let mut misspelt = table(9, "api");
    misspelt["routes"][0]["tiemout_ms"] = json!(1);
    let invalid = [
        (table(9, "nobody"), "unknown service"),
        (weightless, "add up to 0"),
        (timeless, "timeout of 0"),
        (duplicate, "share host and prefix"),
    ];
    for (table, reason) in invalid {
        let run = cluster.ctl(&["publish", &table.to_string()]).await?;
        assert_eq!(run.code, INVALID, "{reason}");
        let answer = run.answer();
        assert!(
            answer["reason"]
                .as_str()
                .unwrap_or_default()
                .contains(reason),
            "{answer}"
        );
    }
    let run = cluster.ctl(&["publish", &misspelt.to_string()]).await?;
    assert_eq!(run.code, Some(2), "an unknown field is a usage error");
    assert_eq!(table_in_force(&cluster).await?, (7, json!("api")));
    Ok(())
}

#[actix_rt::test]
async fn zones_are_evacuated_and_reopened() -> Result<()> {
    let cluster = Cluster::builder().zone("patras", "a", 1).start().await?;
    let evacuated = async || -> Result<Value> {
        Ok(cluster.ctl(&["routing"]).await?.json()?["evacuated"].clone())
    };
    for _ in 0..2 {
        cluster.ctl(&["evacuate", "patras-b"]).await?.json()?;
        assert_eq!(evacuated().await?, json!(["patras-b"]));
    }
    for _ in 0..2 {
        cluster.ctl(&["reopen", "patras-b"]).await?.json()?;
        assert_eq!(evacuated().await?, json!([]));
    }
    Ok(())
}

#[actix_rt::test]
async fn quarantined_requests_are_listed_and_released() -> Result<()> {
    let cluster = Cluster::builder().zone("patras", "a", 1).start().await?;
    let listed = cluster.ctl(&["quarantine"]).await?.json()?;
    assert_eq!(listed["requests"], json!([]), "{listed}");
    let answer = cluster.ctl(&["release", &"07".repeat(16)]).await?.json()?;
    assert_eq!(answer["outcome"], "accepted", "{answer}");
    let run = cluster.ctl(&["release", "not a fingerprint"]).await?;
    assert_eq!(run.code, INVALID);
    Ok(())
}

/// A replica loses its disk and restarts empty at its old address, with no operator to admit it.
/// If it voted under its old id, it would have forgotten what it acknowledged; if it stayed out,
/// the next loss would stop the group. Each replica loses its disk in turn.
#[actix_rt::test]
async fn lost_disks_are_repaired_without_an_operator() -> Result<()> {
    let builder = Cluster::builder().zone("patras", "a", 1).replicas(3);
    let builder = builder.control(json!({"group": {"heals": true}}));
    let mut cluster = builder.start().await?;
    cluster.wait_next_loss_safe(true).await?;
    let mut number = 10;
    for lost in ["control-2", "control-3", "control-1"] {
        let before = cluster.replica_id(lost).await?;
        number += 1;
        publish(&cluster, &table(number, "api")).await?;
        cluster.wipe(lost).await?;
        wait::until(
            "the group has three voters again, all of them new or whole",
            async || {
                let status = cluster.ctl(&["status"]).await.ok()?.json().ok()?;
                let replicas = status["replicas"].as_array()?;
                let voters = replicas.iter().filter(|replica| replica["voter"] == true);
                let ids: Vec<&str> = voters
                    .filter_map(|replica| replica["id"].as_str())
                    .collect();
                let repaired =
                    ids.len() == 3 && replicas.len() == 3 && !ids.contains(&before.as_str());
                (repaired && status["next_loss_safe"] == true).then_some(())
            },
        )
        .await?;
        assert_eq!(
            table_in_force(&cluster).await?,
            (number, json!("api")),
            "after {lost} was lost"
        );
    }
    Ok(())
}
