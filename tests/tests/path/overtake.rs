//! Tests requests that overtake the change that permits them.

use std::time::Duration;

use serde_json::json;
use zinniastall_tests::{
    Result,
    proxy::rule::{Direction, Rule},
};

use super::support::{CLIENT, KEY, ask, chat, error};

/// Delay with which the remote region receives a change after the home region.
const CHANGE_DELAY: Duration = Duration::from_millis(200);

// A withdrawn client is permitted again, and its first request reaches another region before the
// change does. Decided by the older configuration it would be refused, although the change was
// accepted and the home region has let the request pass.
#[actix_rt::test]
async fn a_request_waits_for_the_change_that_permits_it() -> Result<()> {
    let mut cluster = super::forward::regions().await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let digest = blake3::hash(KEY.as_bytes()).to_hex().to_string();
    let client =
        |withdrawn| json!({"client": {"id": CLIENT, "keys": [digest], "withdrawn": withdrawn}});
    let withdraw = client(true).to_string();
    let withdrawn = cluster
        .ctl(&["--wait", "10000", "apply", &withdraw])
        .await?;
    withdrawn.json()?;
    let slow = Rule::default().with(Direction::Both, |lane| lane.delay = CHANGE_DELAY);
    cluster.set_link_rules(|from, to| {
        let far = from.name() == "athens-a-1" && to.name().starts_with("control");
        far.then_some(slow)
    });
    cluster.apply(&client(false)).await?;
    let body = chat("the first after the change", 1, false);
    loop {
        let answer = ask(address, &body).send().await?;
        // The home region refuses until it has the change.
        if answer.status() != 200 && answer.text().contains("\"client-withdrawn\"") {
            continue;
        }
        assert_eq!(answer.status(), 200, "{:?}", error(&answer));
        return cluster.stop().await;
    }
}
