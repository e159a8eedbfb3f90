//! Tells other regions what there is room for, what is needed, and what is lent.

use std::time::{Duration, Instant};

use zinniastall_coord::rendezvous::weight;
use zinniastall_model::id;

use super::{Exchange, Service};
use crate::{
    neighbours::{
        Outgoing,
        datagram::{Datagram, Key, Round, key},
        overflow::messages::{Entry, MAX_GRANTS, RegionEntry, Room},
    },
    view::View,
};

/// Rounds from one message to a region that neither lends nor borrows to the next.
const IDLE_ROUNDS: Round = 5;
/// Age at which the room of another region expires: two messages to an idle region were lost.
const ROOM_TTL: Duration = Duration::from_millis(2_500);
/// Regions that are asked for room for one service.
const MAX_LENDERS: usize = 4;
/// Largest draw: that of 1 would score without bound.
const MAX_DRAW: f64 = 0.999_999;

impl Exchange {
    /// Returns the messages to the leaders of other regions and to the other leader of this one.
    pub(super) fn room_messages(
        &self,
        view: &View,
        services: &[Service<'_>],
        round: Round,
    ) -> Vec<Outgoing> {
        let home = &view.place.region;
        let mut outgoing = Vec::new();
        for region in self.leaders.regions() {
            let leaders = self.leaders.of(region).iter();
            let to = leaders.filter(|leader| **leader != view.instance);
            let message = if region == home {
                own_message(home, services, round)
            } else {
                Self::message(home, region, services, round)
            };
            let is_idle = message.needs.is_empty() && message.grants.is_empty();
            if is_idle && region != home && !round.is_multiple_of(IDLE_ROUNDS) {
                continue;
            }
            outgoing.push(Outgoing {
                to: to.cloned().collect(),
                datagram: Datagram::RegionRoom(message),
            });
        }
        outgoing
    }

    fn message(
        home: &id::Region,
        region: &id::Region,
        services: &[Service<'_>],
        round: Round,
    ) -> Room {
        let to = key(region);
        let needs = services.iter().filter_map(|service| {
            let need = service.need_of(to);
            let is_asked = !need.is_zero() && service.lenders.contains(&to);
            is_asked.then(|| Entry::new(service.key, need))
        });
        let grants = services.iter().filter_map(|service| {
            let grant = service.grants.get(&to)?;
            Some(RegionEntry::new(service.key, to, *grant))
        });
        Room {
            region: home.clone(),
            round,
            rooms: rooms(services),
            needs: needs.collect(),
            grants: grants.collect(),
        }
    }

    /// Returns the regions that are asked for room for a service.
    ///
    /// Regions are drawn in proportion to their room (weighted rendezvous hashing), so that several
    /// needy ones don't all ask the same few, which lend to a few only.
    pub(super) fn lenders(&self, home: &str, service: Key, now: Instant) -> Vec<Key> {
        let fresh = self
            .rooms
            .iter()
            .filter(|(_, (told_at, _))| now.saturating_duration_since(*told_at) < ROOM_TTL);
        let scored = fresh.filter_map(|(region, (_, rooms))| {
            let room = rooms.get(&service)?.requests;
            Some((score(home, region, room), key(region)))
        });
        let mut scored: Vec<(f64, Key)> = scored.collect();
        scored.sort_by(|one, other| other.0.total_cmp(&one.0));
        let lenders = scored.into_iter().take(MAX_LENDERS);
        lenders.map(|(_, region)| region).collect()
    }
}

/// Returns the message to the other leader of the region, which needs to know all grants.
fn own_message(home: &id::Region, services: &[Service<'_>], round: Round) -> Room {
    let grants = services.iter().flat_map(|service| {
        let grants = service.grants.iter();
        grants.map(|(region, amount)| RegionEntry::new(service.key, *region, *amount))
    });
    Room {
        region: home.clone(),
        round,
        rooms: rooms(services),
        needs: Vec::new(),
        grants: grants.take(MAX_GRANTS).collect(),
    }
}

fn rooms(services: &[Service<'_>]) -> Vec<Entry> {
    let with_room = services
        .iter()
        .filter(|service| !service.room.amount.is_zero());
    with_room
        .map(|service| Entry::new(service.key, service.room.amount))
        .collect()
}

/// Returns the score by which a region is asked for its room.
fn score(home: &str, region: &str, room: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a draw needs no more")]
    let (room, draw) = (room as f64, weight(home, region) as f64 / u64::MAX as f64);
    room / -draw.clamp(f64::MIN_POSITIVE, MAX_DRAW).ln()
}
