//! Random fault injection.

use std::time::Duration;

use rand::{Rng, rngs::StdRng, seq::IndexedRandom};
use serde_json::json;
use zinniastall_tests::proxy::{
    Proxy,
    rule::{Direction, Rule},
};

use super::{operator::Operator, system::System};

/// Software versions of targets.
const SOFTWARE: [&str; 3] = ["1.0", "1.1", "1.2"];

/// A fault, with its subject and duration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Fault {
    /// Kills a process and restarts it.
    Kill(String, Duration),
    /// Suspends a process and resumes it.
    Freeze(String, Duration),
    /// Terminates a process gracefully and restarts it.
    Stop(String),
    /// Partitions an availability zone (region, zone) from all others, without closing connections.
    Partition(String, String, Duration),
    /// Stalls what a process sends on connections that it dialled; it still receives everything.
    OneWay(String, Duration),
    /// Resets all open connections to a process.
    Reset(String),
    /// Delays all connections to a process.
    Slow(String, Duration),
    /// Has a target break some answers off: in order, inside an event, or by cutting the connection.
    Tear(String, &'static str, &'static str),
    /// Kills a target and starts it again with other software, under its name and address.
    Upgrade(String, &'static str),
    /// Cuts entry instances off from all targets, by resets or by silence.
    Cut(Vec<String>, bool, Duration),
}

/// Draws a random fault.
pub(super) fn draw(random: &mut StdRng, system: &System) -> Fault {
    let duration = Duration::from_millis(random.random_range(300..4_000));
    let groups = [&system.entries, &system.controls, &system.targets];
    let name = |random: &mut StdRng| {
        let group = groups[random.random_range(0..groups.len())];
        group.choose(random).cloned().unwrap_or_default()
    };
    match random.random_range(0..13) {
        0 => Fault::Kill(name(random), duration),
        1 => Fault::Freeze(name(random), duration),
        2 => Fault::Stop(name(random)),
        3 => {
            let entry = system.entries.choose(random).cloned().unwrap_or_default();
            let mut parts = entry.splitn(3, '-').map(str::to_owned);
            let (region, zone) = (parts.next(), parts.next());
            Fault::Partition(
                region.unwrap_or_default(),
                zone.unwrap_or_default(),
                duration,
            )
        }
        4 => Fault::OneWay(name(random), duration),
        5 => Fault::Reset(name(random)),
        6 | 7 => {
            let target = system.targets.choose(random).cloned().unwrap_or_default();
            let actions = ["end", "tear", "cut"];
            let point = if random.random() { "events" } else { "end" };
            Fault::Tear(
                target,
                point,
                actions[random.random_range(0..actions.len())],
            )
        }
        11 | 12 => {
            let target = system.targets.choose(random).cloned().unwrap_or_default();
            let software = SOFTWARE[random.random_range(0..SOFTWARE.len())];
            Fault::Upgrade(target, software)
        }
        8 | 9 => {
            let most = system.entries.len();
            let amount = random.random_range(1..=most);
            let cut = system.entries.choose_multiple(random, amount);
            Fault::Cut(cut.cloned().collect(), random.random(), duration)
        }
        _ => Fault::Slow(name(random), duration),
    }
}

/// Injects a fault, lets the operator act during it, and removes it.
pub(super) async fn inject(
    system: &mut System,
    fault: &Fault,
    operator: &mut Operator,
) -> eyre::Result<()> {
    match fault {
        Fault::Kill(name, duration) => {
            system.cluster.node(name)?.process().kill()?;
            operate_for(system, operator, *duration).await;
            system.cluster.node(name)?.restart().await?;
        }
        Fault::Freeze(name, duration) => {
            system.cluster.node(name)?.process().freeze()?;
            operate_for(system, operator, *duration).await;
            system.cluster.node(name)?.process().resume()?;
        }
        Fault::Stop(name) => {
            system.cluster.node(name)?.process().terminate()?;
            let timeout = Duration::from_mins(2);
            let status = system
                .cluster
                .node(name)?
                .process()
                .wait_exit_within(timeout)
                .await?;
            if !status.success() {
                println!("soak: {name} did not end cleanly: {status}");
                operator.unclean += 1;
            }
            system.cluster.node(name)?.restart().await?;
        }
        Fault::Partition(region, zone, duration) => {
            let cluster = &system.cluster;
            cluster.partition(|node| node.region() == region && node.zone() == zone);
            operate_for(system, operator, *duration).await;
            system.cluster.heal();
        }
        Fault::OneWay(name, duration) => {
            let stalled = Rule::default().with(Direction::Up, |effect| effect.stalled = true);
            let from = |node: &str| (node == name).then_some(stalled);
            system
                .cluster
                .set_link_rules(|caller, _| from(caller.name()));
            operate_for(system, operator, *duration).await;
            system.cluster.heal();
        }
        Fault::Reset(name) => {
            let node = system.cluster.node(name)?;
            node.proxies().values().for_each(Proxy::reset);
        }
        Fault::Cut(entries, is_reset, duration) => {
            let rule = if *is_reset {
                Rule {
                    refused: true,
                    ..Rule::default()
                }
            } else {
                Rule::default().with(Direction::Both, |effect| effect.stalled = true)
            };
            for target in system.cluster.targets() {
                for proxy in target.proxies().values() {
                    let cut = entries.iter();
                    cut.for_each(|entry| proxy.rule_for(entry, rule));
                }
            }
            operate_for(system, operator, *duration).await;
            system.cluster.heal();
        }
        Fault::Tear(target, point, action) => {
            let events = if *point == "events" { 5 } else { 0 };
            let failure = json!({"point": point, "action": action, "events": events, "times": 4});
            system.cluster.fail(target, &failure).await?;
        }
        Fault::Upgrade(target, software) => {
            let node = system.cluster.target(target)?;
            node.settings()["announce"]["software"] = (*software).into();
            node.restart().await?;
        }
        Fault::Slow(name, duration) => {
            let node = system.cluster.node(name)?;
            let delay = Duration::from_millis(50);
            let proxies = node.proxies().values();
            proxies.for_each(|proxy| proxy.delay(Direction::Both, delay));
            operate_for(system, operator, *duration).await;
            system.cluster.heal();
        }
    }
    Ok(())
}

async fn operate_for(system: &System, operator: &mut Operator, duration: Duration) {
    let end = tokio::time::Instant::now() + duration;
    operator.step(system).await;
    tokio::time::sleep_until(end).await;
}
