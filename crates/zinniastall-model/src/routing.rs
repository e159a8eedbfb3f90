//! Routes by host and path prefix, the services behind them, and limits on callers.
//!
//! Operators replace a whole [`Table`] at once and number it themselves: the table with the highest
//! number is in force. A table is validated as a whole, because routes refer to services and must
//! not share host and prefix.
//!
//! # Example
//!
//! ```
//! use zinniastall_model::routing::{Kind, Route, Service, Share, Table};
//!
//! let route = Route::new("plans", "maps.example", "/plans/", Kind::Idempotent)
//!     .to(Share { service: "api".into(), weight: 1 });
//! let table = Table::new(7, vec![route], vec![Service::new("api")]);
//! table.check()?;
//! assert_eq!(table.find("maps.example", "/plans/9").map(|route| &*route.name), Some("plans"));
//! # Ok::<(), zinniastall_model::routing::Error>(())
//! ```

mod account;
mod changes;
mod index;
mod narrow;
mod rule;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use self::index::Index;
pub use self::{
    account::{Account, Digest, Quota, Unit},
    changes::Changes,
    narrow::narrows,
    rule::{ParseError, Rule},
};
use crate::id;

/// Number that operators assign to a table; the table with the highest one is in force.
pub type Number = u64;

/// A complete set of routes and services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Number assigned by operators.
    pub number: Number,
    /// Routes; among those of a host, the longest matching prefix wins.
    pub routes: Vec<Route>,
    /// Services that routes may name.
    pub services: Vec<Service>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Client accounts; a request must carry a key of one of them. `None` if requests need no key.
    #[serde(default)]
    pub accounts: Option<Vec<Account>>,
    #[serde(skip)]
    index: Index,
}

/// Whether a request with an unknown outcome may be repeated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    #[default]
    Once,
    /// The response is a stream of events; the request may run at most once, unless the route is
    /// resumable.
    Stream,
}

/// A host and path prefix, and the way in which requests to it are served.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: id::Name,
    /// Host of the request; case is ignored.
    pub host: String,
    /// Prefix of the path.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// Maximum time to serve a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective: time within which a response has its full value, in milliseconds.
    pub objective_ms: u64,
    /// Priority among the routes of its service; 0 is the most urgent.
    pub priority: u8,
    /// Services that share its requests, with their weights.
    pub split: Vec<Share>,
    /// Maximum number of attempts of one request.
    pub attempts: u32,
    /// Whether requests share prompt prefixes that targets cache.
    pub sticky: bool,
    /// Whether an interrupted stream may resume at another target after its last event.
    pub resumable: bool,
    /// Maximum gap between two events, in milliseconds; 0 for no limit.
    pub gap_ms: u64,
    /// Regions in which requests may run; empty for all.
    pub homes: Vec<id::Region>,
    /// Whether requests are served without a key.
    #[serde(default)]
    pub public: bool,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service.
    pub service: id::Service,
    /// Weight relative to the other shares of the route.
    pub weight: u64,
}

/// A service: a group of interchangeable targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name, as targets announce it.
    pub name: id::Service,
    /// Path of the health probe.
    pub health_path: String,
    /// Maximum number of connections to one target, from all instances together; 0 for no limit.
    pub connections: u32,
    /// Time after its start during which a target is cold, in milliseconds.
    pub cold_ms: u64,
    /// Maximum request rate of a cold target, in thousandths of a request per second; 0 for no
    /// limit.
    pub cold_rate_milli: u64,
    /// Engine properties, if its targets are model engines.
    pub engine: Option<Engine>,
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Number of requests that one engine processes concurrently.
    pub slots: u32,
    /// Capacity of one engine's cache, in tokens.
    pub tokens: u64,
    /// Number of tokens in one event of a stream.
    pub stride: u32,
    /// Memory per cached token, in bytes.
    #[serde(default)]
    pub token_bytes: u64,
    /// Bandwidth at which engines copy cached tokens from each other, in megabits per second; 0 if
    /// they don't.
    #[serde(default)]
    pub link_mbps: u64,
}

