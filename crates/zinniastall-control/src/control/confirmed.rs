//! Tracks which revision is in force at each entry instance.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_model::{id, state::State};
use zinniastall_wire::follow::Confirmation;

/// The latest confirmation of an instance.
#[derive(Debug, Clone)]
struct Latest {
    confirmation: Confirmation,
    heard: Instant,
}

/// Latest known confirmation of each entry instance.
///
/// The table is not replicated. Instances repeat their confirmations, so a new leader learns them
/// soon; until then it reports those instances as missing, which is the safe side.
#[derive(Debug, Default)]
pub struct Confirmed {
    latest: IndexMap<id::Instance, Latest>,
    unsent: IndexSet<id::Instance>,
}

impl Confirmed {
    /// Records a member's confirmation; ignores one that is older than the recorded one or comes
    /// from an earlier incarnation.
    pub fn note(&mut self, confirmation: Confirmation, now: Instant) {
        let instance = confirmation.instance.clone();
        if let Some(latest) = self.latest.get(&instance) {
            let held = &latest.confirmation;
            let is_late = (confirmation.incarnation, confirmation.revision)
                < (held.incarnation, held.revision);
            if is_late {
                return;
            }
        }
        self.unsent.insert(instance.clone());
        let latest = Latest {
            confirmation,
            heard: now,
        };
        self.latest.insert(instance, latest);
    }

    /// Removes instances that are no longer members, so that replaced instances leave no entries
    /// behind.
    pub fn retain(&mut self, state: &State) {
        self.latest
            .retain(|instance, _| state.members.contains_key(instance));
        self.unsent
            .retain(|instance| state.members.contains_key(instance));
    }

    /// Returns the members that have not confirmed a revision. Revision 0 is in force everywhere
    /// from the start, so no member is missing for it.
    pub fn missing(&self, state: &State, revision: id::Revision) -> Vec<id::Instance> {
        let confirmed = |instance: &id::Instance| {
            let latest = self.latest.get(instance);
            revision == 0 || latest.is_some_and(|latest| latest.confirmation.revision >= revision)
        };
        let mut members = state.members.keys();
        members
            .by_ref()
            .filter(|instance| !confirmed(instance))
            .cloned()
            .collect()
    }

    /// Returns an instance's latest confirmation and its age.
    pub fn latest(&self, instance: &str, now: Instant) -> Option<(&Confirmation, Duration)> {
        let latest = self.latest.get(instance)?;
        let age = now.saturating_duration_since(latest.heard);
        Some((&latest.confirmation, age))
    }

    /// Returns the confirmations received since the last call, to be forwarded to the leader.
    pub fn take_unsent(&mut self) -> Vec<Confirmation> {
        let unsent = std::mem::take(&mut self.unsent);
        let latest = unsent
            .iter()
            .filter_map(|instance| self.latest.get(instance));
        latest.map(|latest| latest.confirmation.clone()).collect()
    }
}
