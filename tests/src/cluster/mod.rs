//! A whole system in one place: control replicas, entry instances, stand-in targets.
//!
//! Every address is that of a proxy. Processes are told apart by the proxies, so a rule can hold
//! for the connections between any two of them: see [`Cluster::links`].

mod builder;
mod group;
mod objects;

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::{
    ctl,
    error::{Error, Result},
    http::{self, Request},
    node::{ANY_PORT, Node, Plan},
    proxy::{
        callers::Callers,
        rule::{Direction, Rule},
    },
    settings, wait,
};
pub use builder::Builder;
pub use group::{ELECTION_MS, group};
pub use objects::model;

/// A running system.
#[derive(Debug)]
pub struct Cluster {
    callers: Callers,
    controls: IndexMap<String, Node>,
    entries: IndexMap<String, Node>,
    targets: IndexMap<String, Node>,
    /// Whether callers, entry instances and targets reach each other without proxies.
    direct: bool,
    /// Data folders; they go when the processes have gone.
    _folder: tempfile::TempDir,
}

impl Cluster {
    /// Starts describing a cluster.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns an entry instance; they are named `<region>-<zone>-<number>`, from 1.
    ///
    /// # Errors
    ///
    /// Fails when there is none of this name.
    pub fn entry(&mut self, name: &str) -> Result<&mut Node> {
        find(&mut self.entries, name)
    }

    /// Returns a control replica; they are named `control-<number>`, from 1.
    ///
    /// # Errors
    ///
    /// Fails when there is none of this name.
    pub fn control(&mut self, name: &str) -> Result<&mut Node> {
        find(&mut self.controls, name)
    }

    /// Returns a target.
    ///
    /// # Errors
    ///
    /// Fails when there is none of this name.
    pub fn target(&mut self, name: &str) -> Result<&mut Node> {
        find(&mut self.targets, name)
    }

