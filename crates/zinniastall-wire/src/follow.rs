//! Messages that distribute the configuration to entry instances and return confirmations.
//!
//! The follower opens the exchange with the revision that it holds; the sender answers with a
//! snapshot or with the changes after that revision. Configuration is numbered by revision, so that
//! duplicate and late messages are detected and dropped.

use serde::{Deserialize, Serialize};
use zinniastall_coord::rate::Limit;
use zinniastall_model::{
    change::Change, fingerprint::Suspect, id, member::Member, order::Holding, place::Place,
    state::State,
};

/// A message of a follow link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Follower: requests everything after a revision.
    From {
        /// Revision that the follower holds; 0 for none.
        revision: id::Revision,
        /// The follower, so that control can add it to the membership; `None` if it follows a relay
        /// and already is a member.
        member: Option<Member>,
    },
    /// Sender: the whole state.
    Snapshot(Box<State>),
    /// Sender: changes, each with the revision that it leads to, in order and without gaps.
    Changes(Vec<(id::Revision, Change)>),
    /// Sender: keeps the link alive and states the progress of the sender.
    Alive {
        /// Revision that the sender holds.
        revision: id::Revision,
        /// Whether the sender can reach the control group.
        connected: bool,
    },
    /// Starting follower, to a control instance: asks which revision the group has reached.
    #[serde(rename = "vouch")]
    ReadIndex {
        /// Number of the question, repeated by the answer.
        ask: u64,
    },
    /// Control instance: the group has confirmed that no later revision had been accepted when the
    /// question arrived.
    #[serde(rename = "vouched")]
    ReadIndexAnswer {
        /// Number of the question.
        ask: u64,
        /// Revision that the group had reached.
        revision: id::Revision,
    },
    /// Follower: revisions in force at itself and at its own followers.
    Confirm(Vec<Confirmation>),
    /// Relay: an instance that follows the relay has introduced itself.
    Present(Member),
    /// Relay: targets of its zone that differ from the configuration.
    #[serde(rename = "astray")]
    Drifted(Vec<Drift>),
    /// Follower of a control instance: quarantined and released requests that the configuration
    /// doesn't hold yet.
    Suspects(Vec<Suspect>),
    /// Follower of a control instance: rates that targets have named to instances of its zone.
    Limits(Vec<(id::Target, Limit)>),
    /// Follower of a control instance: targets of its zone that it does not reach.
    Unreached(crate::reach::Report),
    /// Control, on a link that it has dialled: requests histograms.
    #[serde(rename = "ask")]
    SummariesRequest,
    /// Entry instance: summaries of its histograms.
    #[serde(rename = "figures")]
    Summaries(Vec<Summary>),
}

/// A target whose reported state differs from the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drift {
    /// Target.
    pub target: id::Target,
    /// Run of its process.
    pub incarnation: id::Incarnation,
    /// Region and availability zone.
    pub place: Place,
    /// Address of its HTTP interface.
    pub address: String,
    /// Kind of target, which determines whether it checks fencing tokens.
    pub kind: String,
    /// State that it reports.
    pub holding: Holding,
}

/// Summary of one histogram of an entry instance; values in microseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the histogram, such as `request.whole`.
    pub name: String,
    /// Client.
    pub client: id::Client,
    /// Class.
    pub class: id::Class,
    /// Number of recorded values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

/// Confirmation of an instance that a revision is in force there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Instance.
    pub instance: id::Instance,
    /// Run of its process.
    pub incarnation: id::Incarnation,
    /// Revision in force.
    pub revision: id::Revision,
    /// Whether the instance is draining and accepts no new requests.
    pub draining: bool,
}
