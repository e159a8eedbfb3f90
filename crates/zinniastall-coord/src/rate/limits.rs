//! Rates that servers have named.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{MIN_RATE, Rate};
use crate::{
    news::{News, Scope},
    rendezvous,
};

/// Maximum number of servers. The oldest rates are forgotten first; they are learned again from the
/// next answer.
const MAX_SERVERS: usize = 16_384;
/// Change of a rate that is ignored: a server that measures itself names another number each time.
const IGNORED_CHANGE: f64 = 0.02;
/// Ratios to the rate of the last notable change between which a change is slight.
const SLIGHT_CHANGE: (f64, f64) = (0.8, 1.25);
/// Time in which the rate of a server that names none any more rises. All instances learn of it at
/// once, and the server looks idle to each of them.
const RAMP_TIME: Duration = Duration::from_millis(1_500);
/// Time in which the rate doubles meanwhile.
const DOUBLING_TIME: Duration = Duration::from_millis(200);
/// Lowest rate from which it rises.
const MIN_RAMP_RATE: f64 = 4.0;
/// Time for which an entry is kept although its server is not known.
const RETENTION: Duration = Duration::from_mins(1);

/// What a server said of the rate that it takes, as instances tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Run of the server's process.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Number of the change, counted by those who read answers.
    #[serde(rename = "v")]
    pub version: u32,
    /// Rate; `None` if the server names none any more.
    #[serde(rename = "r")]
    pub rate: Option<Rate>,
}

/// What an answer of a server says of the rate that it takes.
#[derive(Debug, Clone, Copy)]
pub struct Said {
    /// Run of the server's process.
    pub incarnation: u64,
    /// Rate; `None` if the answer names none.
    pub rate: Option<Rate>,
    /// When the request was sent that this answers; `None` if it may answer an earlier one.
    pub sent_at: Option<Instant>,
}

/// Effect of an answer or of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing new.
    None,
    /// A rate that differs little from the one that was last a notable change. All instances keep to
    /// it, but it is no news to operators: a server may name another rate in each answer.
    Slight,
    /// A much lower rate than before; requests that were placed by the higher one are still under way.
    Lowered,
    /// A much higher rate than before, or none.
    Raised,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    limit: Limit,
    learned_at: Instant,
    /// Rate before the server stopped naming one.
    lifted_from: Rate,
    /// Rate of the last notable change.
    notable: Option<Rate>,
}

impl Limit {
    /// Returns whether this limit replaces another one. Of two with the same version, which were
    /// read at the same time by different instances, the lower rate counts.
    fn replaces(&self, other: &Self) -> bool {
        let order = |limit: &Self| (limit.incarnation, limit.version);
        let is_lower = rank(self.rate) < rank(other.rate);
        order(self) > order(other) || (order(self) == order(other) && is_lower)
    }
}

/// Returns a number that orders rates; having none is the highest.
fn rank(rate: Option<Rate>) -> u64 {
    rate.map_or(u64::MAX, Rate::as_milli)
}

impl Entry {
    /// Returns the rate in force; `None` for no limit.
    fn rate(&self, now: Instant) -> Option<Rate> {
        if self.limit.rate.is_some() {
            return self.limit.rate;
        }
        let since = now.saturating_duration_since(self.learned_at);
        if since >= RAMP_TIME {
            return None;
        }
        let doublings = since.as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        let base = self.lifted_from.as_f64().max(MIN_RAMP_RATE);
        Some(Rate::per_second(base * doublings.exp2()))
    }
}

/// Rates that servers have named, and what the other instances still have to be told.
#[derive(Debug, Default)]
pub struct Limits {
    entries: IndexMap<String, Entry>,
    /// News that the others have not been told yet.
    news: News<String>,
}

impl Limits {
    /// Returns whether no server has named a rate.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the rate that a run of a server takes now; `None` for no limit.
    ///
    /// A later run than the given one may be known already; its rate counts.
    pub fn rate(&self, server: &str, incarnation: u64, now: Instant) -> Option<Rate> {
        let entry = self.entries.get(server)?;
        let is_current = entry.limit.incarnation >= incarnation;
        entry.rate(now).filter(|_| is_current)
    }

    /// Returns the servers that name a rate, with it and the time since it was learned.
    pub fn named(&self, now: Instant) -> impl Iterator<Item = (&str, Rate, Duration)> {
        self.entries.iter().filter_map(move |(server, entry)| {
            let age = now.saturating_duration_since(entry.learned_at);
            Some((server.as_str(), entry.limit.rate?, age))
        })
    }

