//! Tells callers which instances to connect to.

use std::time::Duration;

use zinniastall_model::{presence::Presence, routing::Route};

use crate::view::View;

/// Maximum number of addresses in a listing.
const MAX_ADDRESSES: usize = 64;
/// Ready instances that a zone needs for its callers to be sent to that zone alone; a single
/// instance would take all of them down with it.
const MIN_ZONE_INSTANCES: usize = 3;
/// Maximum number of times that an instance is listed. The capacity of an instance that fails at once
/// is missing until its callers' listings end.
const MAX_COPIES: u32 = 4;
/// Time for which a listing is valid. It bounds how long callers keep using an instance that stops.
const LISTING_TTL: Duration = Duration::from_secs(2);

/// Addresses that a caller should connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Addresses of the instances, in no order of preference.
    pub addresses: Vec<String>,
    /// Time for which the listing is valid.
    pub valid: Duration,
}

/// Lists instances for callers of a host in a region and zone; the listing is empty while no routes
/// are known.
///
/// Ready instances of the caller's own region come first, whatever the homes of the routes: any
/// request may enter there. If there are none, ready instances of the regions in which all routes
/// of the host may run follow, then draining instances of the caller's region, which still serve,
/// and last the ready instances of the regions that permit the most routes.
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
    let near = if nearest.len() >= MIN_ZONE_INSTANCES {
        nearest
    } else {
        own
    };
    if !near.is_empty() && view.load_control.instance_weights {
        return Listing::weighted(&near);
    }
    if !near.is_empty() {
        return Listing::of(near);
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

    /// Lists each instance as often as its capacity is a multiple of the smallest one. Callers choose
    /// among the addresses at random, so an instance gets connections in proportion to its capacity.
    fn weighted(instances: &[&Presence]) -> Self {
        let stated = instances.iter().map(|held| held.capacity);
        let smallest = stated.filter(|capacity| *capacity > 0).min().unwrap_or(1);
        let copies = |held: &Presence| (held.capacity / smallest).clamp(1, MAX_COPIES);
        let most = instances.iter().map(|held| copies(held)).max();
        // Copies come in rounds, so that a listing that is cut off still names every instance.
        let rounds = (0..most.unwrap_or(0)).flat_map(|round| {
            let left = instances.iter().filter(move |held| copies(held) > round);
            left.map(|held| held.callers.clone())
        });
        Self {
            addresses: rounds.take(MAX_ADDRESSES).collect(),
            valid: LISTING_TTL,
        }
    }
}

fn within<'a>(instances: &[&'a Presence], fits: impl Fn(&Presence) -> bool) -> Vec<&'a Presence> {
    let fitting = instances.iter().filter(|held| fits(held));
    fitting.copied().collect()
}

/// Returns whether a route of a host is restricted to home regions.
fn is_bound(route: &Route, host: &str) -> bool {
    route.host.eq_ignore_ascii_case(host) && !route.homes.is_empty()
}
