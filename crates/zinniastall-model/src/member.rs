//! Membership of entry instances.

use serde::{Deserialize, Serialize};

use crate::{id, place::Place};

/// An entry instance that may serve requests.
///
/// An instance serves only under a configuration that lists it as a member. A confirmation by all
/// members therefore covers every instance that serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name from its settings, which stays the same across restarts.
    pub instance: id::Instance,
    /// Region and availability zone.
    pub place: Place,
    /// Address on which it accepts links from other instances.
    pub links: String,
    /// Address on which it accepts requests from callers.
    pub callers: String,
}
