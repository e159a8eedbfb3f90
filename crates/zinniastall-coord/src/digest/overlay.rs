//! Who passes digests on to whom.
//!
//! A group lies in a region: groups of a region are close, regions are far apart.
//!
//! Inside a group, members are ordered in a ring, and each passes on to the next one and to one
//! about a square root of the group further: two messages a member whatever the size, and at most
//! about two square roots of hops. Between groups, one or two *speakers* of each group talk. All of
//! it follows from the members that an instance sees alive, so that nothing has to be agreed on: two
//! that see different members for a moment send a message too many or too few.
//!
//! A fact crosses each border once on each speaker's path: [`forwards`] says where to. Passed on by
//! everybody to everybody, each fact would cross each link between regions.

/// Most speakers of a group. The second one keeps the group heard while the first is lost and not
/// yet found out, and gives a second path when one link between groups is cut.
pub const SPEAKERS: usize = 2;

/// Returns to whom a member passes on within its group; `members` are sorted and contain it.
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

/// Returns a member's rank as a speaker, if it is one; `members` are sorted.
pub fn speaker_rank<I: Ord>(own: &I, members: &[I]) -> Option<usize> {
    members
        .iter()
        .take(SPEAKERS)
        .position(|member| member == own)
}

/// Returns which of another group's members a speaker of this rank talks to.
pub fn counterpart<I>(rank: usize, members: &[I]) -> Option<&I> {
    let speakers = members.len().min(SPEAKERS);
    (speakers > 0).then(|| &members[rank % speakers])
}

/// Where a group lies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Site<'a> {
    /// Region.
    pub region: &'a str,
    /// Group within the region.
    pub group: &'a str,
}

/// Where a fact matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Everywhere.
    Everywhere,
    /// In the region of the group that it is about.
    Region,
    /// In other regions; the group that it is about hands it out for its region.
    OtherRegions,
}

impl Scope {
    /// Tells whether a fact matters to the group at the other end of a link.
    pub fn admits(self, own: Site<'_>, about: Site<'_>, to: Site<'_>) -> bool {
        match self {
            Self::Everywhere => true,
            Self::Region => to.region == about.region,
            // The second speaker of the group that hands it out needs it as well.
            Self::OtherRegions => to.region != about.region || (to == own && own == about),
        }
    }
}

/// Tells whether an instance passes a fact on, wherever it matters.
///
/// `own` is where the instance is, `about` the group that the fact is about, `from` where it came
/// from (`own` when it was made there) and `to` the other end of the link.
///
/// Facts of the own region go out to other regions, and facts from abroad go to the region's other
/// groups from where they came in. Two groups that can't reach each other don't hear of each other
/// by a third, which would invite requests that can't be forwarded.
pub fn forwards(own: Site<'_>, about: Site<'_>, from: Site<'_>, to: Site<'_>) -> bool {
    if to == own {
        return true;
    }
    if to.region != own.region {
        return about.region == own.region;
    }
    about == own || (about.region != own.region && from.region != own.region)
}
