//! Collects the confirmations of this instance and its followers, to be sent to control.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_model::id;
use zinniastall_wire::follow::Confirmation;

/// Interval at which all confirmations are sent again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);
/// Silence after which a follower is no longer reported.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct Entry {
    confirmation: Confirmation,
    last_heard: Instant,
    is_unsent: bool,
}

/// Confirmations to be sent to control.
#[derive(Debug, Default)]
pub struct Collector {
    entries: IndexMap<id::Instance, Entry>,
    last_repeat: Option<Instant>,
}

impl Collector {
    /// Records a confirmation, unless it is outdated, such as a late one from an earlier run.
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

    /// Returns the confirmations to send: the new ones, or all of them if the link is new or a
    /// repetition is due.
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
