//! Tests the whole path: an operator's change, a request, a streamed answer, a clean stop.

use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream};
use zinniastall_tests::{Result, cluster::Cluster, http, usage};

const MODEL: &str = "map-labels";
const KEY: &str = "a-key";

#[actix_rt::test]
async fn whole_path_answers_and_ends_cleanly() -> Result<()> {
    let mut cluster = Cluster::builder()
        .zone("patras", "a", 1)
        .zone("patras", "b", 1)
        .start()
        .await?;
    for (name, zone) in [("engine-a", "a"), ("engine-b", "b")] {
        cluster
            .engine(name, ("patras", zone), MODEL, json!({}))
            .await?;
    }
    cluster.client("maps", KEY).await?;
    cluster.model(MODEL).await?;
    cluster.wait_located("patras-a-1", KEY, MODEL, 2).await?;
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": 8,
        "messages": [{"role": "user", "content": "Which rooms are there?"}],
    });
    for entry in ["patras-a-1", "patras-b-1"] {
        let address = cluster.entry(entry)?.address("callers")?;
        cluster.wait_serving(address, KEY, &body).await?;
        let request = http::post(address, "/v1/chat/completions").key(KEY);
        let (head, events) = request.json(&body).stream().await?;
        assert_eq!(head.status, 200);
        assert_eq!(head.header("x-zinniastall-instance"), entry);
        assert!(head.header("x-zinniastall-target").starts_with("engine-"));
        let (text, done) = http::content(events).await?;
        assert!(done);
        assert_eq!(text.split_whitespace().count(), 8);
    }
    cluster.stop().await
}

/// Callers that send endless heads, and the memory that each may cost at most, in bytes: the
/// buffer of a head, which the HTTP library bounds by 128 KiB, and as much again while it grows.
const ENDLESS_HEADS: (usize, u64) = (200, 256 * 1024);

// A faulty caller sends headers without end on many connections at once. If heads were not
// bounded, the instance would be killed for lack of memory, and all of its callers would lose
// their answers.
#[actix_rt::test]
async fn endless_heads_cost_bounded_memory() -> Result<()> {
    let mut cluster = Cluster::builder().zone("patras", "a", 1).start().await?;
    cluster
        .engine("engine-a", ("patras", "a"), MODEL, json!({}))
        .await?;
    cluster.client("maps", KEY).await?;
    cluster.model(MODEL).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let body = json!({"model": MODEL, "messages": [{"role": "user", "content": "room"}]});
    cluster.wait_serving(address, KEY, &body).await?;
    let id = cluster.entry("patras-a-1")?.process().id();
    let baseline = usage::memory(id)?;
    let (callers, max_bytes) = ENDLESS_HEADS;
    let mut open = Vec::new();
    for _ in 0..callers {
        let mut stream = TcpStream::connect(address).await?;
        let head = format!("GET / HTTP/1.1\r\nx-a: {}", "b".repeat(4 << 20));
        // The refusal closes the connection before everything is written.
        let _ = stream.write_all(head.as_bytes()).await;
        open.push(stream);
    }
    let used = usage::memory(id)?.saturating_sub(baseline);
    println!("{callers} endless heads: {used} bytes");
    assert!(used < max_bytes * callers as u64, "{used} bytes");
    cluster.wait_serving(address, KEY, &body).await?;
    cluster.stop().await
}
