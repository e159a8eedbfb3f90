//! What control instances say to each other.

use crate::recall::Remembered;
use serde::{Deserialize, Serialize};
use zinniastall_coord::{Id, replica};
use zinniastall_model::{id, member::Member};
use zinniastall_wire::follow::{Confirmation, Drift};

/// A message between control instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// A message of the consensus.
    Log(Box<replica::Message>),
    /// Shows that the dialling end lives.
    Ping,
    /// Answers [`Message::Ping`] on the same link.
    Pong,
    /// To the leader: revisions in force at the sender's followers.
    Confirmed(Vec<Confirmation>),
    /// To the leader: targets that do not hold what the configuration says.
    Astray(Vec<Drift>),
    /// To the leader: an entry instance presented itself.
    Join(Member),
    /// To a replica of the targets' availability zone, which remembers them.
    Remember(Vec<Remembered>),
    /// To any replica, which passes it on to the leader: this replica asks to be taken in.
    Admit {
        /// The replica.
        id: Id,
        /// Where its links are reached.
        address: String,
    },
    /// To the leader: which revision has been reached by now?
    Vouch {
        /// Number that the answer repeats.
        ask: u64,
    },
    /// Leader: a majority has confirmed that nothing later had been accepted before it was asked.
    Vouched {
        /// Number of the question.
        ask: u64,
        /// Revision reached.
        revision: id::Revision,
    },
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // Writing into a vector cannot fail; an empty message would be dropped by the receiver.
        drop(ciborium::into_writer(self, &mut bytes));
        bytes
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not CBOR of a message.
    pub fn decode(bytes: &[u8]) -> Result<Self, ciborium::de::Error<std::io::Error>> {
        ciborium::from_reader(bytes)
    }
}
