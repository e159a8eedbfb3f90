//! Tests instances that are cut off from targets which the others of their zone reach.

use serde_json::json;
use tokio::time::{Duration, Instant, sleep};
use zinniastall_tests::{
    Result,
    proxy::rule::{Direction, Rule},
    wait,
};

use super::support::{System, ask, ask_once, chat, ticket, zone};

const ENTRIES: [&str; 2] = ["patras-a-1", "patras-a-2"];
/// Time after a cut from which callers of all instances are served alike.
const SETTLING: Duration = Duration::from_secs(1);
/// Length of the spans in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Sets the rule for connections from the first instance to all targets.
fn cut(cluster: &System, rule: Rule) {
    for target in cluster.targets() {
        let proxies = target.proxies().values();
        proxies.for_each(|proxy| proxy.rule_for(ENTRIES[0], rule));
    }
}

/// Sends requests to both instances until a time, which may be repeated and must not be in turn;
/// returns the statuses of each instance.
async fn ask_until(cluster: &mut System, end: Instant) -> Result<Vec<Vec<u16>>> {
    let mut addresses = Vec::new();
    for entry in ENTRIES {
        addresses.push(cluster.entry(entry)?.address("callers")?);
    }
    let callers = addresses.into_iter().map(|address| async move {
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
