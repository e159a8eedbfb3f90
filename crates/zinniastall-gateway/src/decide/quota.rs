//! How much of a client account's quota this instance may use.
//!
//! A quota holds over all instances together. Asking one place for each request would cost every request a trip,
//! often to another region, and would refuse all of them whenever that place can't be reached. So each instance
//! counts what its callers ask for, hears several times a second what all instances were asked for and let in
//! ([`Totals`]), and decides alone:
//!
//! - A quota is what may be used within any window: the rate times its length, and the burst. As long as something
//!   of the last window is left, everything is let in. What is left is worked out here from the totals.
//! - Beyond that, each instance lets the same part of the requests in: what leaves the window, by what all are
//!   asked for.
//! - Instances that fell silent may go on by themselves. What they may use at most is reserved for them: what
//!   they used last, and their share of what was left of the rate then. Whoever hears no totals keeps to just
//!   that. Meanwhile only a part of the burst is let in beyond the rate, so that both sides together keep to the
//!   quota.
//! - Where nobody knows what was used within the last window, as after a loss of all power, an account that asks for
//!   about its rate is let in, and one that asks for more gets little until that window is over.
//!
//! Totals are some tenths of a second old. What is let in too much meanwhile is paid back: what is left goes below
//! zero, and less is let in until it is back.

mod history;
mod meter;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_model::routing::Quota;

pub use self::meter::Usage;
use self::{
    history::History,
    meter::{Meter, RATE_WINDOW},
};
use super::slow_start;

/// What all instances together were asked for and let in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Total {
    /// Sum over the instances that are heard.
    pub usage: Usage,
    /// What instances that fell silent may use, in units a second.
    pub reserved: u64,
    /// What was used within the last window, where the sender knows all of it.
    pub window_usage: Option<u64>,
}

/// A client account, as instances name it among themselves: a hash of its name. Where two accounts share one, each
/// counts for the other's use as well.
pub type Key = u32;

/// Totals by client account.
pub type Totals = IndexMap<Key, Total>;

/// Usages by client account.
pub type Usages = IndexMap<Key, Usage>;

/// Age up to which totals count as those of now.
const MAX_TOTALS_AGE: Duration = Duration::from_millis(700);
/// Part of the burst that is let in at once where the last window isn't known. The rest is for what totals don't
/// show yet.
const BURST_SHARE: f64 = 0.5;
/// How many times the rate an account may ask for, beside a quarter of its burst and half of the slack, to be let in where
/// nobody knows the last window: at that pace it stays about within its quota whatever it used before.
const MODERATE_RATE_FACTOR: f64 = 1.2;
/// Part of the rate that is let in beyond that: it may have used up its quota right before.
const EXCESSIVE_RATE_SHARE: f64 = 0.15;
/// Least time over which what was asked for right after a start is taken for a rate.
const MIN_COUNTED_SPAN: Duration = Duration::from_millis(200);
/// Time within which what was let in too much is paid back.
const REPAYMENT_TIME: Duration = Duration::from_secs(2);
/// Most that is paid back, in seconds of the rate.
const MAX_DEBT_SECONDS: f64 = 2.0;
/// Shortest and longest time after which a request beyond the quota should come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(3));
/// Instances that are taken to share quotas at least, before it is known how many do.
const MIN_INSTANCES: usize = 2;
/// Time after its last request for which an account is remembered.
const ACCOUNT_TTL: Duration = Duration::from_mins(1);

/// How quotas are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// Window within which the rate times its length and the burst may be used.
    pub window: Duration,
    /// Units by which that may be exceeded, whatever the quota.
    pub slack: u64,
}

impl Default for Bound {
    /// Eight seconds, exactly.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            slack: 0,
        }
    }
}

/// What one instance counts of its own callers, and knows of all, by client account.
#[derive(Debug)]
pub struct Quotas {
    bound: Bound,
    accounts: IndexMap<Key, Account>,
    /// What all used within the last window, of accounts that any caller used.
    histories: IndexMap<Key, History>,
    totals: Totals,
    /// When totals were heard first and last.
    totals_heard: Option<(Instant, Instant)>,
    instances: usize,
}

#[derive(Debug)]
struct Account {
    quota: Quota,
    meter: Meter,
    /// What is left of the burst that is let in where the last window isn't known, in units; below zero for what
    /// was let in too much.
    balance: f64,
    /// Own use when totals were last heard.
    used_at_last_totals: u64,
    last_request: Instant,
}

