//! Tests requests that are about to leave their region when a rule withdraws the other one.

use std::net::SocketAddr;

use serde_json::Value;
use zinniastall_tests::{
    Result,
    http::{Answer, Request},
    log::field,
    proxy::rule::{Direction, Rule},
    wait,
};

use super::support::{CLIENT, KEY, MODEL, System, ask, ask_once, chat, error, runs, ticket};

/// Request id by which the logs show where the request went.
const REQUEST_ID: &str = "held-at-the-border";

/// Sends a request from Patras while its new link to Athens is stalled, narrows the client to
/// Patras meanwhile, and heals the link. Returns the answer and the lines of the request in the
/// log of Athens, if it arrived there.
async fn forward_during_withdrawal(
    cluster: &mut System,
    request: Request,
) -> Result<(Answer, Vec<String>)> {
    let stalled = Rule::default().with(Direction::Both, |lane| lane.stalled = true);
    let proxy = cluster.entry("athens-a-1")?.proxy("links")?;
    let before = proxy.opened();
    proxy.rule_for("patras-a-1", stalled);
    let in_flight = actix_rt::spawn(request.header("x-zinniastall-request", REQUEST_ID).send());
    wait::until("the link dialled", async || {
        let proxy = cluster.entry("athens-a-1").ok()?.proxy("links").ok()?;
        (proxy.opened() > before).then_some(())
    })
    .await?;
    cluster.residency(CLIENT, &["patras"]).await?;
    cluster.heal();
    let answer = in_flight.await.map_err(std::io::Error::other)??;
    cluster.entry("athens-a-1")?.process().stop().await?;
    let mut lines = cluster
        .entry("athens-a-1")?
        .process()
        .log()
        .events("forwarded");
    lines.retain(|line| field(line, "request") == Some(REQUEST_ID));
    Ok((answer, lines))
}

/// Restarts the instance of Patras, so that it has no stream link yet.
async fn restart_without_links(cluster: &mut System) -> Result<SocketAddr> {
    cluster.entry("patras-a-1")?.restart().await?;
    cluster.wait_located("patras-a-1", KEY, MODEL, 2).await?;
    cluster.entry("patras-a-1")?.address("callers")
}

fn body() -> Value {
    chat("a brief that has to stay", 2, false)
}

// An answer is lost, and its caller resends the request in another region. While the resend
// waits for a link to the instance that issued its ticket, the operator withdraws the issuer's
// region from the client. The request must not leave its region any more; whether it ran before
// is unknown here.
#[actix_rt::test]
async fn resend_is_not_sent_to_a_withdrawn_region() -> Result<()> {
    let mut cluster = super::forward::regions().await?;
    let address = restart_without_links(&mut cluster).await?;
    let ticket = ticket(cluster.entry("athens-a-1")?.address("callers")?).await?;
    let request = ask_once(address, &ticket, &body());
    let (answer, forwarded) = forward_during_withdrawal(&mut cluster, request).await?;
    assert_eq!(error(&answer).0, "unknown", "{}", answer.text());
    assert_eq!(forwarded, [""; 0], "the request left its region");
    Ok(())
}

// The home region has no engine, and a request waits for a link to the region that has one while
// the operator withdraws that region from the client. The caller must learn that nothing ran,
// and the request must not have left its region.
#[actix_rt::test]
async fn request_is_not_sent_to_a_withdrawn_region() -> Result<()> {
    let mut cluster = super::forward::regions().await?;
    let address = restart_without_links(&mut cluster).await?;
    let (answer, forwarded) =
        forward_during_withdrawal(&mut cluster, ask(address, &body())).await?;
    assert_eq!(error(&answer).0, "not-run", "{}", answer.text());
    assert_eq!(forwarded, [""; 0], "the request left its region");
    assert_eq!(runs(&mut cluster, "engine-1", &body()).await?.len(), 0);
    Ok(())
}
