//! Who passes digests on to whom.
//!
//! Inside a group, members are ordered in a ring, and each passes on to the next one and to one
//! about a square root of the group further: two messages a member whatever the size, and at most
//! about two square roots of hops. Between groups, one or two *speakers* of each group talk. All of
//! it follows from the members that an instance sees alive, so that nothing has to be agreed on: two
//! that see different members for a moment send a message too many or too few.

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
pub fn rank<I: Ord>(own: &I, members: &[I]) -> Option<usize> {
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