/// A request's claim on a quota.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// Units.
    pub cost: u64,
    /// A random number from 0 to 1.
    pub draw: f64,
}

/// Returns the key of an account.
#[expect(
    clippy::cast_possible_truncation,
    reason = "half of the hash is enough for some hundred accounts"
)]
pub fn key(account: &str) -> Key {
    slow_start::weight(account, "") as Key
}

/// Why a request is beyond its account's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// Time after which it should come back.
    pub retry_after: Duration,
    /// What all instances are known to have been asked for and to have let in.
    pub total: Total,
    /// What was used within the last window, as far as it is known.
    pub window_usage: u64,
    /// Part of such requests that is let in.
    pub admitted_fraction: f64,
}

impl Quotas {
    /// Creates counts by which a bound is held.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            accounts: IndexMap::new(),
            histories: IndexMap::new(),
            totals: Totals::new(),
            totals_heard: None,
            instances: 0,
        }
    }

    /// Lets a request in, or tells after which time it should come back.
    ///
    /// # Errors
    ///
    /// [`Excess`] says on which grounds.
    pub fn admit(
        &mut self,
        key: Key,
        quota: &Quota,
        claim: Claim,
        now: Instant,
    ) -> Result<(), Excess> {
        let admitted_fraction = self.admitted_fraction(key, quota, claim.cost, now);
        if claim.draw < admitted_fraction {
            let account = self.account(key, quota, now);
            account.meter.add_used(claim.cost, now);
            return Ok(());
        }
        // A request in so many is let in; callers that come back spread out have that chance each time.
        let rounds = RETRY_AFTER
            .0
            .div_duration_f64(RETRY_AFTER.1)
            .max(admitted_fraction);
        let retry_after = RETRY_AFTER.0.div_f64(rounds).min(RETRY_AFTER.1);
        Err(Excess {
            retry_after: retry_after.mul_f64(0.75 + 0.5 * claim.draw),
            total: self.totals.get(&key).copied().unwrap_or_default(),
            window_usage: self
                .histories
                .get(&key)
                .map_or(0, |history| to_units(history.sum())),
            admitted_fraction,
        })
    }

    /// Counts a request and returns the part of such requests that may be let in now.
    fn admitted_fraction(&mut self, key: Key, quota: &Quota, cost: u64, now: Instant) -> f64 {
        let is_fresh = |last: Instant| now.saturating_duration_since(last) < MAX_TOTALS_AGE;
        let is_known = self.totals_heard.is_some_and(|(_, last)| is_fresh(last));
        let total = self.totals.get(&key).copied().unwrap_or_default();
        let instances = self.instances.max(MIN_INSTANCES);
        let account = self.account(key, quota, now);
        account.meter.add_asked(cost, now);
        let own = account.meter.usage(now);
        if !is_known {
            let unused = quota.rate.saturating_sub(total.usage.used);
            let share = as_f64(unused) / as_f64(instances as u64);
            return (as_f64(account.used_at_last_totals) + share) / as_f64(own.asked.max(1));
        }
        let asked = as_f64(total.usage.asked.max(own.asked).max(1));
        if total.reserved > 0 {
            return account
                .allowed_with_reserved(total)
                .map_or(1.0, |allowed| allowed / asked);
        }
        let first = self.totals_heard.map_or(now, |(first, _)| first);
        let empty = History::new(first);
        let history = self.histories.get(&key).unwrap_or(&empty);
        if history.is_complete(self.bound.window, now) {
            let allowed = history.allowed(quota, total, self.bound, now);
            return allowed.map_or(1.0, |allowed| allowed / asked);
        }
        // Right after a start a part of a second was counted.
        let counted = now
            .saturating_duration_since(first)
            .clamp(MIN_COUNTED_SPAN, RATE_WINDOW);
        let counted = counted.as_secs_f64();
        let tolerated = self.bound.slack / 2 + quota.burst / 4;
        let before = as_f64(total.usage.asked.max(own.asked.saturating_sub(cost)));
        if before <= as_f64(quota.rate) * MODERATE_RATE_FACTOR * counted + as_f64(tolerated) {
            return 1.0;
        }
        as_f64(quota.rate) * EXCESSIVE_RATE_SHARE * counted / asked
    }

    /// Returns what was used of a quota within the last window, where all of it is known.
    pub fn window_usage(&self, key: Key, now: Instant) -> Option<u64> {
        let history = self.histories.get(&key)?;
        history
            .is_complete(self.bound.window, now)
            .then(|| to_units(history.sum()))
    }

    /// Gives back what a request was let in for, since it has not run.
    pub fn refund(&mut self, key: Key, cost: u64, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&key) {
            account.meter.refund(cost, now);
        }
    }

    /// Notes how many instances share quotas.
    pub const fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
    }

    /// Takes the totals over all instances.
    pub fn update_totals(&mut self, totals: Totals, now: Instant) {
        let (first, last) = self.totals_heard.unwrap_or((now, now));
        let since = now
            .saturating_duration_since(last)
            .min(RATE_WINDOW)
            .as_secs_f64();
        for (key, account) in &mut self.accounts {
            let total = totals.get(key).copied().unwrap_or_default();
            account.settle(total, since, now);
        }
        self.record_totals(&totals, since, first, now);
        self.accounts
            .retain(|_, account| now.saturating_duration_since(account.last_request) < ACCOUNT_TTL);
        self.totals = totals;
        self.totals_heard = Some((first, now));
    }

    /// Notes what all used since totals were heard last.
    fn record_totals(&mut self, totals: &Totals, since: f64, first: Instant, now: Instant) {
        for (key, total) in totals {
            let history = self
                .histories
                .entry(*key)
                .or_insert_with(|| History::new(first));
            let used = total.usage.used.saturating_add(total.reserved);
            history.add(as_f64(used) * since, now);
            if let Some(reported) = total.window_usage {
                history.adopt(as_f64(reported), self.bound.window, now);
            }
        }
        for history in self.histories.values_mut() {
            history.expire(self.bound.window, now);
        }
        self.histories
            .retain(|key, history| !history.is_empty() || totals.contains_key(key));
    }

    /// Returns what callers of this instance asked for and were let in for.
    pub fn usage(&mut self, now: Instant) -> Usages {
        let accounts = self.accounts.iter_mut();
        let usages = accounts.map(|(key, account)| (*key, account.meter.usage(now)));
        usages.filter(|(_, usage)| usage.asked > 0).collect()
    }

    fn account(&mut self, key: Key, quota: &Quota, now: Instant) -> &mut Account {
        if !self.accounts.contains_key(&key) {
            let total = self.totals.get(&key).copied().unwrap_or_default();
            let is_below = total.usage.asked <= quota.rate.saturating_sub(total.reserved);
            // Whoever has just started can't know what was let in before.
            let has_full_rate_window =
                |(first, _)| now.saturating_duration_since(first) >= RATE_WINDOW;
            let keeps_burst = is_below && self.totals_heard.is_some_and(has_full_rate_window);
            let balance = if keeps_burst {
                burst_allowance(quota, total)
            } else {
                0.0
            };
            self.accounts
                .insert(key, Account::new(*quota, balance, now));
        }
        let account = &mut self.accounts[&key];
        account.quota = *quota;
        account.last_request = now;
        account
    }
}

