//! Rules that prevent forwarding loops.
//!
//! A request crosses at most one region boundary, and at most one zone boundary within each region;
//! it enters no place twice. The sender checks before it forwards and the receiver checks on
//! arrival, so that a single faulty instance cannot cause a loop.

use zinniastall_model::place::Place;

use crate::outcome::Reason;

/// Checks the places that a request has passed, in order.
///
/// # Errors
///
/// Returns [`Reason::TooManyHops`] if the list is empty or breaks these rules.
pub fn check(hops: &[Place]) -> Result<(), Reason> {
    let is_repeated = |(index, place): (usize, &Place)| hops[..index].contains(place);
    let region_crossings = crossings(hops, |a, b| a.region != b.region);
    let zone_crossings =
        |region: &str| crossings(hops, |a, b| a.region == region && b.region == region);
    let is_valid = !hops.is_empty()
        && !hops.iter().enumerate().any(is_repeated)
        && region_crossings <= 1
        && hops.iter().all(|place| zone_crossings(&place.region) <= 1);
    if is_valid {
        Ok(())
    } else {
        Err(Reason::TooManyHops)
    }
}

/// Checks, at the sender, whether a request that has passed `hops` may be forwarded to a place.
///
/// Returns the hops including that place. A request that came from another instance is served or
/// refused locally; it is never forwarded again.
///
/// # Errors
///
/// Returns [`Reason::TooManyHops`] if the request may not be forwarded there.
pub fn check_next(hops: &[Place], next: &Place) -> Result<Vec<Place>, Reason> {
    if hops.len() != 1 {
        return Err(Reason::TooManyHops);
    }
    let mut extended = hops.to_vec();
    // Passing a ticket to its issuer in the same zone crosses no boundary.
    if hops.last() != Some(next) {
        extended.push(next.clone());
    }
    check(&extended)?;
    Ok(extended)
}

/// Checks, at the receiver, the places of a request that arrived from a sender's place.
///
/// The first place determines the region that a client without residency rules may use. A sender
/// that names a place other than its own would select that region itself.
///
/// # Errors
///
/// Returns [`Reason::TooManyHops`] if the places are invalid or do not lead from the sender to this
/// instance.
pub fn check_arrived(hops: &[Place], sender: &Place, local: &Place) -> Result<(), Reason> {
    check(hops)?;
    if hops.len() > 2 || hops.first() != Some(sender) || hops.last() != Some(local) {
        return Err(Reason::TooManyHops);
    }
    Ok(())
}

fn crossings(hops: &[Place], is_boundary: impl Fn(&Place, &Place) -> bool) -> usize {
    let steps = hops.windows(2);
    steps
        .filter(|step| step[0] != step[1] && is_boundary(&step[0], &step[1]))
        .count()
}
