//! Metrics and log lines of a round.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use zinniastall_coord::overflow::Amount;
use zinniastall_model::id;

use super::{Exchange, Inputs, Service};
use crate::neighbours::{datagram::Round, overflow::Shown};

/// Shortest time between two log lines about the room of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Amounts that are shown, as they are labelled.
const KINDS: [&str; 4] = ["room", "need", "lent", "borrowed"];

impl Exchange {
    /// Resets the metrics of an instance that no longer acts for its region, which would otherwise go on
    /// to show what it computed last.
    pub(super) fn clear_shown(&mut self, inputs: &Inputs<'_>) {
        let region = &inputs.view.place.region;
        for (service, _) in self.shown.drain(..) {
            for kind in KINDS {
                let metrics = inputs.overflow.metrics();
                metrics.set_overflow(region, &service, kind, Amount::default());
            }
        }
    }

    /// Updates metrics and logs what has changed.
    pub(super) fn show(
        &mut self,
        inputs: &Inputs<'_>,
        services: &[Service<'_>],
        round: Round,
        now: Instant,
    ) {
        let (view, metrics) = (inputs.view, inputs.overflow.metrics());
        for service in services {
            let sum = |amounts: &mut dyn Iterator<Item = Amount>| {
                amounts.fold(Amount::default(), Amount::plus)
            };
            let borrowed = self.told.grants(now).map(|(_, told, _)| {
                let held = told.grants.get(&service.key);
                held.copied().unwrap_or_default()
            });
            let shown = Shown {
                room: service.room.amount,
                need: service.need_at_home(view),
                lent: sum(&mut service.grants.values().copied()),
                borrowed: sum(&mut borrowed.into_iter()),
                targets: service.room.targets,
                oldest_report: service.room.oldest_report,
            };
            let amounts = [shown.room, shown.need, shown.lent, shown.borrowed];
            for (kind, amount) in KINDS.into_iter().zip(amounts) {
                metrics.set_overflow(&view.place.region, service.name, kind, amount);
            }
            let last = self.shown.get(service.name);
            let is_due = |at: Instant| now.saturating_duration_since(at) >= LOG_INTERVAL;
            let is_new = last.is_none_or(|(at, last)| is_due(*at) && shown.differs(last));
            if is_new {
                shown.log(view, service.name, round);
                self.shown.insert(service.name.clone(), (now, shown));
            }
        }
        let known: IndexSet<&id::Service> = services.iter().map(|service| service.name).collect();
        self.shown.retain(|name, _| known.contains(name));
    }
}
