//! Routes by host and path prefix, the services behind them, and how callers are bounded.
//!
//! Operators replace a whole [`Table`] at once, under a number of their own that only grows: the
//! highest number is in force. A table is checked as a whole, because a route may name a service
//! and two routes may claim the same place.
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

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use self::index::Index;
pub use self::{
    account::{Account, Digest, Quota, Unit},
    changes::Changes,
};
use crate::id;

/// Number that operators give a table; the highest one is in force.
pub type Number = u64;

/// A complete set of routes and services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Operators' number.
    pub number: Number,
    /// Routes; the one with the longest matching prefix of a host wins.
    pub routes: Vec<Route>,
    /// Services that routes may name.
    pub services: Vec<Service>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Client accounts, one of whose keys a request has to carry; `None` where requests need no key.
    #[serde(default)]
    pub accounts: Option<Vec<Account>>,
    #[serde(skip)]
    index: Index,
}

/// What may be done with a request whose outcome is not known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    #[default]
    Once,
    /// Its answer is a series of events; it may run once at most, unless the route is resumable.
    Stream,
}

/// A host and path prefix, and how requests to it are served.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: id::Name,
    /// Host, as callers name it.
    pub host: String,
    /// Prefix of the path.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time a request may be kept, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: u64,
    /// Rank among the routes of its service; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    pub split: Vec<Share>,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// Whether requests share beginnings that targets keep.
    pub sticky: bool,
    /// Whether a broken stream may go on at another target after its last event.
    pub resumable: bool,
    /// Longest pause between two events that is still in time, in milliseconds; 0 for no bound.
    pub gap_ms: u64,
    /// Regions in which requests may run; empty for all.
    pub homes: Vec<id::Region>,
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
}

/// A service and its part of a route's requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service.
    pub service: id::Service,
    /// Weight against the other shares of the route.
    pub weight: u64,
}

/// A service: targets that can stand in for each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name, as targets announce it.
    pub name: id::Service,
    /// Path that tells whether a target is well.
    pub health_path: String,
    /// Most connections that one target takes, from all instances together; 0 for no bound.
    pub connections: u32,
    /// Time after a start during which a target is cold, in milliseconds.
    pub cold_ms: u64,
    /// Requests a second that a cold target bears, in thousandths; 0 for no bound.
    pub cold_rate_milli: u64,
    /// Engine properties, where its targets are model engines.
    pub engine: Option<Engine>,
}

/// What the engines of a service can do.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one engine processes at once.
    pub slots: u32,
    /// Tokens that one engine holds.
    pub tokens: u64,
    /// Tokens that one event of a stream carries.
    pub stride: u32,
    /// Bytes of memory that one token takes.
    #[serde(default)]
    pub token_bytes: u64,
    /// Rate at which engines copy memory from each other, in megabits a second; 0 where they don't.
    #[serde(default)]
    pub link_mbps: u64,
}

/// Bounds on what callers may send and how long they may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Bounds for operators who name none: 16 KiB and 5 s for a head, 4 MiB for a body, 15 s idle.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_ms: 5_000,
            idle_ms: 15_000,
        }
    }
}

/// Why a table is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Error {
    /// A route names a service that the table lacks.
    #[error("route {route} names the unknown service {service}")]
    Service {
        /// Route.
        route: id::Name,
        /// Service that it names.
        service: id::Service,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {0} and {1} share host and prefix")]
    Place(id::Name, id::Name),
    /// The weights of a route add up to nothing.
    #[error("the weights of route {0} add up to 0")]
    Weight(id::Name),
    /// A route leaves its requests no time.
    #[error("route {0} has a timeout of 0")]
    Timeout(id::Name),
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route {0} must begin and end with a slash")]
    Prefix(id::Name),
    /// Two services have the same name.
    #[error("two services are named {0}")]
    Twice(id::Service),
    /// An account's name is empty, or can't stand in a header field.
    #[error("the account name {0:?} is not usable")]
    Name(id::Client),
    /// Two accounts have the same name.
    #[error("two accounts are named {0}")]
    Account(id::Client),
    /// Two accounts hold the same key.
    #[error("accounts {0} and {1} hold the same key")]
    Key(id::Client, id::Client),
}

