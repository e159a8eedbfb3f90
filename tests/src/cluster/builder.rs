//! Configures and starts a cluster.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde_json::{Value, json};

use super::Cluster;
use crate::{
    error::Result,
    node::{Node, Plan},
    proxy::callers::Callers,
    settings,
};

/// Builder for a [`Cluster`].
#[derive(Debug, Clone)]
pub struct Builder {
    replicas: usize,
    zones: Vec<(String, String, usize)>,
    control: Value,
    entry: Value,
    direct: bool,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            replicas: 1,
            zones: Vec::new(),
            control: json!({}),
            entry: json!({}),
            direct: false,
        }
    }
}

impl Builder {
    /// Sets the number of control replicas, which are assigned to the zones in turn.
    #[must_use]
    pub const fn replicas(mut self, replicas: usize) -> Self {
        self.replicas = replicas;
        self
    }

    /// Adds an availability zone with a number of entry instances.
    #[must_use]
    pub fn zone(mut self, region: &str, zone: &str, entries: usize) -> Self {
        self.zones
            .push((region.to_owned(), zone.to_owned(), entries));
        self
    }

    /// Merges `change` into the settings of each control replica.
    #[must_use]
    pub fn control(mut self, change: Value) -> Self {
        settings::merge(&mut self.control, change);
        self
    }

    /// Merges `change` into the settings of each entry instance.
    #[must_use]
    pub fn entry(mut self, change: Value) -> Self {
        settings::merge(&mut self.entry, change);
        self
    }

    /// Connects callers, entry instances and targets without proxies, to keep the proxies out of
    /// measurements. Links still pass through proxies.
    #[must_use]
    pub const fn direct(mut self) -> Self {
        self.direct = true;
        self
    }

    /// Starts the control replicas, bootstraps the cluster and starts the entry instances.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or the cluster cannot be bootstrapped.
    pub async fn start(self) -> Result<Cluster> {
        let folder = tempfile::tempdir()?;
        let callers = Callers::default();
        let controls = self.start_controls(&callers, folder.path()).await?;
        let mut cluster = Cluster {
            callers,
            controls,
            entries: IndexMap::new(),
            targets: IndexMap::new(),
            direct: self.direct,
            _folder: folder,
        };
        super::group::bootstrap(&cluster).await?;
        cluster.entries = self.start_entries(&cluster).await?;
        Ok(cluster)
    }

    async fn start_controls(
        &self,
        callers: &Callers,
        folder: &std::path::Path,
    ) -> Result<IndexMap<String, Node>> {
        let mut plans = Vec::new();
        for number in 1..=self.replicas {
            let (region, zone, _) = &self.zones[(number - 1) % self.zones.len()];
            let name = format!("control-{number}");
            let roles = ["operators", "links"];
            let place = (region.as_str(), zone.as_str());
            plans.push(Plan::bind(
                callers,
                "zinniastall-control",
                &name,
                place,
                &roles,
            )?);
        }
        let links = addresses(&plans)?;
        let mut controls = IndexMap::new();
        for plan in plans {
            let name = plan.name().to_owned();
            let own = plan.address("links")?;
            let peers: Vec<String> = links
                .iter()
                .filter(|link| **link != own)
                .map(SocketAddr::to_string)
                .collect();
            let mut settings = common(&plan);
            settings::merge(
                &mut settings,
                json!({"peers": peers, "data": folder.join(&name)}),
            );
            settings::merge(&mut settings, self.control.clone());
            controls.insert(name, plan.start(settings).await?);
        }
        Ok(controls)
    }

    async fn start_entries(&self, cluster: &Cluster) -> Result<IndexMap<String, Node>> {
        let mut plans = Vec::new();
        for (region, zone, entries) in &self.zones {
            for number in 1..=*entries {
                let name = format!("{region}-{zone}-{number}");
                let roles = ["callers", "targets", "links"];
                let place = (region.as_str(), zone.as_str());
                plans.push(Plan::bind(
                    &cluster.callers,
                    "zinniastall-entry",
                    &name,
                    place,
                    &roles,
                )?);
            }
        }
        let seeds: Vec<String> = addresses(&plans)?
            .iter()
            .map(SocketAddr::to_string)
            .collect();
        let control: Vec<String> = cluster
            .controls()
            .map(|node| Ok(node.address("links")?.to_string()))
            .collect::<Result<_>>()?;
        let mut entries = IndexMap::new();
        for plan in plans {
            let name = plan.name().to_owned();
            let links = plan.address("links")?.to_string();
            let mut settings = common(&plan);
            settings::merge(&mut settings, json!({"control": control, "seeds": seeds}));
            if self.direct {
                settings["advertise"] = json!({"links": links});
            }
            settings::merge(&mut settings, json!({"policy": quick_retry_shares()}));
            settings::merge(&mut settings, self.entry.clone());
            entries.insert(name, plan.start(settings).await?);
        }
        Ok(entries)
    }
}

/// Returns settings by which instances hold their whole share of the retry budget within a second
/// of their start, where nothing ran before.
fn quick_retry_shares() -> Value {
    json!({"retry_window_ms": 300, "retry_settle_ms": 100})
}

fn common(plan: &Plan) -> Value {
    json!({
        "instance": plan.name(),
        "region": plan.region(),
        "zone": plan.zone(),
        "listen": plan.listen(),
        "advertise": plan.advertise(),
    })
}

fn addresses(plans: &[Plan]) -> Result<Vec<SocketAddr>> {
    plans.iter().map(|plan| plan.address("links")).collect()
}
