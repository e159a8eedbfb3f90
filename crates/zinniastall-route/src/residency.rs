//! Second filter: determines the regions that may serve a request.
//!
//! It applies three times: at the entry instance, at the sender before a boundary is crossed, and
//! at the receiver against its own configuration. The two instances may hold different revisions;
//! the receiver uses the regions that both permit, so that the stricter rule wins whichever is
//! newer.

use zinniastall_model::{id, object::Residency, object::Subject, place::Place};

use crate::{identify::Index, outcome::Reason, request::Request};

/// Returns the regions permitted by a client's rules for a request received in a place.
///
/// All matching rules must permit a region. Without a matching rule, only the region that received
/// the request may serve it.
pub fn permitted(rules: &[Residency], subject: &Subject, received: &Place) -> Vec<id::Region> {
    let covers = |rule: &&Residency| {
        let name = rule.subject.as_deref();
        name.is_none_or(|name| name == subject.name())
    };
    let mut matching = rules.iter().filter(covers);
    let Some(first) = matching.next() else {
        return vec![received.region.clone()];
    };
    let mut regions = first.regions.clone();
    for rule in matching {
        regions.retain(|region| rule.regions.contains(region));
    }
    regions
}

/// Returns the regions that both the sender and this instance permit.
pub fn stricter(sender: &[id::Region], own: &[id::Region]) -> Vec<id::Region> {
    let both = sender.iter().filter(|region| own.contains(region));
    both.cloned().collect()
}

/// Checks that some region may serve a request.
///
/// # Errors
///
/// Returns [`Reason::Residency`] if there is none.
pub const fn check(regions: &[id::Region]) -> Result<(), Reason> {
    if regions.is_empty() {
        return Err(Reason::Residency);
    }
    Ok(())
}

/// Checks that a request may be served in a place.
///
/// # Errors
///
/// Returns [`Reason::Residency`] if its region is not permitted.
pub fn check_place(regions: &[id::Region], place: &Place) -> Result<(), Reason> {
    if regions.contains(&place.region) {
        return Ok(());
    }
    Err(Reason::Residency)
}

/// Checks a request against the current configuration just before it is sent to a place.
///
/// While a request waits for a target, a rule may be narrowed or its client withdrawn. If it were
/// sent under the configuration that admitted it, it would run where it no longer may, after the
/// operator was told that the new rule is in force everywhere. The regions permitted at admission
/// remain a bound as well.
///
/// # Errors
///
/// Returns [`Reason::Residency`], [`Reason::Withdrawn`] or [`Reason::UnknownKey`], and
/// [`Reason::TooManyHops`] if the request lists no place that received it.
pub fn check_again(index: &Index, request: &Request, place: &Place) -> Result<(), Reason> {
    let client = index.client(&request.client)?;
    let received = request.hops.first().ok_or(Reason::TooManyHops)?;
    let own = permitted(index.rules(&client.id), &request.subject, received);
    check_place(&stricter(&request.regions, &own), place)
}
