//! Streams of targets that start again with other software.

use indexmap::IndexSet;
use serde_json::{Value, json};
use zinniastall_tests::{Result, sse::DONE};

use super::support::{MODEL, System, ask, chat, error, runs, zone};

const TOKENS: usize = 40;
/// Events after which the target is replaced.
const READ: usize = 3;

fn engine(software: Option<&str>) -> Value {
    json!({"engine": {"token_us": 10_000}, "announce": {"software": software}})
}

/// Starts an engine behind a proxy, and one with other software that isn't announced.
async fn replaceable(before: Option<&str>, after: Option<&str>) -> Result<System> {
    let mut cluster = zone(&[engine(before)]).await?;
    let mut settings = engine(after);
    settings["announce"]["instances"] = json!([]);
    cluster
        .engine("replacement", ("patras", "a"), MODEL, settings)
        .await?;
    Ok(cluster)
}

/// Reads a stream whose target is replaced in between, at the address that it announced; returns the
/// software that wrote its events, and whether it is whole.
async fn read_across(cluster: &mut System) -> Result<(IndexSet<String>, bool)> {
    let replacement = cluster.target("replacement")?.process();
    let replacement = replacement.address("http").await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let (_, mut events) = ask(address, &chat("a brief", TOKENS, true))
        .stream()
        .await?;
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

/// Guards against a stream that a caller takes up at any target: nothing tells which software began it.
#[actix_rt::test]
async fn a_stream_that_a_caller_takes_up_is_rejected_before_a_target_sees_it() -> Result<()> {
    let mut cluster = zone(&[engine(Some("1.1")), engine(Some("1.2"))]).await?;
    let address = cluster.entry("patras-a-2")?.address("callers")?;
    let body = chat("the rest of a brief", TOKENS, true);
    for (name, value) in [("resumes", "nobody"), ("last-event-id", "3")] {
        let answer = ask(address, &body).header(name, value).send().await?;
        let ended = error(&answer);
        assert_eq!(answer.status(), 503, "{}", answer.text());
        assert_eq!(ended, ("not-run".to_owned(), "version-unknown".to_owned()));
    }
    for engine in ["engine-1", "engine-2"] {
        assert!(runs(&mut cluster, engine, &body).await?.is_empty());
    }
    cluster.stop().await
}
