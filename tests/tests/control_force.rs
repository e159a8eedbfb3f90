//! Tests with real processes that accepted changes come into force at every entry instance and
//! never revert.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use zinniastall_tests::{
    Result,
    cluster::{Builder, Cluster},
    log::field,
    node::Node,
    proxy::rule::{Direction, Rule},
    wait,
};

/// Exit code of a change that is accepted.
const ACCEPTED: Option<i32> = Some(0);
/// Exit code of a change whose expected revision was out of date.
const CONFLICT: Option<i32> = Some(3);
/// Exit code of a change that waits for confirmations.
const PENDING: Option<i32> = Some(4);

/// Election timeout that leaves a test enough time to isolate a replica and restart an instance.
/// On a machine that is too busy for that, the test does not reach the failure.
const LONG_ELECTION_MS: u64 = 8_000;

/// The instances of a zone and its control replica.
const ISOLATED: [&str; 3] = ["control-1", "patras-a-1", "patras-a-2"];

/// Longest time that an instance may take to connect to a target.
const CONNECT_TIMEOUT_MS: f64 = 1_000.0;
const DAY_MS: f64 = 86_400_000.0;

fn builder(replicas: usize) -> Builder {
    Cluster::builder()
        .replicas(replicas)
        .control(json!({"timing": {"heartbeat_ms": 50, "election_ms": 500}}))
        .entry(json!({"follow": {"cut_off_ms": 3_000}}))
}

fn rule(regions: &[&str]) -> String {
    json!({"residency": {"id": "home", "client": "studio", "regions": regions}}).to_string()
}

async fn exit_code(cluster: &Cluster, revision: u64) -> Option<i32> {
    let run = cluster.ctl(&["change", &revision.to_string()]).await.ok()?;
    run.code
}

async fn wait_for_exit_code(cluster: &Cluster, revision: u64, wanted: Option<i32>) -> Result<()> {
    let what = format!("exit code {wanted:?} for revision {revision}");
    wait::until(&what, async || {
        (exit_code(cluster, revision).await == wanted).then_some(())
    })
    .await
}

async fn change(cluster: &Cluster, name: &str) -> Result<u64> {
    let answer = cluster
        .apply(&json!({"model": {"id": name, "version": "1"}}))
        .await?;
    Ok(answer["revision"].as_u64().unwrap_or_default())
}

/// Waits until this many members are known and up to date, and returns the revision.
async fn wait_settled(cluster: &Cluster, members: usize) -> Result<u64> {
    wait::until("all members up to date", async || {
        let status = cluster.ctl(&["status"]).await.ok()?.json().ok()?;
        let instances = status["instances"].as_array()?;
        let current = |instance: &&Value| instance["revision"] == status["revision"];
        let up = instances.iter().filter(current).count();
        (instances.len() == members && up == members).then(|| status["revision"].as_u64())?
    })
    .await
}

/// Returns the revisions that an instance has put in force, in order.
fn in_force(cluster: &mut Cluster, name: &str) -> Result<Vec<u64>> {
    let lines = cluster.entry(name)?.process().log().events("in-force");
    let revision = |line: &String| field(line, "revision")?.parse().ok();
    Ok(lines.iter().filter_map(revision).collect())
}

/// Returns the time of day of a log line's timestamp, in milliseconds.
fn time_of_day_ms(stamp: &str) -> Option<f64> {
    let time = stamp.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':').map(str::parse::<f64>);
    let seconds = parts.try_fold(0.0, |sum, part| part.map(|part| sum * 60.0 + part));
    Some(seconds.ok()? * 1e3)
}

/// Isolates a group of nodes from all others; links within the group stay open.
fn isolate(cluster: &Cluster, inside: &[&str]) {
    let inside = |node: &Node| inside.contains(&node.name());
    cluster.partition(inside);
    cluster.set_link_rules(|from, to| (inside(from) && inside(to)).then(Rule::default));
}

/// Restarts an instance, and checks that its first configuration in force is no older than a
/// revision.
async fn check_restart(cluster: &mut Cluster, name: &str, revision: u64) -> Result<()> {
    cluster.entry(name)?.restart().await?;
    let first = wait::until("a configuration in force", async || {
        in_force(cluster, name).ok()?.first().copied()
    })
    .await?;
    assert!(first >= revision, "{first} < {revision}");
    Ok(())
}

