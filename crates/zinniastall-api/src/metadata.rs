//! Metadata of refusals.

/// Names the leader's operator interface, when the replica that was asked does not lead.
pub const LEADER: &str = "x-zinniastall-leader";
/// Names the revision against which the creation of an absent object is checked.
pub const CURRENT_REVISION: &str = "x-zinniastall-current";
