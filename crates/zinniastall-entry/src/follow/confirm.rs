//! Gathers confirmations, its own and its followers', for the way back to control.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_model::id;
use zinniastall_wire::follow::Confirmation;

/// Time between two repetitions of everything that is known.
const REPEAT: Duration = Duration::from_secs(10);
/// Time after which a follower that was not heard is no longer spoken for.
const FORGET: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct Word {
    confirmation: Confirmation,
    heard: Instant,
    is_news: bool,
}

/// Confirmations on their way back.
#[derive(Debug, Default)]
pub struct Gathered {
    words: IndexMap<id::Instance, Word>,
    repeated: Option<Instant>,
}

impl Gathered {
    /// Notes a follower's confirmation; what an earlier run of it says late is dropped.
    pub fn note(&mut self, confirmation: Confirmation, now: Instant) {
        let held = self.words.get(&confirmation.instance);
        let order = |word: &Confirmation| (word.incarnation, word.revision);
        if held.is_some_and(|held| order(&confirmation) < order(&held.confirmation)) {
            return;
        }
        let unchanged = held.filter(|held| held.confirmation == confirmation);
        let is_news = unchanged.is_none_or(|held| held.is_news);
        let word = Word {
            confirmation,
            heard: now,
            is_news,
        };
        self.words.insert(word.confirmation.instance.clone(), word);
    }

    /// Takes what is new, or from time to time everything; a new link is told everything at once.
    pub fn take(&mut self, now: Instant, fresh_link: bool) -> Vec<Confirmation> {
        self.words.retain(|_, word| now < word.heard + FORGET);
        let due = self
            .repeated
            .is_none_or(|repeated| now >= repeated + REPEAT);
        let everything = due || fresh_link;
        if everything {
            self.repeated = Some(now);
        }
        let mut taken = Vec::new();
        for word in self.words.values_mut() {
            if word.is_news || everything {
                word.is_news = false;
                taken.push(word.confirmation.clone());
            }
        }
        taken
    }
}
