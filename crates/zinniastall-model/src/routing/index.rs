//! Index of a routing table, so that the cost of a look-up doesn't grow with the number of routes
//! and keys.

use std::sync::OnceLock;

use indexmap::IndexMap;

use super::{Route, Table, account::Digest};

/// Index from the host, path and key of a request to positions in a table's lists.
///
/// It is built on the first look-up.
#[derive(Debug, Clone, Default)]
pub(super) struct Index(OnceLock<Maps>);

#[derive(Debug, Clone, Default)]
struct Maps {
    /// Positions of routes by host in lower case, then by prefix.
    routes: IndexMap<String, IndexMap<String, usize>>,
    /// Positions of accounts by key.
    accounts: IndexMap<Digest, usize>,
}

/// All indexes compare as equal, because an index holds nothing beyond its table.
impl PartialEq for Index {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Index {}

impl Index {
    /// Returns the index of the route of a host with the longest prefix that matches a path.
    pub(super) fn route(&self, table: &Table, host: &str, path: &str) -> Option<usize> {
        let maps = self.maps(table);
        let host = host.to_ascii_lowercase();
        let prefixes = maps.routes.get(&host)?;
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        let mut found = ends.filter_map(|end| prefixes.get(&path[..end]));
        found.next().copied()
    }

    /// Returns the index of the account that holds a key.
    pub(super) fn account(&self, table: &Table, key: &Digest) -> Option<usize> {
        self.maps(table).accounts.get(key).copied()
    }

    fn maps(&self, table: &Table) -> &Maps {
        self.0.get_or_init(|| Maps::new(table))
    }
}

impl Maps {
    fn new(table: &Table) -> Self {
        let mut maps = Self::default();
        for (index, route) in table.routes.iter().enumerate() {
            maps.add(index, route);
        }
        for (index, account) in table.accounts.iter().flatten().enumerate() {
            let keys = account.keys.iter().map(|key| (*key, index));
            maps.accounts.extend(keys);
        }
        maps
    }

    fn add(&mut self, index: usize, route: &Route) {
        let host = route.host.to_ascii_lowercase();
        let prefixes = self.routes.entry(host).or_default();
        prefixes.insert(route.prefix.clone(), index);
    }
}
