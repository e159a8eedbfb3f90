//! Tests instances that are frozen, thawed and replaced.

use std::time::Duration;

use serde_json::json;
use zinniastall_tests::{Result, wait};

use crate::system::{
    ask, count_logged, instance_names, locate, start, start_with_slow_link_timeout, wait_listed,
    wait_logged,
};

// An instance is frozen, as by a paused virtual machine, and a target fails meanwhile. Its peers
// must leave the instance out. Once thawed, it must not send a request to the dead target,
// although its own state and everything in its sockets says that the target is alive.
#[actix_rt::test]
async fn frozen_instance_is_left_out_and_returns_up_to_date() -> Result<()> {
    let mut cluster = start_with_slow_link_timeout(&[("athens", "a")], 3).await?;
    cluster
        .engine(
            "engine-spare",
            ("athens", "a"),
            crate::system::MODEL,
            json!({}),
        )
        .await?;
    let serving = ("target-serving", "target", "engine-spare");
    for entry in ["athens-a-1", "athens-a-2", "athens-a-3"] {
        wait_logged(&cluster, entry, serving, 1, wait::TIMEOUT).await?;
    }
    cluster.entry("athens-a-2")?.process().freeze()?;
    wait_listed(&cluster, "athens-a-1", &["athens-a-1", "athens-a-3"]).await?;
    cluster.target("engine-spare")?.process().kill()?;
    let gone = ("target-gone", "target", "engine-spare");
    wait_logged(&cluster, "athens-a-1", gone, 1, Duration::from_secs(10)).await?;
    cluster.entry("athens-a-2")?.process().resume()?;
    wait_logged(&cluster, "athens-a-2", gone, 1, Duration::from_secs(2)).await?;
    assert_eq!(
        count_logged(&cluster, "athens-a-2", serving),
        1,
        "the dead target came back"
    );
    // It refuses requests until it learns of live targets; it never sends to the dead one.
    let what = "an answer of the thawed instance";
    let target = wait::until(what, async || ask(&mut cluster, "athens-a-2").await.ok()?).await?;
    assert_eq!(target, "engine-athens-a");
    for entry in ["athens-a-1", "athens-a-2"] {
        wait_listed(&cluster, entry, &["athens-a-1", "athens-a-2", "athens-a-3"]).await?;
    }
    assert_eq!(
        count_logged(&cluster, "athens-a-2", serving),
        1,
        "the dead target came back"
    );
    cluster.target("engine-spare")?.restart().await?;
    cluster.stop().await
}

// An instance is lost and its address is given to another. A caller that is given the old name
// would reach the new instance, and peers would attribute the new one's heartbeats to the old
// one.
#[actix_rt::test]
async fn address_reused_by_another_instance() -> Result<()> {
    let mut cluster = start(&[("athens", "a")], 2).await?;
    let node = cluster.entry("athens-a-2")?;
    node.settings()["instance"] = json!("athens-a-9");
    node.restart().await?;
    let answer = wait::until("the new name", async || {
        let answer = locate(&cluster, "athens-a-1").await?;
        instance_names(&answer)
            .contains("athens-a-9")
            .then_some(answer)
    })
    .await?;
    assert!(
        !instance_names(&answer).contains("athens-a-2"),
        "both names of one address: {answer}"
    );
    let first = ("peer-alive", "peer", "athens-a-9");
    assert_eq!(count_logged(&cluster, "athens-a-1", first), 1);
    let answer = locate(&cluster, "athens-a-2").await.unwrap_or_default();
    assert!(!answer.to_string().contains("athens-a-2\""), "{answer}");
    cluster.stop().await
}
