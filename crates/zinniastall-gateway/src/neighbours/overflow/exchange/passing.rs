//! Passes grants on to the instances of this region.

use std::time::Instant;

use zinniastall_coord::overflow::TAKEOVER;
use zinniastall_model::presence::Presence;

use super::{Exchange, Inputs, slowness};
use crate::{
    neighbours::{
        Outgoing,
        collector::collectors,
        datagram::{Datagram, Round, key},
        overflow::messages::{Grant, GrantEntry, MAX_GRANTS},
    },
    view::View,
};

impl Exchange {
    /// Passes grants on to the zone; the second collector does so only while the first is silent.
    pub(super) fn relay(&mut self, view: &View, grant: Grant, now: Instant) {
        let zone = &view.place.zone;
        let members = view.instances.in_region(&view.place.region);
        let members: Vec<&Presence> = members.filter(|held| held.place.zone == *zone).collect();
        let collectors = collectors(members.clone(), zone);
        let is_heard = |at| now.saturating_duration_since(at) < TAKEOVER;
        let acts = match collectors.iter().position(|name| *name == view.instance) {
            Some(0) => true,
            Some(_) => !self.passed_on_at.is_some_and(is_heard),
            None => false,
        };
        if !acts {
            return;
        }
        let others = members.iter().filter(|held| held.instance != view.instance);
        self.relayed.push(Outgoing {
            to: others.map(|held| held.instance.clone()).collect(),
            datagram: Datagram::RegionGrant(Grant {
                for_all: false,
                ..grant
            }),
        });
    }

    /// Passes the grants of other regions on to the instances of this one.
    pub(super) fn pass_on(
        &mut self,
        inputs: &Inputs<'_>,
        round: Round,
        now: Instant,
    ) -> Vec<Outgoing> {
        let view = inputs.view;
        if !round.is_multiple_of(slowness(view)) {
            return Vec::new();
        }
        let mut grants = Vec::new();
        for (lender, told, until) in self.told.grants(now) {
            let left = until.saturating_duration_since(now).as_millis();
            let left = u32::try_from(left).unwrap_or(u32::MAX);
            let entries = told.grants.iter().filter(|(_, amount)| !amount.is_zero());
            grants.extend(entries.map(|(service, amount)| {
                GrantEntry(*service, key(lender), amount.work, amount.requests, left)
            }));
        }
        // One message without grants ends those that were passed on.
        if grants.is_empty() && !std::mem::take(&mut self.has_passed_on) {
            return Vec::new();
        }
        self.has_passed_on = !grants.is_empty();
        grants.sort_by_key(|entry| std::cmp::Reverse(entry.3));
        grants.truncate(MAX_GRANTS);
        let members = view.instances.ready_in(&view.place.region);
        let capacities = members.map(|member| u64::from(member.capacity));
        let capacities: Vec<u64> = capacities.collect();
        let by_capacity = capacities.iter().all(|capacity| *capacity > 0);
        let weight = if by_capacity {
            capacities.iter().sum()
        } else {
            capacities.len() as u64
        };
        let grant = Grant {
            round,
            for_all: false,
            weight: weight.max(1),
            by_capacity,
            grants,
        };
        let mut wallet = inputs.overflow.wallet.borrow_mut();
        // Its own rounds are in order, but for those of another leader that acted at once.
        let _ = wallet.receive(view, &grant, now);
        drop(wallet);
        let zone = view
            .instances
            .in_region(&view.place.region)
            .filter(|member| {
                member.place.zone == view.place.zone && member.instance != view.instance
            });
        let others = Grant {
            for_all: true,
            ..grant.clone()
        };
        let own = Outgoing {
            to: zone.map(|member| member.instance.clone()).collect(),
            datagram: Datagram::RegionGrant(grant),
        };
        let others = Outgoing {
            to: self.leaders.zone_collectors().cloned().collect(),
            datagram: Datagram::RegionGrant(others),
        };
        vec![own, others]
    }
}
