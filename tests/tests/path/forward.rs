//! Tests requests that are forwarded between regions.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use zinniastall_tests::{
    Result,
    cluster::Cluster,
    http,
    log::field,
    proxy::rule::{Direction, Rule},
    wait,
};

use super::support::{
    CLIENT, KEY, MODEL, System, ask, ask_once, chat, configure, error, expected, runs,
    short_linger, ticket,
};

/// Starts two regions; only the remote one has an engine.
pub(crate) async fn regions() -> Result<System> {
    regions_with(json!({"engine": {"token_us": 20_000}}), json!({})).await
}

/// Does the same with settings of the engine and settings merged over those of the entry
/// instances.
pub(crate) async fn regions_with(engine: Value, entry: Value) -> Result<System> {
    let builder = Cluster::builder()
        .zone("patras", "a", 1)
        .zone("athens", "a", 1)
        .entry(short_linger())
        .entry(entry);
    let mut cluster = System::start(builder).await?;
    cluster
        .engine("engine-1", ("athens", "a"), MODEL, engine)
        .await?;
    configure(&mut cluster).await?;
    cluster.residency(CLIENT, &["patras", "athens"]).await?;
    cluster.wait_located("patras-a-1", KEY, MODEL, 2).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    cluster
        .wait_serving(address, KEY, &chat("probe", 1, false))
        .await?;
    Ok(cluster)
}

// The home region has lost its engines. A client that may use another region is served there,
// with whole and streamed answers, and so are at-most-once requests.
#[actix_rt::test]
async fn other_region_serves_when_home_cannot() -> Result<()> {
    let mut cluster = regions().await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let (head, events) = ask(address, &chat("a request", 6, true)).stream().await?;
    assert_eq!(head.header("x-zinniastall-place"), "athens/a");
    assert_eq!(head.header("x-zinniastall-target"), "engine-1");
    assert_eq!(
        http::content(events).await?,
        (expected("a request", 6), true)
    );
    let (ticket, body) = (ticket(address).await?, chat("billed work", 2, false));
    for _ in 0..3 {
        let answer = ask_once(address, &ticket, &body).send().await?;
        assert_eq!(answer.status(), 200, "{}", answer.text());
    }
    assert_eq!(runs(&mut cluster, "engine-1", &body).await?.len(), 1);
    cluster.stop().await
}

// The remote instance is killed in the middle of an answer. A partial answer must not look
// complete, and an at-most-once request must not run again.
#[actix_rt::test]
async fn far_instance_killed_within_an_answer() -> Result<()> {
    let mut cluster = regions().await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let body = chat("a long request", 100, true);
    let ticket = ticket(address).await?;
    let (_, events) = ask_once(address, &ticket, &body).stream().await?;
    cluster.entry("athens-a-1")?.process().kill()?;
    let (text, done) = http::content(events).await?;
    assert!(!done, "a cut answer looked whole: {text}");
    let answer = ask_once(address, &ticket, &body).send().await?;
    assert_eq!(error(&answer).0, "unknown", "{}", answer.text());
    assert_eq!(runs(&mut cluster, "engine-1", &body).await?.len(), 1);
    Ok(())
}

