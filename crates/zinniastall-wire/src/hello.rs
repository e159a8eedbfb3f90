//! Handshake of a link.

use serde::{Deserialize, Serialize};
use zinniastall_model::{id, place::Place};

/// Version of the frame format, which must be the same at both ends.
pub const VERSION: u16 = 7;

/// Purpose of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// Messages between control replicas.
    Replica,
    /// Configuration from a control instance or relay to an entry instance, and confirmations back.
    Follow,
    /// Membership, targets and zone digests between entry instances.
    Gossip,
    /// Forwarded requests between entry instances.
    Stream,
    /// Configuration, targets and instances from control replicas to gateway instances.
    Hub,
}

/// First frame of each end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Frame version of the sender, see [`VERSION`].
    pub version: u16,
    /// Purpose of the link.
    pub purpose: Purpose,
    /// Id of the sender's cluster in hex; `None` while it knows none.
    pub cluster: Option<String>,
    /// Name of the sender, from its settings.
    pub instance: id::Instance,
    /// Run of the sender's process; frames of a link are ignored once a later run has been seen.
    pub incarnation: id::Incarnation,
    /// Region and availability zone of the sender.
    pub place: Place,
    /// Address on which the sender accepts links.
    pub links: String,
    /// Address of the sender's interface for callers or operators.
    pub service: String,
}

/// Reason why a handshake was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The ends use different frame versions.
    #[error("frame version differs")]
    Version,
    /// The ends belong to different clusters.
    #[error("cluster differs")]
    Cluster,
    /// A later run of the same instance is known.
    #[error("a later incarnation is known")]
    Stale,
    /// The end does not serve links of this purpose.
    #[error("purpose not served here")]
    Purpose,
    /// The end has reached its maximum number of links.
    #[error("too many links")]
    Full,
}
