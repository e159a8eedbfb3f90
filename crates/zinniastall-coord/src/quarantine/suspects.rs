//! What one instance knows of suspected requests, and what it still has to tell the others.

use std::{
    borrow::Borrow,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use indexmap::{IndexMap, IndexSet};

use crate::news::{News, Scope};

use super::{
    CRASH_LIMIT, Clearance, Judgement, Key, Merged, NEWS_TIME, Run, Standing, Subjects, Suspicion,
    Table, finishes::Finishes,
};

/// Maximum number of suspects, which take about a quarter of a megabyte. A crash adds one suspect
/// for each slot of its target.
const MAX_SUSPECTS: usize = 2_048;
/// Number of crashed runs that are remembered; requests are sent to a crashed target until its
/// absence is noticed, which takes seconds.
const MAX_CRASHED_RUNS: usize = 1_024;
/// Time within which a second crash confirms the suspicion against a part whose requests are tested one
/// at a time. After it, they are no longer held back.
const CONFIRMATION_TIME: Duration = Duration::from_secs(1);
/// Time after which a quarantined suspect may be tried again, and the factor by which it grows with each
/// trial: three in a day.
const TRIAL_BACKOFF: (Duration, u32) = (Duration::from_mins(1), 16);
/// Trials by which the time grows.
const MAX_GROWTH: u32 = 4;

/// Suspected requests and parts.
///
/// `K` identifies a request or a part.
#[derive(Debug)]
pub struct Suspects<K> {
    known: Known<K>,
    finishes: Finishes<K>,
    /// News that the others have not been told yet.
    news: News<K>,
    /// List of the control group that was reconciled last.
    last_reconciled: Arc<Vec<(K, Suspicion)>>,
}

/// Suspected requests and parts, and targets that have crashed.
#[derive(Debug, Clone)]
pub struct Known<K> {
    table: Table<K>,
    /// Runs of targets that are known to have crashed, and since when; the latest last.
    crashed_runs: IndexMap<Run, Instant>,
    /// What follows from the table, once it was asked for.
    judgement: OnceLock<Judgement<K>>,
    /// The same without the latest crashes, of which not all reports have arrived: those that seem
    /// unexplained until then raise limits.
    early_judgement: OnceLock<Judgement<K>>,
}

impl<K: Key> Known<K> {
    /// Returns whether no request was ever suspected.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the number of suspects, including those that were cleared.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns the suspicion against a request, if any.
    pub fn suspicion(&self, request: K) -> Option<&Suspicion> {
        self.table.suspicion(request)
    }

    /// Returns when this instance learned that a run of a target crashed; `None` if it didn't.
    pub fn crashed_at(&self, run: Run) -> Option<Instant> {
        self.crashed_runs.get(&run).copied()
    }

    /// Returns the crashed run that became known last.
    pub fn last_crashed_run(&self) -> Option<Run> {
        self.crashed_runs.last().map(|(run, _)| *run)
    }

    /// Returns what is known now, to be kept with a request that is sent to a run of a target.
    ///
    /// `subjects` is called only if anything was ever suspected.
    pub fn sent<S: Borrow<Subjects<K>>>(&self, subjects: impl FnOnce() -> S, run: Run) -> Sent<K> {
        let known = if self.is_empty() {
            Vec::new()
        } else {
            self.suspicions(subjects().borrow())
        };
        Sent {
            run,
            had_crashed: self.crashed_runs.contains_key(&run),
            known,
        }
    }

    /// Returns what is known against a request and its parts.
    pub fn suspicions(&self, subjects: &Subjects<K>) -> Vec<(K, Suspicion)> {
        let known = |key| Some((key, self.suspicion(key)?.clone()));
        subjects.keys().filter_map(known).collect()
    }

    /// Returns how a request stands.
    ///
    /// A part is rejected only once the reports of its last crash have arrived from all instances: they
    /// may name another one. A request that would be rejected if not for a crash of which some may be
    /// missing waits for them as well.
    pub fn standing(&self, subjects: &Subjects<K>, now: Instant) -> Standing<K> {
        if self.is_empty() {
            return Standing::free();
        }
        let suspicion = |key| self.suspicion(key);
        let mut standing = self.judgement().standing(subjects, suspicion);
        let is_settled = |key: &K| {
            let since = self.table.updated_at(*key);
            !key.is_part() || since.is_none_or(|since| since + NEWS_TIME <= now)
        };
        if standing.clearance == Clearance::Refused && !standing.suspects.iter().any(is_settled) {
            standing.clearance = Clearance::Unsettled;
        }
        let early = self.early_judgement(now);
        let early = early.map(|early| early.standing(subjects, suspicion).clearance);
        if standing.clearance < Clearance::Refused && early == Some(Clearance::Refused) {
            standing.clearance = Clearance::Unsettled;
        }
        standing
    }

    /// Returns what is known with further suspicions.
    #[must_use]
    pub fn with(&self, suspicions: &[(K, Suspicion)], now: Instant) -> Self {
        let mut known = self.clone();
        for (key, suspicion) in suspicions {
            known.table.merge(*key, suspicion, now);
        }
        known.changed();
        known
    }

    /// Returns whether a suspect is quarantined, whatever else its requests hold.
    pub fn is_quarantined(&self, key: K) -> bool {
        self.table.is_quarantined(key) && self.judgement().is_quarantined(key)
    }

    /// Returns whether a request that was held back may be sent although its suspects are at targets:
    /// it is no strong suspect, and no second crash has confirmed the suspicion against its parts.
    pub fn is_unconfirmed(&self, standing: &Standing<K>, now: Instant) -> bool {
        let is_old = |key: &K| {
            let since = self.table.updated_at(*key);
            since.is_none_or(|since| now.saturating_duration_since(since) >= CONFIRMATION_TIME)
        };
        let mut suspects = standing.suspects.iter();
        standing.clearance <= Clearance::Paced && suspects.all(|key| !key.is_part() || is_old(key))
    }

    /// Returns the time from one trial of a quarantined suspect to the next, if one is due.
    pub fn due_trial(&self, suspect: K, now: Instant) -> Option<Duration> {
        let since = self.table.updated_at(suspect)?;
        let crashes = self.suspicion(suspect)?.counted();
        let trials = u32::try_from(crashes.saturating_sub(CRASH_LIMIT)).unwrap_or(MAX_GROWTH);
        let (first, factor) = TRIAL_BACKOFF;
        let wait = first.saturating_mul(factor.saturating_pow(trials.min(MAX_GROWTH)));
        (now.saturating_duration_since(since) >= wait).then_some(wait)
    }

    fn judgement(&self) -> &Judgement<K> {
        self.judgement.get_or_init(|| self.judge(|_| true))
    }

    /// Returns the judgement without crashes of which not all reports have arrived; `None` if there are
    /// none.
    fn early_judgement(&self, now: Instant) -> Option<&Judgement<K>> {
        let last = self.crashed_runs.last().map(|(_, since)| *since)?;
        let is_early = last + NEWS_TIME > now;
        let judge = || self.judge(|since| since + NEWS_TIME <= last);
        is_early.then(|| self.early_judgement.get_or_init(judge))
    }

    fn judge(&self, is_settled: impl Fn(Instant) -> bool) -> Judgement<K> {
        let crashed = self.crashed_runs.iter();
        let crashed = crashed.filter(|(_, since)| is_settled(**since));
        let crashed: Vec<Run> = crashed.map(|(run, _)| *run).collect();
        Judgement::new(self.table.all(), &crashed)
    }

    /// Has the table judged anew, because it has changed.
    fn changed(&mut self) {
        self.judgement.take();
        self.early_judgement.take();
    }
}

/// What was known of a request and of a run of a process when the request was sent to it.
#[derive(Debug, Clone)]
pub struct Sent<K> {
    run: Run,
    had_crashed: bool,
    known: Vec<(K, Suspicion)>,
}

impl<K: PartialEq> Sent<K> {
    /// Returns what was known against the request or a part of it.
    fn known(&self, key: &K) -> Option<&Suspicion> {
        let mut known = self.known.iter();
        known.find(|(held, _)| held == key).map(|(_, known)| known)
    }

    /// Returns the run of the target.
    pub const fn run(&self) -> Run {
        self.run
    }

    /// Returns whether the run was known to have crashed when the request was sent to it, so that
    /// the request never ran there.
    pub const fn had_crashed(&self) -> bool {
        self.had_crashed
    }
}

/// Effect of new information on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Nothing new.
    None,
    /// The number of crashes changed, or the request was cleared.
    Known,
    /// The request became quarantined.
    Quarantined,
}

