//! How many requests a cold target gets.
//!
//! A target that has just started fails when it gets more than a few requests a second. The bound is
//! on the sum over all instances, which can't be counted in time. So one instance of its region alone
//! may send to a cold target, picked by a hash that all compute alike. Two of them may take
//! themselves for it while their views differ, and the rate is such that both together stay under
//! the bound of one and a half times the rate and three.

use std::time::{Duration, Instant};

/// Part of a target's rate that is used. Two senders at nine tenths each pass one and a half times a rate of
/// 20 and three, 33 a second, by three; at seven tenths they stay under it at any rate.
const RATE_SHARE: f64 = 0.7;

/// Returns which of the instances may send to a cold target.
pub fn sender<'a>(target: &str, instances: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    instances.max_by_key(|instance| weight(target, instance))
}

/// Weight of a pair in rendezvous hashing: the pair with the greatest weight wins, and a member that
/// joins or leaves moves only what it wins or held.
pub fn weight(key: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_bytes());
    let mut first = [0; 8];
    hasher.finalize_xof().fill(&mut first);
    u64::from_le_bytes(first)
}

/// The pace at which one instance sends to one cold target.
#[derive(Debug, Default)]
pub struct Pacer {
    next: Option<Instant>,
}

impl Pacer {
    /// Tells whether a request may be sent now; `rate_milli` is in thousandths of a request a second, 0 for
    /// no bound.
    ///
    /// The first look begins the pace, and the first request waits a turn from then: another instance may
    /// have sent right before this one took over.
    pub fn is_ready(&mut self, rate_milli: u64, now: Instant) -> bool {
        rate_milli == 0 || *self.next.get_or_insert(now + interval(rate_milli)) <= now
    }

    /// Counts a request if one may be sent now; tells whether it may.
    pub fn try_acquire(&mut self, rate_milli: u64, now: Instant) -> bool {
        if !self.is_ready(rate_milli, now) {
            return false;
        }
        if rate_milli == 0 {
            return true;
        }
        if let Some(next) = self.next {
            let interval = interval(rate_milli);
            // A pace that was left alone for long begins anew instead of sending at once what it saved.
            let is_overdue = next + interval < now;
            self.next = Some(if is_overdue { now } else { next } + interval);
        }
        true
    }
}

/// Time between two requests.
fn interval(rate_milli: u64) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "a rate is far below 2^52")]
    Duration::from_secs_f64(1_000.0 / (rate_milli as f64 * RATE_SHARE))
}
