//! What all instances together use of client accounts' quotas, told by datagram.
//!
//! Each instance reports its own use to the collectors of its availability zone. The first of them that is alive
//! tells the zone's sum to the collectors of all other zones, and the sum over all zones to the instances of its
//! own. So each instance sends and gets as many datagrams in a system of hundreds as in one of ten.
//!
//! An instance or zone that falls silent may go on without hearing from here. Until it can't have a configuration
//! any more that is relied on, what it may use at most is reserved for it; see [`crate::decide::quota`].

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use zinniastall_model::id;

use super::{
    Outgoing, TAKE_OVER,
    collector::Roster,
    datagram::{Datagram, Turn},
};
use crate::decide::quota::{Key, Total, Totals, Usage, Usages};

/// Age at which a report counts as that of a silent instance or zone.
const SILENT: Duration = Duration::from_millis(600);
/// Silence within which an instance that is listed no more has ended: its links broke, and were not merely cut,
/// since replicas take longer to notice that.
const ENDED: Duration = Duration::from_millis(2_300);
/// Silence after which an instance that is listed no more is forgotten: its configuration is relied on no more.
const FORGOTTEN: Duration = Duration::from_secs(5);
/// Rounds between two reports to other regions.
const FAR: u32 = 2;
/// Accounts of one datagram: each takes 42 bytes at most.
const ACCOUNTS: usize = 30;

/// Use of one account.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Entry(Key, u64, u64, u64, Option<u64>);

/// Use of some accounts: account, asked, used, reserved, used within the last window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Turn of the sender.
    #[serde(rename = "t")]
    pub turn: Turn,
    /// Which part of the turn's it is, and how many there are.
    #[serde(rename = "p")]
    place: (usize, usize),
    #[serde(rename = "u")]
    usages: Vec<Entry>,
}

/// What a collector needs to know of accounts beside their use.
pub trait Accounts {
    /// Returns the rate of an account's quota, in units a second, where it has one.
    fn rate(&self, account: Key) -> Option<u64>;

    /// Returns what was used of it within the last window, where all of it is known.
    fn past(&self, account: Key) -> Option<u64>;
}

/// Reports by sender, and what follows from them for this instance.
#[derive(Debug, Default)]
pub struct Exchange {
    instances: IndexMap<id::Instance, Report>,
    zones: IndexMap<id::Zone, Report>,
    turn: Turn,
    totals: Totals,
    /// Totals of a turn of which some parts are still to come.
    coming: Coming,
    /// When a collector's totals last came.
    heard: Option<Instant>,
}

/// Parts of a collector's totals that have come so far.
#[derive(Debug, Default)]
struct Coming {
    turn: Turn,
    places: IndexSet<usize>,
    totals: Totals,
}

#[derive(Debug)]
struct Report {
    turn: Turn,
    heard: Instant,
    usages: Usages,
    /// What all were let in for when the report came.
    of_all: Usages,
}

impl Exchange {
    /// Takes a datagram in; tells whether it has brought new totals.
    pub fn hear(&mut self, datagram: Datagram, now: Instant) -> bool {
        match datagram {
            Datagram::Used { instance, part } => {
                let of_all = usages(&self.totals);
                hear(&mut self.instances, instance, &part, of_all, now);
                false
            }
            Datagram::ZoneUsed { zone, part } => {
                let of_all = usages(&self.totals);
                hear(&mut self.zones, zone, &part, of_all, now);
                false
            }
            Datagram::AllUsed { part } => {
                self.heard = Some(now);
                let whole = self.coming.add(&part);
                whole.is_some_and(|totals| {
                    self.totals = totals;
                    true
                })
            }
            _ => false,
        }
    }

