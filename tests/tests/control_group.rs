//! Tests the control group with real processes: commands, leadership, partitions and lost disks.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use zinniastall_tests::{
    Result,
    cluster::{Cluster, ELECTION_MS, group, model},
    ctl::{self, Run},
    node::Node,
    proxy::rule::{Direction, Rule},
    wait,
};

/// Exit code of a call that succeeded.
const ACCEPTED: Option<i32> = Some(0);
/// Exit code of a call that got no answer.
const FAILED: Option<i32> = Some(1);
/// Exit code of a change whose expected revision was out of date.
const CONFLICT: Option<i32> = Some(3);
/// Exit code of a command id that was used with another body.
const REUSED: Option<i32> = Some(5);

/// Applies a model under the given command id and expected revision.
async fn apply(cluster: &Cluster, command: &str, expected: u64, object: &str) -> Result<Run> {
    let expected = expected.to_string();
    let arguments = [
        "--command",
        command,
        "--expected",
        &expected,
        "apply",
        object,
    ];
    cluster.ctl(&arguments).await
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
    run.answer()["revision"].as_u64().unwrap_or_default()
}

/// Applies a version of a model, whatever its current revision.
async fn change(cluster: &Cluster, name: &str, version: &str) -> Result<Value> {
    cluster
        .apply(&serde_json::from_str(&model(name, version))?)
        .await
}

fn term(status: &Value) -> u64 {
    status["term"].as_u64().unwrap_or_default()
}

/// The leader is killed after it has accepted a change, and the operator sends the same command
/// again. The change must exist once, with its first revision, and the same command id with
/// another body must be refused without changing anything.
#[actix_rt::test]
async fn a_resend_after_a_killed_leader_runs_once() -> Result<()> {
    let mut cluster = group(3).start().await?;
    let first = apply(&cluster, "c1", 0, &model("m", "1")).await?;
    assert_eq!(first.code, ACCEPTED, "{first:?}");
    let leader = cluster.leader().await?;
    cluster.control(&leader)?.process().kill()?;
    let again = apply(&cluster, "c1", 0, &model("m", "1")).await?;
    assert_eq!(again.code, ACCEPTED, "{again:?}");
    assert_eq!(revision(&again), revision(&first));
    let other = apply(&cluster, "c1", 0, &model("m", "2")).await?;
    assert_eq!(other.code, REUSED, "{other:?}");
    assert_eq!(version(&cluster, "m").await.as_deref(), Some("1"));
    Ok(())
}

/// The leader is frozen for longer than its lease while a read waits in its socket. The others
/// elect a new leader and accept a change. When the frozen leader resumes it still believes that
/// it leads, but it must not answer with the old version.
#[actix_rt::test]
async fn a_thawed_leader_gives_no_stale_answer() -> Result<()> {
    let mut cluster = group(3).start().await?;
    change(&cluster, "m", "old").await?;
    let leader = cluster.leader().await?;
    let old = cluster.control(&leader)?.address("operators")?;
    cluster.control(&leader)?.process().freeze()?;
    let others: Vec<_> = cluster
        .operators()
        .into_iter()
        .filter(|own| *own != old)
        .collect();
    ctl::run(&others, &["apply", &model("m", "new")])
        .await?
        .json()?;
    let opened = cluster.control(&leader)?.proxy("operators")?.opened();
    let arguments = ["--timeout", "2000", "get", "model", "m"];
    let pending = actix_rt::spawn(async move { ctl::run(&[old], &arguments).await });
    wait::until("the request on its way", async || {
        let proxy = cluster.control(&leader).ok()?.proxy("operators").ok()?;
        (proxy.opened() > opened).then_some(())
    })
    .await?;
    // The request follows the connection; if it arrived only after the thaw, the test would
    // prove less.
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    cluster.control(&leader)?.process().resume()?;
    let run = pending.await.map_err(std::io::Error::other)??;
    assert!(!run.output.contains("old"), "{run:?}");
    Ok(())
}

