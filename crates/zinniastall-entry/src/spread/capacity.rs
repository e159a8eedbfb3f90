//! Aggregates the targets of the zone into the capacities that are published to other zones.

use std::cmp::Reverse;

use indexmap::IndexMap;
use zinniastall_model::{id, object::Subject};
use zinniastall_wire::gossip::Capacity;

use crate::view::Target;

/// Expected service time of a queued request. The actual work is unknown; the value only serves to
/// order zones that have no free slot.
const SERVICE_TIME_MS: u64 = 1_000;
/// Changes in free slots of less than this fraction (1/n) of all slots are not published.
const MIN_CHANGE_DIVISOR: u32 = 8;

/// Capacity by subject and role.
pub type Totals = IndexMap<(Subject, String), Capacity>;

/// Capacities of a region's zones by subject and role.
pub type Zones = IndexMap<(Subject, String), Vec<(id::Zone, Capacity)>>;

/// Sums the capacities of targets.
pub fn sum_targets(targets: &IndexMap<id::Target, Target>) -> Totals {
    let mut totals = Totals::new();
    let mut queued: IndexMap<(Subject, String), u32> = IndexMap::new();
    for target in targets.values() {
        let report = &target.report;
        for serving in &report.serves {
            let key = (serving.subject.clone(), report.role.clone());
            let total = totals.entry(key.clone()).or_insert(Capacity {
                slots: 0,
                free: 0,
                wait_ms: 0,
                price: 0.0,
            });
            let before = f64::from(total.slots);
            total.slots += report.slots;
            total.free += report.slots.saturating_sub(report.busy);
            let weighted = total.price * before + report.price * f64::from(report.slots);
            total.price = weighted / f64::from(total.slots.max(1));
            *queued.entry(key).or_default() += report.busy.saturating_sub(report.slots);
        }
    }
    for (key, total) in &mut totals {
        let queued = u64::from(queued.get(key).copied().unwrap_or_default());
        total.wait_ms = if total.free > 0 {
            0
        } else {
            (queued + 1) * SERVICE_TIME_MS / u64::from(total.slots.max(1))
        };
    }
    totals
}

/// Chooses the zone that a region advertises: the one with the most free slots or, if there are
/// none, the shortest wait.
///
/// The currently advertised zone is kept while it has a free slot. Once `settled`, it is also
/// replaced if the best zone has more free slots by at least the smallest change that is published.
/// Otherwise the choice would change with every request, and each change is sent to all regions.
pub fn choose_zone(
    advertised: Option<&id::Zone>,
    settled: bool,
    zones: Vec<(id::Zone, Capacity)>,
) -> Option<(id::Zone, Capacity)> {
    let order = |(_, capacity): &(id::Zone, Capacity)| (capacity.free, Reverse(capacity.wait_ms));
    let top = zones.iter().max_by_key(|zone| order(zone))?.clone();
    let advertised = zones.into_iter().find(|(zone, _)| advertised == Some(zone));
    let stays = |(_, held): &(id::Zone, Capacity)| {
        let usable = held.free > 0 || top.1.free == 0;
        let behind = top.1.free.saturating_sub(held.free);
        usable && (!settled || behind < min_change(&top.1))
    };
    Some(advertised.filter(stays).unwrap_or(top))
}

const fn min_change(capacity: &Capacity) -> u32 {
    let step = capacity.slots / MIN_CHANGE_DIVISOR;
    if step == 0 { 1 } else { step }
}

/// Returns whether a capacity is close enough to the one last published.
pub fn is_similar(last: &Capacity, now: &Capacity) -> bool {
    let same_slots = last.slots == now.slots;
    let same_free =
        last.free.abs_diff(now.free) < min_change(now) && (last.free == 0) == (now.free == 0);
    let same_wait = last.wait_ms.abs_diff(now.wait_ms) <= last.wait_ms / 2;
    let same_price = (last.price - now.price).abs() <= last.price * 0.05;
    same_slots && same_free && same_wait && same_price
}
