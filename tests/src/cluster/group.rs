//! Founds a cluster's control group, and repairs it.

use serde_json::{Value, json};

use super::{Builder, Cluster};
use crate::{ctl, error::Result, wait};

/// Election timeout of [`group`], in milliseconds: soon enough for a test, on a busy machine too.
pub const ELECTION_MS: u64 = 500;

/// Describes control replicas without entry instances, spread over three regions.
pub fn group(replicas: usize) -> Builder {
    Cluster::builder()
        .replicas(replicas)
        .control(json!({"timing": {"heartbeat_ms": 50, "election_ms": ELECTION_MS}}))
        .zone("patras", "a", 0)
        .zone("athens", "a", 0)
        .zone("thessaloniki", "a", 0)
}

/// Founds the group on the first replica and takes the others in.
///
/// # Errors
///
/// Fails when a call is refused.
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
    /// Takes a fresh control replica in: admits it, and promotes it once it has caught up. Returns
    /// its id.
    ///
    /// # Errors
    ///
    /// Fails when it is refused, or does not catch up in time.
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

    /// Returns the replica id of a control replica, as it says itself.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub async fn replica_id(&self, name: &str) -> Result<String> {
        let links = self.controls[name].address("links")?.to_string();
        let status = self.status_of(name).await?;
        let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
        let own = |replica: &&Value| replica["address"] == links && replica["heard_ms"] == 0;
        let own = replicas.iter().find(own).cloned().unwrap_or_default();
        Ok(own["id"].as_str().unwrap_or_default().to_owned())
    }

    /// Returns the status as one control replica sees it.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub async fn status_of(&self, name: &str) -> Result<Value> {
        let address = self.controls[name].address("operators")?;
        let arguments = ["--local", "--timeout", "3000", "status"];
        ctl::run(&[address], &arguments).await?.json()
    }

    /// Takes a wiped control replica in as a new one, removes its former self, and waits until the
    /// next loss is safe. Returns the new id.
    ///
    /// # Errors
    ///
    /// Fails when a step is refused, or takes too long.
    pub async fn replace(&self, name: &str, former_id: &str) -> Result<String> {
        let added = self.add_replica(name).await?;
        let removed = self.ctl(&["replica", "remove", former_id]).await?;
        removed.json()?;
        self.wait_next_loss_safe(true).await?;
        Ok(added)
    }

    /// Kills a control replica, empties its data folder and starts it again at the same addresses.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be emptied or the process does not start.
    pub async fn wipe(&mut self, name: &str) -> Result<()> {
        let control = self.control(name)?;
        control.process().kill()?;
        let folder = control.settings()["data"].clone();
        std::fs::remove_dir_all(folder.as_str().unwrap_or_default())?;
        control.restart().await
    }

    /// Waits until the status says that the next loss of a control replica is safe, or isn't.
    ///
    /// # Errors
    ///
    /// Fails when it does not in time.
    pub async fn wait_next_loss_safe(&self, wanted: bool) -> Result<()> {
        let what = format!("next_loss_safe = {wanted}");
        wait::until(&what, async || {
            let status = self.ctl(&["status"]).await.ok()?.json().ok()?;
            (status["next_loss_safe"] == wanted).then_some(())
        })
        .await
    }

    /// Waits until one control replica leads, and returns its name.
    ///
    /// # Errors
    ///
    /// Fails when none does in time.
    pub async fn leader(&self) -> Result<String> {
        wait::until("a leader", async || self.current_leader().await).await
    }

    /// Waits until a control replica other than these leads, and returns its name.
    ///
    /// # Errors
    ///
    /// Fails when none does in time.
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
