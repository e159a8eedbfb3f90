//! What is in force at each entry instance.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_model::{id, state::State};
use zinniastall_wire::follow::Confirmation;

/// An instance's last word.
#[derive(Debug, Clone)]
struct Latest {
    confirmation: Confirmation,
    heard: Instant,
}

/// What is in force at each entry instance, as far as it is known here.
///
/// It is not replicated: instances repeat their confirmation, so that a new leader knows soon, and
/// until it does it names them as missing, which is the safe side.
#[derive(Debug, Default)]
pub struct Confirmed {
    latest: IndexMap<id::Instance, Latest>,
    unsent: IndexSet<id::Instance>,
}

impl Confirmed {
    /// Notes a confirmation of a member; what an earlier run of it says late is dropped.
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

    /// Forgets instances that are no members any more, so that replaced ones leave no residue.
    pub fn retain(&mut self, state: &State) {
        self.latest
            .retain(|instance, _| state.members.contains_key(instance));
        self.unsent
            .retain(|instance| state.members.contains_key(instance));
    }

    /// Returns the members that have not confirmed a revision; for revision 0, which is in force
    /// everywhere from the start, there are none.
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

    /// Returns an instance's last word and how long ago it was heard.
    pub fn latest(&self, instance: &str, now: Instant) -> Option<(&Confirmation, Duration)> {
        let latest = self.latest.get(instance)?;
        let age = now.saturating_duration_since(latest.heard);
        Some((&latest.confirmation, age))
    }

    /// Takes what was heard since the last call, to be passed on to the leader.
    pub fn take_unsent(&mut self) -> Vec<Confirmation> {
        let unsent = std::mem::take(&mut self.unsent);
        let latest = unsent
            .iter()
            .filter_map(|instance| self.latest.get(instance));
        latest.map(|latest| latest.confirmation.clone()).collect()
    }
}