// An operator withdraws a region from a client while its requests are in flight there. Once the
// change is accepted, no further request runs in that region, and callers get "not run".
#[actix_rt::test]
async fn narrowed_residency_holds_while_requests_are_in_flight() -> Result<()> {
    let mut cluster = regions().await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let in_flight = actix_rt::spawn(async move {
        let mut refused = 0;
        for number in 0..400 {
            let body = chat(&format!("flying {number}"), 1, false);
            let answer = ask(address, &body).send().await?;
            if answer.status() != 200 {
                assert_eq!(error(&answer).0, "not-run", "{}", answer.text());
                refused += 1;
            }
        }
        Ok::<_, zinniastall_tests::Error>(refused)
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let rule = json!({"residency": {"id": CLIENT, "client": CLIENT, "regions": ["patras"]}});
    let rule = rule.to_string();
    cluster
        .ctl(&["--wait", "10000", "apply", &rule])
        .await?
        .json()?;
    wait::until("the change in force", async || {
        let body = chat("probe", 1, false);
        let answer = ask(address, &body).send().await.ok()?;
        (answer.status() != 200).then_some(())
    })
    .await?;
    let accepted = now();
    assert!(
        in_flight.await.expect("the load ends")? > 0,
        "none was refused"
    );
    let late: Vec<Value> = cluster.ledger("engine-1").await?;
    let late = late
        .iter()
        .filter(|run| run["started"].as_u64() > Some(accepted));
    assert_eq!(late.count(), 0);
    cluster.stop().await
}

// An engine is full and a request waits for it at the instance. Meanwhile the operator withdraws
// the region from the client, and the change is accepted. The request must not run there
// afterwards, although it was admitted when that was permitted.
#[actix_rt::test]
async fn waiting_request_obeys_a_narrower_rule() -> Result<()> {
    let builder = Cluster::builder()
        .zone("patras", "a", 1)
        .zone("athens", "a", 1);
    let mut cluster = System::start(builder).await?;
    let engine = json!({"slots": 1, "engine": {"token_us": 20_000}});
    cluster
        .engine("engine-1", ("patras", "a"), MODEL, engine)
        .await?;
    configure(&mut cluster).await?;
    cluster.residency(CLIENT, &["patras", "athens"]).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    cluster
        .wait_serving(address, KEY, &chat("probe", 1, false))
        .await?;
    let long = |number| chat(&format!("long {number}"), 150, false);
    let in_flight: Vec<_> = (0..4)
        .map(|number| actix_rt::spawn(ask(address, &long(number)).send()))
        .collect();
    wait::until("the engine busy", async || {
        let runs = cluster.ledger("engine-1").await.ok()?;
        // The first run is the probe.
        (runs.len() > 1).then_some(())
    })
    .await?;
    let rule = json!({"residency": {"id": CLIENT, "client": CLIENT, "regions": ["athens"]}});
    let run = cluster
        .ctl(&["--wait", "10000", "apply", &rule.to_string()])
        .await?;
    assert_eq!(run.json()?["outcome"], "accepted");
    let mut refused = 0;
    for in_flight in in_flight {
        let answer = in_flight.await.map_err(std::io::Error::other)??;
        if answer.status() != 200 {
            assert_eq!(error(&answer).0, "not-run", "{}", answer.text());
            refused += 1;
        }
    }
    // One runs, and at most one is in the engine's own queue; the others waited at the instance.
    assert!(refused >= 2, "{refused} refused");
    let ran = cluster.ledger("engine-1").await?.len() - 1;
    assert_eq!(ran + refused, 4, "a refused request ran");
    cluster.stop().await
}

// The home instance is cut off from control and still permits the remote region; the remote
// instance has the newer rule. The stricter of the two applies: the request is refused there and
// runs nowhere.
#[actix_rt::test]
async fn stricter_of_two_revisions_wins() -> Result<()> {
    let mut cluster = regions().await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let stalled = Rule::default().with(Direction::Both, |lane| lane.stalled = true);
    cluster.set_link_rules(|from, to| {
        let ends = [from.name(), to.name()];
        let cut = ends.contains(&"control-1") && ends.contains(&"patras-a-1");
        cut.then_some(stalled)
    });
    let rule = json!({"residency": {"id": CLIENT, "client": CLIENT, "regions": ["patras"]}});
    let run = cluster.ctl(&["apply", &rule.to_string()]).await?;
    let run: Value = serde_json::from_str(&run.output)?;
    let revision = run["revision"].to_string();
    wait::until("the rule in force at the remote instance", async || {
        let lines = cluster
            .entry("athens-a-1")
            .ok()?
            .process()
            .log()
            .events("in-force");
        let newest = lines.last()?;
        (field(newest, "revision")? == revision).then_some(())
    })
    .await?;
    let body = chat("a request that has to stay", 2, false);
    let answer = ask(address, &body).send().await?;
    assert_eq!(error(&answer).0, "not-run", "{}", answer.text());
    assert_eq!(runs(&mut cluster, "engine-1", &body).await?.len(), 0);
    Ok(())
}

// The link between two regions goes silent while a request is in flight. Its caller gets the
// outcome "unknown" in time, and both regions go on serving their own callers.
#[actix_rt::test]
async fn cut_regions_serve_their_own() -> Result<()> {
    let mut cluster = regions().await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let far = cluster.entry("athens-a-1")?.address("callers")?;
    let body = chat("a long request", 150, false);
    let request = ask(address, &body).header("x-zinniastall-deadline-ms", "30000");
    let in_flight = actix_rt::spawn(request.send());
    wait::until("the request running", async || {
        let runs = runs(&mut cluster, "engine-1", &body).await.ok()?;
        (runs.len() == 1).then_some(())
    })
    .await?;
    for entry in ["athens-a-1", "patras-a-1"] {
        cluster.entry(entry)?.proxy("links")?.stall(Direction::Both);
    }
    cluster.partition(|node| node.region() == "athens");
    let cut = Instant::now();
    let answer = in_flight.await.expect("the request ends")?;
    assert_eq!(error(&answer).0, "unknown", "{}", answer.text());
    // Long before its deadline, because the link was found silent.
    assert!(
        cut.elapsed() < Duration::from_secs(15),
        "{:?}",
        cut.elapsed()
    );
    cluster
        .engine("engine-2", ("patras", "a"), MODEL, json!({}))
        .await?;
    for address in [far, address] {
        cluster
            .wait_serving(address, KEY, &chat("own", 2, false))
            .await?;
        for number in 0..5 {
            let answer = ask(address, &chat(&format!("request {number}"), 2, false));
            assert_eq!(answer.send().await?.status(), 200);
        }
    }
    Ok(())
}

// A caller sends the system's internal headers, as if an instance had forwarded the request:
// another client's name, an offset, a fencing token. None of them may reach a target.
#[actix_rt::test]
async fn forged_headers_are_dropped() -> Result<()> {
    let mut cluster = regions().await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let body = chat("a forged scan", 3, true);
    let request = ask(address, &body)
        .header("x-zinniastall-client", "studio")
        .header("x-zinniastall-offset", "2")
        .header("x-zinniastall-hops", "athens/a")
        .header("x-zinniastall-fence", "999");
    let (_, events) = request.stream().await?;
    let answer = http::content(events).await?;
    assert_eq!(answer, (expected("a forged scan", 3), true));
    let runs = runs(&mut cluster, "engine-1", &body).await?;
    assert_eq!(runs[0]["client"], CLIENT);
    assert_eq!(runs[0]["offset"], 0);
    cluster.stop().await
}

fn now() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
