//! Instances frozen, thawed and replaced.

use std::time::Duration;

use serde_json::json;
use zinniastall_tests::{Result, wait};

use crate::system::{ask, lists, locate, logged, named, start, start_patient, times};

// An instance is frozen, as by a paused virtual machine, and a target dies meanwhile. Its peers must
// leave it out; thawed, it must not send a request to the dead target although all that it knows,
// and all that waits in its sockets, says that the target lives.
#[actix_rt::test]
async fn frozen_instance_is_left_out_and_comes_back_informed() -> Result<()> {
    let mut cluster = start_patient(&[("athens", "a")], 3).await?;
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
        logged(&cluster, entry, serving, 1, wait::TIMEOUT).await?;
    }
    cluster.entry("athens-a-2")?.process().freeze()?;
    lists(&cluster, "athens-a-1", &["athens-a-1", "athens-a-3"]).await?;
    cluster.target("engine-spare")?.process().kill()?;
    let gone = ("target-gone", "target", "engine-spare");
    logged(&cluster, "athens-a-1", gone, 1, Duration::from_secs(10)).await?;
    cluster.entry("athens-a-2")?.process().resume()?;
    logged(&cluster, "athens-a-2", gone, 1, Duration::from_secs(2)).await?;
    assert_eq!(
        times(&cluster, "athens-a-2", serving),
        1,
        "the dead target came back"
    );
    // Until it hears of targets again it refuses; it never sends to the dead one.
    let what = "an answer of the thawed instance";
    let target = wait::until(what, async || ask(&mut cluster, "athens-a-2").await.ok()?).await?;
    assert_eq!(target, "engine-athens-a");
    for entry in ["athens-a-1", "athens-a-2"] {
        lists(&cluster, entry, &["athens-a-1", "athens-a-2", "athens-a-3"]).await?;
    }
    assert_eq!(
        times(&cluster, "athens-a-2", serving),
        1,
        "the dead target came back"
    );
    cluster.target("engine-spare")?.restart().await?;
    cluster.stop().await
}

// An instance is lost and its address is given to another. A caller who is told the old name would
// be answered by the new one, and peers would take the new one's heartbeats for the old one's.
#[actix_rt::test]
async fn address_reused_by_another_instance() -> Result<()> {
    let mut cluster = start(&[("athens", "a")], 2).await?;
    let node = cluster.entry("athens-a-2")?;
    node.settings()["instance"] = json!("athens-a-9");
    node.restart().await?;
    let answer = wait::until("the new name", async || {
        let answer = locate(&cluster, "athens-a-1").await?;
        named(&answer).contains("athens-a-9").then_some(answer)
    })
    .await?;
    assert!(
        !named(&answer).contains("athens-a-2"),
        "both names of one address: {answer}"
    );
    let first = ("peer-alive", "peer", "athens-a-9");
    assert_eq!(times(&cluster, "athens-a-1", first), 1);
    let answer = locate(&cluster, "athens-a-2").await.unwrap_or_default();
    assert!(!answer.to_string().contains("athens-a-2\""), "{answer}");
    cluster.stop().await
}