/// Isolates the leader as `cut` does, lets the others go on, and heals. The others must keep the
/// leader that they elected meanwhile, and the former leader must not answer with the old state.
/// If it still receives messages (`receives`), it can redirect to the new leader; otherwise the
/// call must get no answer.
async fn rejoins_without_disruption(receives: bool, cut: impl Fn(&Cluster, &str)) -> Result<()> {
    let mut cluster = group(3).start().await?;
    change(&cluster, "m", "old").await?;
    let leader = cluster.leader().await?;
    let old = cluster.control(&leader)?.address("operators")?;
    cut(&cluster, &leader);
    let successor = cluster.leader_except(&[&leader]).await?;
    change(&cluster, "m", "new").await?;
    let run = ctl::run(&[old], &["--timeout", "1000", "get", "model", "m"]).await?;
    assert!(!run.output.contains("old"), "{run:?}");
    assert!(receives || run.code == FAILED, "{run:?}");
    // Long enough for an isolated replica without pre-vote to raise its term several times.
    actix_rt::time::sleep(Duration::from_millis(ELECTION_MS * 6)).await;
    let before = term(&cluster.status_of(&successor).await?);
    cluster.heal();
    let latest = cluster.status_of(&successor).await?["revision"].clone();
    wait::until("the returned replica up to date", async || {
        let status = cluster.status_of(&leader).await.ok()?;
        (status["revision"] == latest).then_some(())
    })
    .await?;
    assert_eq!(term(&cluster.status_of(&successor).await?), before);
    assert_eq!(cluster.leader().await?, successor);
    assert_eq!(version(&cluster, "m").await.as_deref(), Some("new"));
    Ok(())
}

/// A silent partition isolates the leader for a long time, and then heals. The others must go on
/// under a new leader, the isolated one must stop answering, and its return must not depose the
/// new leader: otherwise commands would fail each time a link heals.
#[actix_rt::test]
async fn an_isolated_leader_returns_without_disturbance() -> Result<()> {
    rejoins_without_disruption(false, |cluster, leader| {
        cluster.partition(|node| node.name() == leader);
    })
    .await
}

/// Silently stalls one direction between a replica and all others: what it sends (`away`) or
/// what it receives.
fn one_way(cluster: &Cluster, name: &str, away: bool) {
    let lane = |way| Rule::default().with(way, |lane| lane.stalled = true);
    let (own, theirs) = if away {
        (Direction::Up, Direction::Down)
    } else {
        (Direction::Down, Direction::Up)
    };
    cluster.set_link_rules(|from, to| match (from.name() == name, to.name() == name) {
        (true, false) => Some(lane(own)),
        (false, true) => Some(lane(theirs)),
        _ => None,
    });
}

/// The leader's messages still arrive, but nothing reaches it. Its heartbeats would keep the
/// others from electing a new leader, and no command could commit. After a long time the link
/// heals, and the former leader's return must not disrupt the others.
#[actix_rt::test]
async fn a_leader_that_receives_nothing_is_replaced() -> Result<()> {
    rejoins_without_disruption(false, |cluster, leader| one_way(cluster, leader, false)).await
}

/// The leader receives everything, but nothing that it sends arrives. The others must elect a
/// new leader soon, or every command would wait for the link. After a long time the link heals,
/// and the former leader's return must not disrupt the others.
#[actix_rt::test]
async fn a_leader_that_nobody_hears_is_replaced() -> Result<()> {
    rejoins_without_disruption(true, |cluster, leader| one_way(cluster, leader, true)).await
}

/// The leader's disk is lost, and it comes back empty at the same address. It must not vote
/// without its former state, nor bootstrap a second cluster; it is admitted, catches up by
/// snapshot and is promoted. As soon as the status says that the next loss is safe, another
/// instance is lost: everything accepted must survive, and the group must go on.
#[actix_rt::test]
async fn a_second_loss_right_after_a_repair_loses_nothing() -> Result<()> {
    let snapshots = json!({"limits": {"snapshot_entries": 16}});
    let mut cluster = group(3).control(snapshots).start().await?;
    for number in 0..40 {
        change(&cluster, &format!("m{number}"), "1").await?;
    }
    cluster.wait_next_loss_safe(true).await?;
    let lost = cluster.leader().await?;
    let lost_id = cluster.replica_id(&lost).await?;
    cluster.wipe(&lost).await?;
    let address = cluster.control(&lost)?.address("operators")?;
    cluster.leader_except(&[&lost]).await?;
    let refused = ctl::run(&[address], &["bootstrap"]).await?;
    assert_eq!(refused.code, FAILED, "{refused:?}");
    cluster.wait_next_loss_safe(false).await?;
    let new_id = cluster.replace(&lost, &lost_id).await?;
    assert_ne!(new_id, lost_id);
    let next = cluster.leader().await?;
    cluster.control(&next)?.process().kill()?;
    cluster.leader_except(&[&next]).await?;
    let models = cluster.ctl(&["list", "model"]).await?.json()?;
    assert_eq!(models["records"].as_array().map(Vec::len), Some(40));
    change(&cluster, "m40", "1").await?;
    Ok(())
}

