//! Exchange of what instances observe of the speed of engines.
//!
//! An instance sees few answers of each engine. Twice a second it sends what it has observed since
//! the last time to the collectors of its availability zone. The acting collector merges the reports
//! by their samples and sends the result to the collectors of the region's other zones, and the merge
//! of all zones to the instances of its own. In a small region, instances report to each other.
//!
//! Observations are used by each receiver as further samples, so that a lost datagram costs samples
//! and nothing else, and a receiver that hears nothing relies on its own.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use zinniastall_model::id;

use super::{
    Outgoing,
    collector::Roster,
    datagram::{Datagram, Key, Round, key},
};
use crate::{
    decide::capacity::{Capacity, MAX_REPORT_SAMPLES, Observed, PACE_RANGE, Run},
    index::Targets,
    view::{Target, View},
};

/// Rounds of load reports from one report to the next: half a second.
const REPORT_ROUNDS: u32 = 5;
/// Silence of the first collector after which the second one takes over: a report was lost, and the
/// next one is late.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Silence of a sender after which any of its rounds is new: it may have started again.
const ROUND_TTL: Duration = Duration::from_millis(1_500);
/// Largest gap that a report may state: callers abandon streams long before.
const MAX_GAP_MS: u32 = 10_000;
/// Largest number of samples that a merge may state: the reports of a large zone.
const MAX_MERGED_SAMPLES: u32 = MAX_REPORT_SAMPLES * 200;
/// Bytes of an entry at most, and most entries of a datagram.
const ENTRY_BYTES: usize = 17;
const MAX_ENTRIES: usize = 75;
/// Bytes per second that an instance spends, and gets, at most on each of: reports of a zone, a zone's
/// merge, and the merge of the region. With many instances or targets, fewer entries are sent: of
/// reports those with the most samples, of merges the slowest targets, which matter most.
const MAX_BYTES_PER_SECOND: usize = 5_000;
/// Rounds per second.
const ROUNDS_PER_SECOND: usize = 2;
/// Shortest time between two log lines about invalid reports.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Observations of a target: its key, pace in thousandths, answers, gap in milliseconds, events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry(pub Key, pub u32, pub u32, pub u32, pub u32);

/// Observations of some targets, all of a sender's round.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Round of the sender.
    #[serde(rename = "t")]
    pub round: Round,
    /// Observations by target.
    #[serde(rename = "e")]
    pub entries: Vec<Entry>,
}

/// Why a report, or an entry of it, is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// No live instance of this region has the sender's name.
    #[error("unknown sender")]
    Sender,
    /// The same report, or a later one, arrived before.
    #[error("stale report")]
    Stale,
    /// No target of this region has the key.
    #[error("unknown target")]
    Target,
    /// A value is outside its range.
    #[error("impossible value")]
    Value,
}

/// Observations by target.
type Merged = IndexMap<Key, Observed>;

/// State of the exchange.
#[derive(Debug, Default)]
pub struct Exchange {
    round: Round,
    ticks: u32,
    /// Last round of each sender, separately for its own observations and its merges.
    senders: IndexMap<(id::Instance, bool), Last>,
    /// Reports of single instances since the last round.
    instances: Merged,
    /// Merges of the region's other zones since the last round.
    zones: Merged,
    /// When the last merge from this zone's collector arrived.
    heard_at: Option<Instant>,
    names: Names,
    log: Log,
}

#[derive(Debug, Clone, Copy)]
struct Last {
    round: Round,
    at: Instant,
}

/// Targets of this region by key, derived from one list of targets.
#[derive(Debug, Default)]
struct Names {
    known: Option<Arc<Targets>>,
    by_key: IndexMap<Key, id::Target>,
}

/// Invalid reports since the last log line.
#[derive(Debug, Default)]
struct Log {
    dropped: u64,
    logged_at: Option<Instant>,
}

impl Exchange {
    /// Merges a datagram of the exchange; returns the number of entries or reports that were dropped.
    pub fn receive(
        &mut self,
        datagram: Datagram,
        roster: &Roster,
        view: &View,
        capacity: &mut Capacity,
        now: Instant,
    ) -> u64 {
        if !view.load_control.capacity {
            return 0;
        }
        let (sender, part, is_merge) = match datagram {
            Datagram::Paces { instance, part } => (instance, part, false),
            Datagram::RegionPaces { instance, part } => (instance, part, true),
            _ => return 0,
        };
        let Some(zone) = zone_of(&sender, view) else {
            return self.drop(&sender, Invalid::Sender, now);
        };
        if !self.is_new(&sender, is_merge, &part, now) {
            return self.drop(&sender, Invalid::Stale, now);
        }
        self.names.update(view);
        let is_own_zone = is_merge && zone == roster.zone();
        if is_own_zone {
            self.heard_at = Some(now);
        }
        let mut dropped = 0;
        for entry in &part.entries {
            let observed = match self.names.check(*entry) {
                Ok(observed) => observed,
                Err(invalid) => {
                    dropped += self.drop(&sender, invalid, now);
                    continue;
                }
            };
            if is_own_zone {
                self.names.apply(entry.0, observed, view, capacity, now);
            } else if is_merge {
                add(&mut self.zones, entry.0, observed);
            } else {
                add(&mut self.instances, entry.0, observed.bounded());
            }
        }
        dropped
    }

