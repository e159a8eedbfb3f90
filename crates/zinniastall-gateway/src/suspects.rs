//! Requests suspected of crashing targets: what this instance knows of them, and what it still has
//! to tell the others.

use std::{sync::Arc, time::Instant};

use http::HeaderValue;
use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::quarantine::{self, CRASH_LIMIT, Merged, Run, Suspicion};
use zinniastall_model::{
    fingerprint::{Fingerprint, Suspect},
    target::Report,
};

use crate::decide::slow_start;

/// Maximum number of suspects, which take about a quarter of a megabyte. A crash adds one suspect
/// for each slot of its target.
const MAX_SUSPECTS: usize = 2_048;
/// Number of times that each piece of news is sent, because single datagrams get lost.
const SENDS_PER_NEWS: u8 = 2;

/// Suspected requests.
#[derive(Debug)]
pub struct Suspects {
    table: quarantine::Table<Fingerprint>,
    /// News that the others have not been told yet.
    pending: IndexMap<Fingerprint, Pending>,
    /// Strong suspects that this instance has in flight at a target.
    probed: IndexSet<Fingerprint>,
    /// List of the control group that was reconciled last.
    last_reconciled: Arc<Vec<Suspect>>,
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

impl Default for Suspects {
    fn default() -> Self {
        Self {
            table: quarantine::Table::new(MAX_SUSPECTS),
            pending: IndexMap::new(),
            probed: IndexSet::new(),
            last_reconciled: Arc::default(),
        }
    }
}

impl Suspects {
    /// Returns whether no request was ever suspected.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the number of crashes counted against a request.
    pub fn crashes(&self, request: Fingerprint) -> usize {
        self.table.crashes(request)
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        self.table.quarantined()
    }

    /// Returns the suspicion against a request, if any.
    pub fn suspicion(&self, request: Fingerprint) -> Option<&Suspicion> {
        self.table.suspicion(request)
    }

    /// Records that a run of a target crashed with a request in flight.
    ///
    /// `was_suspect` says whether the request was suspected already when it was sent.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        run: Run,
        was_suspect: bool,
        now: Instant,
    ) -> Change {
        let before = self.table.crashes(request);
        if !self.table.crash(request, run, was_suspect, now) {
            return Change::None;
        }
        self.schedule(request, Scope::All);
        self.change_since(request, before)
    }

    /// Records that a request finished; returns whether that clears it.
    pub fn record_finish(&mut self, request: Fingerprint, now: Instant) -> bool {
        let is_cleared = self.table.finish(request, now);
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
        request: Fingerprint,
        suspicion: &Suspicion,
        scope: Option<Scope>,
        now: Instant,
    ) -> Change {
        let before = self.table.crashes(request);
        let Merged {
            is_changed,
            is_behind,
        } = self.table.merge(request, suspicion, now);
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
    pub fn is_reconciled(&self, held: &Arc<Vec<Suspect>>) -> bool {
        Arc::ptr_eq(&self.last_reconciled, held)
    }

    /// Merges the suspects that the control group holds; returns those that it should hold in
    /// addition or in a newer state.
    pub fn reconcile(&mut self, held: &Arc<Vec<Suspect>>, now: Instant) -> Vec<Suspect> {
        self.last_reconciled = Arc::clone(held);
        let mut missing = Vec::new();
        let mut known: IndexSet<Fingerprint> = IndexSet::new();
        for (request, suspicion) in held.iter() {
            // Not passed on: the control group tells every instance itself.
            self.table.merge(*request, suspicion, now);
            known.insert(*request);
            let own = self.table.suspicion(*request);
            if let Some(own) = own.filter(|own| *own != suspicion) {
                missing.push((*request, own.clone()));
            }
        }
        let strong = self.table.strong();
        let new = strong.filter(|(request, suspicion)| {
            suspicion.crashes() >= CRASH_LIMIT && !known.contains(request)
        });
        missing.extend(new.map(|(request, suspicion)| (request, suspicion.clone())));
        missing
    }

    fn change_since(&self, request: Fingerprint, before: usize) -> Change {
        if before < CRASH_LIMIT && self.table.is_quarantined(request) {
            Change::Quarantined
        } else {
            Change::Known
        }
    }

    fn schedule(&mut self, request: Fingerprint, scope: Scope) {
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
    pub fn news(&mut self) -> Vec<(Scope, Fingerprint, Suspicion)> {
        let table = &self.table;
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
        self.table.digest()
    }

    /// Returns the strong suspicions.
    pub fn strong(&self) -> Vec<(Fingerprint, Suspicion)> {
        let strong = self.table.strong();
        strong
            .map(|(request, suspicion)| (request, suspicion.clone()))
            .collect()
    }

    /// Marks a strong suspect as in flight; returns `false` if it is already.
    ///
    /// Only one copy is tried at a time: it either finishes and is cleared, or crashes a single
    /// target.
    pub fn begin_probe(&mut self, request: Fingerprint) -> bool {
        self.probed.insert(request)
    }

    /// Marks a strong suspect as no longer in flight.
    pub fn end_probe(&mut self, request: Fingerprint) {
        self.probed.swap_remove(&request);
    }
}

/// Encodes a suspicion as the value of a header field between instances.
pub fn header_value(suspicion: &Suspicion) -> Option<HeaderValue> {
    let text = serde_json::to_string(suspicion).ok()?;
    HeaderValue::try_from(text).ok()
}

/// Returns the run of the target that made a report.
pub fn run(report: &Report) -> Run {
    slow_start::weight(&report.target, &report.incarnation.to_string())
}
