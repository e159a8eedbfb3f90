//! Second filter: the regions that may serve a request.
//!
//! It is applied three times: at the entry instance, at the sender before a border, and at the
//! receiver against its own configuration. Two instances may hold different revisions; the receiver
//! takes what both permit, so that the stricter of the two wins whichever is newer.

use zinniastall_model::{id, object::Residency, object::Subject, place::Place};

use crate::outcome::Reason;

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
