//! Small systems, requests and counts of runs.

use std::{
    net::SocketAddr,
    ops::{Deref, DerefMut},
};

use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit};
use zinniastall_tests::{
    Result,
    cluster::{Builder, Cluster},
    http::{self, Answer, Request},
    wait,
};

pub(crate) const MODEL: &str = "map-labels";
pub(crate) const KEY: &str = "maps-key";
pub(crate) const CLIENT: &str = "maps";
pub(crate) const CHAT: &str = "/v1/chat/completions";
pub(crate) const TICKET: &str = "x-zinniastall-ticket";
pub(crate) const ONCE: (&str, &str) = ("x-zinniastall-idempotent", "false");

/// Systems that may run concurrently. Each has half a dozen processes; with many more than the
/// machine has cores for, tests would only measure contention.
static PERMITS: Semaphore = Semaphore::const_new(4);

/// A system that holds its permit to run.
pub(crate) struct System {
    cluster: Cluster,
    _permit: SemaphorePermit<'static>,
}

impl System {
    /// Waits for a permit and starts a system.
    pub(crate) async fn start(builder: Builder) -> Result<Self> {
        let place = PERMITS.acquire().await.expect("never closed");
        Ok(Self {
            cluster: builder.start().await?,
            _permit: place,
        })
    }
}

impl Deref for System {
    type Target = Cluster;

    fn deref(&self) -> &Cluster {
        &self.cluster
    }
}

impl DerefMut for System {
    fn deref_mut(&mut self) -> &mut Cluster {
        &mut self.cluster
    }
}

/// Starts one zone with two entry instances and an engine for each of these settings.
pub(crate) async fn zone(engines: &[Value]) -> Result<System> {
    zone_with(engines, short_linger()).await
}

/// Returns settings of entry instances that linger only briefly when they stop with used
/// tickets, so that tests need not wait.
pub(crate) fn short_linger() -> Value {
    json!({"tickets": {"linger_ms": 200}})
}

/// Does the same with settings merged over those of the entry instances.
pub(crate) async fn zone_with(engines: &[Value], entry: Value) -> Result<System> {
    let builder = Cluster::builder().zone("patras", "a", 2).entry(entry);
    let mut cluster = System::start(builder).await?;
    for (number, settings) in engines.iter().enumerate() {
        let name = format!("engine-{}", number + 1);
        let place = ("patras", "a");
        cluster
            .engine(&name, place, MODEL, settings.clone())
            .await?;
    }
    configure(&mut cluster).await?;
    for entry in ["patras-a-1", "patras-a-2"] {
        cluster.wait_located(entry, KEY, MODEL, 2).await?;
        wait_uses_targets(&mut cluster, entry, engines.len()).await?;
    }
    Ok(cluster)
}

/// Applies a client and a model.
pub(crate) async fn configure(cluster: &mut Cluster) -> Result<()> {
    cluster.client(CLIENT, KEY).await?;
    cluster.model(MODEL).await?;
    for entry in cluster.entries() {
        entry.running().event("retry-share").await?;
    }
    Ok(())
}

/// Waits until an entry instance has used this many targets.
pub(crate) async fn wait_uses_targets(
    cluster: &mut Cluster,
    entry: &str,
    targets: usize,
) -> Result<()> {
    let address = cluster.entry(entry)?.address("callers")?;
    let mut seen = indexmap::IndexSet::new();
    wait::until(&format!("{entry} using {targets} targets"), async || {
        let prompt = format!("probe {}", seen.len());
        let answer = ask(address, &chat(&prompt, 1, false)).send().await.ok()?;
        if answer.status() == 200 {
            seen.insert(answer.header("x-zinniastall-target").to_owned());
        }
        (seen.len() >= targets).then_some(())
    })
    .await
}

/// Returns the body of a chat request; equal prompts have equal answers.
pub(crate) fn chat(prompt: &str, tokens: usize, stream: bool) -> Value {
    json!({
        "model": MODEL, "stream": stream, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Returns a chat request.
pub(crate) fn ask(address: SocketAddr, body: &Value) -> Request {
    http::post(address, CHAT).key(KEY).json(body)
}

/// Returns a chat request that runs at most once.
pub(crate) fn ask_once(address: SocketAddr, ticket: &str, body: &Value) -> Request {
    ask(address, body)
        .header(ONCE.0, ONCE.1)
        .header(TICKET, ticket)
}

/// Gets a ticket from an entry instance.
pub(crate) async fn ticket(address: SocketAddr) -> Result<String> {
    let path = format!("/v1/locate?subject={MODEL}&tickets=1");
    let answer = http::get(address, &path).key(KEY).send().await?.json()?;
    Ok(text(&answer["tickets"][0]))
}

/// Terminates an instance and waits until it drains and takes no new requests.
pub(crate) async fn terminate(cluster: &mut System, entry: &str) -> Result<()> {
    let process = cluster.entry(entry)?.process();
    process.terminate()?;
    process.event("draining").await?;
    Ok(())
}

/// Waits until an instance has exited successfully without cutting a request.
pub(crate) async fn exits_cleanly(cluster: &mut System, entry: &str) -> Result<()> {
    let status = cluster.entry(entry)?.process().wait_exit().await?;
    assert!(status.success(), "{entry}: {status}");
    let cut = cluster.entry(entry)?.process().log().events("drain-cut");
    assert!(cut.is_empty(), "{cut:?}");
    Ok(())
}

/// Returns the runs in a target's ledger that had this body.
pub(crate) async fn runs(cluster: &mut Cluster, target: &str, body: &Value) -> Result<Vec<Value>> {
    let digest = blake3::hash(body.to_string().as_bytes()).to_hex();
    let mut runs = cluster.ledger(target).await?;
    runs.retain(|run| run["body_digest"] == digest.as_str());
    Ok(runs)
}

/// Returns the outcome and type of an error answer.
pub(crate) fn error(answer: &Answer) -> (String, String) {
    let error = &answer.json().unwrap_or_default()["error"];
    (text(&error["outcome"]), text(&error["type"]))
}

pub(crate) fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

/// Returns the text with which an engine answers a prompt.
pub(crate) fn expected(prompt: &str, tokens: usize) -> String {
    let digest = blake3::hash(prompt.as_bytes()).to_hex();
    let token = |index| format!("{}-{index} ", &digest[..8]);
    (0..tokens).map(token).collect()
}
