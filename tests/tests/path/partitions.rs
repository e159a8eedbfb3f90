//! Tests instances that are cut off from targets which the others of their zone reach.

use std::net::SocketAddr;

use serde_json::json;
use tokio::time::{Duration, Instant, sleep, sleep_until};
use zinniastall_tests::{
    Result,
    cluster::Cluster,
    proxy::rule::{Direction, Rule},
    wait,
};

use super::support::{
    KEY, MODEL, System, ask, ask_once, chat, configure, short_linger, ticket, zone,
};

const ENTRIES: [&str; 2] = ["patras-a-1", "patras-a-2"];
/// Time after a cut from which callers of all instances are served alike.
const SETTLING: Duration = Duration::from_secs(1);
/// Callers of each instance in a cut that affects all of them.
const CALLERS: usize = 4;
/// Length of the spans in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Sets the rule for connections from these instances to all targets.
fn cut_off(cluster: &System, entries: &[&str], rule: Rule) {
    for target in cluster.targets() {
        for proxy in target.proxies().values() {
            for entry in entries {
                proxy.rule_for(entry, rule);
            }
        }
    }
}

/// Sets the rule for connections from the first instance to all targets.
fn cut(cluster: &System, rule: Rule) {
    cut_off(cluster, &ENTRIES[..1], rule);
}

/// Sends requests to both instances until a time, which may be repeated and must not be in turn;
/// returns the statuses of each instance.
async fn ask_until(cluster: &mut System, end: Instant) -> Result<Vec<Vec<u16>>> {
    ask_all_until(&addresses(cluster)?, end).await
}

/// Returns the addresses of both instances for callers.
fn addresses(cluster: &mut System) -> Result<Vec<SocketAddr>> {
    let address = |entry| cluster.entry(entry)?.address("callers");
    ENTRIES.into_iter().map(address).collect()
}

async fn ask_all_until(addresses: &[SocketAddr], end: Instant) -> Result<Vec<Vec<u16>>> {
    let callers = addresses.iter().copied().map(|address| async move {
        let mut statuses = Vec::new();
        while Instant::now() < end {
            let body = chat(&format!("room {}", statuses.len()), 1, false);
            let request = if statuses.len() % 2 == 0 {
                ask(address, &body)
            } else {
                ask_once(address, &ticket(address).await?, &body)
            };
            let request = request.header("x-zinniastall-deadline-ms", "2000");
            statuses.push(request.send().await?.status());
            sleep(Duration::from_millis(20)).await;
        }
        Ok::<_, zinniastall_tests::Error>(statuses)
    });
    futures_util::future::try_join_all(callers).await
}

fn share(statuses: &[u16]) -> f64 {
    let count = |statuses: usize| f64::from(u32::try_from(statuses).expect("fits"));
    let served = statuses.iter().filter(|status| **status == 200).count();
    count(served) / count(statuses.len().max(1))
}

async fn assert_served_alike(rule: Rule, least: f64) -> Result<()> {
    let mut cluster = zone(&[json!({}), json!({})]).await?;
    ask_until(&mut cluster, Instant::now() + SETTLING).await?;
    cut(&cluster, rule);
    ask_until(&mut cluster, Instant::now() + SETTLING).await?;
    for phase in ["during the cut", "after it"] {
        let statuses = ask_until(&mut cluster, Instant::now() + SPAN).await?;
        let shares: Vec<f64> = statuses.iter().map(|statuses| share(statuses)).collect();
        assert!(shares[1] >= 0.98, "{phase}: {shares:?}");
        assert!(
            shares[0] >= least * shares[1],
            "{phase}: {shares:?} {statuses:?}"
        );
        cut(&cluster, Rule::default());
        ask_until(&mut cluster, Instant::now() + SETTLING).await?;
    }
    cluster.stop().await
}

/// Guards against an instance that rejects or loses its callers' requests because it reaches no
/// target, although another instance of the zone does.
#[actix_rt::test]
async fn an_entry_whose_connections_to_targets_are_reset_serves_its_callers() -> Result<()> {
    let rule = Rule {
        refused: true,
        ..Rule::default()
    };
    assert_served_alike(rule, 0.98).await
}

