//! Fingerprints, which identify a request, or a part of prompts, across resends, callers and
//! connections.

use std::{fmt, str::FromStr};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;
use zinniastall_coord::quarantine::{self, Key, Suspicion};

/// Context string that separates these digests from all others derived with BLAKE3.
const DERIVE_KEY_CONTEXT: &str = "zinniastall 2026 fingerprint of a request";
/// The same for parts of prompts.
const PART_DERIVE_KEY_CONTEXT: &str = "zinniastall 2026 fingerprint of a part of prompts";
/// Length of a fingerprint, in bytes.
const LENGTH_BYTES: usize = 16;
/// First bytes of a part's fingerprint, by which operators tell it from a request's. One request in four
/// billion has them by chance.
const PART_MARK: [u8; 4] = *b"part";
/// Parts of a request that are told apart; all later ones are one part together.
pub const MAX_PARTS: usize = 64;

/// Digest of a request's content: client account, host, path with query, and body.
///
/// Ids, deadlines and all other header fields are left out. The digest reveals nothing about the
/// body to anyone who doesn't know the body already.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(ByteArray<LENGTH_BYTES>);

/// A request, and the parts of its prompt that other requests may share.
pub type Subjects = quarantine::Subjects<Fingerprint>;

/// Where a part of prompts is the same one: a crash says nothing of other services and models, and no
/// client account may have another one's requests rejected.
#[derive(Debug, Clone, Copy)]
pub struct PartSpace<'a> {
    /// Service.
    pub service: &'a str,
    /// Model, empty if requests name none.
    pub model: &'a str,
    /// Client account, if there is one.
    pub account: Option<&'a str>,
}

/// A request or a part, and the target crashes attributed to it.
pub type Suspect = (Fingerprint, Suspicion);

/// What one instance knows of suspected requests.
pub type Suspects = quarantine::Suspects<Fingerprint>;

/// Error returned when a text is not a valid fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("fingerprint must have {} hexadecimal digits", 2 * LENGTH_BYTES)]
pub struct ParseError;

impl Fingerprint {
    /// Computes the fingerprint of a request; `target` is its path with the query.
    pub fn of(account: Option<&str>, host: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DERIVE_KEY_CONTEXT);
        let host = host.to_ascii_lowercase();
        update(&mut hasher, account, [&host, target]);
        hasher.update(body);
        let mut bytes = [0; LENGTH_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self::from(bytes)
    }

    /// Computes the fingerprint of a part of prompts.
    pub fn of_part(space: PartSpace<'_>, part: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(PART_DERIVE_KEY_CONTEXT);
        update(&mut hasher, space.account, [space.service, space.model]);
        hasher.update(part);
        let mut bytes = [0; LENGTH_BYTES];
        hasher.finalize_xof().fill(&mut bytes[PART_MARK.len()..]);
        bytes[..PART_MARK.len()].copy_from_slice(&PART_MARK);
        Self::from(bytes)
    }
}

impl Key for Fingerprint {
    fn is_part(&self) -> bool {
        self.0.starts_with(&PART_MARK)
    }
}

/// Adds an account and two fields to a digest.
fn update(hasher: &mut blake3::Hasher, account: Option<&str>, fields: [&str; 2]) {
    for field in [account.unwrap_or_default()].into_iter().chain(fields) {
        // Length prefixes keep fields with the same concatenation distinct.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.update(&[u8::from(account.is_some())]);
}

/// Returns the fingerprints of the parts that a request shares with others, each once. `parts` are all
/// of its parts in order; the last one belongs to it alone.
pub fn shared_parts<T: AsRef<[u8]>>(space: PartSpace<'_>, parts: &[T]) -> Vec<Fingerprint> {
    let Some((_, shared)) = parts.split_last() else {
        return Vec::new();
    };
    let (told_apart, rest) = shared.split_at(shared.len().min(MAX_PARTS));
    let all = told_apart.iter().map(AsRef::as_ref);
    let rest: Vec<u8> = rest.iter().flat_map(AsRef::as_ref).copied().collect();
    let rest = (!rest.is_empty()).then_some(&rest[..]);
    let parts: IndexSet<Fingerprint> = all
        .chain(rest)
        .map(|part| Fingerprint::of_part(space, part))
        .collect();
    parts.into_iter().collect()
}

impl From<[u8; LENGTH_BYTES]> for Fingerprint {
    fn from(bytes: [u8; LENGTH_BYTES]) -> Self {
        Self(ByteArray::new(bytes))
    }
}

impl AsRef<[u8]> for Fingerprint {
    fn as_ref(&self) -> &[u8] {
        &*self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if text.len() != 2 * LENGTH_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseError);
        }
        let mut bytes = [0; LENGTH_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseError)?;
        }
        Ok(Self::from(bytes))
    }
}
