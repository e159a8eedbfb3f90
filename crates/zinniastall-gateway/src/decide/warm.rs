//! How many requests a cold target gets.
//!
//! A target that has just started fails when it gets more than a few requests a second. The bound is
//! on the sum over all instances, which can't be counted in time. So one instance of its region alone
//! may send to a cold target, picked by a hash that all compute alike. Two of them may take
//! themselves for it while their views differ, and the rate is such that both together stay under
//! the bound of one and a half times the rate and three.

use std::time::{Duration, Instant};

/// Part of a target's rate that is used.
const USED: f64 = 0.9;

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
pub struct Pace {
    next: Option<Instant>,
}

impl Pace {
    /// Tells whether a request may be sent now, and counts it if so; `rate_milli` is in thousandths
    /// of a request a second, 0 for no bound.
    ///
    /// The first one waits a turn: another instance may have sent right before this one took over.
    pub fn take(&mut self, rate_milli: u64, now: Instant) -> bool {
        if rate_milli == 0 {
            return true;
        }
        let turn = turn(rate_milli);
        let next = *self.next.get_or_insert(now + turn);
        // A pace that was left alone for long begins anew instead of sending at once.
        if next + turn < now {
            self.next = Some(now + turn);
            return true;
        }
        if next > now {
            return false;
        }
        self.next = Some(next + turn);
        true
    }

    /// Tells whether [`Pace::take`] would send now.
    pub fn is_open(&self, rate_milli: u64, now: Instant) -> bool {
        rate_milli == 0 || self.next.is_some_and(|next| next <= now)
    }
}

/// Time between two requests.
fn turn(rate_milli: u64) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "a rate is far below 2^52")]
    Duration::from_secs_f64(1_000.0 / (rate_milli as f64 * USED))
}
