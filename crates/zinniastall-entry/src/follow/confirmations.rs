//! Gathers confirmations, its own and its followers', for the way back to control.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_model::id;
use zinniastall_wire::follow::Confirmation;

/// Time between two repetitions of everything that is known.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a follower that was not heard is no longer spoken for.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct Entry {
    confirmation: Confirmation,
    last_heard: Instant,
    is_unsent: bool,
}

/// Confirmations on their way back.
#[derive(Debug, Default)]
pub struct Collector {
    entries: IndexMap<id::Instance, Entry>,
    last_repeat: Option<Instant>,
}

impl Collector {
    /// Notes a follower's confirmation; what an earlier run of it says late is dropped.
    pub fn record(&mut self, confirmation: Confirmation, now: Instant) {
        let held = self.entries.get(&confirmation.instance);
        let order = |entry: &Confirmation| (entry.incarnation, entry.revision);
        if held.is_some_and(|held| order(&confirmation) < order(&held.confirmation)) {
            return;
        }
        let unchanged = held.filter(|held| held.confirmation == confirmation);
        let is_unsent = unchanged.is_none_or(|held| held.is_unsent);
        let entry = Entry {
            confirmation,
            last_heard: now,
            is_unsent,
        };
        self.entries
            .insert(entry.confirmation.instance.clone(), entry);
    }

    /// Takes what is new, or from time to time everything; a new link is told everything at once.
    pub fn take(&mut self, now: Instant, new_link: bool) -> Vec<Confirmation> {
        self.entries
            .retain(|_, entry| now < entry.last_heard + FOLLOWER_TIMEOUT);
        let due = self
            .last_repeat
            .is_none_or(|last_repeat| now >= last_repeat + REPEAT_INTERVAL);
        let send_all = due || new_link;
        if send_all {
            self.last_repeat = Some(now);
        }
        let mut taken = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.is_unsent || send_all {
                entry.is_unsent = false;
                taken.push(entry.confirmation.clone());
            }
        }
        taken
    }
}
