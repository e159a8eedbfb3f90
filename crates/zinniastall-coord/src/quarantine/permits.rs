//! Permits to send requests with suspects, as the instance that coordinates a suspect issues them.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{Key, Known, NEWS_TIME};

/// Longest time for which a permit lasts; its return may be lost.
const MAX_TIME: Duration = Duration::from_secs(30);
/// Maximum number of suspects; an instance coordinates a part of them.
const MAX_SUSPECTS: usize = 4_096;

/// Permits, one at a time for each suspect; `H` identifies a request.
#[derive(Debug)]
pub struct Permits<K, H> {
    /// Who holds the permit, `None` after its return, and until when there is no other one.
    held: IndexMap<K, (Option<H>, Instant)>,
    trials: Trials<K>,
}

/// Trials of quarantined suspects.
#[derive(Debug)]
pub struct Trials<K>(IndexMap<K, Instant>);

impl<K> Default for Trials<K> {
    fn default() -> Self {
        Self(IndexMap::new())
    }
}

impl<K: Key> Trials<K> {
    /// Begins a trial, unless there was one less than `wait` ago; returns whether it did.
    pub fn begin(&mut self, suspect: K, wait: Duration, now: Instant) -> bool {
        let is_due = self.is_due(&suspect, wait, now);
        if is_due {
            self.0.insert(suspect, now);
        }
        is_due
    }

    fn is_due(&self, suspect: &K, wait: Duration, now: Instant) -> bool {
        let last = self.0.get(suspect);
        let has_room = last.is_some() || self.0.len() < MAX_SUSPECTS;
        has_room && last.is_none_or(|last| now.saturating_duration_since(*last) >= wait)
    }
}

impl<K, H> Default for Permits<K, H> {
    fn default() -> Self {
        Self {
            held: IndexMap::new(),
            trials: Trials::default(),
        }
    }
}

impl<K: Key, H: PartialEq> Permits<K, H> {
    /// Issues a permit for a time, by what this instance knows of the suspect: for the trial of one that
    /// is quarantined only if that is due. Returns whether it did.
    pub fn issue(
        &mut self,
        known: &Known<K>,
        suspect: K,
        holder: H,
        time: Duration,
        now: Instant,
    ) -> bool {
        if !known.is_quarantined(suspect) {
            return self.grant(suspect, holder, time, now);
        }
        let due = known.due_trial(suspect, now);
        due.is_some_and(|wait| self.grant_trial(suspect, holder, (time, wait), now))
    }

    /// Issues a permit, and returns whether the suspect was free. A question that is repeated gets the
    /// same answer.
    fn grant(&mut self, suspect: K, holder: H, time: Duration, now: Instant) -> bool {
        self.held.retain(|_, (_, until)| *until > now);
        if let Some((held_by, _)) = self.held.get(&suspect) {
            return held_by.as_ref() == Some(&holder);
        }
        if self.held.len() >= MAX_SUSPECTS {
            return false;
        }
        let until = now + time.min(MAX_TIME);
        self.held.insert(suspect, (Some(holder), until));
        true
    }

    /// Issues a permit for the trial of a quarantined suspect, unless there was one less than `wait` ago.
    fn grant_trial(
        &mut self,
        suspect: K,
        holder: H,
        (time, wait): (Duration, Duration),
        now: Instant,
    ) -> bool {
        if self.is_held_by(&suspect, &holder) {
            return true;
        }
        self.trials.is_due(&suspect, wait, now)
            && self.grant(suspect, holder, time, now)
            && self.trials.begin(suspect, wait, now)
    }

    /// Takes a permit back that wasn't used, because the request lacks another one.
    pub fn cancel(&mut self, suspect: &K, holder: &H) {
        if self.is_held_by(suspect, holder) {
            self.held.swap_remove(suspect);
        }
    }

    /// Takes a permit back, because its request has ended.
    ///
    /// There is no other one for a part until all instances know how. The copies of a request wait for each
    /// other, for no longer than for an answer.
    pub fn take_back(&mut self, suspect: &K, holder: &H, now: Instant) {
        if !self.is_held_by(suspect, holder) {
            return;
        }
        if suspect.is_part() {
            self.held.insert(*suspect, (None, now + NEWS_TIME));
        } else {
            self.held.swap_remove(suspect);
        }
    }

    fn is_held_by(&self, suspect: &K, holder: &H) -> bool {
        let held = self.held.get(suspect);
        held.is_some_and(|(held_by, _)| held_by.as_ref() == Some(holder))
    }
}
