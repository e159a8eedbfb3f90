//! Exchange of the instances' use of client accounts' quotas.
//!
//! Each instance reports its use to the collectors of its availability zone. The first live
//! collector sends the zone's sum to the collectors of all other zones, and the sum over all zones
//! to the instances of its own. Each instance thus sends and receives as many datagrams in a system
//! of hundreds of instances as in a system of ten.
//!
//! An instance or zone that falls silent may keep running without hearing from the others. Until
//! its configuration can no longer be relied on, the most that it may use is reserved for it; see
//! [`crate::decide::quota`].

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use zinniastall_model::id;

use super::{
    Outgoing, TAKEOVER_TIMEOUT,
    collector::Roster,
    datagram::{Datagram, Round},
};
use crate::decide::quota::{Key, Total, Totals, Usage, Usages};

/// Age of the last report at which an instance or zone counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest silence of an instance whose disappearance from the list means that it ended. Replicas
/// take longer than this to notice a link that was cut, so a shorter silence shows that the link
/// was closed.
const SHUTDOWN_SILENCE: Duration = Duration::from_millis(2_300);
/// Silence after which an unlisted instance is forgotten; its configuration can't be relied on any
/// longer.
const RESERVATION_TTL: Duration = Duration::from_secs(5);
/// Rounds from one report to other regions to the next.
const REMOTE_REPORT_ROUNDS: u32 = 2;
/// Maximum number of accounts in one datagram; each takes at most 42 bytes.
const MAX_ACCOUNTS_PER_DATAGRAM: usize = 30;

/// Use of one account: account, units asked for, used, reserved, and used within the last window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Entry(Key, u64, u64, u64, Option<u64>);

/// Use of some accounts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Round of the sender.
    #[serde(rename = "t")]
    pub round: Round,
    /// Index of this part in its round, and number of parts in the round.
    #[serde(rename = "p")]
    position: (usize, usize),
    #[serde(rename = "u")]
    usages: Vec<Entry>,
}

/// Information on accounts that a collector needs besides their use.
pub trait Accounts {
    /// Returns the rate of an account's quota in units per second, if it has a quota.
    fn rate(&self, account: Key) -> Option<u64>;

    /// Returns the units used within the last window, if all of them are known.
    fn past(&self, account: Key) -> Option<u64>;
}

/// Last report of each sender, and the totals derived from them.
#[derive(Debug, Default)]
pub struct Exchange {
    instances: IndexMap<id::Instance, Report>,
    zones: IndexMap<id::Zone, Report>,
    round: Round,
    totals: Totals,
    /// Totals of a round of which some parts are still missing.
    partial: PartialTotals,
    /// When the last totals from a collector arrived.
    last_totals_at: Option<Instant>,
}

/// Parts of a collector's totals that have arrived so far.
#[derive(Debug, Default)]
struct PartialTotals {
    round: Round,
    positions: IndexSet<usize>,
    totals: Totals,
}

#[derive(Debug)]
struct Report {
    round: Round,
    received_at: Instant,
    usages: Usages,
    /// Use of the whole system when the report arrived.
    system_usages: Usages,
}

impl Exchange {
    /// Merges a datagram; returns whether it completed new totals.
    pub fn receive(&mut self, datagram: Datagram, now: Instant) -> bool {
        match datagram {
            Datagram::Used { instance, part } => {
                let system_usages = usages(&self.totals);
                receive(&mut self.instances, instance, &part, system_usages, now);
                false
            }
            Datagram::ZoneUsed { zone, part } => {
                let system_usages = usages(&self.totals);
                receive(&mut self.zones, zone, &part, system_usages, now);
                false
            }
            Datagram::AllUsed { part } => {
                self.last_totals_at = Some(now);
                let whole = self.partial.add(&part);
                whole.is_some_and(|totals| {
                    self.totals = totals;
                    true
                })
            }
            _ => false,
        }
    }

    /// Returns the totals that were received or computed last.
    pub const fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Starts a round with the current use of this instance; returns the datagrams to send. A
    /// collector also computes the totals.
    pub fn round(
        &mut self,
        roster: &Roster,
        own: &Usages,
        accounts: &dyn Accounts,
        now: Instant,
    ) -> Vec<Outgoing> {
        self.round = self.round.wrapping_add(1).max(1);
        let to = roster.peer_collectors();
        let report = |part| Outgoing {
            to: to.clone(),
            datagram: Datagram::Used {
                instance: roster.instance().clone(),
                part,
            },
        };
        let mut outgoing: Vec<Outgoing> = parts(self.round, own).into_iter().map(report).collect();
        if roster.is_collector() {
            let system_usages = usages(&self.totals);
            let part = Report {
                round: self.round,
                received_at: now,
                usages: own.clone(),
                system_usages,
            };
            self.instances.insert(roster.instance().clone(), part);
            outgoing.extend(self.collect(roster, accounts, now));
        }
        outgoing
    }

