//! What one instance knows of suspected requests, and what it still has to tell the others.

use std::{hash::Hash, sync::Arc, time::Instant};

use indexmap::{IndexMap, IndexSet};

use super::{CRASH_LIMIT, Merged, Run, Suspicion, Table};

/// Maximum number of suspects, which take about a quarter of a megabyte. A crash adds one suspect
/// for each slot of its target.
const MAX_SUSPECTS: usize = 2_048;
/// Number of crashed runs that are remembered; requests are sent to a crashed target until its
/// absence is noticed, which takes seconds.
const MAX_CRASHED_RUNS: usize = 1_024;
/// Number of times that each piece of news is sent, because single datagrams get lost.
const SENDS_PER_NEWS: u8 = 2;

/// Suspected requests.
///
/// `K` identifies a request.
#[derive(Debug)]
pub struct Suspects<K> {
    known: Known<K>,
    /// News that the others have not been told yet.
    pending: IndexMap<K, Pending>,
    /// List of the control group that was reconciled last.
    last_reconciled: Arc<Vec<(K, Suspicion)>>,
}

/// Suspected requests, and targets that have crashed.
#[derive(Debug, Clone)]
pub struct Known<K> {
    table: Table<K>,
    /// Runs of targets that are known to have crashed, and since when; the latest last.
    crashed_runs: IndexMap<Run, Instant>,
}

impl<K: Hash + Eq + Copy + AsRef<[u8]>> Known<K> {
    /// Returns whether no request was ever suspected.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
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
    /// `request` is called only if some request was ever suspected.
    pub fn sent(&self, request: impl FnOnce() -> K, run: Run) -> Sent {
        let known = if self.is_empty() {
            None
        } else {
            self.suspicion(request()).cloned()
        };
        Sent {
            run,
            had_crashed: self.crashed_runs.contains_key(&run),
            known,
        }
    }
}

/// What was known of a request and of a run of a process when the request was sent to it.
#[derive(Debug, Clone)]
pub struct Sent {
    run: Run,
    had_crashed: bool,
    known: Option<Suspicion>,
}

impl Sent {
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

/// News that is still to be sent.
#[derive(Debug, Clone, Copy)]
struct Pending {
    scope: Scope,
    sends_left: u8,
}

/// Instances that still have to be told of a piece of news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All instances.
    All,
    /// The other instances of this one's zone; collectors of other zones tell the rest.
    Zone,
}

/// Effect of new information on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing new.
    None,
    /// The number of crashes changed, or the request was cleared.
    Known,
    /// The request became quarantined.
    Quarantined,
}

impl<K: Hash + Eq + Copy + AsRef<[u8]>> Default for Suspects<K> {
    fn default() -> Self {
        Self {
            known: Known {
                table: Table::new(MAX_SUSPECTS),
                crashed_runs: IndexMap::new(),
            },
            pending: IndexMap::new(),
            last_reconciled: Arc::default(),
        }
    }
}

impl<K: Hash + Eq + Copy + AsRef<[u8]>> Suspects<K> {
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

    /// Returns the number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        self.known.table.quarantined()
    }

    /// Returns the suspicion against a request, if any.
    pub fn suspicion(&self, request: K) -> Option<&Suspicion> {
        self.known.table.suspicion(request)
    }

    /// Returns what is known now, to be kept with a request; see [`Known::sent`].
    pub fn sent(&self, request: impl FnOnce() -> K, run: Run) -> Sent {
        self.known.sent(request, run)
    }

    /// Records that the target to which a request was sent crashed with the request in flight.
    pub fn record_crash(&mut self, request: K, sent: &Sent, now: Instant) -> Change {
        let held = self.known.table.suspicion(request);
        let is_current = |known: &&Suspicion| held.is_none_or(|held| held.is_same_round(known));
        let known = sent.known.as_ref().filter(is_current);
        let known = known.map_or(0, Suspicion::crashes);
        let before = self.known.table.crashes(request);
        self.add_crashed_run(sent.run, now);
        let is_one_of_several = 0 < known && known < before;
        if sent.had_crashed || is_one_of_several {
            return Change::None;
        }
        if !self.known.table.crash(request, sent.run, known > 0, now) {
            return Change::None;
        }
        self.schedule(request, Scope::All);
        self.change_since(request, before)
    }

    fn add_crashed_run(&mut self, run: Run, now: Instant) {
        self.known.crashed_runs.entry(run).or_insert(now);
        let surplus = self
            .known
            .crashed_runs
            .len()
            .saturating_sub(MAX_CRASHED_RUNS);
        self.known.crashed_runs.drain(..surplus);
    }

    /// Records that a request finished; returns whether that clears it.
    pub fn record_finish(&mut self, request: K, now: Instant) -> bool {
        let is_cleared = self.known.table.finish(request, now);
        if is_cleared {
            self.schedule(request, Scope::All);
        }
        is_cleared
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
        let before = self.known.table.crashes(request);
        let Merged {
            is_changed,
            is_behind,
        } = self.known.table.merge(request, suspicion, now);
        if is_behind {
            self.schedule(request, Scope::All);
        } else if let Some(scope) = scope.filter(|_| is_changed) {
            self.schedule(request, scope);
        }
        if is_changed {
            self.change_since(request, before)
        } else {
            Change::None
        }
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
        let mut missing = Vec::new();
        let mut known: IndexSet<K> = IndexSet::new();
        for (request, suspicion) in held.iter() {
            // Not passed on: the control group tells every instance itself.
            self.known.table.merge(*request, suspicion, now);
            known.insert(*request);
            let own = self.known.table.suspicion(*request);
            if let Some(own) = own.filter(|own| *own != suspicion) {
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

    fn change_since(&self, request: K, before: usize) -> Change {
        if before < CRASH_LIMIT && self.known.table.is_quarantined(request) {
            Change::Quarantined
        } else {
            Change::Known
        }
    }

    fn schedule(&mut self, request: K, scope: Scope) {
        self.pending.insert(
            request,
            Pending {
                scope,
                sends_left: SENDS_PER_NEWS,
            },
        );
    }

    /// Returns whether there is news to send.
    pub fn has_news(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the news to send now; each piece is returned `SENDS_PER_NEWS` times in all, because
    /// single datagrams get lost.
    pub fn news(&mut self) -> Vec<(Scope, K, Suspicion)> {
        let table = &self.known.table;
        let news = self.pending.iter().filter_map(|(request, pending)| {
            let suspicion = table.suspicion(*request)?;
            Some((pending.scope, *request, suspicion.clone()))
        });
        let news = news.collect();
        self.pending.retain(|_, pending| {
            pending.sends_left -= 1;
            pending.sends_left > 0
        });
        news
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
