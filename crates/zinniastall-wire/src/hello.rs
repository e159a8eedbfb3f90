//! The handshake of a link.

use serde::{Deserialize, Serialize};
use zinniastall_model::{id, place::Place};

/// Version of the frames; both ends must speak the same.
pub const VERSION: u16 = 4;

/// What a link is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// Messages between control replicas.
    Replica,
    /// Configuration from control or a relay to an entry instance, and confirmations back.
    Follow,
    /// Membership, targets and digests between entry instances.
    Gossip,
    /// Forwarded requests between entry instances.
    Stream,
    /// Configuration, targets and instances from control replicas to gateway instances.
    Hub,
}

/// First frame from each end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`VERSION`] of the sender.
    pub version: u16,
    /// What the link is for.
    pub purpose: Purpose,
    /// Cluster that the sender belongs to, as hex; `None` while it knows none.
    pub cluster: Option<String>,
    /// Sender's name from its settings.
    pub instance: id::Instance,
    /// Sender's process run: a link's frames are void once a later run has been seen.
    pub incarnation: id::Incarnation,
    /// Where the sender runs.
    pub place: Place,
    /// Address of the sender's links, as others reach it.
    pub links: String,
    /// Address of the sender's callers' or operators' interface.
    pub service: String,
}

/// Why a handshake was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The ends speak different versions.
    #[error("frame version differs")]
    Version,
    /// The ends belong to different clusters.
    #[error("cluster differs")]
    Cluster,
    /// A later run of the same instance is known.
    #[error("a later incarnation is known")]
    Stale,
    /// The end does not serve this purpose.
    #[error("purpose not served here")]
    Purpose,
    /// The end is at its limit of links.
    #[error("too many links")]
    Full,
}
