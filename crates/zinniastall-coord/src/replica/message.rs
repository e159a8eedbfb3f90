//! Messages between replicas.

use serde::{Deserialize, Serialize};

use super::{Cluster, Id, Index, Term};
use crate::log::{Entry, Position};
use crate::voters::Voters;

/// A message to one replica.
///
/// The link identifies the sender. The message names the cluster and the receiver's id because an
/// address outlives the replica behind it: after a lost disk is replaced, a replica with another id
/// answers at the same address and must not act on messages for the old one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Cluster of the sender.
    pub cluster: Cluster,
    /// Id of the receiver.
    pub to: Id,
    /// Current term of the sender.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in the next term.
    PreVote {
        /// Last entry of the sender.
        last: Position,
    },
    /// Answers [`Body::PreVote`].
    PreVoteAnswer {
        /// Term in which the campaign would run.
        proposed: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the message's term.
    Vote {
        /// Last entry of the candidate.
        last: Position,
        /// Whether the previous leader asked for this campaign and has given up its lease.
        transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Carries entries; an empty one is a heartbeat.
    Append(Append),
    /// Answers [`Body::Append`] and the last [`Body::Chunk`] of a snapshot.
    AppendAnswer {
        /// Round of the message answered.
        round: u64,
        /// Whether the entries were accepted.
        outcome: Outcome,
    },
    /// Carries a chunk of a snapshot.
    Chunk(Chunk),
    /// Answers [`Body::Chunk`].
    ChunkAnswer {
        /// Round of the message answered.
        round: u64,
        /// Last index that the snapshot covers.
        last: Index,
        /// Contiguous bytes received from the start.
        received: u64,
    },
    /// Asks the receiver to campaign at once; the sender has stepped down.
    Transfer,
    /// Asks for the receiver's term and last entry; sent by a replica that knows no leader.
    Survey {
        /// Random number of the survey, which the answer repeats.
        number: u64,
    },
    /// Answers [`Body::Survey`]; the term of the message is part of the answer.
    #[serde(rename = "Standing")]
    SurveyAnswer {
        /// Number of the survey.
        number: u64,
        /// Last entry that the sender has synced.
        last: Position,
    },
    /// Tells a replica that asked for a pre-vote that a committed set of voters doesn't contain it.
    Removed {
        /// Index of that set.
        index: Index,
    },
}

/// Entries that follow a position in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Heartbeat round in which it was sent.
    pub round: u64,
    /// Position before the first entry.
    pub previous: Position,
    /// Entries in order.
    pub entries: Vec<Entry>,
    /// Last index that the leader knows to be committed.
    pub commit: Index,
}

impl Append {
    /// Returns whether the entries are consecutive, as in every well-formed message.
    pub(super) fn is_gapless(&self) -> bool {
        let indexes = self.previous.index + 1..;
        indexes
            .zip(&self.entries)
            .all(|(index, entry)| entry.index == index)
    }
}

/// A follower's answer to an [`Append`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The follower's log matches the leader's up to an index and is synced up to it.
    Accepted {
        /// Last index that matches the leader's log.
        matched: Index,
    },
    /// The follower's log doesn't contain the position before the entries.
    Rejected {
        /// Index that didn't match.
        previous: Index,
        /// Last position at which the follower's log may match the leader's.
        hint: Position,
    },
}

/// A chunk of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Heartbeat round in which it was sent.
    pub round: u64,
    /// Last entry that the snapshot covers.
    pub last: Position,
    /// Voters as of that entry.
    pub voters: Voters,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// Offset of the data in the snapshot in bytes.
    pub offset: u64,
    /// The bytes at that offset.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}