    /// Returns the totals that were heard or worked out last.
    pub const fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Returns what is to be sent in this round, in which this instance has some use. A collector works out the
    /// totals in it.
    pub fn round(
        &mut self,
        roster: &Roster,
        own: &Usages,
        accounts: &dyn Accounts,
        now: Instant,
    ) -> Vec<Outgoing> {
        self.turn = self.turn.wrapping_add(1).max(1);
        let to = roster.collectors_beside();
        let report = |part| Outgoing {
            to: to.clone(),
            datagram: Datagram::Used {
                instance: roster.instance().clone(),
                part,
            },
        };
        let mut sends: Vec<Outgoing> = parts(self.turn, own).into_iter().map(report).collect();
        if roster.collects() {
            let of_all = usages(&self.totals);
            let part = Report {
                turn: self.turn,
                heard: now,
                usages: own.clone(),
                of_all,
            };
            self.instances.insert(roster.instance().clone(), part);
            sends.extend(self.collect(roster, accounts, now));
        }
        sends
    }

    fn collect(&mut self, roster: &Roster, accounts: &dyn Accounts, now: Instant) -> Vec<Outgoing> {
        let is_listed = |name: &id::Instance| *name == *roster.instance() || roster.has(name);
        expire(&mut self.instances, is_listed, now);
        expire(&mut self.zones, |zone| roster.has_zone(zone), now);
        let is_silent = |heard| now.saturating_duration_since(heard) >= TAKE_OVER;
        if !roster.is_first() && !self.heard.is_none_or(is_silent) {
            return Vec::new();
        }
        let zone = sum(&self.instances, now);
        let mut all = sum(&self.zones, now);
        for (key, usage) in &zone {
            let held = all.entry(*key).or_default();
            *held = held.plus(*usage);
        }
        let mut reserved = self.reserved_for(&self.instances, roster.len(), accounts, now);
        let zones = self.reserved_for(&self.zones, roster.zones(), accounts, now);
        for (key, units) in zones {
            let held = reserved.entry(key).or_default();
            *held = held.saturating_add(units);
        }
        self.totals = totals(all, &reserved, accounts);
        let mut sends = self.tell_zones(roster, &zone);
        sends.extend(self.tell_instances(roster));
        sends
    }

    /// Returns what the silent among some senders may use: what they used last, and their share of what all
    /// together left of the rate then.
    fn reserved_for<S>(
        &self,
        reports: &IndexMap<S, Report>,
        sharing: usize,
        accounts: &dyn Accounts,
        now: Instant,
    ) -> IndexMap<Key, u64> {
        let mut reserved: IndexMap<Key, u64> = IndexMap::new();
        let silent = reports.values().filter(|report| !report.is_fresh(now));
        for report in silent {
            let keys = self.totals.keys().chain(report.of_all.keys());
            let keys: IndexSet<&Key> = keys.collect();
            for key in keys {
                let Some(rate) = accounts.rate(*key) else {
                    continue;
                };
                let last = report.usages.get(key).copied().unwrap_or_default().used;
                let of_all = report.of_all.get(key).copied().unwrap_or_default().used;
                let spare = rate.saturating_sub(of_all) / sharing.max(1) as u64;
                let held = reserved.entry(*key).or_default();
                *held = held.saturating_add(last.saturating_add(spare));
            }
        }
        reserved
    }

    fn tell_zones(&self, roster: &Roster, zone: &Usages) -> Vec<Outgoing> {
        let mut to = roster.other_collectors().to_vec();
        if self.turn.is_multiple_of(FAR) {
            to.extend(roster.far_collectors().iter().cloned());
        }
        let tell = |part| Outgoing {
            to: to.clone(),
            datagram: Datagram::ZoneUsed {
                zone: roster.zone().clone(),
                part,
            },
        };
        parts(self.turn, zone).into_iter().map(tell).collect()
    }

    fn tell_instances(&self, roster: &Roster) -> Vec<Outgoing> {
        let tell = |part| Outgoing {
            to: roster.zone_members().to_vec(),
            datagram: Datagram::AllUsed { part },
        };
        let entry = |(key, total): (&Key, &Total)| {
            let Usage { asked, used } = total.usage;
            Entry(*key, asked, used, total.reserved, total.window_usage)
        };
        let entries: Vec<_> = self.totals.iter().map(entry).collect();
        cut(self.turn, &entries).into_iter().map(tell).collect()
    }
}

