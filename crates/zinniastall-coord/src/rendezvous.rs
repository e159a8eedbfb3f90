//! Rendezvous hashing.

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
