//! Names of metadata fields in error responses.

/// Operator address of the leader, sent by a replica that is not the leader.
pub const LEADER: &str = "x-zinniastall-leader";
/// Revision to expect when creating the absent object that was asked for.
pub const CURRENT_REVISION: &str = "x-zinniastall-current";
