//! Configuration objects.

use serde::{Deserialize, Serialize};

use crate::id;

/// Kind of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// [`Client`].
    Client,
    /// [`Route`].
    Route,
    /// [`Model`].
    Model,
    /// [`Adapter`].
    Adapter,
    /// [`Residency`].
    Residency,
    /// [`Role`].
    Role,
}

/// Key of an object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Kind of the object.
    pub kind: Kind,
    /// Name within the kind.
    pub name: id::Name,
}

/// One configuration object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Object {
    /// A client.
    Client(Client),
    /// A path prefix and the subject that serves it.
    Route(Route),
    /// A model and its version.
    Model(Model),
    /// An adapter and its version.
    Adapter(Adapter),
    /// Regions in which a client's requests may run.
    Residency(Residency),
    /// Role and models that targets should take.
    Role(Role),
}

/// A customer whose requests the system serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Client {
    /// Name.
    pub id: id::Client,
    /// BLAKE3 digests, in hex, of the keys that its requests may carry.
    pub keys: Vec<String>,
    /// Weight of its share under contention, at least 1.
    pub weight: u32,
    /// Whether the client is withdrawn, so that its requests are refused.
    pub withdrawn: bool,
}

/// Model or service that serves a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// A model, served by model engines.
    Model(id::Model),
    /// A plain service, served by other targets.
    Service(id::Service),
}

impl Subject {
    /// Returns the name of the model or service.
    pub fn name(&self) -> &str {
        match self {
            Self::Model(name) | Self::Service(name) => name,
        }
    }
}

/// A path prefix and the subject that serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub id: id::Name,
    /// Prefix of the path; the longest match wins.
    pub prefix: String,
    /// Subject that serves it; several model routes may share a prefix and differ by model.
    pub subject: Subject,
    /// Whether requests may be repeated, unless the caller specifies otherwise.
    pub idempotent: bool,
}

/// A model and the version to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name.
    pub id: id::Model,
    /// Version to serve.
    pub version: String,
    /// Name of its weights in the weight store.
    pub weights: String,
}

/// An adapter of a model and the version to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Name.
    pub id: id::Adapter,
    /// Model that it adapts.
    pub model: id::Model,
    /// Version to serve.
    pub version: String,
    /// Name of its weights in the weight store.
    pub weights: String,
}

/// Regions in which a client's requests may run.
///
/// Without a rule, a client's requests may run only in the region that received them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residency {
    /// Name.
    pub id: id::Name,
    /// Client that the rule covers.
    pub client: id::Client,
    /// Model or service that the rule covers; `None` covers all. All matching rules must permit a
    /// region.
    pub subject: Option<String>,
    /// Permitted regions.
    pub regions: Vec<id::Region>,
}

/// Desired state of the targets of a region or availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Role {
    /// Name.
    pub id: id::Name,
    /// Region.
    pub region: id::Region,
    /// Availability zone; `None` covers the region.
    pub zone: Option<id::Zone>,
    /// Target; `None` covers all targets of the region or zone.
    pub target: Option<id::Target>,
    /// Role to take, such as `prefill`, `decode` or `both`.
    pub role: String,
    /// Models to load.
    pub models: Vec<id::Model>,
    /// Adapters to load.
    pub adapters: Vec<id::Adapter>,
}

impl Object {
    /// Returns the kind.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Client(_) => Kind::Client,
            Self::Route(_) => Kind::Route,
            Self::Model(_) => Kind::Model,
            Self::Adapter(_) => Kind::Adapter,
            Self::Residency(_) => Kind::Residency,
            Self::Role(_) => Kind::Role,
        }
    }

    /// Returns the name within the kind.
    pub fn name(&self) -> &str {
        match self {
            Self::Client(object) => &object.id,
            Self::Route(object) => &object.id,
            Self::Model(object) => &object.id,
            Self::Adapter(object) => &object.id,
            Self::Residency(object) => &object.id,
            Self::Role(object) => &object.id,
        }
    }

    /// Returns the key.
    pub fn key(&self) -> Key {
        Key {
            kind: self.kind(),
            name: self.name().to_owned(),
        }
    }
}