/// A control instance stops answering, and right afterwards an operator asks whether the next
/// one may be taken down. A wrong yes would stop the group: the answer must rest on what the
/// others report after the request, not on earlier reports.
#[actix_rt::test]
async fn the_next_loss_is_not_safe_right_after_one() -> Result<()> {
    let mut cluster = group(3).start().await?;
    let leader = cluster.leader().await?;
    let names: Vec<String> = cluster.controls().map(|node| node.name().into()).collect();
    for name in names.iter().filter(|name| **name != leader) {
        cluster.wait_next_loss_safe(true).await?;
        cluster.control(name)?.process().freeze()?;
        let status = cluster.ctl(&["status"]).await?.json()?;
        cluster.control(name)?.process().resume()?;
        assert_eq!(status["next_loss_safe"], false, "{status}");
    }
    cluster.wait_next_loss_safe(true).await
}

/// Two of five control instances are cut off, the other three accept a change, and the leader
/// loses its disk. Then the partition moves: the empty replica reaches only the two that never
/// received the change. If it still counted as its former self, these three would be a majority
/// and the change would be lost. Later it is replaced while one instance is still cut off; that
/// one returns with an old membership and must adopt the new one.
#[actix_rt::test]
async fn a_wiped_disk_is_replaced_during_a_partition() -> Result<()> {
    let mut cluster = group(5).start().await?;
    change(&cluster, "m", "1").await?;
    let lost = cluster.leader().await?;
    let names: Vec<String> = cluster.controls().map(|node| node.name().into()).collect();
    let others: Vec<&String> = names.iter().filter(|name| **name != lost).collect();
    let (outdated, updated) = others.split_at(2);
    cluster.partition(|node| outdated.iter().any(|name| *name == node.name()));
    // Messages queued on a link that is still open would arrive once the partition moves.
    wait::until("both links closed", async || {
        let log = cluster.control(&lost).ok()?.process().log();
        (log.events("replica-link-lost").len() >= 2).then_some(())
    })
    .await?;
    change(&cluster, "m", "2").await?;
    let lost_id = cluster.replica_id(&lost).await?;
    cluster.partition(|node| updated.iter().any(|name| *name == node.name()));
    cluster.wipe(&lost).await?;
    let is_updated = |node: &Node| updated.iter().any(|name| *name == node.name());
    cluster.set_link_rules(|from, to| (!is_updated(from) && !is_updated(to)).then(Rule::default));
    // Long enough for three replicas that count each other as voters to elect a leader several
    // times.
    actix_rt::time::sleep(Duration::from_millis(ELECTION_MS * 6)).await;
    let cut = outdated[1];
    cluster.heal();
    cluster.partition(|node| node.name() == cut);
    cluster.leader_except(&[&lost]).await?;
    assert_eq!(version(&cluster, "m").await.as_deref(), Some("2"));
    cluster.add_replica(&lost).await?;
    cluster
        .ctl(&["replica", "remove", &lost_id])
        .await?
        .json()?;
    change(&cluster, "m", "3").await?;
    cluster.heal();
    let leader = cluster.leader().await?;
    let latest = cluster.status_of(&leader).await?["commit"].clone();
    wait::until("the returned replica up to date", async || {
        let status = cluster.status_of(cut).await.ok()?;
        let replicas = status["replicas"].as_array()?.len();
        (status["commit"] == latest && replicas == 5).then_some(())
    })
    .await?;
    cluster.wait_next_loss_safe(true).await?;
    assert_eq!(version(&cluster, "m").await.as_deref(), Some("3"));
    Ok(())
}

