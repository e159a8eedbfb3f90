//! Exchange of the rates that targets name, and of questions for permits.
//!
//! Only instances of the targets' zone send them requests, and these have links to each other. A new
//! link starts with what both ends know, behind the targets themselves. That makes up for what either
//! missed while it was down, suspended or cut off.

use std::time::Instant;

use actix::{Addr, Context, Handler, Message};
use indexmap::IndexMap;
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip;

use super::{actor::Spread, links::Handle};
use crate::{rates::Rates, view};

/// Maximum number of targets in one message.
const MAX_NAMED: usize = 256;

impl Spread {
    /// Applies a message about rates from an instance at a place; others than this zone's have
    /// nothing to say of them.
    pub(super) fn apply_rates(
        &mut self,
        link: Handle,
        place: &Place,
        message: &gossip::Rates,
        now: Instant,
    ) {
        if place != self.dependencies.identity.place() {
            return;
        }
        let rates = self.rates().clone();
        match message {
            gossip::Rates::Named(list) => {
                let is_known = |target: &str| self.targets.report(target, now).is_some();
                rates.hear(list, is_known, now);
                self.share_rates();
            }
            gossip::Rates::Demand(demand) => {
                let view = self.dependencies.shared_view.view();
                let verdict = rates.receive_demand(&view, demand, now);
                let answer = gossip::Rates::Verdict(verdict);
                self.links.send(link, gossip::Message::Rates(answer));
            }
            gossip::Rates::Verdict(verdict) => rates.receive_verdict(verdict),
        }
    }

    /// Sends all known rates on a new link of the zone.
    pub(super) fn introduce_rates(&mut self, link: Handle) {
        for part in self.rates().all().chunks(MAX_NAMED) {
            let message = gossip::Message::Rates(gossip::Rates::Named(part.to_vec()));
            self.links.send(link, message);
        }
    }

    /// Sends news of rates, and the questions of the traffic threads.
    pub(super) fn share_rates(&mut self) {
        let (news, questions) = self.rates().outgoing();
        let place = self.dependencies.identity.place().clone();
        for part in news.chunks(MAX_NAMED) {
            let message = gossip::Message::Rates(gossip::Rates::Named(part.to_vec()));
            self.links.send_within(&place, &message);
        }
        for question in questions {
            // Without a link, the question ends without an answer.
            if let Some(link) = self.links.get(&question.coordinator) {
                let message = gossip::Rates::Demand(question.demand);
                self.links.send(link, gossip::Message::Rates(message));
            }
        }
    }

    /// Counts the targets that take a limited rate as full, so that other zones don't take their slots
    /// for capacity.
    pub(super) fn fill_limited(
        &self,
        targets: &mut IndexMap<id::Target, view::Target>,
        now: Instant,
    ) {
        for target in targets.values_mut() {
            if self.rates().limited(&target.report, now).is_some() {
                target.report.busy = target.report.slots;
            }
        }
    }

    /// Forgets what has expired.
    pub(super) fn expire_rates(&self, now: Instant) {
        let view = self.dependencies.shared_view.view();
        self.rates().expire(&view, now);
    }

    pub(super) fn rates(&self) -> &Rates {
        self.dependencies.shared_view.rates()
    }
}

/// There may be news of rates, or questions.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct ShareRates;

impl Handler<ShareRates> for Spread {
    type Result = ();

    fn handle(&mut self, _: ShareRates, _: &mut Context<Self>) {
        self.share_rates();
    }
}

/// Has the actor send each change, until it stops.
pub(super) async fn watch(rates: Rates, spread: Addr<Spread>) {
    loop {
        rates.changed().await;
        if spread.send(ShareRates).await.is_err() {
            return;
        }
    }
}
