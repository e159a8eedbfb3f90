//! Frames: the messages of a link.

use serde::{Deserialize, Serialize};

use crate::{follow, gossip, hello, hub, stream};

/// Maximum length of an encoded frame; a longer one closes the link.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// A message of a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// Handshake; first frame of each end.
    Hello(hello::Hello),
    /// Refusal of a link; last frame.
    Refused(hello::Refusal),
    /// A message between control replicas.
    Replica(Replica),
    /// Configuration, and confirmations of it.
    Follow(follow::Message),
    /// Membership, targets and zone digests.
    Gossip(gossip::Message),
    /// Part of a forwarded request or of its response.
    Stream(stream::Message),
    /// A message between a control replica and a gateway instance.
    Hub(hub::Message),
}

/// A consensus message, addressed by replica id so that a message meant for a former replica at the
/// same address is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Replica id of the sender.
    pub from: u64,
    /// Replica id of the receiver.
    pub to: u64,
    /// Message, encoded as CBOR.
    #[serde(with = "serde_bytes")]
    pub message: Vec<u8>,
}

/// Error of encoding or decoding a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame is longer than [`MAX_BYTES`].
    #[error("frame of {0} bytes is too long")]
    Long(usize),
    /// The bytes are not a CBOR-encoded frame.
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
    /// Returns [`Error::Long`] if the result exceeds [`MAX_BYTES`], and [`Error::Encode`] if
    /// encoding fails.
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
    /// Returns [`Error::Long`] if the input exceeds [`MAX_BYTES`], and [`Error::Malformed`] if it
    /// is not a frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_BYTES {
            return Err(Error::Long(bytes.len()));
        }
        ciborium::from_reader(bytes).map_err(Error::Malformed)
    }
}
