//! Detection of tables that forbid what an earlier table permits and what can't be undone: that a
//! request runs more than once, or in some region.

use super::{Account, Digest, Route, Table};
use crate::id;

/// Tells whether a request that `before` permits to repeat, or to run in some region, may not under
/// `after`.
///
/// Routes that are missing, services, timeouts and keys don't count: what follows from them ends with
/// the next table.
pub fn narrows(before: &Table, after: &Table) -> bool {
    // Two routes can share requests only if the longer prefix of the two matches both.
    let longer_before = before.routes.iter().filter_map(|old| {
        let new = after.find(&old.host, &old.prefix)?;
        Some((old, new))
    });
    let longer_after = after.routes.iter().filter_map(|new| {
        let old = before.find(&new.host, &new.prefix)?;
        Some((old, new))
    });
    let mut shared = longer_before.chain(longer_after);
    let has_homes = accounts(after).any(|account| !account.homes.is_empty());
    shared.any(|(old, new)| route_narrows(old, new) || (has_homes && old.public && !new.public))
        || accounts_narrow(before, after)
}

fn route_narrows(old: &Route, new: &Route) -> bool {
    (old.is_retryable() && !new.is_retryable()) || homes_narrow(&old.homes, &new.homes)
}

/// Tells whether regions are permitted before that aren't any more; no region means all of them.
fn homes_narrow(old: &[id::Region], new: &[id::Region]) -> bool {
    if new.is_empty() {
        return false;
    }
    old.is_empty() || old.iter().any(|home| !new.contains(home))
}

/// Tells whether the requests of some account lose a region. An account is known by its name to other
/// instances, and by its keys to callers.
fn accounts_narrow(before: &Table, after: &Table) -> bool {
    if before.accounts.is_none() {
        return accounts(after).any(|account| !account.homes.is_empty());
    }
    let holder = |key: &Digest| before.account_index_by_digest(key);
    accounts(after).any(|new| {
        let by_name = before.account_index_by_name(&new.name);
        let held = by_name
            .into_iter()
            .chain(new.keys.iter().filter_map(holder));
        let mut old = held.filter_map(|index| before.account(index));
        old.any(|old| homes_narrow(&old.homes, &new.homes))
    })
}

fn accounts(table: &Table) -> impl Iterator<Item = &Account> {
    table.accounts.iter().flatten()
}
