//! What is in force at each entry instance.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use zinniastall_model::{id, state::State};
use zinniastall_wire::follow::Confirmation;

/// An instance's last word.
#[derive(Debug, Clone)]
struct Word {
    confirmation: Confirmation,
    heard: Instant,
}

/// What is in force at each entry instance, as far as it is known here.
///
/// It is not replicated: instances repeat their confirmation, so that a new leader knows soon, and
/// until it does it names them as missing, which is the safe side.
#[derive(Debug, Default)]
pub struct Confirmed {
    words: IndexMap<id::Instance, Word>,
    news: IndexSet<id::Instance>,
}

impl Confirmed {
    /// Notes a confirmation of a member; what an earlier run of it says late is dropped.
    pub fn note(&mut self, confirmation: Confirmation, now: Instant) {
        let instance = confirmation.instance.clone();
        if let Some(word) = self.words.get(&instance) {
            let held = &word.confirmation;
            let is_late = (confirmation.incarnation, confirmation.revision)
                < (held.incarnation, held.revision);
            if is_late {
                return;
            }
        }
        self.news.insert(instance.clone());
        let word = Word {
            confirmation,
            heard: now,
        };
        self.words.insert(instance, word);
    }

    /// Forgets instances that are no members any more, so that replaced ones leave no residue.
    pub fn retain(&mut self, state: &State) {
        self.words
            .retain(|instance, _| state.members.contains_key(instance));
        self.news
            .retain(|instance| state.members.contains_key(instance));
    }

    /// Returns the members that have not confirmed a revision; for revision 0, which is in force
    /// everywhere from the start, there are none.
    pub fn missing(&self, state: &State, revision: id::Revision) -> Vec<id::Instance> {
        let confirmed = |instance: &id::Instance| {
            let word = self.words.get(instance);
            revision == 0 || word.is_some_and(|word| word.confirmation.revision >= revision)
        };
        let mut members = state.members.keys();
        members
            .by_ref()
            .filter(|instance| !confirmed(instance))
            .cloned()
            .collect()
    }

    /// Returns an instance's last word and how long ago it was heard.
    pub fn word(&self, instance: &str, now: Instant) -> Option<(&Confirmation, Duration)> {
        let word = self.words.get(instance)?;
        let age = now.saturating_duration_since(word.heard);
        Some((&word.confirmation, age))
    }

    /// Takes what was heard since the last call, to be passed on to the leader.
    pub fn take_news(&mut self) -> Vec<Confirmation> {
        let news = std::mem::take(&mut self.news);
        let words = news.iter().filter_map(|instance| self.words.get(instance));
        words.map(|word| word.confirmation.clone()).collect()
    }
}
