//! Two faults at once.

use serde_json::json;
use zinniastall_tests::{Result, http, wait};

use super::{
    forward::regions,
    loss::{engine, failure},
    support::{
        ask, ask_once, chat, ends_well, error, expected, runs, terminate, ticket, zone_with,
    },
};

const TOKENS: usize = 60;

/// Returns settings of an engine that is slow enough for a fault within an answer.
fn slow() -> serde_json::Value {
    let mut settings = engine("none", "die", 0);
    settings["engine"]["token_us"] = json!(20_000);
    settings
}

// An instance is asked to end while a brief streams through it, and then the connection to the engine
// breaks. The instance still takes the stream up again where it broke, and ends after its last token.
#[actix_rt::test]
async fn stream_resumes_at_an_instance_that_drains() -> Result<()> {
    let mut cluster = zone_with(&[slow()], json!({})).await?;
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
    ends_well(&mut cluster, "patras-a-1").await
}

// The same for work that runs once, and the engine breaks off for good. The caller sees that the
// answer isn't whole; as long as the instance lingers it says "unknown" to resends, and the idle
// engine beside it does not run the work again.
#[actix_rt::test]
async fn once_stays_unknown_at_an_instance_that_drains() -> Result<()> {
    let linger = json!({"tickets": {"linger_ms": 3000}});
    let mut cluster = zone_with(&[slow(), slow()], linger).await?;
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
    assert!(!done, "a cut answer looked whole: {text}");
    for address in [first, second] {
        let again = ask_once(address, &ticket, &body).send().await?;
        assert_eq!(error(&again).0, "unknown", "{}", again.text());
    }
    ends_well(&mut cluster, "patras-a-1").await?;
    let again = ask_once(second, &ticket, &body).send().await?;
    assert_eq!(error(&again).0, "unknown", "{}", again.text());
    let ran = runs(&mut cluster, "engine-1", &body).await?.len();
    assert_eq!(ran + runs(&mut cluster, "engine-2", &body).await?.len(), 1);
    Ok(())
}

// The instance that has issued a ticket stands still while its work runs, its region is cut off, and
// the caller asks again in the other region. Nobody there may run the work or deny that it ran; the
// first caller gets the answer once the instance goes on, and so does a resend after the cut.
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