    /// Starts a round if it is due; returns the datagrams to send.
    pub fn round(
        &mut self,
        roster: &Roster,
        view: &View,
        capacity: &mut Capacity,
        now: Instant,
    ) -> Vec<Outgoing> {
        self.ticks = (self.ticks + 1) % REPORT_ROUNDS;
        if !view.load_control.capacity || self.ticks != 0 {
            return Vec::new();
        }
        log_changes(capacity, now);
        self.round = self.round.wrapping_add(1).max(1);
        self.names.update(view);
        self.senders
            .retain(|_, last| now.saturating_duration_since(last.at) < ROUND_TTL);
        // As many reports arrive at a collector as its zone has instances.
        let senders = roster.zone_members().len();
        let limit = limit(senders.max(roster.report_recipients().len()));
        let news = capacity.unreported(limit, now).into_iter();
        let own: Merged = news
            .map(|(name, observed)| (key(&name), observed))
            .collect();
        let mut outgoing: Vec<Outgoing> = self.report(roster, &own).into_iter().collect();
        let mut instances = std::mem::take(&mut self.instances);
        let zones = std::mem::take(&mut self.zones);
        if roster.is_small() {
            self.apply_all(instances, view, capacity, now);
        } else if roster.is_collector() && self.is_acting(roster, now) {
            for (key, observed) in own {
                add(&mut instances, key, observed);
            }
            let to = roster.region_collectors().to_vec();
            outgoing.extend(self.merge_message(roster, &instances, &to));
            for (key, observed) in zones {
                add(&mut instances, key, observed);
            }
            outgoing.extend(self.merge_message(roster, &instances, roster.zone_members()));
            self.apply_all(instances, view, capacity, now);
        }
        outgoing
    }

    fn is_acting(&self, roster: &Roster, now: Instant) -> bool {
        let is_silent = |at| now.saturating_duration_since(at) >= TAKEOVER_TIMEOUT;
        roster.is_first_collector() || self.heard_at.is_none_or(is_silent)
    }

    fn report(&self, roster: &Roster, own: &Merged) -> Option<Outgoing> {
        let message = |part| Outgoing {
            to: roster.report_recipients(),
            datagram: Datagram::Paces {
                instance: roster.instance().clone(),
                part,
            },
        };
        part(self.round, own, MAX_ENTRIES).map(message)
    }

    fn merge_message(
        &self,
        roster: &Roster,
        merged: &Merged,
        to: &[id::Instance],
    ) -> Option<Outgoing> {
        if to.is_empty() {
            return None;
        }
        let message = |part| Outgoing {
            to: to.to_vec(),
            datagram: Datagram::RegionPaces {
                instance: roster.instance().clone(),
                part,
            },
        };
        part(self.round, merged, limit(to.len())).map(message)
    }

    fn apply_all(&self, merged: Merged, view: &View, capacity: &mut Capacity, now: Instant) {
        for (key, observed) in merged {
            self.names.apply(key, observed, view, capacity, now);
        }
    }

    /// Returns whether a report is newer than all others of its sender, and records it.
    fn is_new(&mut self, sender: &str, is_merge: bool, part: &Part, now: Instant) -> bool {
        let sender = (sender.to_owned(), is_merge);
        let last = self.senders.get(&sender);
        let is_old = last.is_some_and(|last| {
            let is_live = now.saturating_duration_since(last.at) < ROUND_TTL;
            is_live && part.round <= last.round
        });
        if is_old {
            return false;
        }
        let last = Last {
            round: part.round,
            at: now,
        };
        self.senders.insert(sender, last);
        true
    }

    /// Records a report or an entry that is not used; returns the number of these.
    fn drop(&mut self, sender: &str, why: Invalid, now: Instant) -> u64 {
        self.log.dropped += 1;
        let is_due = |at| now.saturating_duration_since(at) >= LOG_INTERVAL;
        if self.log.logged_at.is_none_or(is_due) {
            let dropped = std::mem::take(&mut self.log.dropped);
            self.log.logged_at = Some(now);
            tracing::warn!(event = "paces-dropped", sender, why = %why, dropped);
        }
        1
    }
}

