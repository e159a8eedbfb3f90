//! Differences between two routing tables.
//!
//! Tables have hundreds of routes and most updates change one of them, so sending the difference
//! saves bandwidth.

use std::hash::Hash;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Account, Limits, Number, Route, Service, Table};
use crate::id;

/// Host and prefix of a route, unique within a table.
type RouteKey = (String, String);

/// Difference between two tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    number: Number,
    routes: List<RouteKey, Route>,
    services: List<id::Service, Service>,
    limits: Limits,
    /// `None` if requests need no key under the later table.
    accounts: Option<List<id::Client, Account>>,
}

/// Difference between two lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct List<K, T> {
    /// Entries that were added or changed.
    set: Vec<T>,
    /// Keys of entries that were removed.
    gone: Vec<K>,
}

impl Changes {
    /// Computes the difference between two tables.
    pub fn between(before: &Table, after: &Table) -> Self {
        let held = before.accounts.as_deref().unwrap_or_default();
        let accounts = after.accounts.as_ref();
        Self {
            number: after.number,
            routes: List::between(&before.routes, &after.routes, route_key),
            services: List::between(&before.services, &after.services, service_key),
            limits: after.limits.clone(),
            accounts: accounts.map(|accounts| List::between(held, accounts, account_key)),
        }
    }

    /// Applies the difference to the earlier table and returns the later one.
    ///
    /// The order of entries may differ from that of the original table and has no meaning.
    #[must_use]
    pub fn apply(&self, before: &Table) -> Table {
        let held = before.accounts.as_deref().unwrap_or_default();
        let accounts = self.accounts.as_ref();
        let table = Table {
            accounts: accounts.map(|accounts| accounts.apply(held, account_key)),
            ..Table::default()
        };
        Table {
            number: self.number,
            routes: self.routes.apply(&before.routes, route_key),
            services: self.services.apply(&before.services, service_key),
            ..table.limits(self.limits.clone())
        }
    }
}

impl<K: Hash + Eq, T: Clone + PartialEq> List<K, T> {
    fn between(before: &[T], after: &[T], key: impl Fn(&T) -> K) -> Self {
        let mut unmatched: IndexMap<K, &T> =
            before.iter().map(|entry| (key(entry), entry)).collect();
        let mut set = Vec::new();
        for entry in after {
            if unmatched.swap_remove(&key(entry)) != Some(entry) {
                set.push(entry.clone());
            }
        }
        Self {
            set,
            gone: unmatched.into_keys().collect(),
        }
    }

    fn apply(&self, before: &[T], key: impl Fn(&T) -> K) -> Vec<T> {
        let mut held: IndexMap<K, &T> = before.iter().map(|entry| (key(entry), entry)).collect();
        for gone in &self.gone {
            held.swap_remove(gone);
        }
        held.extend(self.set.iter().map(|entry| (key(entry), entry)));
        held.into_values().cloned().collect()
    }
}

fn route_key(route: &Route) -> RouteKey {
    (route.host.clone(), route.prefix.clone())
}

fn service_key(service: &Service) -> id::Service {
    service.name.clone()
}

fn account_key(account: &Account) -> id::Client {
    account.name.clone()
}
