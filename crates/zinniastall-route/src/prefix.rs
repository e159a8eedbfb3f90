//! Digests of prompt prefixes, by which cached prompts are identified.
//!
//! Engines cache prompts in blocks, and a cached block is only useful if all blocks before it are
//! cached too. Each digest therefore covers its block and, through the previous digest, all earlier
//! blocks: two prompts share a digest only if their text is equal up to the end of that block.

/// Size of a block of text, in bytes.
pub const BLOCK_BYTES: usize = 256;
/// Maximum number of digests of one text; later blocks of longer prompts are ignored.
pub const MAX_BLOCKS: usize = 512;

/// Returns the digests of the whole blocks of a text in order, at most [`MAX_BLOCKS`].
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