    /// Returns all nodes: control replicas, entry instances, targets.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        let nodes = self.controls.values().chain(self.entries.values());
        nodes.chain(self.targets.values())
    }

    /// Returns all nodes, to change them.
    pub fn nodes_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        let nodes = self.controls.values_mut().chain(self.entries.values_mut());
        nodes.chain(self.targets.values_mut())
    }

    /// Returns a node of any kind.
    ///
    /// # Errors
    ///
    /// Fails when there is none of this name.
    pub fn node(&mut self, name: &str) -> Result<&mut Node> {
        let found = self.nodes_mut().find(|node| node.name() == name);
        found.ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    /// Returns all entry instances.
    pub fn entries(&self) -> impl Iterator<Item = &Node> {
        self.entries.values()
    }

    /// Returns all control replicas.
    pub fn controls(&self) -> impl Iterator<Item = &Node> {
        self.controls.values()
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = &Node> {
        self.targets.values()
    }

    /// Returns the addresses that operators use.
    pub fn operators(&self) -> Vec<SocketAddr> {
        let address = |node: &Node| node.address("operators").ok();
        self.controls.values().filter_map(address).collect()
    }

    /// Starts a stand-in model engine that serves `model`, in a place with entry instances; `change`
    /// is put over its settings.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub async fn engine(
        &mut self,
        name: &str,
        place: (&str, &str),
        model: &str,
        change: Value,
    ) -> Result<()> {
        let mut settings = json!({
            "kind": "engine",
            "engine": {"models": [{"model": model, "version": "1"}]},
        });
        settings::merge(&mut settings, change);
        self.standin(name, place, settings).await
    }

    /// Starts a stand-in plain service; `change` is put over its settings.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub async fn service(
        &mut self,
        name: &str,
        place: (&str, &str),
        service: &str,
        change: Value,
    ) -> Result<()> {
        let mut settings = json!({"kind": "service", "service": {"name": service}});
        settings::merge(&mut settings, change);
        self.standin(name, place, settings).await
    }

    /// Starts a stand-in target with these settings; addresses and name are added.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub async fn standin(&mut self, name: &str, place: (&str, &str), change: Value) -> Result<()> {
        let plan = Plan::bind(&self.callers, "zinniastall-standin", name, place, &["http"])?;
        let instances: Vec<String> = self
            .zone(place)
            .map(|node| Ok(node.address("targets")?.to_string()))
            .collect::<Result<_>>()?;
        let mut settings = json!({
            "listen": ANY_PORT,
            "announce": {"instances": instances, "target": name},
        });
        if !self.direct {
            settings["announce"]["advertise"] = plan.address("http")?.to_string().into();
        }
        settings::merge(&mut settings, change);
        let node = plan.start(settings).await?;
        self.targets.insert(name.to_owned(), node);
        Ok(())
    }

    /// Returns a target's ledger, read past its proxy.
    ///
    /// # Errors
    ///
    /// Fails when the target does not answer.
    pub async fn ledger(&mut self, target: &str) -> Result<Vec<Value>> {
        let address = self.target(target)?.process().address("http").await?;
        let ledger = http::get(address, "/ledger").send().await?.json()?;
        Ok(ledger.as_array().cloned().unwrap_or_default())
    }

    /// Sets where a running target fails; see the stand-in's `failure` settings.
    ///
    /// # Errors
    ///
    /// Fails when the target does not answer.
    pub async fn fail(&mut self, target: &str, failure: &Value) -> Result<()> {
        let address = self.target(target)?.process().address("http").await?;
        http::post(address, "/failure").json(failure).send().await?;
        Ok(())
    }

    /// Runs the operators' command line against all control replicas.
    ///
    /// # Errors
    ///
    /// Fails when the command line is not built.
    pub async fn ctl(&self, arguments: &[&str]) -> Result<ctl::Run> {
        ctl::run(&self.operators(), arguments).await
    }

    /// Starts a request to an entry instance, through its proxy.
    ///
    /// # Errors
    ///
    /// Fails when there is none of this name.
    pub fn post(&mut self, entry: &str, path: &str) -> Result<Request> {
        let address = self.entry(entry)?.address("callers")?;
        Ok(http::post(address, path))
    }

    /// Waits until an entry instance lists this many instances for a model or service.
    ///
    /// # Errors
    ///
    /// Fails when it does not in time.
    pub async fn wait_located(
        &mut self,
        entry: &str,
        key: &str,
        subject: &str,
        instances: usize,
    ) -> Result<Value> {
        let address = self.entry(entry)?.address("callers")?;
        let path = format!("/v1/locate?subject={subject}");
        let what = format!("{entry} listing {instances} instances for {subject}");
        wait::until(&what, async || {
            let answer = http::get(address, &path).key(key).send().await.ok()?;
            let answer = answer.json().ok()?;
            (answer["instances"].as_array()?.len() >= instances).then_some(answer)
        })
        .await
    }

    /// Waits until an entry instance answers a chat request whole; the body is sent as it is, so
    /// each try is a run in a ledger.
    ///
    /// # Errors
    ///
    /// Fails when it does not in time.
    pub async fn wait_serving(&self, address: SocketAddr, key: &str, body: &Value) -> Result<()> {
        let what = format!("{address} answering");
        wait::until(&what, async || {
            let request = http::post(address, "/v1/chat/completions")
                .key(key)
                .json(body);
            let answer = request.send().await.ok()?;
            (answer.status() == 200).then_some(())
        })
        .await
    }

    /// Sets rules for the connections between nodes, by their calling and their called end; `None`
    /// leaves a connection as it is.
    pub fn set_link_rules(&self, rule: impl Fn(&Node, &Node) -> Option<Rule>) {
        for to in self.nodes() {
            for from in self.nodes() {
                if let Some(rule) = rule(from, to) {
                    let proxies = to.proxies().values();
                    proxies.for_each(|proxy| proxy.rule_for(from.name(), rule));
                }
            }
        }
    }

    /// Cuts the nodes that `inside` picks off from all others, silently.
    pub fn partition(&self, inside: impl Fn(&Node) -> bool) {
        let stalled = Rule::default().with(Direction::Both, |effect| effect.stalled = true);
        self.set_link_rules(|from, to| (inside(from) != inside(to)).then_some(stalled));
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        let proxies = self.nodes().flat_map(|node| node.proxies().values());
        proxies.for_each(crate::proxy::Proxy::heal);
    }

    /// Stops targets, entry instances and control replicas in order.
    ///
    /// # Errors
    ///
    /// Fails when one does not end with exit code 0.
    pub async fn stop(&mut self) -> Result<()> {
        let nodes = self.targets.values_mut().chain(self.entries.values_mut());
        for node in nodes.chain(self.controls.values_mut()) {
            let status = node.process().stop().await?;
            if !status.success() {
                let name = node.name().to_owned();
                return Err(Error::Ended { name, status });
            }
        }
        Ok(())
    }

    fn zone(&self, place: (&str, &str)) -> impl Iterator<Item = &Node> {
        let here = move |node: &&Node| (node.region(), node.zone()) == place;
        self.entries.values().filter(here)
    }
}

fn find<'a>(nodes: &'a mut IndexMap<String, Node>, name: &str) -> Result<&'a mut Node> {
    nodes
        .get_mut(name)
        .ok_or_else(|| Error::Unknown(name.to_owned()))
}
