//! Tests targets that name the rate which they take from all instances together.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::time::{Instant, sleep};
use zinniastall_tests::{Result, wait};

use super::support::{System, ask, chat, zone};

/// Length of the spans in which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Requests in a span beyond what the rate gives.
const SPAN_SLACK: usize = 2;
/// Time by which all instances know of a rate that was named.
const DELAY: Duration = Duration::from_millis(500);
const ENTRIES: [&str; 2] = ["patras-a-1", "patras-a-2"];

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.expect("after 1970").as_millis()).expect("fits")
}

/// Returns when the requests started that an engine has run, in milliseconds since 1970.
async fn starts(cluster: &mut System, engine: &str) -> Result<Vec<u64>> {
    let runs = cluster.ledger(engine).await?;
    let starts = runs.iter().filter_map(|run| run["started"].as_u64());
    Ok(starts.collect())
}

/// Returns the largest number of starts in any span since a time.
fn most_in_span(starts: &[u64], since: u64) -> usize {
    let span = u64::try_from(SPAN.as_millis()).expect("fits");
    let after = starts.iter().filter(|at| **at >= since);
    let count = |from: &u64| {
        let within = |at: &&u64| (*from..*from + span).contains(*at);
        starts.iter().filter(within).count()
    };
    after.map(count).max().unwrap_or(0)
}

/// Sends requests to both instances until a time; returns the statuses.
async fn ask_until(cluster: &mut System, end: Instant) -> Result<Vec<u16>> {
    let mut addresses = Vec::new();
    for entry in ENTRIES {
        addresses.push(cluster.entry(entry)?.address("callers")?);
    }
    let callers = addresses.into_iter().map(|address| async move {
        let mut statuses = Vec::new();
        while Instant::now() < end {
            let body = chat(&format!("room {}", statuses.len()), 1, false);
            statuses.push(ask(address, &body).send().await?.status());
            sleep(Duration::from_millis(15)).await;
        }
        Ok::<_, zinniastall_tests::Error>(statuses)
    });
    let statuses = futures_util::future::try_join_all(callers).await?;
    Ok(statuses.concat())
}

/// Guards against entry instances that each keep to a rate that a target named for all of them
/// together, or that don't read it.
#[actix_rt::test]
async fn a_target_that_names_a_rate_gets_no_more_from_all_entries() -> Result<()> {
    let engine = json!({"engine": {"token_us": 2_000}});
    let mut cluster = zone(&[engine.clone(), engine]).await?;
    cluster.name_rate("engine-1", Some("1")).await?;
    let named = unix_ms();
    let statuses = ask_until(&mut cluster, Instant::now() + 2 * SPAN).await?;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let since = named + u64::try_from(DELAY.as_millis()).expect("fits");
    let most = most_in_span(&starts(&mut cluster, "engine-1").await?, since);
    let permitted = 4 + SPAN_SLACK;
    assert!(
        most <= permitted,
        "{most} in {SPAN:?}, permitted {permitted}"
    );
    cluster.stop().await
}

/// Guards against a limited target that operators don't see.
#[actix_rt::test]
async fn operators_see_a_target_that_names_a_rate() -> Result<()> {
    let mut cluster = zone(&[json!({})]).await?;
    cluster.name_rate("engine-1", Some("2.5")).await?;
    ask_until(&mut cluster, Instant::now() + DELAY).await?;
    wait::until("operators see the rate", async || {
        let listed = cluster.ctl(&["limits"]).await.ok()?.json().ok()?;
        let listed = &listed["targets"][0];
        (listed["target"] == "engine-1" && listed["rate"] == 2.5).then_some(())
    })
    .await
}

/// Guards against a zone whose engines all name a rate: it is used up, what can't be served in time is
/// rejected, and none gets more.
#[actix_rt::test]
async fn a_zone_of_limited_engines_is_used_at_its_rates() -> Result<()> {
    let mut cluster = zone(&[json!({}), json!({})]).await?;
    for engine in ["engine-1", "engine-2"] {
        cluster.name_rate(engine, Some("5")).await?;
    }
    ask_until(&mut cluster, Instant::now() + 2 * DELAY).await?;
    let since = unix_ms();
    let statuses = ask_until(&mut cluster, Instant::now() + 2 * SPAN).await?;
    let is_proper = |status: &u16| [200, 429, 503].contains(status);
    assert!(statuses.iter().all(is_proper), "{statuses:?}");
    let mut used = 0;
    for engine in ["engine-1", "engine-2"] {
        let starts = starts(&mut cluster, engine).await?;
        let most = most_in_span(&starts, since);
        let permitted = 5 * 4 + SPAN_SLACK;
        assert!(
            most <= permitted,
            "{most} in {SPAN:?}, permitted {permitted}"
        );
        used += starts.iter().filter(|at| **at >= since).count();
    }
    let permits = 2 * 5 * 8;
    assert!(used * 10 >= permits * 9, "{used} of {permits}");
    cluster.stop().await
}

/// Guards against requests that are held until their deadline by a coordinator that does not answer.
#[actix_rt::test]
async fn a_frozen_coordinator_holds_no_request() -> Result<()> {
    let mut cluster = zone(&[json!({}), json!({})]).await?;
    for engine in ["engine-1", "engine-2"] {
        cluster.name_rate(engine, Some("5")).await?;
    }
    ask_until(&mut cluster, Instant::now() + 2 * DELAY).await?;
    cluster.entry(ENTRIES[0])?.process().freeze()?;
    let address = cluster.entry(ENTRIES[1])?.address("callers")?;
    let end = Instant::now() + 2 * SPAN;
    let since = unix_ms() + u64::try_from(SPAN.as_millis()).expect("fits");
    let callers = (0..4).map(|caller| async move {
        while Instant::now() < end {
            let sent = Instant::now();
            let body = chat(&format!("room {caller}"), 1, false);
            let status = ask(address, &body).send().await?.status();
            let took = sent.elapsed();
            assert!(took < Duration::from_secs(3), "{status} after {took:?}");
            sleep(Duration::from_millis(20)).await;
        }
        Ok::<_, zinniastall_tests::Error>(())
    });
    futures_util::future::try_join_all(callers).await?;
    let mut used = 0;
    for engine in ["engine-1", "engine-2"] {
        let starts = starts(&mut cluster, engine).await?;
        used += starts.iter().filter(|at| **at >= since).count();
    }
    let permits = 2 * 5 * 4;
    assert!(
        used * 10 >= permits * 9,
        "{used} of {permits} permits were used"
    );
    cluster.entry(ENTRIES[0])?.process().resume()?;
    cluster.stop().await
}
