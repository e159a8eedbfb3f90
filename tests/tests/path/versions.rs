//! Streams of targets that start again with other software.

use indexmap::IndexSet;
use serde_json::{Value, json};
use zinniastall_tests::{Result, sse::DONE};

use super::support::{MODEL, System, ask, chat, zone};

const TOKENS: usize = 40;
/// Events after which the target is replaced.
const READ: usize = 3;

fn engine(software: Option<&str>) -> Value {
    let mut settings = json!({"engine": {"token_us": 10_000}, "announce": {}});
    if let Some(software) = software {
        settings["announce"]["software"] = software.into();
    }
    settings
}

/// Starts an engine behind a proxy, and one with other software that isn't announced.
async fn replaceable(before: Option<&str>, after: Option<&str>) -> Result<System> {
    let mut cluster = zone(&[engine(before)]).await?;
    let mut settings = engine(after);
    settings["kind"] = "engine".into();
    settings["engine"]["models"] = json!([{"model": MODEL, "version": "1"}]);
    settings["announce"]["instances"] = json!([]);
    cluster
        .standin("replacement", ("patras", "a"), settings)
        .await?;
    Ok(cluster)
}

/// Reads a stream whose target is replaced in between, at the address that it announced; returns the
/// software that wrote its events, and whether it is whole.
async fn read_across(cluster: &mut System) -> Result<(IndexSet<String>, bool)> {
    let replacement = cluster.target("replacement")?.process();
    let replacement = replacement.address("http").await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let (_, mut events) = ask(address, &chat("a brief", TOKENS, true)).stream().await?;
    let (mut software, mut count) = (IndexSet::new(), 0);
    while let Ok(Some(event)) = events.next().await {
        if event.data == DONE {
            return Ok((software, true));
        }
        // The last event of a stream that is broken off is an error.
        let chunk: Value = serde_json::from_str(&event.data)?;
        if chunk["choices"].is_array() {
            software.insert(chunk["system_fingerprint"].to_string());
        }
        count += 1;
        if count == READ {
            let proxy = cluster.target("engine-1")?.proxy("http")?;
            proxy.upstream(replacement);
            proxy.reset();
        }
    }
    Ok((software, false))
}

/// Guards against streams that go on at a target which has started again, before its announcement
/// arrives, with software that didn't begin them, or that may be other software; and against streams
/// that end although the same software goes on serving.
#[actix_rt::test]
async fn a_stream_goes_on_only_with_the_software_that_began_it() -> Result<()> {
    let (old, new) = (Some("1.1"), Some("1.2"));
    let cases = [
        (old, old, true),
        (old, new, false),
        (old, None, false),
        (None, new, false),
        (None, None, false),
    ];
    let mut wrong = Vec::new();
    for (before, after, goes_on) in cases {
        let mut cluster = replaceable(before, after).await?;
        let (software, is_whole) = read_across(&mut cluster).await?;
        if software.len() != 1 || is_whole != goes_on {
            wrong.push(format!("{before:?} {after:?}: {software:?} {is_whole}"));
        }
        cluster.stop().await?;
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}