/// A region is cut off while an operator withdraws it from a client. Its instance has not
/// received the rule, so the change must stay pending and name that instance. Once the region is
/// back, or its instance has been retired, the change is accepted.
#[actix_rt::test]
async fn a_narrower_rule_waits_for_everyone() -> Result<()> {
    let mut cluster = builder(1)
        .zone("patras", "a", 1)
        .zone("athens", "a", 1)
        .start()
        .await?;
    wait_settled(&cluster, 2).await?;
    cluster.client("studio", "key").await?;
    let wide = rule(&["patras", "athens"]);
    cluster
        .ctl(&["--wait", "10000", "apply", &wide])
        .await?
        .json()?;
    cluster.partition(|node| node.name() == "athens-a-1");
    let narrow = rule(&["patras"]);
    // The reachable instance confirms a second later, see the next test.
    let run = cluster.ctl(&["--wait", "5000", "apply", &narrow]).await?;
    assert_eq!(run.code, PENDING, "{run:?}");
    let answer: Value = serde_json::from_str(&run.output)?;
    assert_eq!(answer["waiting"], json!(["athens-a-1"]));
    let revision = answer["revision"].as_u64().unwrap_or_default();
    assert_eq!(exit_code(&cluster, revision).await, PENDING);
    cluster.heal();
    wait_for_exit_code(&cluster, revision, ACCEPTED).await?;
    cluster.entry("athens-a-1")?.process().kill()?;
    let run = cluster.ctl(&["delete", "residency", "home"]).await?;
    assert_eq!(run.code, PENDING, "{run:?}");
    let answer: Value = serde_json::from_str(&run.output)?;
    cluster.ctl(&["retire", "athens-a-1"]).await?.json()?;
    wait_for_exit_code(
        &cluster,
        answer["revision"].as_u64().unwrap_or_default(),
        ACCEPTED,
    )
    .await
}

/// An operator withdraws a region while a request there has been decided and waits for its
/// connection to a target. The request may still be sent after the rule has come into force, for
/// as long as a connection may take; only then may the operator be told that no further request
/// runs there.
#[actix_rt::test]
async fn a_narrower_rule_waits_for_requests_decided_before() -> Result<()> {
    let mut cluster = builder(1)
        .zone("patras", "a", 1)
        .zone("athens", "a", 1)
        .start()
        .await?;
    wait_settled(&cluster, 2).await?;
    cluster.client("studio", "key").await?;
    check_acceptance_delay(&mut cluster, || Ok(())).await
}

/// As above, but the instance could not store its first configuration: it serves but has
/// confirmed nothing yet. Then its disk is repaired.
#[actix_rt::test]
async fn a_narrower_rule_waits_at_an_instance_that_confirmed_nothing() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let data = folder.path().join("data");
    std::fs::write(&data, "no folder")?;
    // A second instance's confirmation would delay the change as long and hide the fault.
    let mut cluster = builder(1).zone("athens", "a", 1).start().await?;
    wait_settled(&cluster, 1).await?;
    cluster.client("studio", "key").await?;
    cluster.entry("athens-a-1")?.settings()["data"] = json!(data);
    cluster.entry("athens-a-1")?.restart().await?;
    let process = cluster.entry("athens-a-1")?.process();
    process.event("configuration-not-kept").await?;
    check_acceptance_delay(&mut cluster, || Ok(std::fs::remove_file(&data)?)).await
}

/// Widens and narrows a rule, and checks how long after it came into force each change was
/// accepted.
async fn check_acceptance_delay(
    cluster: &mut Cluster,
    repair: impl Fn() -> Result<()>,
) -> Result<()> {
    for (regions, min_delay_ms) in [
        (&["patras", "athens"][..], 0.0),
        (&["patras"], CONNECT_TIMEOUT_MS),
    ] {
        if min_delay_ms > 0.0 {
            repair()?;
        }
        let rule = rule(regions);
        let run = cluster.ctl(&["--wait", "10000", "apply", &rule]).await?;
        let answer = run.json()?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let accepted = now.unwrap_or_default().as_secs_f64() * 1e3 % DAY_MS;
        let revision = answer["revision"].to_string();
        let lines = cluster
            .entry("athens-a-1")?
            .process()
            .log()
            .events("in-force");
        let in_force = lines
            .iter()
            .find(|line| field(line, "revision") == Some(&revision));
        let stamp = in_force.and_then(|line| field(line, "ts"));
        let delay_ms = accepted - stamp.and_then(time_of_day_ms).unwrap_or_default();
        assert!(
            delay_ms.rem_euclid(DAY_MS) >= min_delay_ms,
            "accepted after {delay_ms} ms"
        );
    }
    Ok(())
}

/// An instance misses hundreds of changes, more than control keeps as single entries. On its
/// return it must put all of them in force without going back to an earlier revision on the way.
#[actix_rt::test]
async fn an_instance_that_missed_hundreds_catches_up() -> Result<()> {
    let mut cluster = builder(1)
        .control(json!({"limits": {"tail": 16}}))
        .zone("patras", "a", 2)
        .start()
        .await?;
    wait_settled(&cluster, 2).await?;
    let slow = "patras-a-2";
    cluster.entry(slow)?.process().freeze()?;
    for batch in 0..25 {
        let names: Vec<String> = (0..8).map(|number| format!("m{batch}-{number}")).collect();
        let changes = names.iter().map(|name| change(&cluster, name));
        futures_util::future::try_join_all(changes).await?;
    }
    cluster.entry(slow)?.process().resume()?;
    let revision = wait_settled(&cluster, 2).await?;
    let revisions = in_force(&mut cluster, slow)?;
    assert!(revisions.is_sorted(), "{revisions:?}");
    assert_eq!(revisions.last(), Some(&revision));
    Ok(())
}