impl Coming {
    /// Takes a part in; returns the totals once all parts of its turn are here. A turn of which a part is lost is
    /// left out: the accounts in it would seem to use nothing.
    fn add(&mut self, part: &Part) -> Option<Totals> {
        if self.turn != part.turn {
            *self = Self {
                turn: part.turn,
                ..Self::default()
            };
        }
        let (place, all) = part.place;
        let is_new = self.places.insert(place);
        self.totals.extend(part.totals());
        let is_whole = is_new && self.places.len() == all;
        is_whole.then(|| std::mem::take(&mut self.totals))
    }
}

impl Report {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) < SILENT
    }
}

impl Part {
    /// Returns what was asked for and let in.
    fn usages(&self) -> impl Iterator<Item = (Key, Usage)> {
        self.totals().map(|(key, total)| (key, total.usage))
    }

    fn totals(&self) -> impl Iterator<Item = (Key, Total)> {
        let usages = self.usages.iter();
        usages.map(|Entry(key, asked, used, reserved, past)| {
            let usage = Usage {
                asked: *asked,
                used: *used,
            };
            let total = Total {
                usage,
                reserved: *reserved,
                window_usage: *past,
            };
            (*key, total)
        })
    }
}

fn hear<S: std::hash::Hash + Eq>(
    reports: &mut IndexMap<S, Report>,
    sender: S,
    part: &Part,
    of_all: Usages,
    now: Instant,
) {
    let new = || Report {
        turn: part.turn,
        heard: now,
        usages: Usages::default(),
        of_all: Usages::default(),
    };
    let held = reports.entry(sender).or_insert_with(new);
    if held.turn != part.turn {
        *held = new();
    }
    held.heard = now;
    held.of_all = of_all;
    held.usages.extend(part.usages());
}

/// Forgets senders that have ended, or can't use anything any more.
fn expire<S>(reports: &mut IndexMap<S, Report>, is_listed: impl Fn(&S) -> bool, now: Instant) {
    reports.retain(|sender, report| {
        let silence = now.saturating_duration_since(report.heard);
        is_listed(sender) || (ENDED..FORGOTTEN).contains(&silence)
    });
}

/// Returns the sum over the senders that are heard.
fn sum<S>(reports: &IndexMap<S, Report>, now: Instant) -> Usages {
    let mut sum = Usages::default();
    let fresh = reports.values().filter(|report| report.is_fresh(now));
    for (key, usage) in fresh.flat_map(|report| &report.usages) {
        let held = sum.entry(*key).or_default();
        *held = held.plus(*usage);
    }
    sum
}

fn totals(all: Usages, reserved: &IndexMap<Key, u64>, accounts: &dyn Accounts) -> Totals {
    let mut totals = Totals::new();
    for (key, usage) in all {
        totals.entry(key).or_default().usage = usage;
    }
    for (key, units) in reserved {
        totals.entry(*key).or_default().reserved = *units;
    }
    for (key, total) in &mut totals {
        total.window_usage = accounts.past(*key);
    }
    totals
}

fn usages(totals: &Totals) -> Usages {
    let totals = totals.iter();
    totals.map(|(key, total)| (*key, total.usage)).collect()
}

/// Cuts usages into parts that fit into a datagram each; one empty part where there are none.
fn parts(turn: Turn, usages: &Usages) -> Vec<Part> {
    let entry = |(key, usage): (&Key, &Usage)| Entry(*key, usage.asked, usage.used, 0, None);
    let entries: Vec<_> = usages.iter().map(entry).collect();
    cut(turn, &entries)
}

fn cut(turn: Turn, entries: &[Entry]) -> Vec<Part> {
    let all = entries.len().div_ceil(ACCOUNTS).max(1);
    let part = |place| {
        let rest = entries.iter().skip(place * ACCOUNTS);
        Part {
            turn,
            place: (place, all),
            usages: rest.take(ACCOUNTS).copied().collect(),
        }
    };
    (0..all).map(part).collect()
}