    /// Records what an answer says.
    ///
    /// Answers arrive out of order. A lower rate counts at once; a higher one, or none, counts only
    /// if the request was sent after the rate was learned, so that the answer is later for certain.
    pub fn observe(&mut self, server: &str, said: Said, now: Instant) -> Change {
        let held = self.entries.get(server).copied();
        let held = held.filter(|held| held.limit.incarnation >= said.incarnation);
        let Some(held) = held else {
            if said.rate.is_none() {
                return Change::None;
            }
            return self.update(server, said, 0, now);
        };
        if held.limit.incarnation > said.incarnation || is_same(held.limit.rate, said.rate) {
            return Change::None;
        }
        let is_lower = rank(said.rate) < rank(held.limit.rate);
        let is_later = |sent_at: Instant| sent_at >= held.learned_at;
        if !is_lower && !said.sent_at.is_some_and(is_later) {
            return Change::None;
        }
        self.update(server, said, held.limit.version, now)
    }

    fn update(&mut self, server: &str, said: Said, version: u32, now: Instant) -> Change {
        let limit = Limit {
            incarnation: said.incarnation,
            version: version.saturating_add(1),
            rate: said.rate,
        };
        self.schedule(server, Scope::All);
        self.replace(server, limit, now)
    }

    /// Merges what another instance knows.
    ///
    /// News is passed on to the instances in `scope`; if the sender knows less than this instance,
    /// all are told.
    pub fn merge(
        &mut self,
        server: &str,
        limit: Limit,
        scope: Option<Scope>,
        now: Instant,
    ) -> Change {
        let held = self.entries.get(server).map(|held| held.limit);
        if held.is_some_and(|held| held.replaces(&limit)) {
            self.schedule(server, Scope::All);
            return Change::None;
        }
        if held.is_some_and(|held| !limit.replaces(&held)) {
            return Change::None;
        }
        if let Some(scope) = scope {
            self.schedule(server, scope);
        }
        self.replace(server, limit, now)
    }

    fn schedule(&mut self, server: &str, scope: Scope) {
        self.news.schedule(server.to_owned(), scope);
    }

    fn replace(&mut self, server: &str, limit: Limit, now: Instant) -> Change {
        let Some(held) = self.entries.get_mut(server) else {
            self.insert(server, limit, now);
            return change(None, limit.rate);
        };
        let lifted_from = held.limit.rate;
        held.limit = limit;
        if lifted_from.is_none() && limit.rate.is_none() {
            return Change::None;
        }
        held.learned_at = now;
        held.lifted_from = lifted_from.unwrap_or(MIN_RATE);
        let change = change(held.notable, limit.rate);
        if change != Change::Slight {
            held.notable = limit.rate;
        }
        change
    }

    fn insert(&mut self, server: &str, limit: Limit, now: Instant) {
        if self.entries.len() >= MAX_SERVERS {
            self.evict();
        }
        let entry = Entry {
            limit,
            learned_at: now,
            lifted_from: MIN_RATE,
            notable: limit.rate,
        };
        self.entries.insert(server.to_owned(), entry);
    }

    fn evict(&mut self) {
        let oldest = self.entries.values().enumerate();
        let oldest = oldest.min_by_key(|(_, entry)| entry.learned_at);
        if let Some((at, _)) = oldest {
            self.entries.swap_remove_index(at);
        }
    }

    /// Forgets servers that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: Instant) {
        self.entries.retain(|server, entry| {
            let age = now.saturating_duration_since(entry.learned_at);
            age < RETENTION || is_known(server)
        });
    }

    /// Returns whether there is news to send.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns the news to send now.
    pub fn news(&mut self) -> Vec<(Scope, String, Limit)> {
        let entries = &self.entries;
        self.news.take(|server| Some(entries.get(server)?.limit))
    }

    /// Returns all that is known, for an instance that lacks some of it.
    pub fn all(&self) -> Vec<(String, Limit)> {
        let entries = self.entries.iter();
        entries
            .map(|(server, entry)| (server.clone(), entry.limit))
            .collect()
    }

    /// Returns a digest of all that is known, equal on instances that know the same.
    pub fn digest(&self) -> u64 {
        let digest = |(server, entry): (&String, &Entry)| {
            let Limit {
                incarnation,
                version,
                rate,
            } = entry.limit;
            rendezvous::weight(server, &format!("{incarnation} {version} {}", rank(rate)))
        };
        self.entries.iter().map(digest).fold(0, u64::wrapping_add)
    }
}

/// Returns the change from the rate of the last notable change.
fn change(notable: Option<Rate>, rate: Option<Rate>) -> Change {
    let ratio = |notable: Rate, rate: Rate| rate.as_f64() / notable.as_f64();
    match (notable, rate) {
        (None, None) => Change::None,
        (None, Some(_)) => Change::Lowered,
        (Some(_), None) => Change::Raised,
        (Some(notable), Some(rate)) if ratio(notable, rate) < SLIGHT_CHANGE.0 => Change::Lowered,
        (Some(notable), Some(rate)) if ratio(notable, rate) > SLIGHT_CHANGE.1 => Change::Raised,
        _ => Change::Slight,
    }
}

/// Returns whether two rates are equal, or differ so little that the difference is ignored.
fn is_same(held: Option<Rate>, said: Option<Rate>) -> bool {
    let (Some(held), Some(said)) = (held, said) else {
        return held == said;
    };
    (said.as_f64() / held.as_f64() - 1.0).abs() <= IGNORED_CHANGE
}
