//! Digests of prompt prefixes, by which caches are told apart.
//!
//! Engines cache prompts in blocks; a block is only of use when all blocks before it are cached
//! too. Each digest therefore covers its block and, through the digest before it, everything
//! earlier: two prompts share a digest only if they share the whole text up to there.

/// Bytes of text that one digest covers.
pub const BLOCK_BYTES: usize = 256;
/// Most digests that are made of one text; longer prompts share what they share within these.
pub const MAX_BLOCKS: usize = 512;

/// Returns the digests of all whole blocks of a text, first block first.
///
/// A digest is the first 8 bytes, little endian, of BLAKE3 over the previous digest and the block.
///
/// # Example
///
/// ```
/// use zinniastall_route::prefix;
///
/// let short = prefix::chain(&"a".repeat(256));
/// let long = prefix::chain(&"a".repeat(600));
/// assert_eq!(long.len(), 2);
/// assert_eq!(long[0], short[0]);
/// ```
pub fn chain(text: &str) -> Vec<u64> {
    let mut previous = 0_u64;
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    let digest = |block: &[u8]| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&previous.to_le_bytes()).update(block);
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        previous = u64::from_le_bytes(first);
        previous
    };
    blocks.map(digest).collect()
}

/// Returns how many leading digests of a chain are cached.
pub fn cached_blocks(chain: &[u64], cached: &[u64]) -> usize {
    chain
        .iter()
        .take_while(|digest| cached.contains(digest))
        .count()
}
