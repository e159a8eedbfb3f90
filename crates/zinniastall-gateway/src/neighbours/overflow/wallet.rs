//! Tokens, need and outcomes of one instance.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_coord::overflow::{Amount, Borrower, Bucket, GRANT_LIFE, Need, Record, Stale};
use zinniastall_model::id;

use super::messages::{self, Grant, MAX_NEEDS, RegionEntry};
use crate::{
    neighbours::datagram::{Key, key},
    view::View,
};

/// Tokens by which this instance sends requests to other regions, and what it counts of them.
#[derive(Debug, Default)]
pub struct Wallet {
    rounds: Borrower<(), ()>,
    buckets: IndexMap<id::Service, IndexMap<id::Region, Lent>>,
    needs: IndexMap<(Key, Key), Need>,
}

/// Tokens of one service and lending region, and what the region did with the requests.
#[derive(Debug)]
struct Lent {
    bucket: Bucket,
    record: Record,
}

impl Wallet {
    /// Replaces the grants by those of a later round.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] for a repeated or reordered message.
    pub fn receive(&mut self, view: &View, grant: &Grant, now: Instant) -> Result<(), Stale> {
        self.rounds.receive((), grant.round, (), GRANT_LIFE, now)?;
        let weight = grant.own_weight(view);
        let named = grant.grants.iter().filter_map(|entry| {
            let service = messages::service(view, entry.0)?;
            let lender = messages::region(view, service, entry.1)?;
            Some((service, lender, entry))
        });
        let mut listed: Vec<(&id::Service, &id::Region)> = Vec::new();
        for (service, lender, entry) in named {
            let rate = entry.amount().part(weight, grant.weight);
            let until = now + Duration::from_millis(u64::from(entry.4));
            let regions = self.buckets.entry(service.clone()).or_default();
            let lent = regions.entry(lender.clone()).or_insert_with(|| Lent {
                bucket: Bucket::new(now),
                record: Record::default(),
            });
            lent.bucket.set(rate, until, now);
            listed.push((service, lender));
        }
        for (service, regions) in &mut self.buckets {
            for (region, lent) in regions {
                if !listed.contains(&(service, region)) {
                    lent.bucket.set(Amount::default(), now, now);
                }
            }
        }
        Ok(())
    }

    /// Returns whether any grant for a service is in force.
    pub fn is_live(&self, service: &str, now: Instant) -> bool {
        let regions = self.buckets.get(service).into_iter().flatten();
        let mut buckets = regions.map(|(_, lent)| &lent.bucket);
        buckets.any(|bucket| bucket.is_live(now))
    }

    /// Returns whether a lending region gets no requests for a while, since it rejected too many.
    pub fn is_paused(&self, service: &str, region: &str, now: Instant) -> bool {
        let regions = self.buckets.get(service);
        let lent = regions.and_then(|regions| regions.get(region));
        lent.is_some_and(|lent| lent.record.is_paused(now))
    }

    /// Takes the tokens of a request with some prefill time, in microseconds, from the permitted
    /// region with the most tokens left; returns the region.
    pub fn take(
        &mut self,
        service: &str,
        work: u64,
        now: Instant,
        is_permitted: impl Fn(&str) -> bool,
    ) -> Option<id::Region> {
        let regions = self.buckets.get_mut(service)?;
        let fit = regions
            .iter_mut()
            .filter(|(region, lent)| !lent.record.is_paused(now) && is_permitted(region));
        let fit = fit.filter_map(|(region, lent)| {
            let allows = lent.bucket.allows(work, now);
            allows.then(|| (lent.bucket.level(now), region, lent))
        });
        let (_, region, lent) = fit.max_by(|one, other| one.0.total_cmp(&other.0))?;
        lent.bucket.take(work, now).then(|| region.clone())
    }

    /// Records what a lending region did with a request; returns whether it gets none for a while.
    pub fn observe(
        &mut self,
        service: &str,
        region: &str,
        is_rejected: bool,
        now: Instant,
    ) -> bool {
        let regions = self.buckets.get_mut(service);
        let lent = regions.and_then(|regions| regions.get_mut(region));
        lent.is_some_and(|lent| lent.record.observe(is_rejected, now))
    }

    /// Records that a request could not be served in this region; `regions` are the keys of those in
    /// which it may run, this one included, or [`messages::ANYWHERE`] for all others.
    pub fn record_need(
        &mut self,
        service: &str,
        regions: impl Iterator<Item = Key>,
        work: u64,
        now: Instant,
    ) {
        for region in regions {
            let need = self.needs.entry((key(service), region)).or_default();
            need.record(work, now);
        }
    }

    /// Returns the need of the last second, the largest first, as many as fit into a message.
    pub fn needs(&mut self, now: Instant) -> Vec<RegionEntry> {
        self.needs.retain(|_, need| !need.sum(now).is_zero());
        let sums = self
            .needs
            .iter_mut()
            .map(|((service, region), need)| RegionEntry::new(*service, *region, need.sum(now)));
        let mut sums: Vec<RegionEntry> = sums.collect();
        sums.sort_by_key(|entry| std::cmp::Reverse(entry.amount().requests));
        sums.truncate(MAX_NEEDS);
        sums
    }
}