/// Several operators have read the same revision and send different changes at once. Exactly one
/// may succeed, and the others must get the revision that it created; otherwise one change would
/// silently overwrite another.
#[actix_rt::test]
async fn one_of_the_racing_operators_wins() -> Result<()> {
    let cluster = group(3).start().await?;
    let first = apply(&cluster, "first", 0, &model("m", "0")).await?;
    let expected = revision(&first);
    let racers = (1..=8).map(|number| {
        let cluster = &cluster;
        async move {
            let object = model("m", &number.to_string());
            apply(cluster, &format!("racer-{number}"), expected, &object).await
        }
    });
    let runs: Vec<Run> = futures_util::future::try_join_all(racers).await?;
    let winners: Vec<&Run> = runs.iter().filter(|run| run.code == ACCEPTED).collect();
    assert_eq!(winners.len(), 1, "{runs:?}");
    let won = revision(winners[0]);
    for run in runs.iter().filter(|run| run.code != ACCEPTED) {
        assert_eq!(run.code, CONFLICT, "{run:?}");
        assert_eq!(run.answer()["current"], won);
    }
    Ok(())
}

/// Every control process is killed after hundreds of changes and several snapshots, and
/// restarted. A command whose answer was lost long before is sent again: it must get its
/// original answer, and nothing may be applied a second time.
#[actix_rt::test]
async fn a_restart_of_everything_keeps_changes_and_answers() -> Result<()> {
    let snapshots = json!({"limits": {"snapshot_entries": 64}});
    let mut cluster = group(3).control(snapshots).start().await?;
    let early = apply(&cluster, "early", 0, &model("m0", "1")).await?;
    for batch in 0..30 {
        let one = |number: usize| {
            let cluster = &cluster;
            let name = format!("m{}", 1 + batch * 8 + number);
            async move { apply(cluster, &name, 0, &model(&name, "1")).await }
        };
        for run in futures_util::future::try_join_all((0..8).map(one)).await? {
            assert_eq!(run.code, ACCEPTED, "{run:?}");
        }
    }
    for name in ["control-1", "control-2", "control-3"] {
        cluster.control(name)?.process().kill()?;
    }
    for name in ["control-1", "control-2", "control-3"] {
        cluster.control(name)?.restart().await?;
    }
    let again = apply(&cluster, "early", 0, &model("m0", "1")).await?;
    assert_eq!(again.code, ACCEPTED, "{again:?}");
    assert_eq!(revision(&again), revision(&early));
    let models = cluster.ctl(&["list", "model"]).await?.json()?;
    assert_eq!(models["records"].as_array().map(Vec::len), Some(241));
    assert_eq!(models["revision"], 241);
    Ok(())
}

/// The leader is told to stop, as for an upgrade. It must transfer leadership first: otherwise
/// commands would wait for a whole election timeout at every upgrade.
#[actix_rt::test]
async fn a_stopped_leader_passes_leadership_on() -> Result<()> {
    let election = Duration::from_secs(5);
    let timing = json!({"timing": {"heartbeat_ms": 100, "election_ms": 5_000}});
    let mut cluster = group(3).control(timing).start().await?;
    let leader = cluster.leader().await?;
    let stopped = cluster.control(&leader)?.process().stop().await?;
    let start = Instant::now();
    assert!(stopped.success(), "{stopped:?}");
    change(&cluster, "m", "1").await?;
    assert!(start.elapsed() < election, "{:?}", start.elapsed());
    Ok(())
}

/// Two of five replicas are lost together. The remaining three are a majority and must go on
/// with everything that was accepted.
#[actix_rt::test]
async fn five_replicas_survive_the_loss_of_two() -> Result<()> {
    let mut cluster = group(5).start().await?;
    change(&cluster, "m", "1").await?;
    let leader = cluster.leader().await?;
    let other = if leader == "control-5" {
        "control-4"
    } else {
        "control-5"
    };
    cluster.control(&leader)?.process().kill()?;
    cluster.control(other)?.process().kill()?;
    change(&cluster, "m", "2").await?;
    assert_eq!(version(&cluster, "m").await.as_deref(), Some("2"));
    Ok(())
}
