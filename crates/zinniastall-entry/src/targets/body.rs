//! Bodies of the targets' HTTP interface, and their bounds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use zinniastall_model::{id, object::Subject, place::Place};
use zinniastall_wire::gossip;

use super::problem::Problem;

/// Longest body, in bytes.
pub const BODY: usize = 64 * 1024;
/// Longest name, version, kind or role, in bytes.
const NAME: usize = 64;
/// Most models and services of one target.
const SERVES: usize = 64;
/// Most adapters of one model.
const ADAPTERS: usize = 64;
/// Most slots of one target.
const SLOTS: u32 = 65_536;
/// Most prefixes kept of one target; the newest stay.
pub const PREFIXES: usize = 256;

/// Body of an announcement.
#[derive(Debug, Deserialize)]
pub struct Announce {
    target: id::Target,
    incarnation: id::Incarnation,
    sequence: u64,
    address: SocketAddr,
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

/// A model or a service; exactly one of the two names is given.
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

/// Body of a leave.
#[derive(Debug, Deserialize)]
pub struct Leave {
    /// Target.
    pub target: id::Target,
    /// Its run.
    pub incarnation: id::Incarnation,
}

/// Answer to an announcement.
#[derive(Debug, Serialize)]
pub struct Lease {
    /// How long the announcement holds, in milliseconds.
    pub lease_ms: u64,
    /// When to announce again, in milliseconds.
    pub renew_ms: u64,
    /// Addresses of the zone's instances for targets, this one's first.
    pub instances: Vec<String>,
}

impl Announce {
    /// Checks the announcement and makes a report of it, without a lease yet.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of bounds.
    pub fn check(self, place: &Place) -> Result<gossip::Target, Problem> {
        name("target", &self.target)?;
        name("kind", &self.kind)?;
        name("role", &self.role)?;
        within("slots", (1..=SLOTS).contains(&self.slots))?;
        within("price", self.price.is_finite() && self.price >= 0.0)?;
        within("serves", (1..=SERVES).contains(&self.serves.len()))?;
        let serves = self.serves.into_iter().map(Serves::check);
        Ok(gossip::Target {
            serves: serves.collect::<Result<_, _>>()?,
            target: self.target,
            incarnation: self.incarnation,
            sequence: self.sequence,
            place: place.clone(),
            address: self.address.to_string(),
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

impl Serves {
    fn check(self) -> Result<gossip::Serving, Problem> {
        let subject = match (self.model, self.service) {
            (Some(model), None) => Subject::Model(model),
            (None, Some(service)) => Subject::Service(service),
            _ => return Err(Problem::Field("serves")),
        };
        name("serves", subject.name())?;
        within("version", self.version.len() <= NAME)?;
        within("adapters", self.adapters.len() <= ADAPTERS)?;
        for adapter in &self.adapters {
            name("adapters", adapter)?;
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
        let newest = &self.prefixes[self.prefixes.len().saturating_sub(PREFIXES)..];
        newest.iter().map(|text| prefix(text)).collect()
    }
}

impl Leave {
    /// Checks the name.
    ///
    /// # Errors
    ///
    /// Fails when the target's name is out of bounds.
    pub fn check(self) -> Result<Self, Problem> {
        name("target", &self.target)?;
        Ok(self)
    }
}

fn prefix(text: &str) -> Result<u64, Problem> {
    within("cache.prefixes", text.len() == 16)?;
    u64::from_str_radix(text, 16).map_err(|_| Problem::Field("cache.prefixes"))
}

fn name(field: &'static str, value: &str) -> Result<(), Problem> {
    let permitted = |c: char| c.is_ascii_alphanumeric() || "._-/:@".contains(c);
    let fits = (1..=NAME).contains(&value.len());
    within(field, fits && value.chars().all(permitted))
}

const fn within(field: &'static str, holds: bool) -> Result<(), Problem> {
    if holds {
        Ok(())
    } else {
        Err(Problem::Field(field))
    }
}
