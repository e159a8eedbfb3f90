//! Tests each call of docs/CALLERS.md.

use serde_json::json;
use zinniastall_tests::{Result, http};

use super::support::{KEY, MODEL, ask, chat, error, text, zone};

// A portal fetches proof sheets and orders prints through the same path as models. An order is
// not idempotent, so it needs a ticket; its resend gets the recorded answer.
#[actix_rt::test]
async fn every_call_answers_as_documented() -> Result<()> {
    let mut cluster = zone(&[json!({"engine": {"token_us": 1000}})]).await?;
    let place = ("patras", "a");
    cluster
        .service("portal-1", place, "portal", json!({}))
        .await?;
    for (id, prefix, idempotent) in [("proofs", "/proofs", true), ("prints", "/prints", false)] {
        let route =
            json!({"id": id, "prefix": prefix, "service": "portal", "idempotent": idempotent});
        cluster.apply(&json!({ "route": route })).await?;
    }
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let path = format!("/v1/locate?subject={MODEL}&region=patras&zone=a&tickets=2");
    let located = http::get(address, &path).key(KEY).send().await?;
    println!("{}", located.text());
    let located = located.json()?;
    assert_eq!(located["instances"].as_array().map(Vec::len), Some(2));
    assert_eq!(located["tickets"].as_array().map(Vec::len), Some(2));

    let whole = ask(address, &chat("room", 3, false)).send().await?;
    println!("{:?}\n{}", whole.head, whole.text());
    assert_eq!(whole.header("x-zinniastall-outcome"), "answered");
    let stream = ask(address, &chat("room", 2, true)).send().await?;
    println!("{:?}\n{}", stream.head, stream.text());
    assert!(stream.text().ends_with("data: [DONE]\n\n"));

    let portal = "portal answering";
    zinniastall_tests::wait::until(portal, async || {
        let answer = http::get(address, "/proofs/7").key(KEY).send().await.ok()?;
        (answer.status() == 200).then_some(())
    })
    .await?;
    let proofs = http::get(address, "/proofs/7?page=2")
        .key(KEY)
        .send()
        .await?;
    println!("{}", proofs.text());
    assert_eq!(proofs.json()?["service"], "portal");
    let order = || {
        http::post(address, "/prints")
            .key(KEY)
            .json(&json!({"sheet": 7}))
    };
    let refused = order().send().await?;
    println!("{:?}\n{}", refused.head, refused.text());
    assert_eq!(refused.status(), 428);
    assert_eq!(
        error(&refused),
        ("not-run".into(), "ticket-required".into())
    );
    let ticket = text(&refused.json()?["error"]["ticket"]);
    let first = order()
        .header("x-zinniastall-ticket", &ticket)
        .send()
        .await?;
    let again = order()
        .header("x-zinniastall-ticket", &ticket)
        .send()
        .await?;
    println!("{}", first.text());
    assert_eq!((first.status(), first.text()), (200, again.text()));
    let prints = cluster.ledger("portal-1").await?;
    let prints = prints.iter().filter(|run| run["call"] == "POST /prints");
    assert_eq!(prints.count(), 1);

    let unknown = ask(address, &json!({"model": "none"})).send().await?;
    println!("{:?}\n{}", unknown.head, unknown.text());
    assert_eq!(unknown.status(), 404);
    cluster.stop().await
}
