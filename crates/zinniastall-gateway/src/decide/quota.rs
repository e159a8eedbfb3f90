//! Decides how much of a client account's quota this instance may use.
//!
//! A quota holds for all instances together. Asking a single place about each request would cost
//! every request a round trip, often to another region, and would refuse all requests while that
//! place is unreachable. Instead, each instance counts the requests of its callers, hears several
//! times a second what all instances were asked for and admitted ([`Totals`]), and decides alone:
//!
//! - A quota limits the use within any window to the rate times the window's length plus the burst.
//!   As long as part of that is left in the current window, everything is admitted. What is left is
//!   computed here from the totals.
//! - Beyond that, all instances admit the same fraction of the requests: the use that leaves the
//!   window, divided by the total demand.
//! - Instances that fell silent may continue on their own. The most that they may use is reserved
//!   for them: their last use, and their share of the rate that was unused at that time. An
//!   instance that hears no totals keeps to exactly that. Meanwhile only part of the burst is
//!   admitted beyond the rate, so that both sides together keep the quota.
//! - If nobody knows the use within the last window, such as after a loss of all power, an account
//!   that demands about its rate is admitted, and one that demands more is mostly refused until
//!   that window has passed.
//!
//! Totals are some tenths of a second old. What is admitted in excess meanwhile is paid back: the
//! remainder becomes negative, and less is admitted until it recovers.

mod history;
mod meter;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_coord::rendezvous;
use zinniastall_model::routing::Quota;

pub use self::meter::Usage;
use self::{
    history::History,
    meter::{Meter, RATE_WINDOW},
};

/// Demand and use of an account, over all instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Total {
    /// Sum over the instances that are heard.
    pub usage: Usage,
    /// Units per second that instances which fell silent may use.
    pub reserved: u64,
    /// Units used within the last window, if the sender knows all of it.
    pub window_usage: Option<u64>,
}

/// A client account as instances name it among themselves: a hash of its name. Two accounts that
/// share a key each count the other's use as well.
pub type Key = u32;

/// Totals by client account.
pub type Totals = IndexMap<Key, Total>;

/// Usages by client account.
pub type Usages = IndexMap<Key, Usage>;

/// Age up to which totals count as current.
const MAX_TOTALS_AGE: Duration = Duration::from_millis(700);
/// Share of the burst that is admitted at once if the last window is unknown. The rest covers use
/// that the totals don't show yet.
const BURST_SHARE: f64 = 0.5;
/// Multiple of the rate up to which an account is admitted in full while nobody knows the last
/// window, in addition to a quarter of its burst and half of the slack. At that pace it stays about
/// within its quota, whatever it used before.
const MODERATE_RATE_FACTOR: f64 = 1.2;
/// Share of the rate that is admitted beyond that, since the account may have used up its quota
/// just before.
const EXCESSIVE_RATE_SHARE: f64 = 0.15;
/// Shortest time over which the demand after a start is taken as a rate.
const MIN_COUNTED_SPAN: Duration = Duration::from_millis(200);
/// Time within which excess use is paid back.
const REPAYMENT_TIME: Duration = Duration::from_secs(2);
/// Largest excess that is paid back, in seconds of the rate.
const MAX_DEBT_SECONDS: f64 = 2.0;
/// Shortest and longest time after which a request beyond the quota should retry.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(3));
/// Least number of instances assumed to share quotas, until their number is known.
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
    /// Returns a window of eight seconds without slack.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            slack: 0,
        }
    }
}

/// Quota state of one instance: the demand of its own callers and the totals over all instances, by
/// client account.
#[derive(Debug)]
pub struct Quotas {
    bound: Bound,
    accounts: IndexMap<Key, Account>,
    /// Use by all instances within the last window, for accounts in use.
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
    /// Units left of the burst that is admitted while the last window is unknown; negative after
    /// excess use.
    balance: f64,
    /// This instance's use when totals were last heard.
    used_at_last_totals: u64,
    last_request: Instant,
}

/// A request's claim on a quota.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// Cost in units of the quota.
    pub cost: u64,
    /// A random number from 0 to 1, which decides whether the request is within the admitted
    /// fraction.
    pub draw: f64,
}

/// Returns the key of an account.
#[expect(
    clippy::cast_possible_truncation,
    reason = "half of the hash is enough for some hundred accounts"
)]
pub fn key(account: &str) -> Key {
    rendezvous::weight(account, "") as Key
}

/// Details of a request beyond its account's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// Time after which it should retry.
    pub retry_after: Duration,
    /// Demand and use of all instances, as far as they are known.
    pub total: Total,
    /// Units used within the last window, as far as they are known.
    pub window_usage: u64,
    /// Fraction of such requests that is admitted.
    pub admitted_fraction: f64,
}

impl Quotas {
    /// Creates an empty state that enforces `bound`.
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

    /// Admits a request, or returns the time after which it should retry.
    ///
    /// # Errors
    ///
    /// Returns [`Excess`] with the figures behind the decision if the request is beyond the quota.
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
        // Only a fraction is admitted; callers whose retries are spread out have that chance each
        // time.
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

    /// Counts a request and returns the fraction of such requests that may be admitted now.
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
        // Just after a start less than a full second has been counted.
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

    /// Returns the totals over all instances and when they were heard, if they are current.
    pub fn totals(&self, now: Instant) -> Option<(&Totals, Instant)> {
        let (_, heard_at) = self.totals_heard?;
        let is_current = now.saturating_duration_since(heard_at) < MAX_TOTALS_AGE;
        is_current.then_some((&self.totals, heard_at))
    }

    /// Returns the units used within the last window, if all of it is known.
    pub fn window_usage(&self, key: Key, now: Instant) -> Option<u64> {
        let history = self.histories.get(&key)?;
        history
            .is_complete(self.bound.window, now)
            .then(|| to_units(history.sum()))
    }

    /// Refunds the units of a request that has not run.
    pub fn refund(&mut self, key: Key, cost: u64, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&key) {
            account.meter.refund(cost, now);
        }
    }

    /// Sets the number of instances that share quotas.
    pub const fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
    }

    /// Replaces the totals over all instances.
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

    /// Adds the use by all instances since the previous totals.
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

    /// Returns the demand and use of this instance's callers.
    pub fn usage(&mut self, now: Instant) -> Usages {
        let accounts = self.accounts.iter_mut();
        let usages = accounts.map(|(key, account)| (*key, account.meter.usage(now)));
        usages.filter(|(_, usage)| usage.asked > 0).collect()
    }

    fn account(&mut self, key: Key, quota: &Quota, now: Instant) -> &mut Account {
        if !self.accounts.contains_key(&key) {
            let total = self.totals.get(&key).copied().unwrap_or_default();
            let is_below = total.usage.asked <= quota.rate.saturating_sub(total.reserved);
            // An instance that has just started cannot know what was admitted before.
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

    /// Returns the units per second that may be admitted beside those reserved for silent
    /// instances, or `None` for no limit.
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

/// Returns the most of a burst that is admitted at once. Silent instances keep their part of it.
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
