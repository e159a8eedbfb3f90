//! Tests a request that crashes the targets that run it.

use zinniastall_tests::Result;

use super::{
    loss::{engine, failure},
    support::{ask, chat, zone},
};

/// Engines of the zone, and how many of them one request may crash.
const ENGINES: usize = 5;
const MAX_CRASHED: usize = 3;

/// A request crashes one engine after the other, through two entry instances.
#[actix_rt::test]
async fn a_request_that_crashes_engines_ends_three_at_most() -> Result<()> {
    let mut cluster = zone(&vec![engine("none", "die", 0); ENGINES]).await?;
    let names: Vec<String> = (1..=ENGINES)
        .map(|number| format!("engine-{number}"))
        .collect();
    for name in &names {
        cluster.fail(name, &failure("first", "die", 0)).await?;
    }
    let body = chat("poison", 4, false);
    for entry in ["patras-a-1", "patras-a-2"].into_iter().cycle().take(6) {
        let address = cluster.entry(entry)?.address("callers")?;
        ask(address, &body).send().await?;
    }
    let mut ended = 0;
    for name in &names {
        ended += usize::from(cluster.target(name)?.process().exit_status().is_some());
    }
    assert!(ended <= MAX_CRASHED, "{ended} engines ended");
    Ok(())
}
