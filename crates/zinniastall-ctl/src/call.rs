//! The calls.

use zinniastall_api::operator::{Command, Kind, Object, RoutingTable, Step};

/// One call and what it needs.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Founds a cluster.
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
    /// Prints how the system is.
    Status {
        /// Whether the first replica that answers is asked, instead of the leader.
        local: bool,
    },
    /// Prints how an entry instance is.
    Instance(String),
    /// Prints where a change is in force.
    Change(u64),
    /// Prints histograms of an entry instance, or of the control instance when the name is empty.
    Histograms(String),
    /// Changes the control group.
    Replica(Replica),
    /// Declares an entry instance gone for certain.
    Retire(String),
    /// Replaces the routing table of gateway instances.
    Publish(RoutingTable),
    /// Prints the routing table and the evacuated zones.
    Routing,
    /// Lets no new request go to the targets of a zone, or takes that back.
    Evacuate {
        /// Availability zone.
        zone: String,
        /// Whether it is taken back.
        reopen: bool,
    },
    /// Prints the requests that are not run any more.
    Quarantine,
    /// Lets a request run again, by its fingerprint.
    Release(String),
}

/// What to watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Watch {
    /// Kinds; empty for all.
    pub kinds: Vec<Kind>,
    /// Revision after which changes are printed.
    pub after: u64,
    /// Changes after which to end; `None` for never.
    pub count: Option<usize>,
}

/// A change of the control group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// What to do.
    pub step: Step,
    /// Replica id, hex.
    pub id: String,
    /// Address of its links; empty unless it is admitted.
    pub address: String,
}

/// A call, whom to ask and under which command id.
#[derive(Debug, Clone, PartialEq)]
pub struct Invocation {
    /// Addresses of control instances' operator interfaces.
    pub addresses: Vec<String>,
    /// Operator, command id and expected revision of a write.
    ///
    /// The expected revision is absent only when the command id is fresh.
    pub command: Command,
    /// Longest time to wait for confirmations, in milliseconds.
    pub wait_ms: u64,
    /// Time after which the run gives up.
    pub timeout: std::time::Duration,
    /// The call.
    pub call: Call,
}
