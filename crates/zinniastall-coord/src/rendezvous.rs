//! Rendezvous hashing.

/// Returns the member that a key is assigned to; `None` if there are no members.
pub fn choose<'a, S: AsRef<str> + ?Sized>(
    key: &str,
    members: impl Iterator<Item = &'a S>,
) -> Option<&'a S> {
    members.max_by_key(|member| weight(key, member.as_ref()))
}

/// Returns the weight of a pair. The pair with the greatest weight wins, so a member that joins or
/// leaves moves only the keys it wins or held.
pub fn weight(key: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_bytes());
    let mut first = [0; 8];
    hasher.finalize_xof().fill(&mut first);
    u64::from_le_bytes(first)
}
