//! Tests the loss of targets while they serve requests.

use serde_json::{Value, json};
use zinniastall_tests::{Result, http};

use super::support::{ask, ask_once, chat, error, expected, runs, ticket, zone};

pub(crate) fn engine(point: &str, action: &str, events: usize) -> Value {
    json!({
        "engine": {"token_us": 2000},
        "failure": {"point": point, "action": action, "events": events, "times": 0},
    })
}

pub(crate) fn failure(point: &str, action: &str, events: usize) -> Value {
    json!({"point": point, "action": action, "events": events, "times": 1})
}

// An engine dies after it has taken a request and before the first byte of the answer. The
// caller must get its answer from another engine.
#[actix_rt::test]
async fn lost_before_first_byte_is_answered_by_another() -> Result<()> {
    let mut cluster = zone(&[engine("none", "die", 0), engine("none", "die", 0)]).await?;
    cluster
        .fail("engine-1", &failure("first", "die", 0))
        .await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    for (index, stream) in [false, true, false, true].into_iter().enumerate() {
        let prompt = format!("room {index}");
        let body = chat(&prompt, 4, stream);
        if stream {
            let (_, events) = ask(address, &body).stream().await?;
            assert_eq!(http::content(events).await?, (expected(&prompt, 4), true));
        } else {
            let answer = ask(address, &body).send().await?;
            assert_eq!(answer.status(), 200, "{}", answer.text());
        }
        assert_eq!(runs(&mut cluster, "engine-2", &body).await?.len(), 1);
    }
    Ok(())
}

/// Defines a case: an engine breaks the connection of a stream at a point; the stream resumes at
/// its offset on the same engine and arrives complete, without a duplicated or missing event.
macro_rules! resumes {
    ($($name:ident: $point:literal, $events:literal => $offset:literal;)+) => {$(
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            let mut cluster = zone(&[engine("none", "cut", 0)]).await?;
            cluster.fail("engine-1", &failure($point, "cut", $events)).await?;
            let address = cluster.entry("patras-a-1")?.address("callers")?;
            let body = chat("which rooms are there", 8, true);
            let (_, events) = ask(address, &body).stream().await?;
            let answer = http::content(events).await?;
            assert_eq!(answer, (expected("which rooms are there", 8), true));
            let runs = runs(&mut cluster, "engine-1", &body).await?;
            let offsets: Vec<_> = runs.iter().map(|run| run["offset"].as_u64()).collect();
            assert_eq!(offsets, [Some(0), Some($offset)]);
            cluster.stop().await
        }
    )+};
}

resumes! {
    cut_within_a_stream_resumes: "events", 3 => 3;
    cut_before_the_end_resumes: "end", 0 => 8;
}

/// Defines a case: an engine dies at a point of a stream. The caller gets what has arrived, and
/// must be able to tell that the answer is incomplete.
macro_rules! cut_short {
    ($($name:ident: $point:literal, $events:literal;)+) => {$(
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            let mut cluster = zone(&[engine("none", "die", 0)]).await?;
            cluster.fail("engine-1", &failure($point, "die", $events)).await?;
            let address = cluster.entry("patras-a-1")?.address("callers")?;
            let (_, events) = ask(address, &chat("a brief", 8, true)).stream().await?;
            let (text, done) = http::content(events).await?;
            assert!(!done, "a cut answer looked complete: {text}");
            assert!(expected("a brief", 8).starts_with(&text));
            Ok(())
        }
    )+};
}

cut_short! {
    killed_within_a_stream_never_looks_whole: "events", 3;
    killed_before_the_end_never_looks_whole: "end", 0;
}

/// Defines a case: an at-most-once request and the point at which its engine fails. The caller
/// gets the outcome "unknown"; nothing runs the request again, not even the idle second engine.
macro_rules! unknown_once {
    ($($name:ident: $point:literal, $action:literal;)+) => {$(
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            let mut cluster = zone(&[engine("none", "cut", 0), engine("none", "cut", 0)]).await?;
            for engine in ["engine-1", "engine-2"] {
                cluster.fail(engine, &failure($point, $action, 0)).await?;
            }
            let address = cluster.entry("patras-a-1")?.address("callers")?;
            let ticket = ticket(address).await?;
            let body = chat("a billed proposal", 4, false);
            for _ in 0..3 {
                let answer = ask_once(address, &ticket, &body).send().await?;
                assert_eq!(error(&answer).0, "unknown", "{}", answer.text());
            }
            let mut ran = 0;
            for engine in ["engine-1", "engine-2"] {
                ran += runs(&mut cluster, engine, &body).await?.len();
            }
            assert_eq!(ran, 1);
            cluster.stop().await
        }
    )+};
}

unknown_once! {
    once_cut_before_first_byte: "first", "cut";
    once_cut_before_the_end: "end", "cut";
}