/// Limits on what callers may send and how long they may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum length of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Returns the limits for operators who specify none: 16 KiB and 5 s for a head, 4 MiB for a
    /// body and 15 s of idle time.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_ms: 5_000,
            idle_ms: 15_000,
        }
    }
}

/// Reason why a table is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Error {
    /// A route refers to a service that the table does not define.
    #[error("route {route} names the unknown service {service}")]
    Service {
        /// Route.
        route: id::Name,
        /// Service to which it refers.
        service: id::Service,
    },
    /// Two routes share host and prefix.
    #[error("routes {0} and {1} share host and prefix")]
    Place(id::Name, id::Name),
    /// The weights of a route add up to 0, or overflow.
    #[error("the weights of route {0} add up to 0")]
    Weight(id::Name),
    /// A route has a timeout of 0.
    #[error("route {0} has a timeout of 0")]
    Timeout(id::Name),
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route {0} must begin and end with a slash")]
    Prefix(id::Name),
    /// Two services have the same name.
    #[error("two services are named {0}")]
    Twice(id::Service),
    /// The name of an account is empty or contains control characters, which a header value cannot
    /// carry.
    #[error("the account name {0:?} is not usable")]
    Name(id::Client),
    /// Two accounts have the same name.
    #[error("two accounts are named {0}")]
    Account(id::Client),
    /// Two accounts hold the same key.
    #[error("accounts {0} and {1} hold the same key")]
    Key(id::Client, id::Client),
}

/// A table as published by operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// The table.
    pub table: Table,
    /// Source document of the table, returned to operators unchanged. It is not sent to entry
    /// instances.
    pub document: Option<ByteBuf>,
}

impl Table {
    /// Creates a table with the default limits and without accounts.
    pub fn new(number: Number, routes: Vec<Route>, services: Vec<Service>) -> Self {
        Self {
            number,
            routes,
            services,
            ..Self::default()
        }
    }

    /// Sets the client accounts; requests must then carry a key of one of them.
    #[must_use]
    pub fn accounts(mut self, accounts: Vec<Account>) -> Self {
        self.accounts = Some(accounts);
        self
    }

    /// Sets the limits on what callers may send.
    #[must_use]
    pub const fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Validates the table as a whole.
    ///
    /// # Errors
    ///
    /// Returns the first [`Error`] found.
    pub fn check(&self) -> Result<(), Error> {
        let services = self.unique_services()?;
        let mut routes_by_place = IndexMap::new();
        for route in &self.routes {
            route.check(&services)?;
            let place = (route.host.as_str(), route.prefix.as_str());
            if let Some(other) = routes_by_place.insert(place, &route.name) {
                return Err(Error::Place(other.clone(), route.name.clone()));
            }
        }
        self.check_accounts()
    }

    fn check_accounts(&self) -> Result<(), Error> {
        let mut names = IndexSet::new();
        let mut holders = IndexMap::new();
        for account in self.accounts.iter().flatten() {
            let name = &account.name;
            if name.trim().is_empty() || name.contains(char::is_control) {
                return Err(Error::Name(name.clone()));
            }
            if !names.insert(name) {
                return Err(Error::Account(name.clone()));
            }
            for key in &account.keys {
                let other = holders.insert(key, name).filter(|other| *other != name);
                if let Some(other) = other {
                    return Err(Error::Key(other.clone(), name.clone()));
                }
            }
        }
        Ok(())
    }

    /// Returns the route of a host with the longest prefix that matches a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.route_index(host, path)
            .map(|index| &self.routes[index])
    }

    /// Returns the index in [`Table::routes`] of the route that [`Table::find`] returns.
    pub fn route_index(&self, host: &str, path: &str) -> Option<usize> {
        self.index.route(self, host, path)
    }

    /// Returns the index of the account that holds a key.
    pub fn account_index_by_key(&self, key: &[u8]) -> Option<usize> {
        self.account_index_by_digest(&Digest::of(key))
    }

    fn account_index_by_digest(&self, digest: &Digest) -> Option<usize> {
        self.index.account(self, digest)
    }

    /// Returns an account by its index.
    pub fn account(&self, index: usize) -> Option<&Account> {
        self.accounts.as_ref()?.get(index)
    }

    /// Returns the index of an account by its name.
    pub fn account_index_by_name(&self, name: &str) -> Option<usize> {
        let mut accounts = self.accounts.iter().flatten();
        accounts.position(|account| account.name == name)
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    fn unique_services(&self) -> Result<IndexSet<&str>, Error> {
        let mut names = IndexSet::new();
        for service in &self.services {
            if !names.insert(service.name.as_str()) {
                return Err(Error::Twice(service.name.clone()));
            }
        }
        Ok(names)
    }
}

