//! Requests that are on their way to a border while a rule closes it.

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

/// Request id, so that its way can be read in the logs.
const ID: &str = "held-at-the-border";

/// Sends a request from Patras while its new link to Athens makes no progress, narrows the client to
/// Patras meanwhile, and lets the link go on. Returns the answer and the request's line in the log
/// of Athens, if it came there.
async fn cross(cluster: &mut System, request: Request) -> Result<(Answer, Vec<String>)> {
    let stalled = Rule::default().with(Direction::Both, |lane| lane.stalled = true);
    let proxy = cluster.entry("athens-a-1")?.proxy("links")?;
    let before = proxy.opened();
    proxy.rule_for("patras-a-1", stalled);
    let flying = actix_rt::spawn(request.header("x-zinniastall-request", ID).send());
    wait::until("the link dialled", async || {
        let proxy = cluster.entry("athens-a-1").ok()?.proxy("links").ok()?;
        (proxy.opened() > before).then_some(())
    })
    .await?;
    cluster.residency(CLIENT, &["patras"]).await?;
    cluster.heal();
    let answer = flying.await.map_err(std::io::Error::other)??;
    cluster.entry("athens-a-1")?.process().stop().await?;
    let mut lines = cluster
        .entry("athens-a-1")?
        .process()
        .log()
        .events("forwarded");
    lines.retain(|line| field(line, "request") == Some(ID));
    Ok((answer, lines))
}

/// Starts Patras anew, so that it has no link for requests yet.
async fn without_links(cluster: &mut System) -> Result<SocketAddr> {
    cluster.entry("patras-a-1")?.restart().await?;
    cluster.wait_located("patras-a-1", KEY, MODEL, 2).await?;
    cluster.entry("patras-a-1")?.address("callers")
}

fn body() -> Value {
    chat("a brief that has to stay", 2, false)
}

// An answer is lost, and its caller asks again in another region than before. While the resend waits
// for a link to the instance that issued its ticket, the operator takes that region from the client.
// The brief must not cross the border any more; whether it ran earlier, nobody here can say.
#[actix_rt::test]
async fn resend_stays_when_its_border_is_closed() -> Result<()> {
    let mut cluster = super::forward::regions().await?;
    let address = without_links(&mut cluster).await?;
    let ticket = ticket(cluster.entry("athens-a-1")?.address("callers")?).await?;
    let request = ask_once(address, &ticket, &body());
    let (answer, crossed) = cross(&mut cluster, request).await?;
    assert_eq!(error(&answer).0, "unknown", "{}", answer.text());
    assert_eq!(crossed, [""; 0], "it crossed the border");
    Ok(())
}

// The home region has no engine, and a request waits for a link to the region that has one, while
// the operator takes that region from the client. The caller is told that nothing ran, and the brief
// has not left its region.
#[actix_rt::test]
async fn request_stays_when_its_border_is_closed() -> Result<()> {
    let mut cluster = super::forward::regions().await?;
    let address = without_links(&mut cluster).await?;
    let (answer, crossed) = cross(&mut cluster, ask(address, &body())).await?;
    assert_eq!(error(&answer).0, "not-run", "{}", answer.text());
    assert_eq!(crossed, [""; 0], "it crossed the border");
    assert_eq!(runs(&mut cluster, "engine-1", &body()).await?.len(), 0);
    Ok(())
}
