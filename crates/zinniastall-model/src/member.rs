//! Entry instances that the control log knows.

use serde::{Deserialize, Serialize};

use crate::{id, place::Place};

/// An entry instance that may serve requests.
///
/// An instance serves only under a configuration that lists it here. That is what makes a
/// confirmation by all members a statement about every instance that serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name from its settings; it survives restarts.
    pub instance: id::Instance,
    /// Where it runs.
    pub place: Place,
    /// Address of its links, as other instances reach it.
    pub links: String,
    /// Address that callers use.
    pub callers: String,
}
