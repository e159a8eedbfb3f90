//! Applies the shares of client accounts in scarce capacity to requests.

use std::time::Instant;

use rand::Rng;
use zinniastall_model::routing::Table;

use super::{
    Proxy,
    answer::Refusal,
    job::{Charge, Job},
};
use crate::decide::{
    fair_share::{Draw, Known, Member, Members, Pressure, Shares, Unit},
    quota,
};

/// Weight of every account: routing tables state none.
const WEIGHT: u32 = 1;

impl Proxy {
    /// Rejects a request if its account exceeds its share; `admission` is the random number by which
    /// the quota admitted it.
    pub(super) fn check_share(
        &self,
        job: &Job,
        charge: Charge,
        admission: f64,
    ) -> Result<(), (Refusal, &'static str)> {
        if !self.has_shares() {
            return Ok(());
        }
        let now = Instant::now();
        let mut shares = self.shares.borrow_mut();
        let pressure = shares.pressure(now);
        let is_scarce = pressure.strength > 0.0;
        if !is_scarce || !self.update_shares(&mut shares, pressure, job.table(), charge, now) {
            return Ok(());
        }
        let draw = Draw {
            admission,
            spread: rand::rng().random(),
        };
        let unit = Unit::from(charge.quota.unit);
        let admitted = shares.admit(unit, charge.account, draw, now);
        admitted.map_err(|exceeded| {
            let account = job.account().map_or("", |account| account.name.as_str());
            self.metrics.count_share_exceeded(account);
            self.request_log.share_exceeded(job, charge, exceeded);
            (
                Refusal::Busy(exceeded.retry_after),
                "its account exceeds its share of scarce capacity",
            )
        })
    }

    /// Counts a request for which a target will be sought.
    pub(super) fn record_room_asked(&self, job: &Job) {
        if self.has_shares() && !job.is_passed_on {
            self.shares.borrow_mut().record_request(Instant::now());
        }
    }

    /// Counts a request that was rejected for lack of room.
    pub(super) fn record_no_room(&self, job: &Job) {
        if self.has_shares() && !job.is_passed_on {
            self.shares.borrow_mut().record_rejection(Instant::now());
        }
    }

    fn has_shares(&self) -> bool {
        self.state.view().load_control.fair_shares
    }

    /// Brings the division up to the totals heard last; returns whether they are current.
    fn update_shares(
        &self,
        shares: &mut Shares,
        pressure: Pressure,
        table: &Table,
        charge: Charge,
        now: Instant,
    ) -> bool {
        let unit = Unit::from(charge.quota.unit);
        let mut quotas = self.quotas.borrow_mut();
        let Some((_, heard_at)) = quotas.totals(now) else {
            return false;
        };
        if !shares.is_outdated(unit, heard_at) {
            return true;
        }
        let own = quotas.usage(now);
        let Some((totals, heard_at)) = quotas.totals(now) else {
            return false;
        };
        let known = Known {
            totals,
            heard_at,
            own: &own,
            pressure,
        };
        shares.update(unit, &members(table, unit), known);
        true
    }
}

/// Returns the accounts whose quotas have a unit.
fn members(table: &Table, unit: Unit) -> Members {
    let accounts = table.accounts.iter().flatten();
    let members = accounts.filter_map(|account| {
        let quota = account.quota?;
        let member = Member {
            weight: WEIGHT,
            rate: quota.rate,
        };
        (Unit::from(quota.unit) == unit).then(|| (quota::key(&account.name), member))
    });
    members.collect()
}
