//! Configuration on its way to entry instances, and confirmations on their way back.
//!
//! The follower speaks first and says which revision it holds; the sender answers with a snapshot
//! or with the changes after it. Every message is numbered by revision, so that a doubled or late
//! one is recognised and dropped.

use serde::{Deserialize, Serialize};
use zinniastall_model::{
    change::Change, id, member::Member, order::Holding, place::Place, state::State,
};

/// A message of a follow link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Follower: send what comes after this revision.
    From {
        /// Revision that the follower holds; 0 for none.
        revision: id::Revision,
        /// The follower itself, so that control can add it to the membership; `None` from a relay's
        /// follower that is a member already.
        member: Option<Member>,
    },
    /// Sender: the whole state.
    Snapshot(Box<State>),
    /// Sender: changes, each with the revision that it makes, in order, without gaps.
    Changes(Vec<(id::Revision, Change)>),
    /// Sender: nothing new; keeps the link alive and says how far the sender is.
    Alive {
        /// Revision that the sender holds.
        revision: id::Revision,
        /// Whether the sender reaches the control group.
        connected: bool,
    },
    /// Follower that starts, to a control instance: which revision has been reached by now?
    #[serde(rename = "vouch")]
    ReadIndex {
        /// Number that the answer repeats.
        ask: u64,
    },
    /// Control instance: the group has confirmed, after it was asked, that nothing later than this
    /// had been accepted before.
    #[serde(rename = "vouched")]
    ReadIndexAnswer {
        /// Number of the question.
        ask: u64,
        /// Revision that the group had reached.
        revision: id::Revision,
    },
    /// Follower: what is in force there, and at those that follow it.
    Confirm(Vec<Confirmation>),
    /// Relay: an instance presented itself that follows the relay.
    Present(Member),
    /// Relay: targets of its zone that do not hold what the configuration says.
    #[serde(rename = "astray")]
    Drifted(Vec<Drift>),
    /// Control, on a link that it dialled itself: send your figures.
    #[serde(rename = "ask")]
    SummariesRequest,
    /// Entry instance: its histograms.
    #[serde(rename = "figures")]
    Summaries(Vec<Summary>),
}

/// A target that does not hold what the configuration says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drift {
    /// Target.
    pub target: id::Target,
    /// Its run.
    pub incarnation: id::Incarnation,
    /// Where it runs.
    pub place: Place,
    /// Address of its HTTP interface.
    pub address: String,
    /// Kind of target, which decides whether it checks fencing numbers.
    pub kind: String,
    /// What it says that it holds.
    pub holding: Holding,
}

/// Summary of one histogram of an entry instance; values in microseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Name, such as `request.whole`.
    pub name: String,
    /// Client.
    pub client: id::Client,
    /// Class.
    pub class: id::Class,
    /// Values recorded.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Greatest value.
    pub max: u64,
}

/// One instance's word that a revision is in force there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Instance.
    pub instance: id::Instance,
    /// Its run.
    pub incarnation: id::Incarnation,
    /// Revision in force.
    pub revision: id::Revision,
    /// Whether it takes no new requests.
    pub draining: bool,
}