impl<K: Key> Default for Suspects<K> {
    fn default() -> Self {
        Self {
            known: Known {
                table: Table::new(MAX_SUSPECTS),
                crashed_runs: IndexMap::new(),
                judgement: OnceLock::new(),
                early_judgement: OnceLock::new(),
            },
            finishes: Finishes::default(),
            news: News::default(),
            last_reconciled: Arc::default(),
        }
    }
}

impl<K: Key> Suspects<K> {
    /// Returns whether no request was ever suspected.
    pub fn is_empty(&self) -> bool {
        self.known.table.is_empty()
    }

    /// Returns what is known of requests and targets, for readers that must not wait for changes.
    pub const fn known(&self) -> &Known<K> {
        &self.known
    }

    /// Returns the number of crashes counted against a request.
    pub fn crashes(&self, request: K) -> usize {
        self.known.table.crashes(request)
    }

    /// Returns the number of quarantined requests and parts.
    pub fn quarantined(&self) -> usize {
        let strong = self.known.table.strong();
        let is_quarantined = |(key, _): &(K, &Suspicion)| self.known.is_quarantined(*key);
        strong.filter(is_quarantined).count()
    }

    /// Returns the suspicion against a request, if any.
    pub fn suspicion(&self, request: K) -> Option<&Suspicion> {
        self.known.table.suspicion(request)
    }

