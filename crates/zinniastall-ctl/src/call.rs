//! Calls to the control group.

use zinniastall_api::operator::{Command, Kind, Object, RoutingTable, Step};

/// A call with its parameters.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Bootstraps a cluster.
    Bootstrap,
    /// Creates or replaces an object.
    Apply(Object),
    /// Deletes an object.
    Delete(Kind, String),
    /// Prints an object.
    Get(Kind, String),
    /// Prints the objects of a kind.
    List(Kind),
    /// Prints changes as they are committed.
    Watch(Watch),
    /// Prints the status of the system.
    Status {
        /// Whether to print the view of the first replica that answers instead of the leader's.
        local: bool,
    },
    /// Prints the status of an entry instance.
    Instance(String),
    /// Prints which instances have not confirmed a change.
    Change(u64),
    /// Prints histograms of an entry instance, or of control if the name is empty.
    Histograms(String),
    /// Changes the membership of the control group.
    Replica(Replica),
    /// Declares an entry instance permanently gone.
    Retire(String),
    /// Replaces the gateways' routing table.
    Publish(RoutingTable),
    /// Prints the routing table and the evacuated zones.
    Routing,
    /// Evacuates an availability zone, so that its targets get no new requests, or reopens it.
    Evacuate {
        /// Availability zone.
        zone: String,
        /// Whether to reopen the zone instead.
        reopen: bool,
    },
    /// Prints the quarantined requests.
    Quarantine,
    /// Prints the targets that name a rate.
    Limits,
    /// Prints the targets that instances don't reach.
    Reach,
    /// Releases a request from quarantine, by its fingerprint.
    Release(String),
}

/// Parameters of [`Call::Watch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Watch {
    /// Kinds of objects; empty for all.
    pub kinds: Vec<Kind>,
    /// Revision after which to start.
    pub after: u64,
    /// Number of changes after which to end; `None` to never end.
    pub count: Option<usize>,
}

/// A membership change of the control group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Step to take.
    pub step: Step,
    /// Id of the replica, in hexadecimal.
    pub id: String,
    /// Address of the replica's links; empty unless it is being admitted.
    pub address: String,
}

/// One invocation of the program: a call, the addresses to try, and the command id.
#[derive(Debug, Clone, PartialEq)]
pub struct Invocation {
    /// Operator addresses of control instances.
    pub addresses: Vec<String>,
    /// Operator, command id and expected revision of a write.
    ///
    /// The expected revision is absent only if the command id is new.
    pub command: Command,
    /// Maximum time to wait for confirmations, in milliseconds.
    pub wait_ms: u64,
    /// Time after which the invocation gives up.
    pub timeout: std::time::Duration,
    /// Call to perform.
    pub call: Call,
}
