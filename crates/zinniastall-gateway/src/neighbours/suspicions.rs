//! Exchange of suspicions against requests that crash targets.
//!
//! News is sent at once: from an instance to the collectors of its availability zone, from those to
//! the collectors of all other zones, and from each collector to the instances of its zone. Only
//! suspected requests are sent. Digests are compared once a second, by each instance with a
//! collector of its zone and among the collectors. That makes up for lost datagrams, and for what
//! an instance missed while it was down, suspended or cut off.

use std::time::Instant;

use serde::{Deserialize, Serialize};
use zinniastall_coord::quarantine::{Change, Scope, Suspicion};
use zinniastall_model::{fingerprint::Fingerprint, id};

use super::{Outgoing, collector::Roster, datagram::Datagram};
use crate::suspects::Suspects;

/// Maximum number of suspicions in one datagram; each takes at most 70 bytes.
const MAX_ENTRIES_PER_DATAGRAM: usize = 18;
/// Rounds from one comparison of digests to the next.
const COMPARISON_ROUNDS: u32 = 10;
/// Maximum number of datagrams that answer a differing digest; the next comparison brings more.
const MAX_ANSWERS: usize = 8;

/// Some of the suspicions of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part(Vec<(Fingerprint, Suspicion)>);

/// Schedule of the comparisons of digests.
#[derive(Debug, Default)]
pub struct Exchange {
    round: u32,
}

impl Exchange {
    /// Starts a round; returns the digest to send if a comparison is due.
    pub fn round(&mut self, roster: &Roster, suspects: &Suspects) -> Option<Outgoing> {
        let round = self.round;
        let others = if roster.is_collector() {
            all_other_collectors(roster)
        } else {
            roster.peer_collectors()
        };
        if others.is_empty() {
            return None;
        }
        self.round = round.wrapping_add(1);
        if !round.is_multiple_of(COMPARISON_ROUNDS) {
            return None;
        }
        let at = (round / COMPARISON_ROUNDS) as usize % others.len();
        Some(Outgoing {
            to: vec![others[at].clone()],
            datagram: Datagram::SuspectSum {
                digest: suspects.digest(),
                is_answer: false,
            },
        })
    }
}

/// Merges suspicions from another instance; returns the requests that became quarantined.
///
/// A collector passes news on to the instances of its zone, or to all instances if the sender left
/// that to it (`for_all`).
pub fn receive(
    roster: &Roster,
    suspects: &mut Suspects,
    part: &Part,
    for_all: bool,
    now: Instant,
) -> Vec<Fingerprint> {
    let scope = if for_all { Scope::All } else { Scope::Zone };
    let scope = Some(scope).filter(|_| roster.is_collector());
    let mut quarantined = Vec::new();
    for (request, suspicion) in &part.0 {
        if suspects.merge(*request, suspicion, scope, now) == Change::Quarantined {
            quarantined.push(*request);
        }
    }
    quarantined
}

/// Returns the news of this instance to send.
pub fn news(roster: &Roster, suspects: &mut Suspects) -> Vec<Outgoing> {
    let (global, local): (Vec<_>, Vec<_>) = suspects
        .news()
        .into_iter()
        .partition(|(scope, ..)| *scope == Scope::All);
    let entries = |news: Vec<(Scope, Fingerprint, Suspicion)>| {
        let entries = news.into_iter();
        let entries = entries.map(|(_, request, suspicion)| (request, suspicion));
        entries.collect::<Vec<_>>()
    };
    let (global, local) = (entries(global), entries(local));
    if !roster.is_collector() {
        return messages(&roster.peer_collectors(), &global, true);
    }
    let mut outgoing = messages(&all_other_collectors(roster), &global, false);
    outgoing.extend(messages(roster.zone_members(), &global, false));
    outgoing.extend(messages(roster.zone_members(), &local, false));
    outgoing
}

/// Returns the answers to another instance's digest; none if the digests are equal.
pub fn answers(
    roster: &Roster,
    suspects: &Suspects,
    digest: u64,
    is_answer: bool,
) -> Vec<Datagram> {
    let own = suspects.digest();
    if own == digest {
        return Vec::new();
    }
    let strong = suspects.strong();
    let parts = parts(&strong, !roster.is_collector());
    let mut answers: Vec<Datagram> = parts.into_iter().take(MAX_ANSWERS).collect();
    if !is_answer {
        answers.push(Datagram::SuspectSum {
            digest: own,
            is_answer: true,
        });
    }
    answers
}

/// Returns the other collectors, of this zone and of all others.
fn all_other_collectors(roster: &Roster) -> Vec<id::Instance> {
    let beside = roster.peer_collectors().into_iter();
    let others = roster.region_collectors().iter();
    let others = others.chain(roster.remote_collectors());
    beside.chain(others.cloned()).collect()
}

fn messages(
    to: &[id::Instance],
    entries: &[(Fingerprint, Suspicion)],
    for_all: bool,
) -> Vec<Outgoing> {
    if to.is_empty() {
        return Vec::new();
    }
    let message = |datagram| Outgoing {
        to: to.to_vec(),
        datagram,
    };
    parts(entries, for_all).into_iter().map(message).collect()
}

fn parts(entries: &[(Fingerprint, Suspicion)], for_all: bool) -> Vec<Datagram> {
    let part = |entries: &[(Fingerprint, Suspicion)]| Datagram::Suspects {
        for_all,
        part: Part(entries.to_vec()),
    };
    entries.chunks(MAX_ENTRIES_PER_DATAGRAM).map(part).collect()
}