    fn collect(&mut self, roster: &Roster, accounts: &dyn Accounts, now: Instant) -> Vec<Outgoing> {
        let is_listed = |name: &id::Instance| *name == *roster.instance() || roster.contains(name);
        expire(&mut self.instances, is_listed, now);
        expire(&mut self.zones, |zone| roster.contains_zone(zone), now);
        let is_silent =
            |last_totals_at| now.saturating_duration_since(last_totals_at) >= TAKEOVER_TIMEOUT;
        if !roster.is_first_collector() && !self.last_totals_at.is_none_or(is_silent) {
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
        let mut outgoing = self.zone_messages(roster, &zone);
        outgoing.extend(self.totals_messages(roster));
        outgoing
    }

    /// Returns the units reserved for silent senders: what each of them used last, plus its share
    /// of what the whole system left of the rate at that time.
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
            let keys = self.totals.keys().chain(report.system_usages.keys());
            let keys: IndexSet<&Key> = keys.collect();
            for key in keys {
                let Some(rate) = accounts.rate(*key) else {
                    continue;
                };
                let last = report.usages.get(key).copied().unwrap_or_default().used;
                let system_used = report
                    .system_usages
                    .get(key)
                    .copied()
                    .unwrap_or_default()
                    .used;
                let spare = rate.saturating_sub(system_used) / sharing.max(1) as u64;
                let held = reserved.entry(*key).or_default();
                *held = held.saturating_add(last.saturating_add(spare));
            }
        }
        reserved
    }

    fn zone_messages(&self, roster: &Roster, zone: &Usages) -> Vec<Outgoing> {
        let mut to = roster.region_collectors().to_vec();
        if self.round.is_multiple_of(REMOTE_REPORT_ROUNDS) {
            to.extend(roster.remote_collectors().iter().cloned());
        }
        let message = |part| Outgoing {
            to: to.clone(),
            datagram: Datagram::ZoneUsed {
                zone: roster.zone().clone(),
                part,
            },
        };
        parts(self.round, zone).into_iter().map(message).collect()
    }

    fn totals_messages(&self, roster: &Roster) -> Vec<Outgoing> {
        let message = |part| Outgoing {
            to: roster.zone_members().to_vec(),
            datagram: Datagram::AllUsed { part },
        };
        let entry = |(key, total): (&Key, &Total)| {
            let Usage { asked, used } = total.usage;
            Entry(*key, asked, used, total.reserved, total.window_usage)
        };
        let entries: Vec<_> = self.totals.iter().map(entry).collect();
        split(self.round, &entries)
            .into_iter()
            .map(message)
            .collect()
    }
}

impl PartialTotals {
    /// Adds a part; returns the totals once all parts of the round have arrived. A round with a
    /// lost part is skipped, because the accounts in that part would seem unused.
    fn add(&mut self, part: &Part) -> Option<Totals> {
        if self.round != part.round {
            *self = Self {
                round: part.round,
                ..Self::default()
            };
        }
        let (position, all) = part.position;
        let is_new = self.positions.insert(position);
        self.totals.extend(part.totals());
        let is_whole = is_new && self.positions.len() == all;
        is_whole.then(|| std::mem::take(&mut self.totals))
    }
}

impl Report {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < SILENCE_TIMEOUT
    }
}

impl Part {
    /// Returns the units asked for and used, by account.
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

fn receive<S: std::hash::Hash + Eq>(
    reports: &mut IndexMap<S, Report>,
    sender: S,
    part: &Part,
    system_usages: Usages,
    now: Instant,
) {
    let new = || Report {
        round: part.round,
        received_at: now,
        usages: Usages::default(),
        system_usages: Usages::default(),
    };
    let held = reports.entry(sender).or_insert_with(new);
    if held.round != part.round {
        *held = new();
    }
    held.received_at = now;
    held.system_usages = system_usages;
    held.usages.extend(part.usages());
}

/// Forgets senders that have ended or whose configuration can't be relied on any longer.
fn expire<S>(reports: &mut IndexMap<S, Report>, is_listed: impl Fn(&S) -> bool, now: Instant) {
    reports.retain(|sender, report| {
        let silence = now.saturating_duration_since(report.received_at);
        is_listed(sender) || (SHUTDOWN_SILENCE..RESERVATION_TTL).contains(&silence)
    });
}

/// Returns the sum over the senders that are not silent.
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

/// Splits usages into parts that each fit into a datagram; returns one empty part if there are
/// none.
fn parts(round: Round, usages: &Usages) -> Vec<Part> {
    let entry = |(key, usage): (&Key, &Usage)| Entry(*key, usage.asked, usage.used, 0, None);
    let entries: Vec<_> = usages.iter().map(entry).collect();
    split(round, &entries)
}

fn split(round: Round, entries: &[Entry]) -> Vec<Part> {
    let all = entries.len().div_ceil(MAX_ACCOUNTS_PER_DATAGRAM).max(1);
    let part = |position| {
        let rest = entries.iter().skip(position * MAX_ACCOUNTS_PER_DATAGRAM);
        Part {
            round,
            position: (position, all),
            usages: rest.take(MAX_ACCOUNTS_PER_DATAGRAM).copied().collect(),
        }
    };
    (0..all).map(part).collect()
}
