//! Requests that are suspected of crashing targets: what this instance knows of them, and has to tell the others.

use std::{sync::Arc, time::Instant};

use http::HeaderValue;
use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::quarantine::{self, CRASH_LIMIT, Merged, Run, Suspicion};
use zinniastall_model::{
    fingerprint::{Fingerprint, Suspect},
    target::Report,
};

use crate::decide::slow_start;

/// Requests that are remembered: a quarter of a megabyte. A crash makes one suspect for each slot of its target.
const MAX_SUSPECTS: usize = 2_048;
/// Times that news is sent: single datagrams are lost.
const SENDS_PER_NEWS: u8 = 2;

/// Suspected requests.
#[derive(Debug)]
pub struct Suspects {
    table: quarantine::Table<Fingerprint>,
    /// What the others have to be told.
    pending: IndexMap<Fingerprint, Pending>,
    /// Strong suspects that this instance has at a target.
    probed: IndexSet<Fingerprint>,
    /// What the control group held last.
    last_reconciled: Arc<Vec<Suspect>>,
}

/// News that is to be sent.
#[derive(Debug, Clone, Copy)]
struct Pending {
    scope: Scope,
    sends_left: u8,
}

/// Whom news still has to reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All instances.
    All,
    /// The other instances of this one's zone: a collector of another zone tells the rest.
    Zone,
}

/// What became of a request with what was learned of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that was not known.
    None,
    /// Some more crashes, or fewer because it was cleared.
    Known,
    /// It is quarantined from now on.
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
    /// Tells whether no request was ever suspected.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the crashes that count against a request.
    pub fn crashes(&self, request: Fingerprint) -> usize {
        self.table.crashes(request)
    }

    /// Returns how many requests are quarantined.
    pub fn quarantined(&self) -> usize {
        self.table.quarantined()
    }

    /// Returns what is known against a request.
    pub fn suspicion(&self, request: Fingerprint) -> Option<&Suspicion> {
        self.table.suspicion(request)
    }

    /// Notes that a run of a target crashed under a request; `was_suspect` tells whether that was suspected when it
    /// was sent.
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

    /// Notes that a request finished; tells whether that clears it.
    pub fn record_finish(&mut self, request: Fingerprint, now: Instant) -> bool {
        let is_cleared = self.table.finish(request, now);
        if is_cleared {
            self.schedule(request, Scope::All);
        }
        is_cleared
    }

    /// Takes what another instance knows. News is passed on as far as `scope` says; an instance that knows less is
    /// told more.
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

    /// Tells whether what the control group holds was taken already.
    pub fn is_reconciled(&self, held: &Arc<Vec<Suspect>>) -> bool {
        Arc::ptr_eq(&self.last_reconciled, held)
    }

    /// Takes what the control group holds; returns what it has to hold as well.
    pub fn reconcile(&mut self, held: &Arc<Vec<Suspect>>, now: Instant) -> Vec<Suspect> {
        self.last_reconciled = Arc::clone(held);
        let mut missing = Vec::new();
        let mut known: IndexSet<Fingerprint> = IndexSet::new();
        for (request, suspicion) in held.iter() {
            // Every instance is told by the group itself.
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

    /// Tells whether the others have to be told something.
    pub fn has_news(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns what is to be sent now, each news as often as datagrams may be lost.
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

    /// Returns a digest of the strong suspicions; instances that know the same have the same.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Returns the strong suspects.
    pub fn strong(&self) -> Vec<(Fingerprint, Suspicion)> {
        let strong = self.table.strong();
        strong
            .map(|(request, suspicion)| (request, suspicion.clone()))
            .collect()
    }

    /// Notes that a strong suspect is to be sent; tells whether it may be. One copy is tried at a time: it finishes
    /// and is cleared, or takes one target down and not several.
    pub fn begin_probe(&mut self, request: Fingerprint) -> bool {
        self.probed.insert(request)
    }

    /// Notes that a strong suspect is at no target any more.
    pub fn end_probe(&mut self, request: Fingerprint) {
        self.probed.swap_remove(&request);
    }
}

/// Returns a suspicion as a field between instances.
pub fn header_value(suspicion: &Suspicion) -> Option<HeaderValue> {
    let text = serde_json::to_string(suspicion).ok()?;
    HeaderValue::try_from(text).ok()
}

/// Returns the run of a target that made a report.
pub fn run(report: &Report) -> Run {
    slow_start::weight(&report.target, &report.incarnation.to_string())
}
