//! Tests that non-idempotent requests run at most once, whatever is lost and resent.

use std::time::Duration;

use serde_json::json;
use zinniastall_tests::{Result, http, proxy::rule::Direction, wait};

use super::support::{
    CHAT, KEY, ONCE, ask, ask_once, chat, error, expected, runs, text, ticket, zone,
};

const TOKEN_US: u64 = 150_000;

fn engines() -> [serde_json::Value; 2] {
    let engine = json!({"engine": {"token_us": TOKEN_US}});
    [engine.clone(), engine]
}

async fn count_runs(
    cluster: &mut zinniastall_tests::cluster::Cluster,
    body: &serde_json::Value,
) -> Result<usize> {
    let first = runs(cluster, "engine-1", body).await?.len();
    Ok(first + runs(cluster, "engine-2", body).await?.len())
}

#[actix_rt::test]
async fn request_without_a_ticket_is_refused_with_a_new_one() -> Result<()> {
    let mut cluster = zone(&engines()).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let body = chat("a schedule", 2, false);
    let answer = ask(address, &body).header(ONCE.0, ONCE.1).send().await?;
    assert_eq!(answer.status(), 428);
    assert_eq!(error(&answer), ("not-run".into(), "ticket-required".into()));
    assert_eq!(count_runs(&mut cluster, &body).await?, 0);
    let ticket = text(&answer.json()?["error"]["ticket"]);
    let answer = ask_once(address, &ticket, &body).send().await?;
    assert_eq!(answer.status(), 200, "{}", answer.text());
    let other = chat("another schedule", 2, false);
    let answer = ask_once(address, &ticket, &other).send().await?;
    assert_eq!(answer.status(), 409);
    assert_eq!(count_runs(&mut cluster, &other).await?, 0);
    cluster.stop().await
}

// The answer to an at-most-once request is lost on its way back, and the caller resends it to
// the same instance or to another one. It must run once, and the caller gets the answer of that
// one run.
#[actix_rt::test]
async fn lost_answer_is_replayed_by_any_instance() -> Result<()> {
    let mut cluster = zone(&engines()).await?;
    let first = cluster.entry("patras-a-1")?.address("callers")?;
    let second = cluster.entry("patras-a-2")?.address("callers")?;
    let (ticket, body) = (ticket(first).await?, chat("a billed proposal", 4, false));
    let proxy = cluster.entry("patras-a-1")?.proxy("callers")?;
    proxy.cut_after(Direction::Down, 20);
    let lost = ask_once(first, &ticket, &body).send().await;
    assert!(lost.is_err(), "the proxy let the answer pass");
    proxy.heal();
    for address in [first, second, first] {
        let answer = ask_once(address, &ticket, &body).send().await?;
        assert_eq!(answer.status(), 200, "{}", answer.text());
        let answer = text(&answer.json()?["choices"][0]["message"]["content"]);
        assert_eq!(answer, expected("a billed proposal", 4));
    }
    assert_eq!(count_runs(&mut cluster, &body).await?, 1);
    cluster.stop().await
}

// A caller sends one ticket many times concurrently to both instances of its zone, as a stream.
// Every resend gets the answer of the one run.
#[actix_rt::test]
async fn concurrent_resends_join_one_run() -> Result<()> {
    let mut cluster = zone(&engines()).await?;
    let first = cluster.entry("patras-a-1")?.address("callers")?;
    let second = cluster.entry("patras-a-2")?.address("callers")?;
    let (ticket, body) = (ticket(first).await?, chat("a proposal", 4, true));
    let reading = (0..10).map(|number| {
        let address = if number % 2 == 0 { first } else { second };
        let request = ask_once(address, &ticket, &body);
        async {
            let (_, events) = request.stream().await?;
            http::content(events).await
        }
    });
    for answer in futures_util::future::join_all(reading).await {
        assert_eq!(answer?, (expected("a proposal", 4), true));
    }
    assert_eq!(count_runs(&mut cluster, &body).await?, 1);
    cluster.stop().await
}

// The instance that issued the ticket is killed while the request runs, and later restarted. It
// has lost the state of the ticket, so nothing may run the ticket, and nothing may answer "not
// run".
#[actix_rt::test]
async fn killed_issuer_leaves_the_outcome_unknown() -> Result<()> {
    let mut cluster = zone(&engines()).await?;
    let first = cluster.entry("patras-a-1")?.address("callers")?;
    let second = cluster.entry("patras-a-2")?.address("callers")?;
    let (ticket, body) = (ticket(first).await?, chat("a billed proposal", 20, false));
    let running = actix_rt::spawn(ask_once(first, &ticket, &body).send());
    wait::until("the request running", async || {
        (count_runs(&mut cluster, &body).await.ok()? == 1).then_some(())
    })
    .await?;
    cluster.entry("patras-a-1")?.process().kill()?;
    assert!(running.await.is_ok_and(|lost| lost.is_err()));
    let answer = ask_once(second, &ticket, &body)
        .header("x-zinniastall-deadline-ms", "3000")
        .send()
        .await?;
    assert_eq!(error(&answer).0, "unknown", "{}", answer.text());
    cluster.entry("patras-a-1")?.restart().await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    cluster
        .wait_serving(address, KEY, &chat("probe", 1, false))
        .await?;
    let answer = ask_once(address, &ticket, &body).send().await?;
    assert_eq!(error(&answer).0, "unknown", "{}", answer.text());
    assert_eq!(count_runs(&mut cluster, &body).await?, 1);
    Ok(())
}

// The issuer is frozen, as a virtual machine that is migrated or swaps. A resend at its
// neighbour must not wait for ever and must not run; when the issuer resumes, the request still
// runs only once.
#[actix_rt::test]
async fn frozen_issuer_is_not_bypassed() -> Result<()> {
    let mut cluster = zone(&engines()).await?;
    let first = cluster.entry("patras-a-1")?.address("callers")?;
    let second = cluster.entry("patras-a-2")?.address("callers")?;
    let (ticket, body) = (ticket(first).await?, chat("a schedule", 2, false));
    cluster.entry("patras-a-1")?.process().freeze()?;
    let answer = ask_once(second, &ticket, &body)
        .header("x-zinniastall-deadline-ms", "1500")
        .send()
        .await?;
    assert_eq!(error(&answer).0, "unknown", "{}", answer.text());
    assert_eq!(count_runs(&mut cluster, &body).await?, 0);
    cluster.entry("patras-a-1")?.process().resume()?;
    let what = "the issuer answering again";
    wait::until(what, async || {
        let request = http::post(first, CHAT).key(KEY).json(&body);
        let request = request.header("x-zinniastall-ticket", &ticket);
        let answer = request.send().await.ok()?;
        (answer.status() == 200).then_some(())
    })
    .await?;
    // The frame that the issuer received while frozen may be processed after the resend.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(count_runs(&mut cluster, &body).await?, 1);
    cluster.stop().await
}
