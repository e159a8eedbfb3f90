//! Tells callers which instances to use.

use std::time::Duration;

use zinniastall_model::{presence::Presence, routing::Route};

use crate::view::View;

/// Most addresses of one answer.
const MAX_ADDRESSES: usize = 64;
/// Instances that a zone needs for its callers to be sent to it alone; a single one would take them
/// all down with it.
const MIN_ZONE_INSTANCES: usize = 3;
/// Time for which an answer holds. Callers of an instance that stops come back for another answer
/// after that at the latest.
const LISTING_TTL: Duration = Duration::from_secs(2);

/// Where a caller should connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Addresses, all equally good.
    pub addresses: Vec<String>,
    /// Time for which they hold.
    pub valid: Duration,
}

/// Lists instances for a caller of a host in a region and zone; none while no routes are known.
///
/// Those of the caller's own region come first: its requests may enter there whatever their homes
/// are. If none is ready, the regions come next in which most routes of the host may run, and among
/// equals all. An instance of the caller's region that drains still serves, and comes before a region
/// that some routes may not enter.
pub fn list(view: &View, host: &str, region: &str, zone: &str) -> Listing {
    let Some(table) = view.table() else {
        return Listing::of(Vec::new());
    };
    let (ready, draining): (Vec<&Presence>, Vec<&Presence>) = view
        .instances
        .by_name()
        .values()
        .partition(|held| held.ready);
    let own: Vec<&Presence> = within(&ready, |held| held.place.region == region);
    let nearest: Vec<&Presence> = within(&own, |held| held.place.zone == zone);
    if nearest.len() >= MIN_ZONE_INSTANCES {
        return Listing::of(nearest);
    }
    if !own.is_empty() {
        return Listing::of(own);
    }
    let bound: Vec<&Route> = table
        .routes
        .iter()
        .filter(|route| is_bound(route, host))
        .collect();
    let open = |region: &str| bound.iter().filter(|route| route.permits(region)).count();
    let all = within(&ready, |held| open(&held.place.region) == bound.len());
    if !all.is_empty() {
        return Listing::of(all);
    }
    let staying = within(&draining, |held| held.place.region == region);
    if !staying.is_empty() {
        return Listing::of(staying);
    }
    let most = ready.iter().map(|held| open(&held.place.region)).max();
    Listing::of(within(&ready, |held| {
        Some(open(&held.place.region)) == most
    }))
}

impl Listing {
    fn of(instances: Vec<&Presence>) -> Self {
        let addresses = instances.into_iter().take(MAX_ADDRESSES);
        Self {
            addresses: addresses.map(|held| held.callers.clone()).collect(),
            valid: LISTING_TTL,
        }
    }
}

fn within<'a>(instances: &[&'a Presence], fits: impl Fn(&Presence) -> bool) -> Vec<&'a Presence> {
    let fitting = instances.iter().filter(|held| fits(held));
    fitting.copied().collect()
}

/// Tells whether a route of a host is bound to homes.
fn is_bound(route: &Route, host: &str) -> bool {
    route.host.eq_ignore_ascii_case(host) && !route.homes.is_empty()
}