    /// Returns what is known now, to be kept with a request; see [`Known::sent`].
    pub fn sent<S: Borrow<Subjects<K>>>(&self, subjects: impl FnOnce() -> S, run: Run) -> Sent<K> {
        self.known.sent(subjects, run)
    }

    /// Records that the target to which a request was sent crashed with the request in flight.
    pub fn record_crash(&mut self, subjects: &Subjects<K>, sent: &Sent<K>, now: Instant) -> Change {
        self.add_crashed_run(sent.run, now);
        if sent.had_crashed {
            return Change::None;
        }
        let mut change = Change::None;
        for key in subjects.keys() {
            let is_excused = key.is_part() && self.finishes.excuse(key, sent.run);
            if !is_excused {
                change = change.max(self.count_crash(key, sent, now));
            }
        }
        change
    }

    /// Counts a crash against a request or a part.
    fn count_crash(&mut self, key: K, sent: &Sent<K>, now: Instant) -> Change {
        let held = self.known.table.suspicion(key);
        let before = held.map_or(0, Suspicion::counted);
        let is_current = |known: &&Suspicion| held.is_none_or(|held| held.is_same_round(known));
        let known = sent.known(&key).filter(is_current);
        let known = known.map_or(0, Suspicion::counted);
        let was_suspect = known > 0 && known == before;
        let was_quarantined = self.known.is_quarantined(key);
        if !self.known.table.crash(key, sent.run, was_suspect, now) {
            return Change::None;
        }
        self.mark_finished_before(key);
        self.news.schedule(key, Scope::All);
        self.change_since(key, was_quarantined)
    }

    /// Marks a suspected part if this instance knows that a request with it had finished.
    fn mark_finished_before(&mut self, key: K) {
        if key.is_part() && self.finishes.has(&key) {
            self.known.table.mark_finished_before(key);
        }
    }

    fn add_crashed_run(&mut self, run: Run, now: Instant) {
        self.known.changed();
        self.known.crashed_runs.entry(run).or_insert(now);
        let surplus = self
            .known
            .crashed_runs
            .len()
            .saturating_sub(MAX_CRASHED_RUNS);
        self.known.crashed_runs.drain(..surplus);
    }

    /// Records that a request finished; returns what that clears of the request and its parts.
    pub fn record_finish(&mut self, subjects: &Subjects<K>, now: Instant) -> Vec<K> {
        let keys: Vec<K> = subjects.keys().collect();
        self.clear(&keys, subjects.parts(), now)
    }

    /// Records that the answer to a request has gone on for a while, which clears its parts; returns
    /// those that were suspected.
    pub fn record_progress(&mut self, subjects: &Subjects<K>, now: Instant) -> Vec<K> {
        self.clear(subjects.parts(), subjects.parts(), now)
    }

