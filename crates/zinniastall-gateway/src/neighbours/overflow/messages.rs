//! Messages about room, and their validation.
//!
//! The content of a message that fails a check is never used.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use zinniastall_coord::overflow::{Amount, Stale, room::ENGINE_WORK};
use zinniastall_model::id;

use crate::{
    neighbours::datagram::{Key, Round, key},
    view::View,
};

/// Services about which one message can speak.
pub const MAX_SERVICES: usize = 12;
/// Grants in one message, each of at most 32 bytes.
pub const MAX_GRANTS: usize = 24;
/// Needs in one message, each of at most 32 bytes.
pub const MAX_NEEDS: usize = 36;
/// Most requests per second that one instance can be asked for, in thousandths.
const MAX_INSTANCE_REQUESTS: u64 = 100_000_000;
/// Longest expected prefill of one request, in microseconds.
const MAX_REQUEST_WORK: u64 = 600_000_000;
/// Most requests per second that one slot can process, in thousandths: one per millisecond, the
/// least service time that is counted with.
const MAX_SLOT_REQUESTS: u64 = 1_000_000;

/// Amount of one service: its key, prefill time in microseconds per second, and requests in
/// thousandths per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry(pub Key, pub u64, pub u64);

/// Amount of one service that concerns one region: the keys of both, and the amount as in [`Entry`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionEntry(pub Key, pub Key, pub u64, pub u64);

/// A grant: as [`RegionEntry`], and the time for which it is valid, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantEntry(pub Key, pub Key, pub u64, pub u64, pub u32);

/// What a region's acting leader tells the leaders of another region, and the other leader of its
/// own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Region of the sender.
    #[serde(rename = "n")]
    pub region: id::Region,
    /// Round of the sender.
    #[serde(rename = "t")]
    pub round: Round,
    /// Room by service.
    #[serde(rename = "r")]
    pub rooms: Vec<Entry>,
    /// What the receiving region is asked for, by service.
    #[serde(rename = "d")]
    pub needs: Vec<Entry>,
    /// What is lent, by service and borrowing region.
    #[serde(rename = "g")]
    pub grants: Vec<RegionEntry>,
}

/// What the callers of one instance could not be given in their own region within the last second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Reporting instance.
    #[serde(rename = "n")]
    pub instance: id::Instance,
    /// Round of the sender.
    #[serde(rename = "t")]
    pub round: Round,
    /// Need by service and the region in which the requests may run; [`ANYWHERE`] for all others.
    #[serde(rename = "d")]
    pub needs: Vec<RegionEntry>,
}

/// Key that stands for all regions.
pub const ANYWHERE: Key = 0;

/// Grants of a region, from its acting leader to its instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Round of the sender.
    #[serde(rename = "t")]
    pub round: Round,
    /// Whether a collector passes the grants on to its zone.
    #[serde(rename = "a")]
    pub for_all: bool,
    /// Sum of the weights of the instances that share the grants.
    #[serde(rename = "w")]
    pub weight: u64,
    /// Whether an instance's weight is its capacity in thousandths of a core; otherwise it is 1.
    #[serde(rename = "c")]
    pub by_capacity: bool,
    /// Grants by service and lending region.
    #[serde(rename = "g")]
    pub grants: Vec<GrantEntry>,
}

/// Why a message is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The sender is not an instance of the region for which it speaks.
    #[error("the sender does not speak for the region")]
    Sender,
    /// The region is not known, or is not another one.
    #[error("unknown region")]
    Region,
    /// A service is not known.
    #[error("unknown service")]
    Service,
    /// An amount is more than the targets of the region can process, or than can be asked for.
    #[error("impossible amount")]
    Amount,
    /// A share is above one, or a time is too long.
    #[error("impossible share or time")]
    Share,
    /// A later message was used before.
    #[error(transparent)]
    Stale(#[from] Stale),
}

impl Invalid {
    /// Returns the name used in metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Sender => "sender",
            Self::Region => "region",
            Self::Service => "service",
            Self::Amount => "amount",
            Self::Share => "share",
            Self::Stale(_) => "stale",
        }
    }
}

impl Entry {
    /// Creates the entry of a service.
    pub const fn new(service: Key, amount: Amount) -> Self {
        Self(service, amount.work, amount.requests)
    }

    /// Returns the amount.
    pub const fn amount(&self) -> Amount {
        Amount {
            work: self.1,
            requests: self.2,
        }
    }
}

impl RegionEntry {
    /// Creates the entry of a service and a region.
    pub const fn new(service: Key, region: Key, amount: Amount) -> Self {
        Self(service, region, amount.work, amount.requests)
    }

    /// Returns the amount.
    pub const fn amount(&self) -> Amount {
        Amount {
            work: self.2,
            requests: self.3,
        }
    }
}

impl GrantEntry {
    /// Returns the amount.
    pub const fn amount(&self) -> Amount {
        Amount {
            work: self.2,
            requests: self.3,
        }
    }
}

/// Returns the name of the service with a key, if the routing table has it.
pub fn service(view: &View, wanted: Key) -> Option<&id::Service> {
    let services = view.table()?.services.iter();
    let mut names = services.map(|service| &service.name);
    names.find(|name| key(name) == wanted)
}

