//! Request and response bodies of the targets' HTTP interface, and their limits.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use zinniastall_model::{id, object::Subject, place::Place};
use zinniastall_wire::gossip;

use super::problem::Problem;

/// Maximum length of a body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a name, version, kind or role.
const MAX_NAME_BYTES: usize = 64;
/// Maximum length of the path of a health probe.
const MAX_PATH_BYTES: usize = 256;
/// Maximum number of models and services per target.
const MAX_SERVED: usize = 64;
/// Maximum number of adapters per model.
const MAX_ADAPTERS: usize = 64;
/// Maximum number of slots per target.
const MAX_SLOTS: u32 = 65_536;
/// Maximum number of prefixes kept per target; the newest are kept.
pub const MAX_PREFIXES: usize = 256;

/// Body of an announcement.
#[derive(Debug, Deserialize)]
pub struct Announce {
    target: id::Target,
    incarnation: id::Incarnation,
    sequence: u64,
    address: SocketAddr,
    #[serde(default)]
    health_path: Option<String>,
    kind: String,
    role: String,
    serves: Vec<Serves>,
    slots: u32,
    busy: u32,
    price: f64,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    cache: Cache,
}

/// A model or a service; exactly one of the two is given.
#[derive(Debug, Deserialize)]
struct Serves {
    model: Option<id::Model>,
    service: Option<id::Service>,
    #[serde(default)]
    version: String,
    #[serde(default)]
    adapters: Vec<id::Adapter>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Cache {
    gap: bool,
    prefixes: Vec<String>,
}

/// Body of a leave request.
#[derive(Debug, Deserialize)]
pub struct Leave {
    /// Name of the target.
    pub target: id::Target,
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
}

/// Response to an announcement.
#[derive(Debug, Serialize)]
pub struct Lease {
    /// Duration of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Time after which to announce again, in milliseconds.
    pub renew_ms: u64,
    /// Addresses at which the zone's instances accept announcements, this instance's first.
    pub instances: Vec<String>,
}

impl Announce {
    /// Validates the announcement and converts it to a report without a lease.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of bounds.
    pub fn check(self, place: &Place) -> Result<gossip::Target, Problem> {
        check_name("target", &self.target)?;
        check_name("kind", &self.kind)?;
        check_name("role", &self.role)?;
        ensure("slots", (1..=MAX_SLOTS).contains(&self.slots))?;
        ensure("price", self.price.is_finite() && self.price >= 0.0)?;
        ensure("serves", (1..=MAX_SERVED).contains(&self.serves.len()))?;
        let health_path = self.health_path.as_deref();
        ensure("health_path", health_path.is_none_or(is_path))?;
        let serves = self.serves.into_iter().map(Serves::check);
        Ok(gossip::Target {
            serves: serves.collect::<Result<_, _>>()?,
            target: self.target,
            incarnation: self.incarnation,
            sequence: self.sequence,
            place: place.clone(),
            address: self.address.to_string(),
            health_path: self.health_path,
            kind: self.kind,
            role: self.role,
            slots: self.slots,
            busy: self.busy,
            price: self.price,
            leaving: self.leaving,
            left_ms: 0,
            prefixes: self.cache.check()?,
            gap: self.cache.gap,
        })
    }
}

/// Returns whether a text may stand in a request's first line as its target.
fn is_path(path: &str) -> bool {
    path.starts_with('/')
        && path.len() <= MAX_PATH_BYTES
        && path.bytes().all(|byte| byte.is_ascii_graphic())
}

impl Serves {
    fn check(self) -> Result<gossip::Serving, Problem> {
        let subject = match (self.model, self.service) {
            (Some(model), None) => Subject::Model(model),
            (None, Some(service)) => Subject::Service(service),
            _ => return Err(Problem::Field("serves")),
        };
        check_name("serves", subject.name())?;
        ensure("version", self.version.len() <= MAX_NAME_BYTES)?;
        ensure("adapters", self.adapters.len() <= MAX_ADAPTERS)?;
        for adapter in &self.adapters {
            check_name("adapters", adapter)?;
        }
        Ok(gossip::Serving {
            subject,
            version: self.version,
            adapters: self.adapters,
        })
    }
}

impl Cache {
    fn check(&self) -> Result<Vec<u64>, Problem> {
        let newest = &self.prefixes[self.prefixes.len().saturating_sub(MAX_PREFIXES)..];
        newest.iter().map(|text| parse_prefix(text)).collect()
    }
}

impl Leave {
    /// Validates the name of the target.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is out of bounds.
    pub fn check(self) -> Result<Self, Problem> {
        check_name("target", &self.target)?;
        Ok(self)
    }
}

fn parse_prefix(text: &str) -> Result<u64, Problem> {
    ensure("cache.prefixes", text.len() == 16)?;
    u64::from_str_radix(text, 16).map_err(|_| Problem::Field("cache.prefixes"))
}

fn check_name(field: &'static str, value: &str) -> Result<(), Problem> {
    let permitted = |c: char| c.is_ascii_alphanumeric() || "._-/:@".contains(c);
    let fits = (1..=MAX_NAME_BYTES).contains(&value.len());
    ensure(field, fits && value.chars().all(permitted))
}

const fn ensure(field: &'static str, holds: bool) -> Result<(), Problem> {
    if holds {
        Ok(())
    } else {
        Err(Problem::Field(field))
    }
}
