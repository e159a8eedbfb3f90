//! Tests instances that stop while requests from other regions pass through them.

use std::time::Duration;

use serde_json::json;
use zinniastall_tests::{Result, http, proxy::rule::Direction, wait};

use super::{
    forward::{regions, regions_with},
    support::{ask, ask_once, chat, exits_cleanly, expected, runs, terminate, ticket},
};

/// Defines a case: an instance is terminated while requests are forwarded from Patras to Athens,
/// as a stream, whole, and at most once. All answers arrive complete, and each request has run
/// once.
macro_rules! survives {
    ($($name:ident: $entry:literal;)+) => {$(
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            let mut cluster = regions().await?;
            let address = cluster.entry("patras-a-1")?.address("callers")?;
            let ticket = ticket(address).await?;
            // The request with a ticket ends first: its run is counted separately and would keep
            // the instance up for the others.
            let bodies = [chat("a brief", 80, true), chat("a scan", 80, false), chat("a bill", 20, true)];
            let (_, stream) = ask(address, &bodies[0]).stream().await?;
            let whole = actix_rt::spawn(ask(address, &bodies[1]).send());
            let (_, once) = ask_once(address, &ticket, &bodies[2]).stream().await?;
            wait::until("the whole answer in progress", async || {
                let runs = runs(&mut cluster, "engine-1", &bodies[1]).await.ok()?;
                (runs.len() == 1).then_some(())
            })
            .await?;
            terminate(&mut cluster, $entry).await?;
            let (stream, once) = futures_util::join!(http::content(stream), http::content(once));
            assert_eq!(stream?, (expected("a brief", 80), true));
            assert_eq!(once?, (expected("a bill", 20), true));
            let whole = whole.await.map_err(std::io::Error::other)??;
            assert_eq!(whole.status(), 200, "{}", whole.text());
            exits_cleanly(&mut cluster, $entry).await?;
            for body in &bodies {
                assert_eq!(runs(&mut cluster, "engine-1", body).await?.len(), 1);
            }
            Ok(())
        }
    )+};
}

// An operator restarts an instance of one region while answers pass from there to callers of
// another. No answer may be cut, whichever end is restarted.
survives! {
    terminated_receiver_cuts_no_answer: "athens-a-1";
    terminated_sender_cuts_no_answer: "patras-a-1";
}

// As above over a slow link: the engine has finished and the instance has written the whole
// answer, but most of it is still in transit. If the instance exited now, the rest would be
// lost.
#[actix_rt::test]
async fn terminated_receiver_waits_for_a_slow_link() -> Result<()> {
    let mut cluster = regions_with(json!({"engine": {"token_us": 1}}), json!({})).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let proxy = cluster.entry("athens-a-1")?.proxy("links")?;
    proxy.rate(Direction::Down, 48 << 10);
    let body = chat("a long proposal", 1000, true);
    let (_, events) = ask(address, &body).stream().await?;
    let reading = actix_rt::spawn(http::content(events));
    wait::until("the engine done", async || {
        let runs = runs(&mut cluster, "engine-1", &body).await.ok()?;
        runs.first()?["finished"].as_u64()
    })
    .await?;
    terminate(&mut cluster, "athens-a-1").await?;
    let (text, done) = reading.await.map_err(std::io::Error::other)??;
    assert!(done, "cut after {} bytes", text.len());
    assert_eq!(text, expected("a long proposal", 1000));
    exits_cleanly(&mut cluster, "athens-a-1").await
}

// A long answer streams for several times its request's deadline, across regions, while both
// instances are terminated. As long as it makes progress, nothing may cut it.
#[actix_rt::test]
async fn long_stream_outlives_deadline_and_drain() -> Result<()> {
    let entry = json!({"limits": {"deadline_ms": 1000}, "drain_ms": 30_000, "stall_ms": 1000});
    let engine = json!({"engine": {"token_us": 100_000}});
    let mut cluster = regions_with(engine, entry).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let started = std::time::Instant::now();
    let (_, events) = ask(address, &chat("a long proposal", 80, true))
        .stream()
        .await?;
    for entry in ["athens-a-1", "patras-a-1"] {
        terminate(&mut cluster, entry).await?;
    }
    let answer = http::content(events).await?;
    assert_eq!(answer, (expected("a long proposal", 80), true));
    assert!(
        started.elapsed() > Duration::from_secs(5),
        "not long: {:?}",
        started.elapsed()
    );
    for entry in ["athens-a-1", "patras-a-1"] {
        exits_cleanly(&mut cluster, entry).await?;
    }
    Ok(())
}
