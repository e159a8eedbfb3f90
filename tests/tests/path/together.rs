//! Tests two faults at once.

use serde_json::json;
use zinniastall_tests::{Result, http, wait};

use super::{
    forward::regions,
    loss::{engine, failure},
    support::{
        ask, ask_once, chat, error, exits_cleanly, expected, runs, terminate, ticket, zone_with,
    },
};

const TOKENS: usize = 60;

/// Returns settings of an engine that is slow enough for a fault in the middle of an answer.
fn slow_engine() -> serde_json::Value {
    let mut settings = engine("none", "die", 0);
    settings["engine"]["token_us"] = json!(20_000);
    settings
}

// An instance is terminated while an answer streams through it, and then the connection to the
// engine breaks. The draining instance must resume the stream where it broke, and exit after its
// last token.
#[actix_rt::test]
async fn stream_resumes_at_an_instance_that_drains() -> Result<()> {
    let mut cluster = zone_with(&[slow_engine()], json!({})).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    cluster
        .fail("engine-1", &failure("events", "cut", 30))
        .await?;
    let body = chat("a long brief", TOKENS, true);
    let (_, events) = ask(address, &body).stream().await?;
    terminate(&mut cluster, "patras-a-1").await?;
    let answer = http::content(events).await?;
    assert_eq!(answer, (expected("a long brief", TOKENS), true));
    let runs = runs(&mut cluster, "engine-1", &body).await?;
    let offsets: Vec<_> = runs.iter().map(|run| run["offset"].as_u64()).collect();
    assert_eq!(offsets, [Some(0), Some(30)]);
    exits_cleanly(&mut cluster, "patras-a-1").await
}

// As above for an at-most-once request whose engine breaks off for good. The caller sees that
// the answer is incomplete; while the instance lingers it answers resends with "unknown", and
// the idle second engine does not run the request again.
#[actix_rt::test]
async fn once_stays_unknown_at_an_instance_that_drains() -> Result<()> {
    let linger = json!({"tickets": {"linger_ms": 3000}});
    let mut cluster = zone_with(&[slow_engine(), slow_engine()], linger).await?;
    let first = cluster.entry("patras-a-1")?.address("callers")?;
    let second = cluster.entry("patras-a-2")?.address("callers")?;
    for engine in ["engine-1", "engine-2"] {
        cluster.fail(engine, &failure("events", "cut", 30)).await?;
    }
    let (ticket, body) = (
        ticket(first).await?,
        chat("a billed proposal", TOKENS, true),
    );
    let (_, events) = ask_once(first, &ticket, &body).stream().await?;
    terminate(&mut cluster, "patras-a-1").await?;
    let (text, done) = http::content(events).await?;
    assert!(!done, "a cut answer looked complete: {text}");
    for address in [first, second] {
        let again = ask_once(address, &ticket, &body).send().await?;
        assert_eq!(error(&again).0, "unknown", "{}", again.text());
    }
    exits_cleanly(&mut cluster, "patras-a-1").await?;
    let again = ask_once(second, &ticket, &body).send().await?;
    assert_eq!(error(&again).0, "unknown", "{}", again.text());
    let ran = runs(&mut cluster, "engine-1", &body).await?.len();
    assert_eq!(ran + runs(&mut cluster, "engine-2", &body).await?.len(), 1);
    Ok(())
}

// The instance that issued a ticket is frozen while its request runs, its region is cut off, and
// the caller resends in the other region. Nothing there may run the request or answer "not run";
// the first caller gets the answer once the instance resumes, and so does a resend after the
// partition.
#[actix_rt::test]
async fn ticket_of_a_frozen_issuer_beyond_a_cut_runs_once() -> Result<()> {
    let mut cluster = regions().await?;
    let far = cluster.entry("athens-a-1")?.address("callers")?;
    let near = cluster.entry("patras-a-1")?.address("callers")?;
    let (ticket, body) = (ticket(far).await?, chat("a schedule", TOKENS, false));
    let reading = actix_rt::spawn(ask_once(far, &ticket, &body).send());
    wait::until("the work running", async || {
        let runs = runs(&mut cluster, "engine-1", &body).await.ok()?;
        (runs.len() == 1).then_some(())
    })
    .await?;
    let again = || {
        let request = ask_once(near, &ticket, &body);
        request.header("x-zinniastall-deadline-ms", "1500").send()
    };
    cluster.entry("athens-a-1")?.process().freeze()?;
    let answer = again().await?;
    assert_eq!(error(&answer).0, "unknown", "{}", answer.text());
    cluster.partition(|node| node.region() == "athens");
    cluster.entry("athens-a-1")?.process().resume()?;
    let answer = again().await?;
    assert_eq!(error(&answer).0, "unknown", "{}", answer.text());
    let first = reading.await.map_err(std::io::Error::other)??;
    assert_eq!(first.status(), 200, "{}", first.text());
    cluster.heal();
    let last = wait::until("the recorded answer", async || {
        let answer = again().await.ok()?;
        assert_ne!(error(&answer).0, "not-run", "{}", answer.text());
        (answer.status() == 200).then_some(answer)
    })
    .await?;
    assert_eq!(last.text(), first.text());
    assert_eq!(runs(&mut cluster, "engine-1", &body).await?.len(), 1);
    Ok(())
}
