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
/// [`Reason::Hops`].
pub fn check(hops: &[Place]) -> Result<(), Reason> {
    let again = |(index, place): (usize, &Place)| hops[..index].contains(place);
    let regions = crossings(hops, |a, b| a.region != b.region);
    let zones = |region: &str| crossings(hops, |a, b| a.region == region && b.region == region);
    let fits = !hops.is_empty()
        && !hops.iter().enumerate().any(again)
        && regions <= 1
        && hops.iter().all(|place| zones(&place.region) <= 1);
    if fits { Ok(()) } else { Err(Reason::Hops) }
}

/// Checks whether a request that has passed `hops` may go on to a place, as its sender does.
///
/// A request that came from another instance is served or refused where it is; it never goes on.
///
/// # Errors
///
/// [`Reason::Hops`].
pub fn check_next(hops: &[Place], next: &Place) -> Result<Vec<Place>, Reason> {
    if hops.len() != 1 {
        return Err(Reason::Hops);
    }
    let mut longer = hops.to_vec();
    // Passing a ticket to its issuer in the same zone crosses no border.
    if hops.last() != Some(next) {
        longer.push(next.clone());
    }
    check(&longer)?;
    Ok(longer)
}

/// Checks the places of a request that arrived from a sender's place, as its receiver does.
///
/// The first place decides what a client without a rule may use, so a sender that names another than
/// its own would choose the region for it.
///
/// # Errors
///
/// [`Reason::Hops`].
pub fn check_arrived(hops: &[Place], sender: &Place, here: &Place) -> Result<(), Reason> {
    check(hops)?;
    if hops.len() > 2 || hops.first() != Some(sender) || hops.last() != Some(here) {
        return Err(Reason::Hops);
    }
    Ok(())
}

fn crossings(hops: &[Place], border: impl Fn(&Place, &Place) -> bool) -> usize {
    let steps = hops.windows(2);
    steps
        .filter(|step| step[0] != step[1] && border(&step[0], &step[1]))
        .count()
}
