//! Exchange of the rates that targets name in their answers, by the paths of [`flood`]. Only targets
//! that have named one are sent.

use std::time::Instant;

use serde::{Deserialize, Serialize};
use zinniastall_coord::rate::{Change, Limit, Limits};
use zinniastall_model::id;

use super::{
    Outgoing,
    collector::Roster,
    datagram::Datagram,
    flood::{self, Comparisons},
};

/// Maximum number of targets in one datagram; each takes at most 100 bytes.
const MAX_ENTRIES_PER_DATAGRAM: usize = 12;

/// Rates of some targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part(Vec<(id::Target, Limit)>);

/// Schedule of the comparisons of digests.
#[derive(Debug, Default)]
pub struct Exchange(Comparisons);

impl Exchange {
    /// Starts a round; returns the digest to send if a comparison is due.
    pub fn round(&mut self, roster: &Roster, limits: &Limits) -> Option<Outgoing> {
        self.0.round(roster, || sum(limits, false))
    }
}

/// Merges rates from another instance; returns the notable changes.
///
/// Rates of targets that this instance doesn't know are left out: instances that forget a target at
/// different times would tell each other of its rate without end.
pub fn receive(
    roster: &Roster,
    limits: &mut Limits,
    (part, for_all): (&Part, bool),
    is_known: impl Fn(&str) -> bool,
    now: Instant,
) -> Vec<(id::Target, Limit)> {
    let scope = flood::forwarding_scope(roster, for_all);
    let mut changed = Vec::new();
    for (target, limit) in part.0.iter().filter(|(target, _)| is_known(target)) {
        let change = limits.merge(target, *limit, scope, now);
        if matches!(change, Change::Lowered | Change::Raised) {
            changed.push((target.clone(), *limit));
        }
    }
    changed
}

/// Returns the news of this instance to send.
pub fn news(roster: &Roster, limits: &mut Limits) -> Vec<Outgoing> {
    let news = limits.news().into_iter();
    let news = news.map(|(scope, target, limit)| (scope, (target, limit)));
    flood::news(roster, news.collect(), parts)
}

/// Returns all rates and their digest, for an instance that has just started.
pub fn all(limits: &Limits) -> Vec<Datagram> {
    let mut all = parts(&limits.all(), false);
    all.push(sum(limits, true));
    all
}

/// Returns the answers to another instance's digest; none if the digests are equal.
pub fn answers(roster: &Roster, limits: &Limits, digest: u64, is_answer: bool) -> Vec<Datagram> {
    let all = || parts(&limits.all(), !roster.is_collector());
    let own = (!is_answer).then(|| sum(limits, true));
    flood::answers(limits.digest() == digest, all, own)
}

fn sum(limits: &Limits, is_answer: bool) -> Datagram {
    Datagram::LimitSum {
        digest: limits.digest(),
        is_answer,
    }
}

fn parts(entries: &[(id::Target, Limit)], for_all: bool) -> Vec<Datagram> {
    let part = |entries: &[(id::Target, Limit)]| Datagram::Limits {
        for_all,
        part: Part(entries.to_vec()),
    };
    entries.chunks(MAX_ENTRIES_PER_DATAGRAM).map(part).collect()
}