/// A control replica is cut off from the others and lags behind. An instance of its zone
/// restarts and reaches only that replica and a neighbour. The replica offers a configuration
/// older than the one that the instance had in force; the instance must take the neighbour's.
#[actix_rt::test]
async fn a_restarted_instance_does_not_roll_back() -> Result<()> {
    let mut cluster = builder(3)
        .zone("patras", "a", 2)
        .zone("athens", "a", 0)
        .zone("nantes", "a", 0)
        .start()
        .await?;
    wait_settled(&cluster, 2).await?;
    cluster.partition(|node| node.name() == "control-1");
    cluster.leader_except(&["control-1"]).await?;
    change(&cluster, "m").await?;
    let newest = wait_settled(&cluster, 2).await?;
    isolate(&cluster, &ISOLATED);
    check_restart(&mut cluster, "patras-a-1", newest).await
}

/// A control replica was cut off from the others just now: it has heard from its leader within
/// the election timeout and does not know that it lags. Meanwhile a change was accepted and is
/// in force at an instance of its zone, which restarts and reaches only that replica and a
/// neighbour. The replica believes that it is up to date; the instance must not roll back to its
/// configuration.
#[actix_rt::test]
async fn a_replica_just_cut_off_rolls_no_instance_back() -> Result<()> {
    let mut cluster = builder(3)
        .control(json!({"timing": {"heartbeat_ms": 200, "election_ms": LONG_ELECTION_MS}}))
        .zone("patras", "a", 2)
        .zone("athens", "a", 0)
        .zone("nantes", "a", 0)
        .start()
        .await?;
    wait_settled(&cluster, 2).await?;
    // SIGTERM transfers leadership at once; a kill would cost an election timeout.
    cluster.control("control-1")?.process().stop().await?;
    cluster.control("control-1")?.restart().await?;
    cluster.leader_except(&["control-1"]).await?;
    change(&cluster, "before").await?;
    wait_settled(&cluster, 2).await?;
    cluster.partition(|node| node.name() == "control-1");
    change(&cluster, "after").await?;
    let newest = wait_settled(&cluster, 2).await?;
    isolate(&cluster, &ISOLATED);
    // Leaves out unreachable replicas: dialling them first would take time in which the election
    // timeout could expire.
    let local = cluster.control("control-1")?.address("links")?;
    cluster.entry("patras-a-1")?.settings()["control"] = json!([local]);
    check_restart(&mut cluster, "patras-a-1", newest).await
}

/// The instances of a zone get their configuration through relays. Those that follow control
/// directly are killed; the remaining one must find another source by itself within seconds.
#[actix_rt::test]
async fn a_zone_survives_the_loss_of_its_relays() -> Result<()> {
    let mut cluster = builder(1).zone("patras", "a", 3).start().await?;
    wait_settled(&cluster, 3).await?;
    let links = cluster.control("control-1")?.address("links")?.to_string();
    let names: Vec<String> = cluster
        .entries()
        .map(|node| node.name().to_owned())
        .collect();
    let direct = |cluster: &mut Cluster, name: &str| -> Result<bool> {
        let found = cluster.entry(name)?.process().log().events("source-found");
        let last = found.last().cloned().unwrap_or_default();
        Ok(field(&last, "address") == Some(links.as_str()))
    };
    let relays = wait::until("two relays", async || {
        let mut relays = names.clone();
        relays.retain(|name| direct(&mut cluster, name).unwrap_or_default());
        (relays.len() == 2).then_some(relays)
    })
    .await?;
    change(&cluster, "before").await?;
    wait_settled(&cluster, 3).await?;
    for relay in &relays {
        cluster.entry(relay)?.process().kill()?;
    }
    let left = names.iter().find(|name| !relays.contains(name));
    let left = left.cloned().unwrap_or_default();
    let revision = change(&cluster, "after").await?;
    wait::until("the change in force at the last instance", async || {
        let status = cluster.ctl(&["instance", &left]).await.ok()?.json().ok()?;
        (status["revision"] == revision).then_some(())
    })
    .await
}

