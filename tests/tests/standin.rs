//! Tests that the stand-ins behave as the system tests assume.

use serde_json::{Value, json};
use zinniastall_tests::{Result, http, process::Process, settings, wait};

async fn start_engine(change: Value) -> Result<(Process, std::net::SocketAddr)> {
    let mut settings = json!({
        "kind": "engine",
        "listen": "127.0.0.1:0",
        "engine": {"models": [{"model": "map-labels", "version": "1"}], "token_us": 1000},
    });
    settings::merge(&mut settings, change);
    let mut process = settings::start("engine", "zinniastall-standin", &settings)?;
    let address = process.address("http").await?;
    Ok((process, address))
}

fn chat(prompt: &str, stream: bool) -> Value {
    json!({
        "model": "map-labels", "stream": stream, "max_tokens": 5,
        "messages": [{"role": "user", "content": prompt}],
    })
}

async fn ledger(address: std::net::SocketAddr) -> Result<Vec<Value>> {
    let answer = http::get(address, "/ledger").send().await?.json()?;
    Ok(answer.as_array().cloned().unwrap_or_default())
}

async fn read_stream(address: std::net::SocketAddr, offset: usize) -> Result<(String, bool)> {
    let request = http::post(address, "/v1/chat/completions").json(&chat("room 1", true));
    let request = request.header("x-zinniastall-offset", &offset.to_string());
    let (_, events) = request.stream().await?;
    http::content(events).await
}

#[actix_rt::test]
async fn streams_match_whole_answers() -> Result<()> {
    let (mut process, address) = start_engine(json!({})).await?;
    let request = http::post(address, "/v1/chat/completions").json(&chat("room 1", false));
    let whole = request.send().await?.json()?;
    let whole = &whole["choices"][0]["message"]["content"];
    let (text, done) = read_stream(address, 0).await?;
    assert_eq!(*whole, json!(text));
    assert!(done);
    let (rest, done) = read_stream(address, 2).await?;
    assert!(done && text.ends_with(&rest) && rest.len() < text.len());
    let entries = ledger(address).await?;
    assert_eq!(entries.len(), 3);
    assert!(entries.iter().all(|entry| entry["finished"].is_u64()));
    assert!(process.stop().await?.success());
    Ok(())
}

#[actix_rt::test]
async fn full_engines_refuse_before_running() -> Result<()> {
    let slow = json!({"slots": 1, "queue": 0, "engine": {"first_ms": 60_000}});
    let (_process, address) = start_engine(slow).await?;
    let first = http::post(address, "/v1/chat/completions").json(&chat("room 1", true));
    let (_, _events) = first.stream().await?;
    let second = http::post(address, "/v1/chat/completions").json(&chat("room 2", true));
    let refusal = second.send().await?;
    assert_eq!(refusal.status(), 503);
    assert_eq!(refusal.header("x-zinniastall-outcome"), "not-run");
    assert_eq!(ledger(address).await?.len(), 1);
    Ok(())
}

#[actix_rt::test]
async fn callers_that_go_away_cancel() -> Result<()> {
    let (_process, address) = start_engine(json!({"engine": {"first_ms": 60_000}})).await?;
    let request = http::post(address, "/v1/chat/completions").json(&chat("room 1", true));
    let (_, events) = request.stream().await?;
    drop(events);
    wait::until("the run cancelled", async || {
        let entries = ledger(address).await.ok()?;
        (entries[0]["cancelled"] == true).then_some(())
    })
    .await
}

macro_rules! failures {
    ($($name:ident: $failure:expr => $content:expr;)*) => {$(
        /// The answer breaks off at the configured point and never looks complete.
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            let (_process, address) = start_engine(json!({"failure": $failure})).await?;
            let answer = read_stream(address, 0).await.ok();
            let events = answer.map(|(text, done)| {
                assert!(!done);
                text.split_whitespace().count()
            });
            assert_eq!(events, $content);
            Ok(())
        }
    )*};
}

failures! {
    dies_before_the_first_byte: json!({"point": "first"}) => None;
    dies_after_events: json!({"point": "events", "events": 2}) => Some(2);
    cuts_after_events: json!({"point": "events", "events": 2, "action": "cut"}) => Some(2);
    cuts_before_the_end: json!({"point": "end", "action": "cut"}) => Some(5);
}

#[actix_rt::test]
async fn orders_with_old_numbers_are_refused_by_engines_that_check() -> Result<()> {
    for (checks, expected) in [(true, 409), (false, 200)] {
        let (_process, address) = start_engine(json!({"engine": {"checks_fence": checks}})).await?;
        let order = |fence: &str| {
            let body = json!({"role": "decode", "models": [], "adapters": []});
            http::post(address, "/v1/orders")
                .json(&body)
                .header("x-zinniastall-fence", fence)
        };
        assert_eq!(order("7").send().await?.status(), 200);
        assert_eq!(order("6").send().await?.status(), expected);
    }
    Ok(())
}

/// A target is killed and restarted. Its ledger must keep what it ran before, or a test would
/// take a request that ran for one that did not.
#[actix_rt::test]
async fn ledgers_in_files_outlive_their_process() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let file = json!({"ledger_file": folder.path().join("ledger")});
    let (mut process, address) = start_engine(file.clone()).await?;
    read_stream(address, 0).await?;
    // At one token a millisecond the answer takes a minute, so that it cannot end before the
    // kill.
    let mut long = chat("room 2", true);
    long["max_tokens"] = json!(60_000);
    let request = http::post(address, "/v1/chat/completions").json(&long);
    let (_, mut events) = request.stream().await?;
    events.next().await?;
    process.kill()?;
    let (_process, address) = start_engine(file).await?;
    let entries = ledger(address).await?;
    let cancelled: Vec<&Value> = entries.iter().map(|entry| &entry["cancelled"]).collect();
    assert_eq!(cancelled, [&json!(false), &json!(true)]);
    Ok(())
}
