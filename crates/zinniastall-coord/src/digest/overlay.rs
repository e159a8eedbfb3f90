//! The overlay network over which digests are forwarded.
//!
//! Each group belongs to a region. Groups of one region are close to each other; regions are far
//! apart.
//!
//! Inside a group, members form a ring, and each forwards to the next one and to one about a square
//! root of the group size further on: two messages per member whatever the size, and at most about
//! two square roots of hops. Between groups, one or two *speakers* per group communicate. All of it
//! follows from the members that an instance sees alive, so no agreement is needed: instances that
//! see different members for a moment send a message too many or too few.
//!
//! [`forwards`] decides where a fact goes next, so that it crosses each border between regions once
//! on each speaker's path. If every instance forwarded to every other one, each fact would cross
//! each link between regions.

/// Most speakers of a group. The second one keeps the group connected until the loss of the first
/// is detected, and provides a second path when a link between groups is cut.
pub const SPEAKERS: usize = 2;

/// Returns the members to which a member forwards within its group; `members` must be sorted and
/// contain it.
pub fn successors<'a, I: Ord>(own: &I, members: &'a [I]) -> Vec<&'a I> {
    let Ok(at) = members.binary_search(own) else {
        return members.iter().take(SPEAKERS).collect();
    };
    let count = members.len();
    let mut next = Vec::new();
    for step in [1, count.isqrt() + 1] {
        let member = &members[(at + step) % count];
        if member != own && !next.contains(&member) {
            next.push(member);
        }
    }
    next
}

/// Returns a member's rank as a speaker, if it is one; `members` must be sorted.
pub fn speaker_rank<I: Ord>(own: &I, members: &[I]) -> Option<usize> {
    members
        .iter()
        .take(SPEAKERS)
        .position(|member| member == own)
}

/// Returns the member of another group that a speaker of this rank talks to.
pub fn counterpart<I>(rank: usize, members: &[I]) -> Option<&I> {
    let speakers = members.len().min(SPEAKERS);
    (speakers > 0).then(|| &members[rank % speakers])
}

/// Location of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Site<'a> {
    /// Region.
    pub region: &'a str,
    /// Group within the region.
    pub group: &'a str,
}

/// Regions in which a fact is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All regions.
    Everywhere,
    /// The region of the group that it is about.
    Region,
    /// The other regions, for a fact that a group publishes on behalf of its whole region.
    OtherRegions,
}

impl Scope {
    /// Returns whether the group at the other end of a link needs a fact.
    pub fn admits(self, own: Site<'_>, about: Site<'_>, to: Site<'_>) -> bool {
        match self {
            Self::Everywhere => true,
            Self::Region => to.region == about.region,
            // The second speaker of the group that publishes the fact needs it as well.
            Self::OtherRegions => to.region != about.region || (to == own && own == about),
        }
    }
}

/// Returns whether an instance forwards a fact over a link, regardless of its [`Scope`].
///
/// `own` is the location of the instance, `about` the group that the fact is about, `from` where it
/// came from (`own` if it was created there) and `to` the other end of the link.
///
/// Facts about the own region are sent to other regions, and facts about other regions are sent by
/// the group that received them to the other groups of the region. Two groups that can't reach each
/// other don't learn of each other through a third: that would invite requests that can't be
/// forwarded.
pub fn forwards(own: Site<'_>, about: Site<'_>, from: Site<'_>, to: Site<'_>) -> bool {
    if to == own {
        return true;
    }
    if to.region != own.region {
        return about.region == own.region;
    }
    about == own || (about.region != own.region && from.region != own.region)
}
