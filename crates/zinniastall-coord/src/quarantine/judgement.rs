//! Tells the causes of crashes from what rode along.

use indexmap::{IndexMap, IndexSet};

use super::{CRASH_LIMIT, Clearance, Key, Run, STRONG_SUSPECT_CRASHES, Subjects, Suspicion};

/// Crashes by which the limit rises at most where processes also crash without a strong suspect.
const MAX_RAISE: usize = CRASH_LIMIT;
/// Crashes in a burst of which one may be unreported.
const BURST: usize = 8;
/// Crashes that must speak against a part alone, and not against another one that is as strong.
const MIN_INDEPENDENT: usize = 2;
/// Crashes up to which a part that had finished isn't blamed for what parts that never finished explain.
/// A part that turned poisonous beside such parts ends one target more than that.
const MAX_SHARED: usize = CRASH_LIMIT + 1;
/// Suspects of one request for which permits are needed at most.
const MAX_SUSPECTS: usize = 4;

/// What follows from all suspicions together.
#[derive(Debug, Clone)]
pub struct Judgement<K> {
    strong: IndexMap<K, Verdict<K>>,
    /// Runs that crashed under a quarantined suspect, and the strength of the strongest.
    explained: IndexMap<Run, usize>,
}

/// What follows for a strong suspect.
#[derive(Debug, Clone)]
struct Verdict<K> {
    /// Crashes that no stronger suspect explains.
    open: usize,
    is_quarantined: bool,
    /// Of a part: other suspects, each of which explains the crashes as well.
    rivals: Vec<K>,
}

/// How a request stands: whether it may be sent, and because of which suspects not freely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing<K> {
    /// Whether it may be sent.
    pub clearance: Clearance,
    /// Suspects among the request and its parts, the strongest first; of a request that is rejected, those
    /// because of which it is.
    pub suspects: Vec<K>,
}

impl<K> Standing<K> {
    /// Returns the standing of a request that is not suspected.
    pub const fn free() -> Self {
        Self {
            clearance: Clearance::Free,
            suspects: Vec::new(),
        }
    }
}