/// Guards against the same where connections hang instead.
#[actix_rt::test]
async fn an_entry_whose_connections_to_targets_hang_serves_its_callers() -> Result<()> {
    let rule = Rule::default().with(Direction::Both, |effect| effect.stalled = true);
    assert_served_alike(rule, 0.98).await
}

/// Starts two zones with two targets each; returns the addresses of the first one's instances, one for
/// each caller.
async fn start_two_zones() -> Result<(System, Vec<SocketAddr>)> {
    let builder = Cluster::builder()
        .zone("patras", "a", 2)
        .zone("patras", "b", 2);
    let mut cluster = System::start(builder.entry(short_linger())).await?;
    for (engine, zone) in [("1", "a"), ("2", "a"), ("3", "b"), ("4", "b")] {
        let name = format!("engine-{engine}");
        cluster
            .engine(&name, ("patras", zone), MODEL, json!({}))
            .await?;
    }
    configure(&mut cluster).await?;
    let addresses = addresses(&mut cluster)?;
    for &address in &addresses {
        cluster
            .wait_serving(address, KEY, &chat("ready", 1, false))
            .await?;
    }
    let callers = addresses.repeat(CALLERS);
    ask_all_until(&callers, Instant::now() + SETTLING).await?;
    Ok((cluster, callers))
}

/// Returns the rule under which targets take connections and say nothing.
fn stalled() -> Rule {
    Rule::default().with(Direction::Both, |effect| effect.stalled = true)
}

/// Guards against a zone whose callers wait in vain, for as long as its targets take connections and say
/// nothing, although another zone could serve them.
#[actix_rt::test]
async fn a_zone_whose_targets_are_all_silent_is_served_by_another() -> Result<()> {
    let (mut cluster, callers) = start_two_zones().await?;
    for (rule, settling) in [(stalled(), SETTLING), (Rule::default(), 2 * SETTLING)] {
        cut_off(&cluster, &ENTRIES, rule);
        let settled = Instant::now() + settling;
        let (_, statuses) = futures_util::try_join!(ask_all_until(&callers, settled), async {
            sleep_until(settled).await;
            ask_all_until(&callers, settled + SPAN).await
        })?;
        let served = share(&statuses.concat());
        assert!(served >= 0.98, "{rule:?}: {served} {statuses:?}");
    }
    for entry in ENTRIES {
        let log = cluster.entry(entry)?.process().log();
        let events = ["cut-off", "cut-off-ended"].map(|event| log.events(event).len());
        assert_eq!(events, [1, 1], "{entry}");
    }
    cluster.stop().await
}

/// Guards against taking targets for dark that only pause.
#[actix_rt::test]
async fn a_zone_whose_targets_all_pause_for_a_second_loses_no_request() -> Result<()> {
    let (mut cluster, callers) = start_two_zones().await?;
    let end = Instant::now() + SPAN;
    let (statuses, ()) = futures_util::try_join!(ask_all_until(&callers, end), async {
        cut_off(&cluster, &ENTRIES, stalled());
        sleep(Duration::from_secs(1)).await;
        cut_off(&cluster, &ENTRIES, Rule::default());
        Ok(())
    })?;
    let statuses = statuses.concat();
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    cluster.stop().await
}

/// Guards against an instance that is cut off without operators seeing it.
#[actix_rt::test]
async fn operators_see_which_targets_an_instance_does_not_reach() -> Result<()> {
    let mut cluster = zone(&[json!({}), json!({})]).await?;
    let rule = Rule {
        refused: true,
        ..Rule::default()
    };
    cut(&cluster, rule);
    ask_until(&mut cluster, Instant::now() + SETTLING).await?;
    wait::until("operators see the instance", async || {
        let listed = cluster.ctl(&["reach"]).await.ok()?.json().ok()?;
        let listed = &listed["instances"][0];
        let unreached = listed["unreached"].as_array()?;
        let is_vouched = unreached.iter().all(|target| target["vouchers"] == 1);
        (listed["instance"] == ENTRIES[0] && unreached.len() == 2 && is_vouched).then_some(())
    })
    .await?;
    cut(&cluster, Rule::default());
    wait::until("the instance reaches them again", async || {
        let listed = cluster.ctl(&["reach"]).await.ok()?.json().ok()?;
        listed["instances"].as_array()?.is_empty().then_some(())
    })
    .await?;
    cluster.stop().await
}
