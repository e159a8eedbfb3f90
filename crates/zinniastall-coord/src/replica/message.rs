//! What replicas say to each other.

use serde::{Deserialize, Serialize};

use super::{Cluster, Id, Index, Term};
use crate::log::{Entry, Position};
use crate::voters::Voters;

/// One message to one replica.
///
/// The link tells the receiver who sent it. The cluster and the receiver's id are part of the
/// message, because an address outlives the replica behind it: a disk that was lost and replaced
/// answers at the same address under another id, and must not act on what was meant for the old one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Cluster of the sender.
    pub cluster: Cluster,
    /// Replica the message is meant for.
    pub to: Id,
    /// Present term of the sender.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a campaign in the next term would be granted.
    PreVote {
        /// Last entry of the asking replica.
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
        /// Whether the leader before asked for this campaign and has given its lease up.
        transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Carries entries; without entries it is a heartbeat.
    Append(Append),
    /// Answers [`Body::Append`] and the last [`Body::Chunk`].
    AppendAnswer {
        /// Round of the message answered.
        round: u64,
        /// Whether the entries fitted.
        outcome: Outcome,
    },
    /// Carries a part of a snapshot.
    Chunk(Chunk),
    /// Answers [`Body::Chunk`].
    ChunkAnswer {
        /// Round of the message answered.
        round: u64,
        /// Last entry the snapshot covers.
        last: Index,
        /// Bytes received without a gap.
        received: u64,
    },
    /// Asks the receiver to campaign at once; the sender has stopped leading.
    Transfer,
    /// Asks where the receiver stands; sent by a replica that has started and knows no leader.
    Survey {
        /// Random number of the sender's start, which the answer repeats.
        number: u64,
    },
    /// Answers [`Body::Survey`]; the message's term is a part of the answer.
    #[serde(rename = "Standing")]
    SurveyAnswer {
        /// Number of the question.
        number: u64,
        /// Last entry that the sender has synced.
        last: Position,
    },
    /// Answers [`Body::PreVote`] of a replica that a committed set of voters has removed.
    Removed {
        /// Place of that set.
        index: Index,
    },
}

/// Entries that follow a place in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Heartbeat round in which it was sent.
    pub round: u64,
    /// Place before the first entry.
    pub previous: Position,
    /// Entries in order.
    pub entries: Vec<Entry>,
    /// Last place that the leader knows to be committed.
    pub commit: Index,
}

impl Append {
    /// Tells whether each entry follows the place before it, as in every honest message.
    pub(super) fn is_gapless(&self) -> bool {
        let places = self.previous.index + 1..;
        places
            .zip(&self.entries)
            .all(|(index, entry)| entry.index == index)
    }
}

/// How a follower took an [`Append`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The follower's log equals the leader's up to here, and is synced up to here.
    Accepted {
        /// Last place that equals the leader's log.
        matched: Index,
    },
    /// The follower doesn't hold the place before the entries.
    Rejected {
        /// Place that wasn't held.
        previous: Index,
        /// Last place at which the follower's log may equal the leader's.
        hint: Position,
    },
}

/// A part of a snapshot.
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
    /// Place of the data in the snapshot in bytes.
    pub offset: u64,
    /// The bytes.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}