impl Names {
    /// Derives the keys anew if the targets have changed.
    fn update(&mut self, view: &View) {
        let is_current = |known: &Arc<Targets>| Arc::ptr_eq(known, &view.targets);
        if self.known.as_ref().is_some_and(is_current) {
            return;
        }
        let targets = view.targets.by_name().values();
        let near = targets.filter(|known| known.report.place.region == view.place.region);
        let names = near.map(|known| &known.report.target);
        self.by_key = names.map(|name| (key(name), name.clone())).collect();
        self.known = Some(Arc::clone(&view.targets));
    }

    fn check(&self, entry: Entry) -> Result<Observed, Invalid> {
        let Entry(key, pace, answers, gap_ms, events) = entry;
        if !self.by_key.contains_key(&key) {
            return Err(Invalid::Target);
        }
        let pace = f64::from(pace) / 1_000.0;
        let is_possible = answers == 0 || (PACE_RANGE.0..=PACE_RANGE.1).contains(&pace);
        let is_possible = is_possible && gap_ms <= MAX_GAP_MS;
        if !is_possible || answers.max(events) > MAX_MERGED_SAMPLES {
            return Err(Invalid::Value);
        }
        Ok(Observed {
            pace,
            answers,
            gap: f64::from(gap_ms) / 1_000.0,
            events,
        })
    }

    fn apply(
        &self,
        key: Key,
        observed: Observed,
        view: &View,
        capacity: &mut Capacity,
        now: Instant,
    ) {
        let name = self.by_key.get(&key);
        let known: Option<&Target> = name.and_then(|name| view.targets.by_name().get(name));
        if let Some(known) = known {
            let run = Run {
                target: &known.report.target,
                service: &known.report.service,
                incarnation: known.report.incarnation,
            };
            capacity.merge(run, observed, now);
        }
    }
}

/// Returns the zone of a live instance of this region.
fn zone_of<'a>(instance: &str, view: &'a View) -> Option<&'a id::Zone> {
    let place = &view.instances.by_name().get(instance)?.place;
    (place.region == view.place.region).then_some(&place.zone)
}

fn add(merged: &mut Merged, key: Key, observed: Observed) {
    let held = merged.entry(key).or_default();
    *held = held.merged(observed);
}

/// Returns how many entries each datagram to some recipients may have.
fn limit(recipients: usize) -> usize {
    let bytes = ROUNDS_PER_SECOND * ENTRY_BYTES * recipients.max(1);
    (MAX_BYTES_PER_SECOND / bytes).clamp(1, MAX_ENTRIES)
}

/// Returns the observations of the slowest targets, at most `limit`; `None` if there are none.
fn part(round: Round, merged: &Merged, limit: usize) -> Option<Part> {
    let mut slowest: Vec<(&Key, &Observed)> = merged.iter().collect();
    let rank = |observed: &Observed| {
        let gap = if observed.events > 0 {
            observed.gap
        } else {
            0.0
        };
        let pace = if observed.answers > 0 {
            observed.pace
        } else {
            0.0
        };
        (gap, pace)
    };
    slowest.sort_by(|(_, one), (_, other)| {
        let (one, other) = (rank(one), rank(other));
        other.0.total_cmp(&one.0).then(other.1.total_cmp(&one.1))
    });
    let entries: Vec<Entry> = slowest.into_iter().take(limit).map(entry).collect();
    (!entries.is_empty()).then_some(Part { round, entries })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "paces and gaps are bounded where they are observed"
)]
fn entry((key, observed): (&Key, &Observed)) -> Entry {
    let pace = (observed.pace * 1_000.0).round() as u32;
    let gap_ms = (observed.gap * 1_000.0).round() as u32;
    Entry(*key, pace, observed.answers, gap_ms, observed.events)
}

fn log_changes(capacity: &mut Capacity, now: Instant) {
    for change in capacity.changes(now) {
        let figures = change.figures;
        let age_ms = figures.age.map(|age| age.as_millis());
        tracing::info!(
            event = "target-pace",
            target = change.target,
            service = change.service,
            pace = format!("{:.2}", figures.pace),
            before = format!("{:.2}", change.before),
            service_pace = format!("{:.2}", change.service_pace),
            slowness = format!("{:.2}", figures.slowness),
            gap_ms = figures.gap.as_millis(),
            high_gap_ms = figures.high_gap.as_millis(),
            age_ms,
        );
    }
}
