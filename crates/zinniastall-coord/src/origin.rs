//! Which software version began a stream, and where the stream may go on.
//!
//! Targets of several software versions may serve one service side by side. What two versions write
//! doesn't fit together, so a stream goes on only at the version that brought its first event, whoever
//! takes it up.
//!
//! - [`Origin`] is the fact, [`Requirement`] what follows from it for a placement. What isn't known
//!   admits no target.
//! - [`Records`] holds the origins of streams by the id of the request that began them, as far as an
//!   instance was told; [`holders`] chooses the instances that are told, and those to ask.
//! - [`Versions`] is the set of a service's versions that the whole system agrees on. While it has one
//!   member, that one is the origin of all streams, and nothing need be remembered. A version is
//!   announced first and settled [`SETTLE_TIME`] later; streams begin only at settled versions, and an
//!   instance relies on a set of one for no longer than [`LEASE`] after it asked whether the set is the
//!   newest. So nobody relies on it any more when streams begin at a second version.
//!
//! [`LEASE`]: crate::confirmation::LEASE
//! [`SETTLE_TIME`]: crate::confirmation::SETTLE_TIME
//!
//! # Example
//!
//! ```
//! use zinniastall_coord::origin::{Origin, Requirement};
//!
//! let origin = Origin::new("maps", Some("v1.1"));
//! let requirement = Requirement::continuing(origin);
//! assert!(requirement.admits("maps", Some("v1.1")));
//! assert!(!requirement.admits("maps", Some("v1.2")));
//! assert!(!requirement.admits("maps", None));
//! assert!(!Requirement::continuing(None).admits("maps", Some("v1.1")));
//! ```

mod holders;
mod records;
mod versions;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use holders::{asked, copies};
pub use records::{Found, Key, Record, Records};
pub use versions::{Stage, Versions};

/// Name of a service, or of a model.
pub type Service = String;
/// Software version of a target's process.
pub type Version = String;

/// Service and software version that brought the first event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Service.
    #[serde(rename = "s")]
    pub service: Service,
    /// Software version of the target.
    #[serde(rename = "v")]
    pub version: Version,
}

impl Origin {
    /// Returns the origin of a stream that a target begins; none if the target states no version,
    /// since two such targets may differ.
    pub fn new(service: &str, version: Option<&str>) -> Option<Self> {
        let version = version.filter(|version| !version.is_empty())?;
        Some(Self {
            service: service.to_owned(),
            version: version.to_owned(),
        })
    }
}

/// What a target must be to get a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Requirement {
    /// Any target of the service.
    Any,
    /// One of a settled version, since a stream begins.
    Settled(Arc<Versions>),
    /// One of the version that began the stream.
    Origin(Origin),
    /// None, since it isn't known which version began the stream.
    Unknown,
}

impl Requirement {
    /// Returns the requirement of a request that continues a stream; `origin` is what is known of its
    /// beginning.
    pub fn continuing(origin: Option<Origin>) -> Self {
        origin.map_or(Self::Unknown, Self::Origin)
    }

    /// Returns whether a target of a service may get the request; `version` is the version of its
    /// software, if it states one.
    pub fn admits(&self, service: &str, version: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Settled(versions) => versions.is_settled(version),
            Self::Origin(origin) => {
                origin.service == service && version == Some(origin.version.as_str())
            }
            Self::Unknown => false,
        }
    }

    /// Returns the origin that a target must have, if it must have one.
    pub const fn origin(&self) -> Option<&Origin> {
        match self {
            Self::Origin(origin) => Some(origin),
            Self::Any | Self::Settled(_) | Self::Unknown => None,
        }
    }

    /// Returns whether the request continues a stream.
    pub const fn is_continuing(&self) -> bool {
        matches!(self, Self::Origin(_) | Self::Unknown)
    }
}
