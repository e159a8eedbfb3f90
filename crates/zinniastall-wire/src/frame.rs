//! One message of a link.

use serde::{Deserialize, Serialize};

use crate::{follow, gossip, hello, hub, stream};

/// Longest encoded frame, in bytes; a longer one closes the link.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// One message of a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// Opens a link; first frame of each end.
    Hello(hello::Hello),
    /// Refuses a link; last frame.
    Refused(hello::Refusal),
    /// A message between control replicas.
    Replica(Replica),
    /// Configuration and confirmations.
    Follow(follow::Message),
    /// Membership, targets and digests.
    Gossip(gossip::Message),
    /// A part of a forwarded request or of its answer.
    Stream(stream::Message),
    /// Between control replicas and gateway instances.
    Hub(hub::Message),
}

/// A message of the consensus, addressed by replica ids so that one meant for a lost replica at the
/// same address is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Sender's replica id.
    pub from: u64,
    /// Receiver's replica id.
    pub to: u64,
    /// CBOR of the message.
    #[serde(with = "serde_bytes")]
    pub message: Vec<u8>,
}

/// Why bytes are not a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame is longer than [`MAX_BYTES`].
    #[error("frame of {0} bytes is too long")]
    Long(usize),
    /// The bytes are not CBOR of a frame.
    #[error("frame is malformed")]
    Malformed(#[source] ciborium::de::Error<std::io::Error>),
    /// The frame cannot be encoded.
    #[error("frame cannot be encoded")]
    Encode(#[source] ciborium::ser::Error<std::io::Error>),
}

impl Frame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// [`Error::Long`] when the result passes [`MAX_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).map_err(Error::Encode)?;
        if bytes.len() > MAX_BYTES {
            return Err(Error::Long(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// [`Error::Long`] and [`Error::Malformed`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_BYTES {
            return Err(Error::Long(bytes.len()));
        }
        ciborium::from_reader(bytes).map_err(Error::Malformed)
    }
}
