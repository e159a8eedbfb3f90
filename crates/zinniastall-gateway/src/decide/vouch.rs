//! Decides what may be done with a request while the configuration isn't confirmed.
//!
//! An instance that is cut off from the control group, or was suspended, may hold an older
//! configuration than the one in force. Most of what follows from that ends with the next
//! configuration; two things can't be undone: a request that runs twice, and one that runs outside its
//! home. So nothing is repeated that may have run, and a request with homes isn't served. All others
//! are served once: for them the way by another instance would be the same.

use zinniastall_model::routing::{Account, Route};

use crate::freshness::Trust;

/// Returns whether a request may be repeated as its route says; `None` if it must not be served.
///
/// The control group lets changes count as in force only when no instance trusts an earlier
/// configuration any more, so what is decided for a request by a trusted one holds to its end.
pub fn vouch(trust: Trust, route: &Route, account: Option<&Account>) -> Option<bool> {
    if trust == Trust::Fresh {
        return Some(true);
    }
    let has_homes =
        !route.homes.is_empty() || account.is_some_and(|account| !account.homes.is_empty());
    (!has_homes).then_some(false)
}
