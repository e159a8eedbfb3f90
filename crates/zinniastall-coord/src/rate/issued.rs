//! Permits that were issued moments ago.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::Verdict;

/// Time for which a permit is kept; whoever asks again does so sooner.
const RETENTION: Duration = Duration::from_millis(100);
/// Maximum number of permits that are kept.
const MAX_ISSUED: usize = 1_024;

/// Permits that were issued moments ago. A question that is asked again because its answer was lost
/// gets the same permit; another one would leave the first unused.
///
/// `Q` identifies a question.
#[derive(Debug)]
pub struct Issued<Q>(VecDeque<Permit<Q>>);

#[derive(Debug)]
struct Permit<Q> {
    question: Q,
    issued_at: Instant,
    due: Instant,
    next: Instant,
}

impl<Q> Default for Issued<Q> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<Q: PartialEq> Issued<Q> {
    /// Records the answer to a question, if that was a permit.
    pub fn record(&mut self, question: Q, verdict: Verdict, now: Instant) {
        let Verdict::Granted { wait, next } = verdict else {
            return;
        };
        while self.0.len() >= MAX_ISSUED || self.0.front().is_some_and(|held| held.is_old(now)) {
            self.0.pop_front();
        }
        self.0.push_back(Permit {
            question,
            issued_at: now,
            due: now + wait,
            next: now + next,
        });
    }

    /// Returns the permit that was issued for a question.
    pub fn repeat(&self, question: &Q, now: Instant) -> Option<Verdict> {
        let mut held = self.0.iter().filter(|held| !held.is_old(now));
        let held = held.find(|held| held.question == *question)?;
        Some(Verdict::Granted {
            wait: held.due.saturating_duration_since(now),
            next: held.next.saturating_duration_since(now),
        })
    }
}

impl<Q> Permit<Q> {
    fn is_old(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.issued_at) >= RETENTION
    }
}