impl<K: Key> Judgement<K> {
    /// Judges all suspects. `crashed` are the runs that are known to have crashed, the latest last.
    pub fn new<'a>(suspects: impl Iterator<Item = (K, &'a Suspicion)>, crashed: &[Run]) -> Self {
        let is_strong = |(_, held): &(K, &Suspicion)| held.counted() >= STRONG_SUSPECT_CRASHES;
        let all: Vec<(K, &Suspicion)> = suspects.collect();
        let mut strong: Vec<(K, &Suspicion)> = all.iter().copied().filter(is_strong).collect();
        strong.sort_by(|(one, held), (other, their)| {
            let order = their.strength().cmp(&held.strength());
            order.then_with(|| one.as_ref().cmp(other.as_ref()))
        });
        let implicated: IndexSet<Run> = strong.iter().flat_map(|(_, held)| held.runs()).collect();
        let unproven = if strong.is_empty() {
            IndexSet::new()
        } else {
            unproven_runs(&all)
        };
        let mut judgement = Self {
            strong: IndexMap::new(),
            explained: IndexMap::new(),
        };
        for (key, held) in &strong {
            let open = judgement.open(held);
            let is_explained = |run: &Run| {
                implicated.contains(run) || !held.had_finished() && unproven.contains(run)
            };
            let limit = CRASH_LIMIT + unexplained(held, is_explained, crashed).min(MAX_RAISE);
            let is_quarantined = open >= limit && !is_explained_by_others(held, &unproven);
            if is_quarantined {
                judgement.explain(held);
            }
            let verdict = Verdict {
                open,
                is_quarantined,
                rivals: Vec::new(),
            };
            judgement.strong.insert(*key, verdict);
        }
        judgement.find_rivals(&strong);
        judgement
    }

    /// Returns whether a suspect is quarantined by itself: no other one explains the same crashes.
    pub fn is_quarantined(&self, key: K) -> bool {
        let verdict = self.strong.get(&key);
        verdict.is_some_and(|verdict| verdict.is_quarantined && verdict.rivals.is_empty())
    }

    /// Returns how a request stands; `suspicion` returns what is known against a suspect.
    pub fn standing<'a>(
        &self,
        subjects: &Subjects<K>,
        suspicion: impl Fn(K) -> Option<&'a Suspicion>,
    ) -> Standing<K> {
        let mut found: Vec<(Clearance, usize, K)> = Vec::new();
        for key in subjects.keys() {
            let Some(held) = suspicion(key) else { continue };
            let (clearance, open) = self.clearance(key, held, subjects);
            if clearance != Clearance::Free {
                found.push((clearance, open, key));
            }
        }
        found.sort_by(|one, other| {
            let order = (other.0, other.1).cmp(&(one.0, one.1));
            order.then_with(|| one.2.as_ref().cmp(other.2.as_ref()))
        });
        let Some((clearance, ..)) = found.first().copied() else {
            return Standing::free();
        };
        let is_cause = |held: &Clearance| clearance < Clearance::Refused || *held == clearance;
        let suspects = found.into_iter().filter(|(held, ..)| is_cause(held));
        let suspects = suspects.map(|(_, _, key)| key).take(MAX_SUSPECTS);
        Standing {
            clearance,
            suspects: suspects.collect(),
        }
    }

    fn clearance(&self, key: K, held: &Suspicion, subjects: &Subjects<K>) -> (Clearance, usize) {
        let Some(verdict) = self.strong.get(&key) else {
            let open = self.open(held).min(STRONG_SUSPECT_CRASHES);
            return (Clearance::of(open), open);
        };
        let has_rivals = verdict.rivals.iter().all(|rival| subjects.has(*rival));
        let clearance = if verdict.is_quarantined && has_rivals {
            Clearance::Refused
        } else {
            Clearance::of(verdict.open.min(STRONG_SUSPECT_CRASHES))
        };
        (clearance, verdict.open)
    }

    /// Returns the crashes of a suspect that no stronger one explains.
    fn open(&self, held: &Suspicion) -> usize {
        let strength = held.strength();
        let equal = strength + strength / BURST;
        let is_explained = |run| self.explained.get(&run).is_some_and(|by| *by > equal);
        held.counted_without(is_explained)
    }

    fn explain(&mut self, held: &Suspicion) {
        for run in held.runs() {
            let by = self.explained.entry(run).or_default();
            *by = held.strength().max(*by);
        }
    }

    /// Finds for each quarantined part the others that explain its crashes. What crashes under a request
    /// always crashes under its parts, too. A part that had finished is no rival of one that never did.
    fn find_rivals(&mut self, strong: &[(K, &Suspicion)]) {
        for (key, held) in strong {
            if !key.is_part() || !self.strong[key].is_quarantined {
                continue;
            }
            let is_rival = |(other, their): &&(K, &Suspicion)| {
                let is_open = self.strong[other].open >= STRONG_SUSPECT_CRASHES;
                let is_likely = held.had_finished() || !their.had_finished();
                other != key && is_open && is_likely && explains(their, held)
            };
            let rivals = strong.iter().filter(is_rival).map(|(other, _)| *other);
            let rivals = rivals.collect();
            self.strong[key].rivals = rivals;
        }
    }
}

/// Returns whether one suspicion explains the crashes of another: it is as strong, and has all that count
/// but one among its own.
fn explains(one: &Suspicion, other: &Suspicion) -> bool {
    let is_as_strong = one.strength() + other.strength() / BURST >= other.strength();
    let independent = other.counted_without(|run| one.has(run));
    is_as_strong && independent < MIN_INDEPENDENT
}

/// Returns whether parts that never finished explain the crashes of a part that had: all that count but one
/// have such a part.
fn is_explained_by_others(held: &Suspicion, unproven: &IndexSet<Run>) -> bool {
    let is_candidate = held.had_finished() && held.counted() <= MAX_SHARED;
    is_candidate && held.counted_without(|run| unproven.contains(&run)) < MIN_INDEPENDENT
}

/// Returns the runs that crashed with a part that never finished.
fn unproven_runs<K: Key>(all: &[(K, &Suspicion)]) -> IndexSet<Run> {
    let parts = all.iter();
    let parts = parts.filter(|(key, held)| key.is_part() && !held.had_finished());
    parts.flat_map(|(_, held)| held.runs()).collect()
}

/// Returns the number of crashes since a suspect's first later one that nothing explains.
fn unexplained(held: &Suspicion, is_explained: impl Fn(&Run) -> bool, crashed: &[Run]) -> usize {
    let Some(since) = crashed.iter().position(|run| held.later().contains(run)) else {
        return 0;
    };
    let after = crashed[since..].iter();
    after.filter(|run| !is_explained(run)).count()
}
