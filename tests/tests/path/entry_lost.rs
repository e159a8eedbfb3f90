//! Tests the loss of an entry instance while an answer passes through it.

use std::{cell::Cell, rc::Rc};

use zinniastall_tests::{
    Result,
    http::{self, Request},
    wait,
};

use serde_json::json;

use super::{
    loss::{engine, failure},
    support::{ask, ask_once, chat, error, expected, runs, ticket, zone_with},
};

const PROMPT: &str = "a schedule for the nursery";
const TOKENS: usize = 8;

/// Reads a stream and counts its events; returns its text and whether it is complete.
async fn read(request: Request, seen: Rc<Cell<usize>>) -> Result<(String, bool)> {
    let (_, events) = request.stream().await?;
    http::content_with(events, |count| seen.set(count)).await
}

/// Loses an instance when the engine has stopped at a point of a stream, and resends the request
/// to the other instance of the zone. Compares both answers with the engine's ledger.
async fn lose_instance(point: &str, events: usize, freeze: bool, once: bool) -> Result<()> {
    let entry = json!({"stall_ms": 2000, "tickets": {"linger_ms": 200}});
    let mut cluster = zone_with(&[engine("none", "die", 0)], entry).await?;
    cluster
        .fail("engine-1", &failure(point, "hang", events))
        .await?;
    let first = cluster.entry("patras-a-1")?.address("callers")?;
    let second = cluster.entry("patras-a-2")?.address("callers")?;
    let (ticket, body) = (ticket(first).await?, chat(PROMPT, TOKENS, true));
    let request = |address| {
        let request = if once {
            ask_once(address, &ticket, &body)
        } else {
            ask(address, &body)
        };
        request.header("x-zinniastall-deadline-ms", "4000")
    };
    let seen = Rc::new(Cell::new(0));
    let reading = actix_rt::spawn(read(request(first), Rc::clone(&seen)));
    wait::until("the engine at its failure point", async || {
        let runs = runs(&mut cluster, "engine-1", &body).await.ok()?;
        (runs.len() == 1 && seen.get() == events).then_some(())
    })
    .await?;
    let process = cluster.entry("patras-a-1")?.process();
    if freeze {
        process.freeze()?;
    } else {
        process.kill()?;
    }
    if once {
        let again = request(second).send().await?;
        assert_eq!(error(&again).0, "unknown", "{}", again.text());
    } else {
        let again = read(request(second), Rc::default()).await?;
        assert_eq!(again, (expected(PROMPT, TOKENS), true));
    }
    if freeze {
        cluster.entry("patras-a-1")?.process().resume()?;
    }
    // The engine sends nothing more, so a complete first answer must come from its resumption.
    if let Ok((text, done)) = reading.await.map_err(std::io::Error::other)? {
        assert!(
            expected(PROMPT, TOKENS).starts_with(&text),
            "not the text of this answer: {text}"
        );
        assert!(
            !done || text == expected(PROMPT, TOKENS),
            "looked complete: {text}"
        );
        assert!(!(done && once), "an answer without its end looked complete");
    }
    let ran = runs(&mut cluster, "engine-1", &body).await?.len();
    assert!(if once { ran == 1 } else { ran >= 2 }, "{ran} runs");
    Ok(())
}

/// Defines a case: the point that the stream has reached, how the instance is lost, and whether
/// the request may run only once.
macro_rules! lost {
    ($($name:ident: $point:literal, $events:expr, $freeze:literal, $once:literal;)+) => {$(
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            lose_instance($point, $events, $freeze, $once).await
        }
    )+};
}

// The instance that serves a request is killed, or frozen like a virtual machine that is
// migrated, before the first byte of the answer, within it, or right before its end. The caller
// resends to the other instance: an idempotent request must be answered; an at-most-once request
// must not run again and is answered as unknown.
lost! {
    killed_before_the_first_byte: "first", 0, false, false;
    killed_before_the_first_byte_of_once: "first", 0, false, true;
    killed_within_a_stream: "events", 3, false, false;
    killed_within_a_stream_of_once: "events", 3, false, true;
    killed_before_the_end: "end", TOKENS, false, false;
    killed_before_the_end_of_once: "end", TOKENS, false, true;
    frozen_before_the_first_byte: "first", 0, true, false;
    frozen_before_the_first_byte_of_once: "first", 0, true, true;
    frozen_within_a_stream: "events", 3, true, false;
    frozen_within_a_stream_of_once: "events", 3, true, true;
    frozen_before_the_end: "end", TOKENS, true, false;
    frozen_before_the_end_of_once: "end", TOKENS, true, true;
}
