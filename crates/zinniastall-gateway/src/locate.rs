//! Tells callers which instances to use.

use std::time::Duration;

use indexmap::IndexSet;
use zinniastall_model::{id, presence::Presence, routing::Route};

use crate::view::View;

/// Most addresses of one answer.
const ADDRESSES: usize = 64;
/// Instances that a zone needs for its callers to be sent to it alone; a single one would take them
/// all down with it.
const ZONE: usize = 3;
/// Time for which an answer holds. Callers of an instance that stops come back for another answer
/// after that at the latest.
const VALID: Duration = Duration::from_secs(2);

/// Where a caller should connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Addresses, all equally good.
    pub addresses: Vec<String>,
    /// Time for which they hold.
    pub valid: Duration,
}

/// Lists instances for a caller of a host in a region and zone.
///
/// Those of the caller's own region come first: its requests may enter there whatever their homes
/// are. If none is ready, the regions that may see requests to this host come next.
pub fn list(view: &View, host: &str, region: &str, zone: &str) -> Listing {
    let ready: Vec<&Presence> = view.instances.values().filter(|held| held.ready).collect();
    let within = |fits: &dyn Fn(&Presence) -> bool| -> Vec<String> {
        let chosen = ready.iter().filter(|held| fits(held));
        chosen
            .take(ADDRESSES)
            .map(|held| held.callers.clone())
            .collect()
    };
    let in_zone = within(&|held| held.place.region == region && held.place.zone == zone);
    let in_region = within(&|held| held.place.region == region);
    let homes = homes(view, host);
    let in_homes = within(&|held| homes.is_empty() || homes.contains(&held.place.region));
    let choices = [in_zone, in_region, in_homes];
    let enough = |(at, list): &(usize, &Vec<String>)| list.len() >= [ZONE, 1, 1][*at];
    let found = choices.iter().enumerate().find(enough);
    Listing {
        addresses: found.map(|(_, list)| list.clone()).unwrap_or_default(),
        valid: VALID,
    }
}

/// Returns the regions in which all requests to a host may run; empty for any.
fn homes(view: &View, host: &str) -> IndexSet<id::Region> {
    let routes = view.table().map_or(&[][..], |table| &table.routes);
    let bound = |route: &&Route| route.host == host && !route.homes.is_empty();
    let mut bound = routes.iter().filter(bound);
    let Some(first) = bound.next() else {
        return IndexSet::new();
    };
    let mut homes: IndexSet<id::Region> = first.homes.iter().cloned().collect();
    for route in bound {
        homes.retain(|home| route.homes.contains(home));
    }
    homes
}
