//! Answers without a length or chunks, and answers that are broken off, on the entry path.

use std::net::SocketAddr;

use serde_json::{Value, json};
use zinniastall_http::ending::Ending;
use zinniastall_tests::{
    Result,
    cluster::Cluster,
    raw::{self, Answer},
};

use super::support::{
    CHAT, KEY, MODEL, ONCE, System, TICKET, chat, configure, expected, short_linger, ticket,
};

const TOKENS: usize = 6;
const ENGINE: &str = "engine-1";
/// An instance beside the engine, and one that forwards to that one.
const ENTRIES: [&str; 2] = ["patras-a-1", "patras-b-1"];

/// Starts two zones, one with an engine whose answers have no framing unless `chunked`.
async fn system(chunked: bool) -> Result<System> {
    let builder = Cluster::builder()
        .zone("patras", "a", 1)
        .zone("patras", "b", 1);
    let mut cluster = System::start(builder.entry(short_linger())).await?;
    let settings = json!({
        "unframed": !chunked,
        "engine": {"token_us": 1000},
        "failure": {"point": "none", "action": "end", "times": 0},
    });
    cluster
        .engine(ENGINE, ("patras", "a"), MODEL, settings)
        .await?;
    configure(&mut cluster).await?;
    for entry in ENTRIES {
        cluster.wait_located(entry, KEY, MODEL, 1).await?;
        let address = cluster.entry(entry)?.address("callers")?;
        let body = chat("are you there", 1, false);
        cluster.wait_serving(address, KEY, &body).await?;
    }
    Ok(cluster)
}

/// Asks for an answer to a request that must not be repeated.
async fn ask(address: SocketAddr, version: &str, body: &Value) -> Result<Answer> {
    let ticket = ticket(address).await?;
    let body = body.to_string();
    let length = body.len();
    let request = format!(
        "POST {CHAT} HTTP/{version}\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         {}: {}\r\n{TICKET}: {ticket}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}",
        ONCE.0, ONCE.1
    );
    raw::send(address, &request).await
}

/// Returns whether a body is the whole answer to a prompt.
fn is_whole(prompt: &str, is_stream: bool, body: &str) -> bool {
    if is_stream {
        return body.ends_with("data: [DONE]\n\n");
    }
    let answer: Value = serde_json::from_str(body).unwrap_or_default();
    answer["choices"][0]["message"]["content"] == expected(prompt, TOKENS)
}

/// Asks every way for plain answers and streams, which fail as given, and returns what is wrong.
async fn mistakes(cluster: &mut System, failure: Option<&Value>) -> Result<Vec<String>> {
    let mut mistakes = Vec::new();
    for entry in ENTRIES {
        let address = cluster.entry(entry)?.address("callers")?;
        for (version, is_stream) in [("1.1", false), ("1.1", true), ("1.0", false), ("1.0", true)] {
            if let Some(failure) = failure {
                cluster.fail(ENGINE, failure).await?;
            }
            let prompt = format!("{entry} {version} {is_stream} {failure:?}");
            let answer = ask(address, version, &chat(&prompt, TOKENS, is_stream)).await?;
            let is_whole = is_whole(&prompt, is_stream, &answer.text());
            let claims_whole = answer.ending == Ending::Complete
                || answer.header("x-zinniastall-outcome") == "answered";
            let is_mistake = match failure {
                None => !is_whole || answer.ending == Ending::Incomplete,
                // A stream's closing event is missing, so it is known to be broken off.
                Some(_) if is_stream && !is_whole => {
                    answer.ending == Ending::Unconfirmed
                        || claims_whole && answer.head.status == 200
                }
                Some(_) => answer.head.status == 200 && claims_whole && !is_whole,
            };
            if is_mistake {
                mistakes.push(format!("{prompt}: {:?} {}", answer.ending, answer.text()));
            }
        }
    }
    Ok(mistakes)
}

/// Guards against answers without framing that are lost, and broken ones that look complete.
#[actix_rt::test]
async fn an_answer_without_framing_is_delivered_with_its_doubt() -> Result<()> {
    let mut all = Vec::new();
    for chunked in [false, true] {
        let mut cluster = system(chunked).await?;
        all.extend(mistakes(&mut cluster, None).await?);
        for point in ["events", "end"] {
            for action in ["end", "tear", "cut"] {
                let events = if point == "events" { 3 } else { 0 };
                let failure =
                    json!({"point": point, "action": action, "events": events, "times": 1});
                // A plain answer that is cut in half and states the length of that half is whole to
                // everybody.
                if chunked && point == "end" && action != "cut" {
                    continue;
                }
                all.extend(mistakes(&mut cluster, Some(&failure)).await?);
            }
        }
        cluster.stop().await?;
    }
    assert!(all.is_empty(), "{all:#?}");
    Ok(())
}