    /// Returns whether the parts of a request that finishes now have to be remembered although nothing is
    /// suspected. That is so for few requests: a part that many share is soon among theirs.
    pub fn is_sample_due(&mut self, now: Instant) -> bool {
        self.finishes.is_sample_due(now)
    }

    /// Remembers that a request with these parts has finished while nothing was suspected. It excuses none
    /// of them from the first crash.
    pub fn remember_finish(&mut self, parts: &[K]) {
        for part in parts {
            self.finishes.record(*part, false);
        }
    }

    fn clear(&mut self, keys: &[K], parts: &[K], now: Instant) -> Vec<K> {
        if self.is_empty() {
            self.remember_finish(parts);
            return Vec::new();
        }
        for part in parts {
            self.finishes.record(*part, true);
        }
        let mut cleared = keys.to_vec();
        cleared.retain(|key| self.known.table.finish(*key, now));
        for key in &cleared {
            self.news.schedule(*key, Scope::All);
        }
        if !cleared.is_empty() {
            self.known.changed();
        }
        cleared
    }

    /// Merges what another instance knows of a request.
    ///
    /// News is passed on to the instances in `scope`; if the sender knows less than this instance,
    /// the merged suspicion is sent to all.
    pub fn merge(
        &mut self,
        request: K,
        suspicion: &Suspicion,
        scope: Option<Scope>,
        now: Instant,
    ) -> Change {
        suspicion
            .runs()
            .for_each(|run| self.add_crashed_run(run, now));
        let was_quarantined = self.known.is_quarantined(request);
        let Merged {
            is_changed,
            is_behind,
        } = self.known.table.merge(request, suspicion, now);
        if is_behind {
            self.news.schedule(request, Scope::All);
        } else if let Some(scope) = scope.filter(|_| is_changed) {
            self.news.schedule(request, scope);
        }
        if !is_changed {
            return Change::None;
        }
        if self.known.table.crashes(request) > 0 {
            self.mark_finished_before(request);
            self.finishes.withdraw_excuse(request);
        }
        self.change_since(request, was_quarantined)
    }

    /// Returns whether a list of the control group was reconciled already.
    pub fn is_reconciled(&self, held: &Arc<Vec<(K, Suspicion)>>) -> bool {
        Arc::ptr_eq(&self.last_reconciled, held)
    }

    /// Merges the suspects that the control group holds; returns those that it should hold in
    /// addition or in a newer state.
    pub fn reconcile(
        &mut self,
        held: &Arc<Vec<(K, Suspicion)>>,
        now: Instant,
    ) -> Vec<(K, Suspicion)> {
        self.last_reconciled = Arc::clone(held);
        self.known.changed();
        let mut missing = Vec::new();
        let mut known: IndexSet<K> = IndexSet::new();
        for (request, suspicion) in held.iter() {
            // Not passed on: the control group tells every instance itself.
            self.known.table.merge(*request, suspicion, now);
            known.insert(*request);
            let own = self.known.table.suspicion(*request);
            if let Some(own) = own.filter(|own| !own.has_same_crashes(suspicion)) {
                missing.push((*request, own.clone()));
            }
        }
        let strong = self.known.table.strong();
        let new = strong.filter(|(request, suspicion)| {
            suspicion.crashes() >= CRASH_LIMIT && !known.contains(request)
        });
        missing.extend(new.map(|(request, suspicion)| (request, suspicion.clone())));
        missing
    }

    fn change_since(&mut self, request: K, was_quarantined: bool) -> Change {
        self.known.changed();
        if !was_quarantined && self.known.is_quarantined(request) {
            Change::Quarantined
        } else {
            Change::Known
        }
    }

    /// Returns whether there is news to send.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns the news to send now.
    pub fn news(&mut self) -> Vec<(Scope, K, Suspicion)> {
        let table = &self.known.table;
        self.news.take(|request| table.suspicion(*request).cloned())
    }

    /// Returns a digest of the strong suspicions, equal on instances that know the same ones.
    pub fn digest(&self) -> u64 {
        self.known.table.digest()
    }

    /// Returns the strong suspicions.
    pub fn strong(&self) -> Vec<(K, Suspicion)> {
        let strong = self.known.table.strong();
        strong
            .map(|(request, suspicion)| (request, suspicion.clone()))
            .collect()
    }
}