/// A table as operators published it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// The table.
    pub table: Table,
    /// The text from which the table was read, given back to operators as it came; entry instances
    /// get none.
    pub document: Option<ByteBuf>,
}

impl Table {
    /// Creates a table with the default bounds on callers.
    pub fn new(number: Number, routes: Vec<Route>, services: Vec<Service>) -> Self {
        Self {
            number,
            routes,
            services,
            ..Self::default()
        }
    }

    /// Sets the client accounts, one of whose keys requests have to carry from then on.
    #[must_use]
    pub fn accounts(mut self, accounts: Vec<Account>) -> Self {
        self.accounts = Some(accounts);
        self
    }

    /// Sets the bounds on what callers may send.
    #[must_use]
    pub const fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Checks the table as a whole.
    ///
    /// # Errors
    ///
    /// The first [`Error`].
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

    /// Returns the route of a host whose prefix is the longest that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.route_index(host, path)
            .map(|index| &self.routes[index])
    }

    /// Returns the place of that route in [`Table::routes`].
    pub fn route_index(&self, host: &str, path: &str) -> Option<usize> {
        self.index.route(self, host, path)
    }

    /// Returns the place of the account that holds a key.
    pub fn account_index_by_key(&self, key: &[u8]) -> Option<usize> {
        self.index.account(self, &Digest::of(key))
    }

    /// Returns an account by its place.
    pub fn account(&self, index: usize) -> Option<&Account> {
        self.accounts.as_ref()?.get(index)
    }

    /// Returns the place of an account by its name.
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
    /// Creates a route without services, with one attempt, 10 s of time and an objective of 1 s.
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

    /// Adds a service and its weight.
    #[must_use]
    pub fn to(mut self, share: Share) -> Self {
        self.split.push(share);
        self
    }

    /// Tells whether a request may be sent again after an outcome that is not known.
    pub const fn is_retryable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Returns the longest time that a request may be kept.
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Tells whether requests may run in a region.
    pub fn permits(&self, region: &str) -> bool {
        permits(&self.homes, region)
    }

    /// Returns the service at a point of the split; `point` is taken modulo the sum of weights.
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
        // A sum beyond 64 bits would wrap to a small number and pass as one.
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

/// Tells whether requests that are bound to homes may run in a region.
fn permits(homes: &[id::Region], region: &str) -> bool {
    homes.is_empty() || homes.iter().any(|home| home == region)
}

impl Service {
    /// Creates a plain service without bounds.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            health_path: "/".to_owned(),
            ..Self::default()
        }
    }
}

impl Publication {
    /// Returns the publication as entry instances need it: without the operators' text.
    ///
    /// A text of hundreds of routes is as long again as the table, and every instance would carry
    /// it over links between regions and hold it in memory for nothing.
    #[must_use]
    pub fn stripped(&self) -> Self {
        Self {
            table: self.table.clone(),
            document: None,
        }
    }

    /// Returns roughly how many bytes the publication takes in a state.
    pub fn size(&self) -> usize {
        /// Bytes counted for a route beside its document.
        const ROUTE_BYTES: usize = 256;
        /// Bytes counted for an account and for each of its keys.
        const ACCOUNT_BYTES: usize = 64;
        let routes = self.table.routes.len() * ROUTE_BYTES;
        let accounts = self.table.accounts.iter().flatten();
        let accounts: usize = accounts
            .map(|account| ACCOUNT_BYTES * (1 + account.keys.len()))
            .sum();
        self.document.as_ref().map_or(0, |text| text.len()) + routes + accounts
    }
}
