//! The zone's targets: announced here or heard from the zone's other instances.

use std::{sync::Arc, time::Instant};

use indexmap::IndexMap;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip::{self, Load, Peer};

use super::{actor::Spread, renewals::grown};
use crate::{
    publish::Targets,
    targets::{
        body::{Lease, Leave},
        problem::Problem,
        table::{Taken, millis},
    },
    view,
};

impl Spread {
    /// Takes an announcement of a target in and spreads what changed.
    pub(super) fn announce(
        &mut self,
        mut report: gossip::Target,
        now: Instant,
    ) -> Result<Lease, Problem> {
        report.left_ms = millis(self.settings.lease);
        let before = self.targets.report(&report.target, now);
        let added = before.as_ref().and_then(|before| grown(before, &report));
        let added = added.map(<[u64]>::to_vec);
        let target = report.target.clone();
        let taken = self.targets.take(report, now)?;
        match (taken, added) {
            (Taken::Old, _) => {}
            (Taken::Load, Some(added)) => {
                self.renewals.add(&target, &added);
                self.publishing = true;
            }
            _ => self.tell(&target, now),
        }
        Ok(self.granted())
    }

    /// Notes that a target leaves and spreads it at once.
    pub(super) fn leave(&mut self, leave: &Leave, now: Instant) -> Result<(), Problem> {
        let left = self.targets.leave(&leave.target, leave.incarnation)?;
        if left.is_some() {
            self.tell(&leave.target, now);
        }
        Ok(())
    }

    /// Takes whole reports in from an instance of the zone.
    pub(super) fn take(&mut self, place: &Place, reports: Vec<gossip::Target>, now: Instant) {
        if place != self.around.identity.place() {
            return;
        }
        let news = |report| self.targets.take(report, now).unwrap_or(Taken::Old);
        let most = reports.into_iter().map(news).max();
        self.note(most, now);
    }

    /// Takes renewals in from an instance of the zone.
    pub(super) fn renew(&mut self, place: &Place, loads: &[Load], now: Instant) {
        if place != self.around.identity.place() {
            return;
        }
        let news = |load| self.targets.renew(load, now).unwrap_or(Taken::Old);
        let most = loads.iter().map(news).max();
        self.note(most, now);
    }

    fn note(&mut self, most: Option<Taken>, now: Instant) {
        match most {
            Some(Taken::Kept) => self.publish_targets(now),
            Some(Taken::Load) => self.publishing = true,
            _ => {}
        }
    }

    /// Takes the renewals of the last period, for all of the zone.
    pub(super) fn loads(&mut self, now: Instant) -> Vec<Load> {
        let bytes = self.bucket.available(now) / (self.lines.count().max(1) as u64);
        self.renewals.take(&self.targets, bytes, now)
    }

    /// Spreads a target's whole report at once and publishes it.
    fn tell(&mut self, target: &str, now: Instant) {
        self.renewals.drop(target);
        if let Some(report) = self.targets.report(target, now) {
            self.tell_zone(&gossip::Message::Targets(vec![report]));
        }
        self.publish_targets(now);
    }

    fn tell_zone(&mut self, message: &gossip::Message) {
        let place = self.around.identity.place().clone();
        self.lines.send_within(&place, message);
    }

    fn granted(&self) -> Lease {
        let identity = &self.around.identity;
        let own = std::iter::once(identity.addresses().targets.clone());
        let near = |peer: &&Peer| peer.place == *identity.place() && !peer.draining;
        let others = self.published.values().skip(1).filter(near);
        Lease {
            lease_ms: millis(self.settings.lease),
            renew_ms: millis(self.settings.renew()),
            instances: own.chain(others.map(|peer| peer.targets.clone())).collect(),
        }
    }

    /// Publishes the targets that may get work.
    pub(super) fn publish_targets(&mut self, now: Instant) {
        self.publishing = false;
        let targets = self.targets.serving(now);
        let run = |(name, target): (&id::Target, &view::Target)| {
            (name.clone(), target.report.incarnation)
        };
        let serving: IndexMap<_, _> = targets.iter().map(run).collect();
        for (target, incarnation) in &serving {
            if self.serving.get(target) != Some(incarnation) {
                tracing::info!(event = "target-serving", target, incarnation);
            }
        }
        for (target, incarnation) in &self.serving {
            if !serving.contains_key(target) {
                tracing::info!(event = "target-gone", target, incarnation);
            }
        }
        self.serving = serving;
        self.around.publisher.do_send(Targets(Arc::new(targets)));
    }
}
