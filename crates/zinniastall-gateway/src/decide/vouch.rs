//! Decides what may be done with a request while the configuration isn't confirmed.
//!
//! An instance that is cut off from the control group, or was suspended, may hold an older
//! configuration than the one in force. Most of what follows from that ends with the next
//! configuration; two things can't be undone: a request that runs twice, and one that runs outside its
//! home. So nothing is repeated that may have run. A request with homes isn't served by an instance that
//! has heard nothing since it started or was suspended. One that lost touch while it ran serves it:
//! while the group has no majority no home can move, and no instance could serve it then.

use zinniastall_model::routing::{Account, Route};

use crate::freshness::Trust;

/// What an instance knows of its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// Whether it may be relied on.
    pub trust: Trust,
    /// Whether it was confirmed since the instance started and went on after its last suspension.
    pub is_heard: bool,
}

/// Returns whether a request may be repeated as its route says; `None` if it must not be served.
///
/// The control group lets changes count as in force only when no instance trusts an earlier
/// configuration any more, so what is decided for a request by a trusted one holds to its end.
pub fn vouch(known: Knowledge, route: &Route, account: Option<&Account>) -> Option<bool> {
    if known.trust == Trust::Fresh {
        return Some(true);
    }
    let has_homes =
        !route.homes.is_empty() || account.is_some_and(|account| !account.homes.is_empty());
    (known.is_heard || !has_homes).then_some(false)
}
