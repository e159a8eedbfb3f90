//! The system under test.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use zinniastall_tests::{cluster::Cluster, node::Node, process::Process, settings};

pub(super) const MODEL: &str = "map-labels";
const ZONES: [(&str, &str); 3] = [("patras", "a"), ("patras", "b"), ("athens", "a")];
const CLIENTS: [(&str, &str); 2] = [("maps", "key-1"), ("studio", "key-2")];
/// Client whose residency is limited to [`HOME_REGION`], and that region.
const PINNED_CLIENT: &str = CLIENTS[0].0;
const HOME_REGION: &str = "patras";
/// Request rate of one client in one zone.
const REQUEST_RATE: f64 = 15.0;
/// Time after which a caller gives up on a request.
const CALLER_TIMEOUT_MS: u64 = 20_000;

/// A cluster and the names of the nodes that faults can hit.
pub(super) struct System {
    pub(super) cluster: Cluster,
    pub(super) entries: Vec<String>,
    pub(super) controls: Vec<String>,
    pub(super) targets: Vec<String>,
    _ledgers: tempfile::TempDir,
}

/// A running load generator.
pub(super) struct Load {
    tool: Process,
    folder: tempfile::TempDir,
}

impl System {
    pub(super) async fn start() -> eyre::Result<Self> {
        let ledgers = tempfile::tempdir()?;
        let mut builder = Cluster::builder().replicas(3);
        for (region, zone) in ZONES {
            builder = builder.zone(region, zone, 2);
        }
        let mut cluster = builder.start().await?;
        for (region, zone) in ZONES {
            for number in 1..=2 {
                let name = format!("engine-{region}-{zone}-{number}");
                let settings = json!({
                    "ledger_file": ledgers.path().join(&name),
                    "unframed": number == 2,
                    "engine": {"first_ms": 10, "token_us": 5_000},
                });
                cluster
                    .engine(&name, (region, zone), MODEL, settings)
                    .await?;
            }
        }
        for (client, key) in CLIENTS {
            cluster.client(client, key).await?;
        }
        cluster.residency(PINNED_CLIENT, &[HOME_REGION]).await?;
        cluster.model(MODEL).await?;
        let names = |nodes: Vec<&str>| nodes.into_iter().map(str::to_owned).collect();
        let mut system = Self {
            entries: names(cluster.entries().map(Node::name).collect()),
            controls: names(cluster.controls().map(Node::name).collect()),
            targets: names(cluster.targets().map(Node::name).collect()),
            cluster,
            _ledgers: ledgers,
        };
        for entry in system.entries.clone() {
            system
                .cluster
                .wait_located(&entry, CLIENTS[0].1, MODEL, 6)
                .await?;
        }
        Ok(system)
    }

    /// Starts callers of both clients in all zones; only those of the first send idempotent
    /// requests.
    pub(super) fn load(&mut self, length: Duration, seed: u64) -> eyre::Result<Load> {
        let folder = tempfile::tempdir()?;
        let mut sources = Vec::new();
        for (region, zone) in ZONES {
            for (index, (client, key)) in CLIENTS.iter().enumerate() {
                sources.push(json!({
                    "client": client, "key": key, "class": "interactive", "region": region,
                    "zone": zone, "model": MODEL, "rate": REQUEST_RATE, "stream": index == 0,
                    "idempotent": index == 0, "tokens": 12, "prefixes": 4, "prefix_bytes": 512,
                }));
            }
        }
        let entries = addresses(&self.cluster, "callers")?;
        let ledgers = addresses(&self.cluster, "http")?;
        let experiment = json!({
            "seed": seed, "warmup_ms": 0, "duration_ms": length.as_secs() * 1000,
            "deadline_ms": 10_000, "patience_ms": CALLER_TIMEOUT_MS,
            "report": folder.path().join("report.json"),
            "variants": [{"name": "soak", "entries": entries, "ledgers": ledgers}],
            "sources": sources,
        });
        let tool = settings::start("load", "zinniastall-load", &experiment)?;
        Ok(Load { tool, folder })
    }

    /// Returns the number of requests of the pinned client that ran outside its region.
    pub(super) async fn strayed(&mut self) -> eyre::Result<usize> {
        let mut strayed = 0;
        for target in self.targets.clone() {
            if self.cluster.target(&target)?.region() != HOME_REGION {
                let ledger = self.cluster.ledger(&target).await?;
                strayed += ledger
                    .iter()
                    .filter(|run| run["client"] == PINNED_CLIENT)
                    .count();
            }
        }
        Ok(strayed)
    }

    /// Returns the number of processes that exited on their own.
    pub(super) fn died(&mut self) -> usize {
        let nodes = self.cluster.nodes_mut();
        let died = |node: &mut Node| {
            let status = node.process().exit_status()?;
            println!("soak: {} ended by itself: {status}", node.name());
            Some(())
        };
        nodes.filter_map(died).count()
    }

    pub(super) async fn stop(&mut self) -> eyre::Result<()> {
        Ok(self.cluster.stop().await?)
    }
}

impl Load {
    /// Waits until the load generator exits and returns its report.
    pub(super) async fn wait(mut self, length: Duration) -> eyre::Result<Value> {
        let timeout = length + Duration::from_millis(CALLER_TIMEOUT_MS * 3);
        self.tool.wait_exit_within(timeout).await?;
        let text = std::fs::read_to_string(self.folder.path().join("report.json"))?;
        Ok(serde_json::from_str(&text)?)
    }
}

fn addresses(cluster: &Cluster, role: &str) -> eyre::Result<Vec<SocketAddr>> {
    let nodes = cluster
        .nodes()
        .filter(|node| node.proxies().contains_key(role));
    Ok(nodes
        .map(|node| node.address(role))
        .collect::<Result<_, _>>()?)
}
