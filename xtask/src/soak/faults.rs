//! Random faults.

use std::time::Duration;

use rand::{Rng, rngs::StdRng, seq::IndexedRandom};
use zinniastall_tests::proxy::{
    Proxy,
    rule::{Rule, Way},
};

use super::{operator::Operator, system::System};

/// A fault and how long it lasts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Fault {
    /// An entry instance, control replica or target is killed and started again.
    Kill(String, Duration),
    /// A process is frozen and thawed.
    Freeze(String, Duration),
    /// A process is told to end in order and started again.
    Stop(String),
    /// An availability zone is cut off silently.
    Partition(String, String, Duration),
    /// Nothing that one process sends arrives; it hears everything.
    OneWay(String, Duration),
    /// All connections to a process break once.
    Reset(String),
    /// All connections to a process are slow.
    Slow(String, Duration),
}

/// Draws the next fault.
pub(super) fn next(random: &mut StdRng, system: &System) -> Fault {
    let lasting = Duration::from_millis(random.random_range(300..4_000));
    let groups = [&system.entries, &system.controls, &system.targets];
    let name = |random: &mut StdRng| {
        let group = groups[random.random_range(0..groups.len())];
        group.choose(random).cloned().unwrap_or_default()
    };
    match random.random_range(0..7) {
        0 => Fault::Kill(name(random), lasting),
        1 => Fault::Freeze(name(random), lasting),
        2 => Fault::Stop(name(random)),
        3 => {
            let entry = system.entries.choose(random).cloned().unwrap_or_default();
            let mut parts = entry.splitn(3, '-').map(str::to_owned);
            let (region, zone) = (parts.next(), parts.next());
            Fault::Partition(
                region.unwrap_or_default(),
                zone.unwrap_or_default(),
                lasting,
            )
        }
        4 => Fault::OneWay(name(random), lasting),
        5 => Fault::Reset(name(random)),
        _ => Fault::Slow(name(random), lasting),
    }
}

/// Brings a fault about, lets the operator work meanwhile, and takes it away.
pub(super) async fn bring(
    system: &mut System,
    fault: &Fault,
    operator: &mut Operator,
) -> eyre::Result<()> {
    match fault {
        Fault::Kill(name, lasting) => {
            system.cluster.node(name)?.process().kill()?;
            during(system, operator, *lasting).await;
            system.cluster.node(name)?.restart().await?;
        }
        Fault::Freeze(name, lasting) => {
            system.cluster.node(name)?.process().freeze()?;
            during(system, operator, *lasting).await;
            system.cluster.node(name)?.process().thaw()?;
        }
        Fault::Stop(name) => {
            system.cluster.node(name)?.process().terminate()?;
            let bound = Duration::from_mins(2);
            let status = system
                .cluster
                .node(name)?
                .process()
                .ends_within(bound)
                .await?;
            if !status.success() {
                println!("soak: {name} did not end cleanly: {status}");
                operator.unclean += 1;
            }
            system.cluster.node(name)?.restart().await?;
        }
        Fault::Partition(region, zone, lasting) => {
            let cluster = &system.cluster;
            cluster.partition(|node| node.region() == region && node.zone() == zone);
            during(system, operator, *lasting).await;
            system.cluster.heal();
        }
        Fault::OneWay(name, lasting) => {
            let stalled = Rule::default().with(Way::Up, |lane| lane.stalled = true);
            let from = |node: &str| (node == name).then_some(stalled);
            system.cluster.links(|caller, _| from(caller.name()));
            during(system, operator, *lasting).await;
            system.cluster.heal();
        }
        Fault::Reset(name) => {
            let node = system.cluster.node(name)?;
            node.proxies().values().for_each(Proxy::reset);
        }
        Fault::Slow(name, lasting) => {
            let node = system.cluster.node(name)?;
            let slow = Duration::from_millis(50);
            let proxies = node.proxies().values();
            proxies.for_each(|proxy| proxy.delay(Way::Both, slow));
            during(system, operator, *lasting).await;
            system.cluster.heal();
        }
    }
    Ok(())
}

async fn during(system: &System, operator: &mut Operator, lasting: Duration) {
    let end = tokio::time::Instant::now() + lasting;
    operator.step(system).await;
    tokio::time::sleep_until(end).await;
}
