//! The system in which a policy is measured.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};
use zinniastall_tests::{
    cluster::Cluster,
    proxy::rule::{Direction, Rule},
};

use super::{
    CLIENT, KEY, MODEL,
    scenario::{Scenario, Zone},
};

/// Engines in a zone at full capacity, and slots of each engine.
const ENGINES_PER_ZONE: u32 = 3;
const SLOTS_PER_ENGINE: u32 = 4;
/// Service times of an engine: to the first token, per uncached prompt block, per token.
const FIRST_MS: u32 = 10;
const BLOCK_MS: u32 = 1;
const TOKEN_MS: u32 = 2;
pub(super) const TOKENS: u32 = 16;
/// Number of shared prompt prefixes, lengths of prefix and suffix in blocks of 256 bytes, and
/// blocks that an engine caches: half of what all prefixes take, so that a policy that ignores
/// where a prefix is cached pays in prefill time.
pub(super) const PREFIXES: u32 = 96;
pub(super) const PREFIX_BLOCKS: u32 = 16;
pub(super) const SUFFIX_BLOCKS: u32 = 2;
const CACHE_BLOCKS: u32 = PREFIXES * PREFIX_BLOCKS / 2;
/// One-way latency between regions.
const REGION_DELAY: Duration = Duration::from_millis(20);
pub(super) const WARMUP_MS: u64 = 4_000;
pub(super) const DURATION_MS: u64 = 10_000;

/// Returns the request rate per second at which all slots of two full zones are busy, if every
/// prefix is cached.
pub(super) fn capacity() -> f64 {
    let service = FIRST_MS + SUFFIX_BLOCKS * BLOCK_MS + TOKENS * TOKEN_MS;
    f64::from(2 * ENGINES_PER_ZONE * SLOTS_PER_ENGINE) * 1000.0 / f64::from(service)
}

/// A cluster under one policy.
pub(super) struct System {
    pub(super) cluster: Cluster,
    pub(super) entries: Vec<SocketAddr>,
    pub(super) ledgers: Vec<SocketAddr>,
    targets: Vec<String>,
    files: tempfile::TempDir,
}

impl System {
    pub(super) async fn start(scenario: Scenario, policy: &str) -> eyre::Result<Self> {
        let zones = scenario.zones();
        let mut builder = Cluster::builder()
            .direct()
            .entry(json!({"policy": {"choice": policy, "block_ms": BLOCK_MS}}));
        for (region, zone, _, _) in zones {
            builder = builder.zone(region, zone, 2);
        }
        let mut system = Self {
            cluster: builder.start().await?,
            entries: Vec::new(),
            ledgers: Vec::new(),
            targets: Vec::new(),
            files: tempfile::tempdir()?,
        };
        system.delay_regions();
        for zone in zones {
            system.start_engines(&zone).await?;
        }
        system.cluster.client(CLIENT, KEY).await?;
        system
            .cluster
            .residency(CLIENT, &["patras", "athens"])
            .await?;
        system.cluster.model(MODEL).await?;
        system.wait_ready().await?;
        Ok(system)
    }

    /// Delays connections between regions.
    fn delay_regions(&self) {
        let far = Rule::default().with(Direction::Both, |effect| effect.delay = REGION_DELAY);
        self.cluster
            .set_link_rules(|from, to| (from.region() != to.region()).then_some(far));
    }

    async fn start_engines(&mut self, zone: &Zone) -> eyre::Result<()> {
        let (region, zone, engines, slots) = *zone;
        for number in 1..=engines {
            let name = format!("engine-{region}-{zone}-{number}");
            let settings = json!({
                "slots": slots, "queue": 64, "announce": {"lag_ms": 500},
                "ledger_file": self.files.path().join(&name),
                "engine": {
                    "first_ms": FIRST_MS, "block_us": BLOCK_MS * 1000,
                    "token_us": TOKEN_MS * 1000, "cache_blocks": CACHE_BLOCKS,
                },
            });
            self.cluster
                .engine(&name, (region, zone), MODEL, settings)
                .await?;
            // The proxy's address is stable when the engine is killed and restarted.
            self.ledgers
                .push(self.cluster.target(&name)?.address("http")?);
            self.targets.push(name);
        }
        Ok(())
    }

    async fn wait_ready(&mut self) -> eyre::Result<()> {
        let names: Vec<String> = self
            .cluster
            .entries()
            .map(|node| node.name().to_owned())
            .collect();
        let body = json!({"model": MODEL, "messages": [{"role": "user", "content": "hello"}]});
        for name in &names {
            self.cluster
                .wait_located(name, KEY, MODEL, names.len())
                .await?;
            let entry = self
                .cluster
                .entry(name)?
                .process()
                .address("callers")
                .await?;
            self.cluster.wait_serving(entry, KEY, &body).await?;
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Waits for `after`, kills every second engine and restarts them with cold caches `away`
    /// later.
    pub(super) async fn lose_engines(
        &mut self,
        after: Duration,
        away: Duration,
    ) -> eyre::Result<()> {
        tokio::time::sleep(after).await;
        let lost: Vec<String> = self.targets.iter().step_by(2).cloned().collect();
        for target in &lost {
            self.cluster.target(target)?.process().kill()?;
        }
        tokio::time::sleep(away).await;
        for target in &lost {
            self.cluster.target(target)?.restart().await?;
        }
        Ok(())
    }

    pub(super) fn variant(&self, policy: &str) -> Value {
        json!([{"name": policy, "entries": self.entries, "ledgers": self.ledgers}])
    }
}
