//! Bootstraps and repairs a cluster's control group.

use serde_json::{Value, json};

use super::{Builder, Cluster};
use crate::{ctl, error::Result, wait};

/// Election timeout of [`group`]: short enough for a test, long enough for an overloaded machine.
pub const ELECTION_MS: u64 = 500;

/// Returns a builder for control replicas in three regions, without entry instances.
pub fn group(replicas: usize) -> Builder {
    Cluster::builder()
        .replicas(replicas)
        .control(json!({"timing": {"heartbeat_ms": 50, "election_ms": ELECTION_MS}}))
        .zone("patras", "a", 0)
        .zone("athens", "a", 0)
        .zone("thessaloniki", "a", 0)
}

/// Bootstraps the group on the first replica and adds the others.
///
/// # Errors
///
/// Fails if a command is rejected.
pub(super) async fn bootstrap(cluster: &Cluster) -> Result<()> {
    let operators = cluster.operators();
    ctl::run(&operators[..1], &["bootstrap"]).await?.json()?;
    let names: Vec<String> = cluster.controls.keys().skip(1).cloned().collect();
    for name in names {
        cluster.add_replica(&name).await?;
    }
    Ok(())
}

impl Cluster {
    /// Adds an empty control replica to the group and returns its replica id.
    ///
    /// The replica is admitted as a learner and promoted to a voter once it has caught up.
    ///
    /// # Errors
    ///
    /// Fails if it is rejected or does not catch up in time.
    pub async fn add_replica(&self, name: &str) -> Result<String> {
        let id = self.replica_id(name).await?;
        let links = self.controls[name].address("links")?.to_string();
        self.ctl(&["replica", "admit", &id, &links]).await?.json()?;
        let what = format!("{name} caught up");
        wait::until(&what, async || {
            let run = self.ctl(&["replica", "promote", &id]).await.ok()?;
            run.json().ok()
        })
        .await?;
        Ok(id)
    }

    /// Returns the replica id that a control replica reports for itself.
    ///
    /// # Errors
    ///
    /// Fails if the replica does not respond.
    pub async fn replica_id(&self, name: &str) -> Result<String> {
        let links = self.controls[name].address("links")?.to_string();
        let status = self.status_of(name).await?;
        let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
        let own = |replica: &&Value| replica["address"] == links && replica["heard_ms"] == 0;
        let own = replicas.iter().find(own).cloned().unwrap_or_default();
        Ok(own["id"].as_str().unwrap_or_default().to_owned())
    }

    /// Returns the status from the local state of one control replica.
    ///
    /// # Errors
    ///
    /// Fails if the replica does not respond.
    pub async fn status_of(&self, name: &str) -> Result<Value> {
        let address = self.controls[name].address("operators")?;
        let arguments = ["--local", "--timeout", "3000", "status"];
        ctl::run(&[address], &arguments).await?.json()
    }

    /// Replaces a wiped control replica: adds it under a new id, removes its former id and waits
    /// until the group tolerates the next loss. Returns the new id.
    ///
    /// # Errors
    ///
    /// Fails if a step is rejected or takes too long.
    pub async fn replace(&self, name: &str, former_id: &str) -> Result<String> {
        let added = self.add_replica(name).await?;
        let removed = self.ctl(&["replica", "remove", former_id]).await?;
        removed.json()?;
        self.wait_next_loss_safe(true).await?;
        Ok(added)
    }

    /// Kills a control replica, deletes its data directory and restarts it at the same addresses.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be deleted or the process does not start.
    pub async fn wipe(&mut self, name: &str) -> Result<()> {
        let control = self.control(name)?;
        control.process().kill()?;
        let folder = control.settings()["data"].clone();
        std::fs::remove_dir_all(folder.as_str().unwrap_or_default())?;
        control.restart().await
    }

    /// Waits until the status reports `wanted` for whether the group tolerates the next loss of a
    /// replica.
    ///
    /// # Errors
    ///
    /// Fails if it does not happen in time.
    pub async fn wait_next_loss_safe(&self, wanted: bool) -> Result<()> {
        let what = format!("next_loss_safe = {wanted}");
        wait::until(&what, async || {
            let status = self.ctl(&["status"]).await.ok()?.json().ok()?;
            (status["next_loss_safe"] == wanted).then_some(())
        })
        .await
    }

    /// Waits until the group has a leader and returns its name.
    ///
    /// # Errors
    ///
    /// Fails if none is elected in time.
    pub async fn leader(&self) -> Result<String> {
        wait::until("a leader", async || self.current_leader().await).await
    }

    /// Waits until the group has a leader other than `others` and returns its name.
    ///
    /// # Errors
    ///
    /// Fails if none is elected in time.
    pub async fn leader_except(&self, others: &[&str]) -> Result<String> {
        wait::until("another leader", async || {
            let leader = self.current_leader().await?;
            (!others.contains(&leader.as_str())).then_some(leader)
        })
        .await
    }

    async fn current_leader(&self) -> Option<String> {
        let status = self
            .ctl(&["--timeout", "3000", "status"])
            .await
            .ok()?
            .json()
            .ok()?;
        let leader = status["leader"].as_str()?;
        let mut controls = self.controls.iter();
        let leads = |(_, node): &(&String, &crate::node::Node)| {
            node.address("operators")
                .is_ok_and(|own| own.to_string() == leader)
        };
        controls.find(leads).map(|(name, _)| name.clone())
    }
}