impl Route {
    /// Creates a route without services, with one attempt, a timeout of 10 s and a latency
    /// objective of 1 s.
    pub fn new(name: &str, host: &str, prefix: &str, kind: Kind) -> Self {
        Self {
            name: name.to_owned(),
            host: host.to_owned(),
            prefix: prefix.to_owned(),
            kind,
            timeout_ms: 10_000,
            objective_ms: 1_000,
            attempts: 1,
            ..Self::default()
        }
    }

    /// Adds a service with its weight.
    #[must_use]
    pub fn to(mut self, share: Share) -> Self {
        self.split.push(share);
        self
    }

    /// Tells whether a request may be resent when its outcome is unknown.
    pub const fn is_retryable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Returns the maximum time to serve a request.
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Tells whether the route's requests may run in a region.
    pub fn permits(&self, region: &str) -> bool {
        permits(&self.homes, region)
    }

    /// Returns the service at a point of the split, or `None` if the weights add up to 0.
    ///
    /// `point` is taken modulo the sum of the weights.
    pub fn service_at(&self, point: u64) -> Option<&id::Service> {
        let total: u64 = self.split.iter().map(|share| share.weight).sum();
        let mut remainder = point.checked_rem(total)?;
        for share in &self.split {
            if remainder < share.weight {
                return Some(&share.service);
            }
            remainder -= share.weight;
        }
        None
    }

    fn check(&self, services: &IndexSet<&str>) -> Result<(), Error> {
        let name = || self.name.clone();
        let unknown = |share: &&Share| !services.contains(share.service.as_str());
        if let Some(share) = self.split.iter().find(unknown) {
            return Err(Error::Service {
                route: name(),
                service: share.service.clone(),
            });
        }
        // A sum beyond 64 bits would wrap around to a small number and pass as valid.
        let add = |sum: u64, share: &Share| sum.checked_add(share.weight);
        match self.split.iter().try_fold(0, add) {
            None | Some(0) => return Err(Error::Weight(name())),
            Some(_) => {}
        }
        if self.timeout_ms == 0 {
            return Err(Error::Timeout(name()));
        }
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Err(Error::Prefix(name()));
        }
        Ok(())
    }
}

/// Tells whether requests that are restricted to `homes` may run in a region.
fn permits(homes: &[id::Region], region: &str) -> bool {
    homes.is_empty() || homes.iter().any(|home| home == region)
}

impl Service {
    /// Creates a plain service without limits, probed at `/`.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            health_path: "/".to_owned(),
            ..Self::default()
        }
    }
}

impl Publication {
    /// Returns the publication without its source document, which entry instances don't need.
    ///
    /// The document of hundreds of routes is as large as the table itself. Sending it to every
    /// instance would waste bandwidth between regions and memory.
    #[must_use]
    pub fn stripped(&self) -> Self {
        Self {
            table: self.table.clone(),
            document: None,
        }
    }

    /// Returns the approximate size of the publication in a state, in bytes.
    pub fn size(&self) -> usize {
        /// Estimated size of a route, in addition to the document.
        const ROUTE_BYTES: usize = 256;
        /// Estimated size of an account, and of each of its keys.
        const ACCOUNT_BYTES: usize = 64;
        let routes = self.table.routes.len() * ROUTE_BYTES;
        let accounts = self.table.accounts.iter().flatten();
        let accounts: usize = accounts
            .map(|account| ACCOUNT_BYTES * (1 + account.keys.len()))
            .sum();
        self.document.as_ref().map_or(0, |text| text.len()) + routes + accounts
    }
}
