//! Slots of targets that bear few rejections, as their coordinator lends them.
//!
//! Such a target rejects what it can't start, so no more requests may be at it than it has slots. The
//! coordinator lends a slot for each request, until the request ends or its time is up.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Longest time for which a slot is lent. A lost return costs the slot for no longer.
const MAX_LOAN: Duration = Duration::from_secs(30);
/// Time for which requests count that were at a target before this instance coordinated it.
const FORMER_LOAN: Duration = Duration::from_secs(2);
/// Maximum number of targets; an instance coordinates a part of its region's.
const MAX_TARGETS: usize = 4_096;

/// Slots lent to requests, by target; `H` identifies a request.
#[derive(Debug)]
pub struct Slots<H> {
    targets: IndexMap<String, Loans<H>>,
}

#[derive(Debug)]
struct Loans<H> {
    held: IndexMap<H, Instant>,
    /// Requests that were at the target before, and until when they count.
    former: (u32, Instant),
}

impl<H> Default for Slots<H> {
    fn default() -> Self {
        Self {
            targets: IndexMap::new(),
        }
    }
}

impl<H: std::hash::Hash + Eq> Slots<H> {
    /// Lends a slot of a target to a request, for a time at most, and returns whether one was free.
    ///
    /// `former` is the number of requests that are known to be at the target; it counts if this
    /// instance is asked for the target the first time.
    pub fn lend(
        &mut self,
        target: &str,
        holder: H,
        (slots, former): (u32, u32),
        time: Duration,
        now: Instant,
    ) -> bool {
        if !self.targets.contains_key(target) {
            if self.targets.len() >= MAX_TARGETS {
                return false;
            }
            let loans = Loans {
                held: IndexMap::new(),
                former: (former, now + FORMER_LOAN),
            };
            self.targets.insert(target.to_owned(), loans);
        }
        let loans = &mut self.targets[target];
        loans.held.retain(|_, until| *until > now);
        let former = if loans.former.1 > now {
            loans.former.0 as usize
        } else {
            0
        };
        if loans.held.contains_key(&holder) {
            return true;
        }
        if loans.held.len() + former >= slots as usize {
            return false;
        }
        loans.held.insert(holder, now + time.min(MAX_LOAN));
        true
    }

    /// Takes a slot back, because its request has ended.
    pub fn take_back(&mut self, target: &str, holder: &H) {
        if let Some(loans) = self.targets.get_mut(target) {
            loans.held.swap_remove(holder);
        }
    }

    /// Forgets the targets that this instance no longer coordinates.
    pub fn retain(&mut self, coordinates: impl Fn(&str) -> bool) {
        self.targets.retain(|target, _| coordinates(target));
    }
}
