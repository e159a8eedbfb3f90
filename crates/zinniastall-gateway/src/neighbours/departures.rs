//! Exchange of the targets that said in their answers that they leave, by the paths of [`flood`].

use std::time::Instant;

use serde::{Deserialize, Serialize};
use zinniastall_coord::departure::Departures;
use zinniastall_model::id;

use super::{
    Outgoing,
    collector::Roster,
    datagram::Datagram,
    flood::{self, Comparisons},
};

/// Maximum number of targets in one datagram; each takes at most 80 bytes.
const MAX_ENTRIES_PER_DATAGRAM: usize = 12;

/// Runs of some targets that leave.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part(Vec<(id::Target, id::Incarnation)>);

/// Schedule of the comparisons of digests.
#[derive(Debug, Default)]
pub struct Exchange(Comparisons);

impl Exchange {
    /// Starts a round; returns the digest to send if a comparison is due.
    pub fn round(&mut self, roster: &Roster, departures: &Departures) -> Option<Outgoing> {
        self.0.round(roster, || sum(departures, false))
    }
}

/// Merges what another instance knows; returns what is new.
///
/// Targets that this instance doesn't know are left out: instances that forget a target at different
/// times would tell each other of it without end.
pub fn receive(
    roster: &Roster,
    departures: &mut Departures,
    (part, for_all): (&Part, bool),
    is_known: impl Fn(&str) -> bool,
    now: Instant,
) -> Vec<id::Target> {
    let scope = flood::forwarding_scope(roster, for_all);
    let known = part.0.iter().filter(|(target, _)| is_known(target));
    let new = known.filter(|(target, run)| departures.merge(target, *run, scope, now));
    new.map(|(target, _)| target.clone()).collect()
}

/// Returns the news of this instance to send.
pub fn news(roster: &Roster, departures: &mut Departures) -> Vec<Outgoing> {
    let news = departures.news().into_iter();
    let news = news.map(|(scope, target, run)| (scope, (target, run)));
    flood::news(roster, news.collect(), parts)
}

/// Returns the answers to another instance's digest; none if the digests are equal.
pub fn answers(
    roster: &Roster,
    departures: &Departures,
    digest: u64,
    is_answer: bool,
) -> Vec<Datagram> {
    let all = || parts(&departures.all(), !roster.is_collector());
    let own = (!is_answer).then(|| sum(departures, true));
    flood::answers(departures.digest() == digest, all, own)
}

fn sum(departures: &Departures, is_answer: bool) -> Datagram {
    Datagram::DepartureSum {
        digest: departures.digest(),
        is_answer,
    }
}

fn parts(entries: &[(id::Target, id::Incarnation)], for_all: bool) -> Vec<Datagram> {
    let part = |entries: &[(id::Target, id::Incarnation)]| Datagram::Departures {
        for_all,
        part: Part(entries.to_vec()),
    };
    entries.chunks(MAX_ENTRIES_PER_DATAGRAM).map(part).collect()
}
