//! A process of a cluster, with a proxy in front of each of its addresses.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde_json::Value;

use crate::{
    error::{Error, Result},
    process::Process,
    proxy::{Proxy, callers::Callers},
    settings,
};

/// Loopback address with an ephemeral port.
pub const ANY_PORT: &str = "127.0.0.1:0";

/// A process of a cluster that can be killed and restarted at the same addresses.
#[derive(Debug)]
pub struct Node {
    name: String,
    region: String,
    zone: String,
    binary: &'static str,
    settings: Value,
    proxies: Proxies,
    callers: Callers,
    process: Process,
}

/// Proxies in front of a node's addresses, by role.
pub type Proxies = IndexMap<&'static str, Proxy>;

/// A node that has not been started, with its proxies already bound.
#[derive(Debug)]
pub struct Plan {
    name: String,
    region: String,
    zone: String,
    binary: &'static str,
    proxies: Proxies,
    callers: Callers,
}

impl Plan {
    /// Binds the proxies of a node.
    ///
    /// # Errors
    ///
    /// Fails if no port is available.
    pub fn bind(
        callers: &Callers,
        binary: &'static str,
        name: &str,
        place: (&str, &str),
        roles: &[&'static str],
    ) -> Result<Self> {
        let bind = |role: &&'static str| Ok((*role, Proxy::bind_for(callers)?));
        Ok(Self {
            name: name.to_owned(),
            region: place.0.to_owned(),
            zone: place.1.to_owned(),
            binary,
            proxies: roles.iter().map(bind).collect::<Result<_>>()?,
            callers: callers.clone(),
        })
    }

    /// Returns the instance name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the region.
    pub fn region(&self) -> &str {
        &self.region
    }

    /// Returns the availability zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Returns the address of the proxy in front of a role.
    ///
    /// # Errors
    ///
    /// Fails if the node has no such role.
    pub fn address(&self, role: &str) -> Result<SocketAddr> {
        Ok(proxy(&self.proxies, role)?.address())
    }

    /// Returns the proxies' addresses by role, as the `advertise` setting lists them.
    pub fn advertise(&self) -> Value {
        let address = |(role, proxy): (&&str, &Proxy)| {
            ((*role).to_owned(), proxy.address().to_string().into())
        };
        Value::Object(self.proxies.iter().map(address).collect())
    }

    /// Returns the addresses to bind by role, as the `listen` setting lists them.
    pub fn listen(&self) -> Value {
        let any = |role: &&str| ((*role).to_owned(), ANY_PORT.into());
        Value::Object(self.proxies.keys().map(any).collect())
    }

    /// Starts the process and connects the proxies to it.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn start(self, settings: Value) -> Result<Node> {
        let process = start(&self.callers, &self.name, self.binary, &settings)?;
        let mut node = Node {
            name: self.name,
            region: self.region,
            zone: self.zone,
            binary: self.binary,
            settings,
            proxies: self.proxies,
            callers: self.callers,
            process,
        };
        node.connect().await?;
        Ok(node)
    }
}

impl Node {
    /// Returns the instance name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the region.
    pub fn region(&self) -> &str {
        &self.region
    }

    /// Returns the availability zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Returns the process for mutation.
    pub const fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Returns the process for inspection.
    pub const fn running(&self) -> &Process {
        &self.process
    }

    /// Returns the settings, which take effect on the next restart.
    pub const fn settings(&mut self) -> &mut Value {
        &mut self.settings
    }

    /// Returns the proxy in front of a role.
    ///
    /// # Errors
    ///
    /// Fails if the node has no such role.
    pub fn proxy(&self, role: &str) -> Result<&Proxy> {
        proxy(&self.proxies, role)
    }

    /// Returns the address of the proxy in front of a role.
    ///
    /// # Errors
    ///
    /// Fails if the node has no such role.
    pub fn address(&self, role: &str) -> Result<SocketAddr> {
        Ok(self.proxy(role)?.address())
    }

    /// Returns all proxies.
    pub const fn proxies(&self) -> &Proxies {
        &self.proxies
    }

    /// Kills the process if it is still running and starts it again with the current settings.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be killed or does not start.
    pub async fn restart(&mut self) -> Result<()> {
        self.process.kill()?;
        self.process = start(&self.callers, &self.name, self.binary, &self.settings)?;
        self.connect().await
    }

    async fn connect(&mut self) -> Result<()> {
        for (role, proxy) in &self.proxies {
            proxy.upstream(self.process.address(role).await?);
        }
        Ok(())
    }
}

fn start(callers: &Callers, name: &str, binary: &str, settings: &Value) -> Result<Process> {
    let start = || settings::start(name, binary, settings);
    callers.start(name, start, Process::id)
}

fn proxy<'a>(proxies: &'a Proxies, role: &str) -> Result<&'a Proxy> {
    proxies
        .get(role)
        .ok_or_else(|| Error::Unknown(format!("role {role}")))
}
