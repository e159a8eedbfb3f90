//! Tests that instances and targets leave without cutting requests.

use futures_util::future::join_all;
use serde_json::json;
use zinniastall_tests::{Result, http, wait};

use super::support::{
    ask, ask_once, chat, error, exits_cleanly, expected, runs, terminate, ticket, zone, zone_with,
};

// An operator restarts an instance while a long answer streams through it. The stream must
// arrive complete; new requests are refused at once as not run, so that their callers go
// elsewhere.
#[actix_rt::test]
async fn terminated_instance_cuts_no_stream() -> Result<()> {
    let mut cluster = zone(&[json!({"engine": {"token_us": 50_000}})]).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let body = chat("a long brief", 40, true);
    let (_, events) = ask(address, &body).stream().await?;
    let reading = actix_rt::spawn(http::content(events));
    let ticket = ticket(address).await?;
    terminate(&mut cluster, "patras-a-1").await?;
    let late = chat("a late scan", 1, false);
    let answer = wait::until("a refusal", async || {
        let answer = ask(address, &late).send().await.ok()?;
        (answer.status() == 503).then_some(answer)
    })
    .await?;
    assert_eq!(error(&answer), ("not-run".into(), "draining".into()));
    let answer = ask_once(address, &ticket, &late).send().await?;
    assert_eq!(error(&answer).0, "not-run");
    let answer = reading.await.expect("the reader ends")?;
    assert_eq!(answer, (expected("a long brief", 40), true));
    exits_cleanly(&mut cluster, "patras-a-1").await
}

/// Guards against requests in progress that get no answer when the time of a stop is over.
#[actix_rt::test]
async fn requests_that_outlast_a_stop_are_answered() -> Result<()> {
    let settings = json!({"drain_ms": 1_000, "tickets": {"linger_ms": 200}});
    let mut cluster = zone_with(&[json!({"engine": {"token_us": 400_000}})], settings).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let (ticket, body) = (ticket(address).await?, chat("a long brief", 20, false));
    let asking = {
        let body = body.clone();
        actix_rt::spawn(async move {
            let (once, repeatable) = (ask_once(address, &ticket, &body), ask(address, &body));
            futures_util::future::try_join(once.send(), repeatable.send()).await
        })
    };
    wait::until("both run", async || {
        let begun = runs(&mut cluster, "engine-1", &body).await.ok()?;
        (begun.len() >= 2).then_some(())
    })
    .await?;
    terminate(&mut cluster, "patras-a-1").await?;
    let (once, repeatable) = asking.await.expect("the callers end")?;
    for answer in [once, repeatable] {
        assert_eq!(answer.status(), 502);
        assert_eq!(error(&answer).0, "unknown");
    }
    let status = cluster.entry("patras-a-1")?.process().wait_exit().await?;
    assert!(status.success(), "{status}");
    Ok(())
}

// An instance is told to stop right after it has run a billed request whose answer was lost. The
// resend must still get that answer while the instance lingers.
#[actix_rt::test]
async fn terminated_issuer_still_answers_for_its_tickets() -> Result<()> {
    let engine = json!({"engine": {"token_us": 1000}});
    let linger = json!({"tickets": {"linger_ms": 5000}});
    let mut cluster = zone_with(&[engine], linger).await?;
    let first = cluster.entry("patras-a-1")?.address("callers")?;
    let second = cluster.entry("patras-a-2")?.address("callers")?;
    let (ticket, body) = (ticket(first).await?, chat("a billed proposal", 4, false));
    let answer = ask_once(first, &ticket, &body).send().await?;
    assert_eq!(answer.status(), 200);
    terminate(&mut cluster, "patras-a-1").await?;
    for address in [first, second] {
        let again = ask_once(address, &ticket, &body).send().await?;
        assert_eq!(again.text(), answer.text());
    }
    exits_cleanly(&mut cluster, "patras-a-1").await
}

// An engine leaves while callers keep sending requests. No request may fail because of it; an
// engine that has announced its leave gets no new work after two seconds.
#[actix_rt::test]
async fn leaving_target_under_load_fails_no_request() -> Result<()> {
    let engine = json!({"engine": {"token_us": 2000}, "slots": 16});
    let mut cluster = zone_with(&[engine.clone(), engine], json!({})).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let callers = (0..8).map(|caller| async move {
        let mut statuses = Vec::new();
        for number in 0..40 {
            let body = chat(&format!("caller {caller} request {number}"), 5, false);
            let answer = ask(address, &body).send().await?;
            statuses.push((answer.status(), answer.text()));
        }
        Ok::<_, zinniastall_tests::Error>(statuses)
    });
    let load = actix_rt::spawn(join_all(callers));
    cluster.target("engine-1")?.process().terminate()?;
    assert!(
        cluster
            .target("engine-1")?
            .process()
            .wait_exit()
            .await?
            .success()
    );
    for statuses in load.await.expect("the load ends") {
        for (status, text) in statuses? {
            assert_eq!(status, 200, "{text}");
        }
    }
    Ok(())
}