/// All instances of a zone restart while it is cut off from everything else. They must serve
/// with the last configuration that was in force there, and report that they are cut off.
#[actix_rt::test]
async fn a_zone_restarted_while_cut_off_keeps_serving() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let mut cluster = builder(1)
        .zone("athens", "a", 0)
        .zone("patras", "a", 2)
        .start()
        .await?;
    let zone = ["patras-a-1", "patras-a-2"];
    for name in zone {
        let data = folder.path().join(name);
        cluster.entry(name)?.settings()["data"] = json!(data);
        cluster.entry(name)?.restart().await?;
    }
    change(&cluster, "m").await?;
    let revision = wait_settled(&cluster, 2).await?;
    cluster.partition(|node| zone.contains(&node.name()));
    for name in zone {
        cluster.entry(name)?.process().kill()?;
    }
    for name in zone {
        cluster.entry(name)?.restart().await?;
    }
    for name in zone {
        let line = cluster.entry(name)?.process().event("in-force").await?;
        assert_eq!(
            field(&line, "revision"),
            Some(revision.to_string().as_str())
        );
        assert_eq!(field(&line, "connected"), Some("false"));
    }
    Ok(())
}

/// The control leader is killed between two changes, and entry instances receive nothing from
/// each other, so no neighbour can relay the change. Each must find another control replica by
/// itself: otherwise requests in the lost leader's zone would be decided by an old configuration
/// for ever.
#[actix_rt::test]
async fn changes_reach_everyone_past_a_lost_leader() -> Result<()> {
    let mut cluster = builder(3)
        .zone("patras", "a", 2)
        .zone("athens", "a", 2)
        .zone("nantes", "a", 2)
        .start()
        .await?;
    wait_settled(&cluster, 6).await?;
    let entries: Vec<String> = cluster.entries().map(|node| node.name().into()).collect();
    let is_entry = |node: &Node| entries.iter().any(|name| name == node.name());
    let stalled = Rule::default().with(Direction::Both, |lane| lane.stalled = true);
    cluster.set_link_rules(|from, to| (is_entry(from) && is_entry(to)).then_some(stalled));
    let leader = cluster.leader().await?;
    change(&cluster, "m0").await?;
    // By now every instance that followed a neighbour follows control.
    wait_settled(&cluster, 6).await?;
    cluster.control(&leader)?.process().kill()?;
    let revision = change(&cluster, "m1").await?;
    let bound = Duration::from_secs(10);
    wait::within(bound, "in force everywhere", async || {
        let run = cluster.ctl(&["change", &revision.to_string()]).await.ok()?;
        (run.json().ok()?["waiting"] == json!([])).then_some(())
    })
    .await
}

/// Three faults at once: a region is cut off, the control leader is killed, and operators race
/// to narrow the same rule. One change must win; it must stay pending while the cut-off region
/// has not received it; and after healing the winning rule is in force everywhere.
#[actix_rt::test]
async fn racing_to_narrow_while_a_region_is_cut_off_and_the_leader_dies() -> Result<()> {
    let mut cluster = builder(5)
        .zone("patras", "a", 1)
        .zone("athens", "a", 1)
        .zone("thessaloniki", "a", 1)
        .start()
        .await?;
    cluster.client("studio", "key").await?;
    let wide = rule(&["patras", "athens", "thessaloniki"]);
    let answer = cluster.ctl(&["apply", &wide]).await?.json()?;
    let base = answer["revision"].to_string();
    wait_settled(&cluster, 3).await?;
    let leader = cluster.leader().await?;
    // One of the five replicas is in that region, so three remain whichever one leads.
    let cut = "thessaloniki";
    cluster.partition(|node| node.region() == cut);
    cluster.control(&leader)?.process().kill()?;
    let racers = ["patras", "athens", "thessaloniki"].map(|region| {
        let (cluster, base) = (&cluster, base.clone());
        async move {
            let narrow = rule(&[region]);
            let command = format!("racer-{region}");
            let arguments = ["--command", &command, "--expected", &base, "apply", &narrow];
            cluster.ctl(&arguments).await
        }
    });
    let runs = futures_util::future::try_join_all(racers).await?;
    let winners: Vec<_> = runs.iter().filter(|run| run.code == PENDING).collect();
    assert_eq!(winners.len(), 1, "{runs:?}");
    let others = runs.iter().filter(|run| run.code != PENDING);
    others.for_each(|run| assert_eq!(run.code, CONFLICT, "{run:?}"));
    let answer: Value = serde_json::from_str(&winners[0].output)?;
    let revision = answer["revision"].as_u64().unwrap_or_default();
    let missing = json!([format!("{cut}-a-1")]);
    wait::until("only the cut-off instance missing", async || {
        let run = cluster.ctl(&["change", &revision.to_string()]).await.ok()?;
        let status: Value = serde_json::from_str(&run.output).ok()?;
        (run.code == PENDING && status["waiting"] == missing).then_some(())
    })
    .await?;
    cluster.heal();
    wait_for_exit_code(&cluster, revision, ACCEPTED).await
}
