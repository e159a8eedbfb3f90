//! Flooding of news to all instances, and the comparisons that make up for lost datagrams.
//!
//! News is sent at once: from an instance to the collectors of its availability zone, from those to
//! the collectors of all other zones, and from each collector to the instances of its zone. Digests
//! are compared once a second, by each instance with a collector of its zone and among the
//! collectors. That makes up for lost datagrams, and for what an instance missed while it was down,
//! suspended or cut off.

use zinniastall_coord::news::Scope;
use zinniastall_model::id;

use super::{Outgoing, collector::Roster, datagram::Datagram};

/// Rounds from one comparison of digests to the next.
const COMPARISON_ROUNDS: u32 = 10;
/// Maximum number of datagrams that answer a differing digest; the next comparison brings more.
const MAX_ANSWERS: usize = 8;

/// Schedule of the comparisons of digests.
#[derive(Debug, Default)]
pub(super) struct Comparisons {
    round: u32,
}

impl Comparisons {
    /// Starts a round; returns the datagram with the digest to send if a comparison is due.
    pub(super) fn round(
        &mut self,
        roster: &Roster,
        digest: impl FnOnce() -> Datagram,
    ) -> Option<Outgoing> {
        let round = self.round;
        let others = if roster.is_collector() {
            roster.all_other_collectors()
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
            datagram: digest(),
        })
    }
}

/// Returns the instances to which a receiver passes news on; `for_all` tells whether the sender left
/// all other zones to it.
pub(super) fn forwarding_scope(roster: &Roster, for_all: bool) -> Option<Scope> {
    let scope = if for_all { Scope::All } else { Scope::Zone };
    Some(scope).filter(|_| roster.is_collector())
}

/// Returns the news of an instance to send; `datagrams` encodes some of it, with whether the receiver
/// passes it on to all zones.
pub(super) fn news<T>(
    roster: &Roster,
    news: Vec<(Scope, T)>,
    datagrams: impl Fn(&[T], bool) -> Vec<Datagram>,
) -> Vec<Outgoing> {
    let (global, local): (Vec<_>, Vec<_>) = news
        .into_iter()
        .partition(|(scope, _)| *scope == Scope::All);
    let entries = |news: Vec<(Scope, T)>| -> Vec<T> {
        let entries = news.into_iter();
        entries.map(|(_, entry)| entry).collect()
    };
    let (global, local) = (entries(global), entries(local));
    let messages = |to: &[id::Instance], entries: &[T], for_all| {
        let message = |datagram| Outgoing {
            to: to.to_vec(),
            datagram,
        };
        let datagrams = if to.is_empty() {
            Vec::new()
        } else {
            datagrams(entries, for_all)
        };
        datagrams.into_iter().map(message).collect::<Vec<_>>()
    };
    if !roster.is_collector() {
        return messages(&roster.peer_collectors(), &global, true);
    }
    let mut outgoing = messages(&roster.all_other_collectors(), &global, false);
    outgoing.extend(messages(roster.zone_members(), &global, false));
    outgoing.extend(messages(roster.zone_members(), &local, false));
    outgoing
}

/// Returns the answers to another instance's digest, if it differs from this one's: what is known
/// here, and this instance's digest unless the other one is an answer itself.
pub(super) fn answers(
    is_same: bool,
    known: impl FnOnce() -> Vec<Datagram>,
    digest: Option<Datagram>,
) -> Vec<Datagram> {
    if is_same {
        return Vec::new();
    }
    let answers = known().into_iter().take(MAX_ANSWERS);
    answers.chain(digest).collect()
}
