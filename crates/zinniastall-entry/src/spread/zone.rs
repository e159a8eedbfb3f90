//! Targets of the zone, announced to this instance or reported by other instances of the zone.

use std::{sync::Arc, time::Instant};

use indexmap::IndexMap;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip::{self, Load, Peer};

use super::{actor::Spread, renewals::appended_prefixes};
use crate::{
    publish::Targets,
    targets::{
        body::{Lease, Leave},
        problem::Problem,
        table::{Change, millis},
    },
    view,
};

impl Spread {
    /// Applies a target's announcement and distributes what has changed.
    pub(super) fn announce(
        &mut self,
        mut report: gossip::Target,
        now: Instant,
    ) -> Result<Lease, Problem> {
        report.left_ms = millis(self.settings.lease);
        let before = self.targets.report(&report.target, now);
        let added = before
            .as_ref()
            .and_then(|before| appended_prefixes(before, &report));
        let added = added.map(<[u64]>::to_vec);
        let target = report.target.clone();
        let change = self.targets.apply(report, now)?;
        match (change, added) {
            (Change::Unchanged, _) => {}
            (Change::Load, Some(added)) => {
                self.renewals.add(&target, &added);
                self.publish_pending = true;
            }
            _ => self.broadcast_report(&target, now),
        }
        Ok(self.lease_response())
    }

    /// Records that a target is leaving and distributes this at once.
    pub(super) fn leave(&mut self, leave: &Leave, now: Instant) -> Result<(), Problem> {
        let place = self.dependencies.identity.place();
        let leaver = (leave.target.as_str(), leave.incarnation);
        if self.targets.leave(leaver, place, now)? {
            self.broadcast_report(&leave.target, now);
        }
        Ok(())
    }

    /// Applies full reports from an instance of the zone.
    pub(super) fn apply_reports(
        &mut self,
        place: &Place,
        reports: Vec<gossip::Target>,
        now: Instant,
    ) {
        if place != self.dependencies.identity.place() {
            return;
        }
        let apply = |report| self.targets.apply(report, now).unwrap_or(Change::Unchanged);
        let change = reports.into_iter().map(apply).max();
        self.schedule_publish(change, now);
    }

    /// Applies renewals from an instance of the zone.
    pub(super) fn apply_renewals(&mut self, place: &Place, loads: &[Load], now: Instant) {
        if place != self.dependencies.identity.place() {
            return;
        }
        let apply = |load| self.targets.renew(load, now).unwrap_or(Change::Unchanged);
        let change = loads.iter().map(apply).max();
        self.schedule_publish(change, now);
    }

    fn schedule_publish(&mut self, change: Option<Change>, now: Instant) {
        match change {
            Some(Change::Targets) => self.publish_targets(now),
            Some(Change::Load) => self.publish_pending = true,
            _ => {}
        }
    }

    /// Returns the pending renewals of this period, to be sent to the whole zone.
    pub(super) fn take_renewals(&mut self, now: Instant) -> Vec<Load> {
        let bytes = self.bucket.available(now) / (self.links.count().max(1) as u64);
        self.renewals.take(&self.targets, bytes, now)
    }

    /// Sends a target's full report to the zone at once and publishes it.
    fn broadcast_report(&mut self, target: &str, now: Instant) {
        self.renewals.remove(target);
        if let Some(report) = self.targets.report(target, now) {
            self.send_to_zone(&gossip::Message::Targets(vec![report]));
        }
        self.publish_targets(now);
    }

    fn send_to_zone(&mut self, message: &gossip::Message) {
        let place = self.dependencies.identity.place().clone();
        self.links.send_within(&place, message);
    }

    fn lease_response(&self) -> Lease {
        let identity = &self.dependencies.identity;
        let own = std::iter::once(identity.addresses().targets.clone());
        let near = |peer: &&Peer| peer.place == *identity.place() && !peer.draining;
        let others = self.published_peers.values().skip(1).filter(near);
        Lease {
            lease_ms: millis(self.settings.lease),
            renew_ms: millis(self.settings.renewal_interval()),
            instances: own.chain(others.map(|peer| peer.targets.clone())).collect(),
        }
    }

    /// Publishes the targets that may receive requests.
    pub(super) fn publish_targets(&mut self, now: Instant) {
        self.publish_pending = false;
        let mut targets = self.targets.serving(now);
        if self.last_crashed_run.is_some() {
            targets.retain(|_, target| !self.has_crashed(target));
        }
        let run = |(name, target): (&id::Target, &view::Target)| {
            (name.clone(), target.report.incarnation)
        };
        let serving: IndexMap<_, _> = targets.iter().map(run).collect();
        for (target, incarnation) in &serving {
            if self.published_targets.get(target) != Some(incarnation) {
                tracing::info!(event = "target-serving", target, incarnation);
            }
        }
        for (target, incarnation) in &self.published_targets {
            if !serving.contains_key(target) {
                tracing::info!(event = "target-gone", target, incarnation);
            }
        }
        self.published_targets = serving;
        self.dependencies
            .publisher
            .do_send(Targets(Arc::new(targets)));
    }
}
