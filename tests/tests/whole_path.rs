//! The whole path: an operator's change, a caller's question, a streamed answer, a clean end.

use serde_json::json;
use zinniastall_tests::{Result, cluster::Cluster, http};

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
    cluster.located("patras-a-1", KEY, MODEL, 2).await?;
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": 8,
        "messages": [{"role": "user", "content": "Which rooms are there?"}],
    });
    for entry in ["patras-a-1", "patras-b-1"] {
        let address = cluster.entry(entry)?.address("callers")?;
        cluster.serves(address, KEY, &body).await?;
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
