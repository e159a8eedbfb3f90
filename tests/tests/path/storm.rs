//! Tests the loss of half of the targets at once.

use futures_util::future::join_all;
use serde_json::{Value, json};
use zinniastall_tests::{Result, cluster::Cluster, wait};

use super::support::{ask, chat, short_linger, zone_with};

const REQUESTS: usize = 200;

async fn healthy_runs(cluster: &mut Cluster) -> Result<usize> {
    let mut total = 0;
    for engine in ["engine-3", "engine-4"] {
        total += cluster.ledger(engine).await?.len();
    }
    Ok(total)
}

// Two of four engines accept requests and break every connection. If each failed request were
// simply retried, the other two would get the load of all four when they can least bear it.
// Retries must stay within their budget, a tenth of the requests plus ten, and outlier detection
// must eject the broken engines after a few failures.
#[actix_rt::test]
async fn retries_stay_within_their_budget() -> Result<()> {
    let engine: Value = json!({"engine": {"token_us": 1000}, "slots": 64});
    let mut settings = short_linger();
    settings["policy"] = json!({"retry_slack": 10, "retry_window_ms": 10_000});
    let engines = [engine.clone(), engine.clone(), engine.clone(), engine];
    let mut cluster = zone_with(&engines, settings).await?;
    let broken = json!({"point": "first", "action": "cut", "times": 1_000_000});
    for engine in ["engine-1", "engine-2"] {
        cluster.fail(engine, &broken).await?;
    }
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let before = healthy_runs(&mut cluster).await?;
    let mut broken_before = 0;
    for engine in ["engine-1", "engine-2"] {
        broken_before += cluster.ledger(engine).await?.len();
    }
    let requests = (0..REQUESTS).map(|number| async move {
        let body = chat(&format!("request {number}"), 2, false);
        ask(address, &body)
            .send()
            .await
            .map(|answer| answer.status())
    });
    let statuses = join_all(requests).await;
    let whole = statuses.iter().filter(|status| matches!(status, Ok(200)));
    let whole = whole.count();
    let ran =
        wait::until("ledgers", async || healthy_runs(&mut cluster).await.ok()).await? - before;
    let mut wasted = 0;
    for engine in ["engine-1", "engine-2"] {
        wasted += cluster.ledger(engine).await?.len();
    }
    wasted -= broken_before;
    assert!(ran >= whole, "{whole} whole answers of {ran} runs");
    let bound = REQUESTS + REQUESTS / 10 + 10;
    assert!(
        ran + wasted <= bound,
        "{ran} runs and {wasted} wasted, over {bound}"
    );
    // Later requests are served because the broken engines have been ejected.
    let mut late = 0;
    for number in 0..20 {
        let body = chat(&format!("later {number}"), 2, false);
        late += usize::from(ask(address, &body).send().await?.status() == 200);
    }
    assert!(late >= 18, "{late} of 20 later requests were served");
    Ok(())
}