impl Account {
    fn new(quota: Quota, balance: f64, now: Instant) -> Self {
        Self {
            balance,
            quota,
            meter: Meter::default(),
            used_at_last_totals: 0,
            last_request: now,
        }
    }

    /// Returns what may be let in beside what is reserved for silent instances, in units a second; `None` for all.
    fn allowed_with_reserved(&self, total: Total) -> Option<f64> {
        if self.balance > 0.0 {
            return None;
        }
        let rate = as_f64(self.quota.rate.saturating_sub(total.reserved));
        Some((rate + self.balance / REPAYMENT_TIME.as_secs_f64()).max(0.0))
    }

    fn settle(&mut self, total: Total, since: f64, now: Instant) {
        let rate = as_f64(self.quota.rate);
        let gained = rate - as_f64(total.reserved) - as_f64(total.usage.used);
        let balance = self.balance + gained * since;
        self.balance = balance.clamp(
            -MAX_DEBT_SECONDS * rate,
            burst_allowance(&self.quota, total),
        );
        self.used_at_last_totals = self.meter.usage(now).used;
    }
}

/// Returns how much of a burst is let in at once, at most. Of what silent instances may use, they have their part.
fn burst_allowance(quota: &Quota, total: Total) -> f64 {
    let unreserved = as_f64(quota.rate.saturating_sub(total.reserved)) / as_f64(quota.rate.max(1));
    as_f64(quota.burst) * BURST_SHARE * unreserved
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped"
)]
const fn to_units(units: f64) -> u64 {
    units.clamp(0.0, 1e15) as u64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "units that 52 bits don't hold are beyond any quota"
)]
const fn as_f64(units: u64) -> f64 {
    units as f64
}
