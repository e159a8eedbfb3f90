//! Second filter: the regions that may serve a request.
//!
//! It is applied three times: at the entry instance, at the sender before a border, and at the
//! receiver against its own configuration. Two instances may hold different revisions; the receiver
//! takes what both permit, so that the stricter of the two wins whichever is newer.

use zinniastall_model::{id, object::Residency, object::Subject, place::Place};

use crate::{identify::Index, outcome::Reason, request::Request};

/// Returns the regions that a client's rules permit, seen from the region that received the request.
///
/// Without a matching rule only the receiving region may serve. All matching rules must permit.
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

/// Returns the regions that both a sender and this instance permit.
pub fn stricter(sender: &[id::Region], own: &[id::Region]) -> Vec<id::Region> {
    let both = sender.iter().filter(|region| own.contains(region));
    both.cloned().collect()
}

/// Refuses a request that no region may serve.
///
/// # Errors
///
/// [`Reason::Residency`].
pub const fn check(regions: &[id::Region]) -> Result<(), Reason> {
    if regions.is_empty() {
        return Err(Reason::Residency);
    }
    Ok(())
}

/// Refuses a request that may not be served in a place.
///
/// # Errors
///
/// [`Reason::Residency`].
pub fn check_place(regions: &[id::Region], place: &Place) -> Result<(), Reason> {
    if regions.contains(&place.region) {
        return Ok(());
    }
    Err(Reason::Residency)
}

/// Judges a request again that is about to be sent, by the configuration in force by then.
///
/// A request may have waited for a target while a rule was narrowed or its client was withdrawn.
/// Sent on by what it was admitted under, it would run where it may not, after the operator was
/// told that the new rule holds everywhere. What it was admitted under still bounds it as well.
///
/// # Errors
///
/// [`Reason::Residency`], [`Reason::Withdrawn`] and [`Reason::UnknownKey`].
pub fn check_again(index: &Index, request: &Request, place: &Place) -> Result<(), Reason> {
    let client = index.client(&request.client)?;
    let received = request.hops.first().ok_or(Reason::TooManyHops)?;
    let own = permitted(index.rules(&client.id), &request.subject, received);
    check_place(&stricter(&request.regions, &own), place)
}
