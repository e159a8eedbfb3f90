//! Messages between control instances.

use crate::recall::Remembered;
use serde::{Deserialize, Serialize};
use zinniastall_coord::{Id, replica};
use zinniastall_model::{id, member::Member, target::Report};
use zinniastall_wire::follow::{Confirmation, Drift};

/// A message between control instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// A message of the consensus.
    Log(Box<replica::Message>),
    /// Shows that the dialling end is alive.
    Ping,
    /// Answers [`Message::Ping`] on the same link.
    Pong,
    /// To the leader: revisions in force at the sender's followers.
    Confirmed(Vec<Confirmation>),
    /// To the leader: targets whose state differs from the configuration.
    #[serde(rename = "astray")]
    Drift(Vec<Drift>),
    /// To the leader: an entry instance announced itself.
    Join(Member),
    /// To a replica of the targets' availability zone, which remembers them.
    Remember(Vec<Remembered>),
    /// A target has signed off at the sender.
    SignOff(Box<Report>),
    /// To any replica, which forwards it to the leader: the sender asks to join the group.
    Admit {
        /// Id of the replica that asks.
        id: Id,
        /// Address of its links.
        address: String,
    },
    /// To the leader: the sender is shutting down and asks to leave the group.
    Leave {
        /// Id of the replica that asks.
        id: Id,
    },
    /// To the leader: asks which revision the group has reached.
    #[serde(rename = "vouch")]
    ReadIndex {
        /// Number that the answer repeats.
        ask: u64,
    },
    /// From the leader: a majority has confirmed that no later revision had been accepted before
    /// the question.
    #[serde(rename = "vouched")]
    ReadIndexAnswer {
        /// Number of the question.
        ask: u64,
        /// Revision that the group has reached.
        revision: id::Revision,
    },
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // Writing into a vector cannot fail; the receiver would drop an empty message.
        drop(ciborium::into_writer(self, &mut bytes));
        bytes
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a CBOR-encoded message.
    pub fn decode(bytes: &[u8]) -> Result<Self, ciborium::de::Error<std::io::Error>> {
        ciborium::from_reader(bytes)
    }
}
