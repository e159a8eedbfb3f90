//! Exchange of suspicions against requests that crash targets, by the paths of [`flood`]. Only
//! suspected requests are sent.

use std::time::Instant;

use serde::{Deserialize, Serialize};
use zinniastall_coord::quarantine::{Change, Suspicion};
use zinniastall_model::fingerprint::Fingerprint;

use super::{
    Outgoing,
    collector::Roster,
    datagram::{Datagram, MAX_DATAGRAM_BYTES},
    flood::{self, Comparisons},
};
use crate::suspects::Suspects;

/// Maximum length of the suspicions in one datagram, in bytes.
const MAX_BYTES: usize = MAX_DATAGRAM_BYTES - 100;

/// Some of the suspicions of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part(Vec<(Fingerprint, Suspicion)>);

/// Schedule of the comparisons of digests.
#[derive(Debug, Default)]
pub struct Exchange(Comparisons);

impl Exchange {
    /// Starts a round; returns the digest to send if a comparison is due.
    pub fn round(&mut self, roster: &Roster, suspects: &Suspects) -> Option<Outgoing> {
        self.0.round(roster, || sum(suspects, false))
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
    let scope = flood::forwarding_scope(roster, for_all);
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
    let news = suspects.news().into_iter();
    let news = news.map(|(scope, request, suspicion)| (scope, (request, suspicion)));
    flood::news(roster, news.collect(), parts)
}

/// Returns the answers to another instance's digest; none if the digests are equal.
pub fn answers(
    roster: &Roster,
    suspects: &Suspects,
    digest: u64,
    is_answer: bool,
) -> Vec<Datagram> {
    let strong = || parts(&suspects.strong(), !roster.is_collector());
    let own = (!is_answer).then(|| sum(suspects, true));
    flood::answers(suspects.digest() == digest, strong, own)
}

fn sum(suspects: &Suspects, is_answer: bool) -> Datagram {
    Datagram::SuspectSum {
        digest: suspects.digest(),
        is_answer,
    }
}

fn parts(entries: &[(Fingerprint, Suspicion)], for_all: bool) -> Vec<Datagram> {
    let mut parts: Vec<Vec<(Fingerprint, Suspicion)>> = Vec::new();
    let mut left = 0;
    for (suspect, suspicion) in entries {
        let length = suspicion.max_wire_bytes();
        if length > left {
            parts.push(Vec::new());
            left = MAX_BYTES;
        }
        left = left.saturating_sub(length);
        if let Some(part) = parts.last_mut() {
            part.push((*suspect, suspicion.clone()));
        }
    }
    let part = |entries| Datagram::Suspects {
        for_all,
        part: Part(entries),
    };
    parts.into_iter().map(part).collect()
}