/// Returns the region with a key among those that have targets of a service.
pub fn region<'a>(view: &'a View, service: &str, wanted: Key) -> Option<&'a id::Region> {
    let mut regions = view.targets.regions(service);
    regions.find(|name| key(name) == wanted)
}

/// Returns the most that a region's targets of a service can process.
pub fn capacity(view: &View, service: &str, region: &str) -> Amount {
    let of_target = |slots: u32| Amount {
        work: ENGINE_WORK,
        requests: u64::from(slots) * MAX_SLOT_REQUESTS,
    };
    let targets = view.targets.of(service, region);
    let amounts = targets.map(|target| of_target(target.report.slots));
    amounts.fold(Amount::default(), Amount::plus)
}

/// Checks that a sender is an instance of a region.
fn check_sender(view: &View, region: &str, sender: SocketAddr) -> Result<(), Invalid> {
    let mut members = view.instances.in_region(region).peekable();
    members.peek().ok_or(Invalid::Region)?;
    let is_sender = |address: &str| address.parse() == Ok(sender);
    let is_known = members.any(|member| is_sender(&member.forward));
    is_known.then_some(()).ok_or(Invalid::Sender)
}

impl Room {
    /// Checks the message against what is known of its region.
    ///
    /// # Errors
    ///
    /// Returns why the message can't be true.
    pub fn check(&self, view: &View, sender: SocketAddr) -> Result<(), Invalid> {
        check_sender(view, &self.region, sender)?;
        let is_own = self.region == view.place.region;
        let limit = |wanted| {
            let name = service(view, wanted).ok_or(Invalid::Service)?;
            Ok::<Amount, Invalid>(capacity(view, name, &self.region))
        };
        for entry in &self.rooms {
            check_amount(entry.amount(), limit(entry.0)?)?;
        }
        for entry in &self.needs {
            service(view, entry.0).ok_or(Invalid::Service)?;
            let members = view.instances.in_region(&self.region).count() as u64;
            check_need(entry.amount(), members)?;
        }
        let mut lent = indexmap::IndexMap::<Key, Amount>::new();
        for entry in &self.grants {
            // The other leader of the own region is told of the grants to all regions.
            if !is_own && entry.1 != key(&view.place.region) {
                return Err(Invalid::Region);
            }
            let sum = lent.entry(entry.0).or_default();
            *sum = sum.plus(entry.amount());
            check_amount(*sum, limit(entry.0)?)?;
        }
        Ok(())
    }
}

impl Need {
    /// Checks the message against what is known of its sender.
    ///
    /// # Errors
    ///
    /// Returns why the message can't be true.
    pub fn check(&self, view: &View, sender: SocketAddr) -> Result<(), Invalid> {
        let known = view.instances.by_name().get(&self.instance);
        let known = known.filter(|known| known.place.region == view.place.region);
        let known = known.ok_or(Invalid::Sender)?;
        if known.forward.parse() != Ok(sender) {
            return Err(Invalid::Sender);
        }
        for entry in &self.needs {
            let name = service(view, entry.0).ok_or(Invalid::Service)?;
            if entry.1 != ANYWHERE {
                region(view, name, entry.1).ok_or(Invalid::Region)?;
            }
            check_need(entry.amount(), 1)?;
        }
        Ok(())
    }
}

impl Grant {
    /// Checks the message against what is known of the lending regions.
    ///
    /// # Errors
    ///
    /// Returns why the message can't be true.
    pub fn check(&self, view: &View, sender: SocketAddr) -> Result<(), Invalid> {
        check_sender(view, &view.place.region, sender)?;
        if self.weight < self.own_weight(view) {
            return Err(Invalid::Share);
        }
        for entry in &self.grants {
            let name = service(view, entry.0).ok_or(Invalid::Service)?;
            let lender = region(view, name, entry.1).ok_or(Invalid::Region)?;
            if *lender == view.place.region {
                return Err(Invalid::Region);
            }
            check_amount(entry.amount(), capacity(view, name, lender))?;
            if u128::from(entry.4) > zinniastall_coord::overflow::GRANT_LIFE.as_millis() {
                return Err(Invalid::Share);
            }
        }
        Ok(())
    }

    /// Returns the weight of this instance.
    pub fn own_weight(&self, view: &View) -> u64 {
        if !self.by_capacity {
            return 1;
        }
        let known = view.instances.by_name().get(&view.instance);
        known.map_or(0, |known| u64::from(known.capacity))
    }
}

fn check_amount(amount: Amount, limit: Amount) -> Result<(), Invalid> {
    amount.fits(limit).then_some(()).ok_or(Invalid::Amount)
}

/// Checks the need of some instances.
fn check_need(need: Amount, instances: u64) -> Result<(), Invalid> {
    let requests = MAX_INSTANCE_REQUESTS.saturating_mul(instances);
    let limit = Amount {
        work: (need.requests / 1_000).saturating_mul(MAX_REQUEST_WORK),
        requests,
    };
    check_amount(need, limit)
}
