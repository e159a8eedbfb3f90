//! Rules of forwarding that rule out loops.
//!
//! A request crosses at most one border between regions, and at most one between zones within each
//! region; it enters no place twice. The sender checks before it forwards and the receiver checks what
//! arrives, so that one wrong instance alone cannot make a loop.

use zinniastall_model::place::Place;

use crate::outcome::Reason;

/// Checks a list of places that a request has passed, in order.
///
/// # Errors
///
/// [`Reason::TooManyHops`].
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

/// Checks whether a request that has passed `hops` may go on to a place, as its sender does.
///
/// A request that came from another instance is served or refused where it is; it never goes on.
///
/// # Errors
///
/// [`Reason::TooManyHops`].
pub fn check_next(hops: &[Place], next: &Place) -> Result<Vec<Place>, Reason> {
    if hops.len() != 1 {
        return Err(Reason::TooManyHops);
    }
    let mut extended = hops.to_vec();
    // Passing a ticket to its issuer in the same zone crosses no border.
    if hops.last() != Some(next) {
        extended.push(next.clone());
    }
    check(&extended)?;
    Ok(extended)
}

/// Checks the places of a request that arrived from a sender's place, as its receiver does.
///
/// The first place decides what a client without a rule may use, so a sender that names another than
/// its own would choose the region for it.
///
/// # Errors
///
/// [`Reason::TooManyHops`].
pub fn check_arrived(hops: &[Place], sender: &Place, local: &Place) -> Result<(), Reason> {
    check(hops)?;
    if hops.len() > 2 || hops.first() != Some(sender) || hops.last() != Some(local) {
        return Err(Reason::TooManyHops);
    }
    Ok(())
}

fn crossings(hops: &[Place], is_border: impl Fn(&Place, &Place) -> bool) -> usize {
    let steps = hops.windows(2);
    steps
        .filter(|step| step[0] != step[1] && is_border(&step[0], &step[1]))
        .count()
}
