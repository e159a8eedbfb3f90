//! Fingerprints, which identify a request across resends, callers and connections.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteArray;
use zinniastall_coord::quarantine::{self, Suspicion};

/// Context string that separates these digests from all others derived with BLAKE3.
const DERIVE_KEY_CONTEXT: &str = "zinniastall 2026 fingerprint of a request";
/// Length of a fingerprint, in bytes.
const LENGTH_BYTES: usize = 16;

/// Digest of a request's content: client account, host, path with query, and body.
///
/// Ids, deadlines and all other header fields are left out. The digest reveals nothing about the
/// body to anyone who doesn't know the body already.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(ByteArray<LENGTH_BYTES>);

/// A request and the target crashes attributed to it.
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
        let fields = [account.unwrap_or_default(), &host, target];
        for field in fields {
            // Length prefixes keep fields with the same concatenation distinct.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(&[u8::from(account.is_some())]);
        hasher.update(body);
        let mut bytes = [0; LENGTH_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self::from(bytes)
    }
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
