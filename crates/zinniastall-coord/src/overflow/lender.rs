//! Division of a room among the regions that need it.

use std::{hash::Hash, time::Instant};

use indexmap::IndexMap;

use super::{Amount, HOLD, amount::scale};

/// Rounds in which a grant may rise from nothing to the whole room. Larger steps let the requests of
/// a borrower arrive before the load reports show any of them.
const STEPS: u64 = 3;
/// Regions that borrow of one service at the same time, the neediest ones.
const MAX_BORROWERS: usize = 4;
/// What is granted of a need, as a fraction: need is that of the last second, of which a region that
/// has just begun to peak has seen only a part.
const MARGIN: (u64, u64) = (2, 1);

/// Divides the room of one service among regions, max-min by their need.
///
/// A grant that was lowered or ended may be in use for [`HOLD`] after it was sent, since the message
/// that lowers it may be lost. Until then its room is not granted to another region.
#[derive(Debug, Clone)]
pub struct Lender<R> {
    /// Grants of the last [`HOLD`], by region, the newest last.
    sent: IndexMap<R, Vec<(Instant, Amount)>>,
}

impl<R> Default for Lender<R> {
    fn default() -> Self {
        Self {
            sent: IndexMap::new(),
        }
    }
}

impl<R: Clone + Eq + Hash + Ord> Lender<R> {
    /// Returns the grants of a round, and records them as sent. Regions that borrowed within
    /// [`HOLD`] and get nothing now are included.
    pub fn divide(
        &mut self,
        room: Amount,
        needs: &IndexMap<R, Amount>,
        now: Instant,
    ) -> IndexMap<R, Amount> {
        self.expire(now);
        let mut neediest: Vec<(&R, Amount)> = needs
            .iter()
            .filter(|(_, need)| !need.is_zero())
            .map(|(region, need)| (region, need.part(MARGIN.0, MARGIN.1)))
            .collect();
        neediest
            .sort_by_key(|(region, need)| (std::cmp::Reverse(need.requests), (*region).clone()));
        neediest.truncate(MAX_BORROWERS);
        for (region, _) in &neediest {
            self.sent.entry((*region).clone()).or_default();
        }
        let need = |region: &R| {
            let held = neediest.iter().find(|(name, _)| *name == region);
            held.map_or_else(Amount::default, |(_, need)| *need)
        };
        let dimension = |of: fn(&Amount) -> u64| {
            let asked = self.sent.iter().map(|(region, sent)| Share {
                need: of(&need(region)),
                last: sent.last().map_or(0, |(_, amount)| of(amount)),
                held: sent.iter().map(|(_, amount)| of(amount)).max().unwrap_or(0),
            });
            shares(of(&room), &asked.collect::<Vec<_>>())
        };
        let work = dimension(|amount| amount.work);
        let requests = dimension(|amount| amount.requests);
        let granted = work.into_iter().zip(requests);
        let granted = granted.map(|(work, requests)| Amount { work, requests });
        let grants: IndexMap<R, Amount> = self.sent.keys().cloned().zip(granted).collect();
        self.observe(&grants, now);
        grants
    }

    /// Records grants as sent: by this lender, or by the one that acted before.
    pub fn observe(&mut self, grants: &IndexMap<R, Amount>, now: Instant) {
        self.expire(now);
        for (region, amount) in grants {
            let sent = self.sent.entry(region.clone()).or_default();
            sent.push((now, *amount));
        }
    }

    /// Returns the amounts granted last, over all regions.
    pub fn lent(&self) -> Amount {
        let last = self.sent.values().filter_map(|sent| sent.last());
        last.fold(Amount::default(), |sum, (_, amount)| sum.plus(*amount))
    }

    fn expire(&mut self, now: Instant) {
        for sent in self.sent.values_mut() {
            sent.retain(|(at, _)| now.saturating_duration_since(*at) < HOLD);
        }
        self.sent
            .retain(|_, sent| sent.iter().any(|(_, amount)| *amount != Amount::default()));
    }
}

/// One dimension of what a region needs and holds.
#[derive(Debug, Clone, Copy)]
struct Share {
    need: u64,
    /// Amount granted last.
    last: u64,
    /// Largest amount that may be in use.
    held: u64,
}

/// Returns what each region gets of a room.
fn shares(room: u64, asked: &[Share]) -> Vec<u64> {
    let level = level(room, asked.iter().map(|share| share.need).collect());
    let step = room.div_ceil(STEPS);
    let wanted = asked.iter().map(|share| {
        let least = share.last.saturating_sub(step);
        share.need.min(level).clamp(least, share.last + step)
    });
    let mut wanted: Vec<u64> = wanted.collect();
    let sum: u64 = wanted.iter().sum();
    if sum > room {
        for amount in &mut wanted {
            *amount = scale(*amount, room, sum);
        }
    }
    let held: u64 = asked.iter().map(|share| share.held).sum();
    let spare = room.saturating_sub(held);
    let rise = |(wanted, share): (&u64, &Share)| wanted.saturating_sub(share.held);
    let rises: u64 = wanted.iter().zip(asked).map(rise).sum();
    let granted = wanted.iter().zip(asked).map(|(wanted, share)| {
        let rise = scale(rise((wanted, share)), spare.min(rises), rises);
        (*wanted).min(share.held + rise)
    });
    granted.collect()
}

/// Returns the largest amount that no region may exceed while all together fit into the room
/// (max-min fairness by progressive filling).
fn level(room: u64, mut needs: Vec<u64>) -> u64 {
    needs.sort_unstable();
    let mut left = room;
    let mut sharing = needs.len() as u64;
    for need in needs {
        let fair = left / sharing;
        if need > fair {
            return fair;
        }
        left -= need;
        sharing -= 1;
    }
    u64::MAX
}
