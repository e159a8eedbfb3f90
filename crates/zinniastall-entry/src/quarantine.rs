//! Requests and messages of chats suspected of crashing targets, shared by all threads of an instance.
//!
//! Every request reads the suspicions, but they change only when a target crashes, when a suspect
//! finishes and when other instances report either. Readers therefore get an immutable table that
//! is replaced with each change, and only changes take a lock.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};
use zinniastall_coord::{
    news::Scope,
    quarantine::{Change, Key, Known, Probes, Run, Standing, Trials},
    rendezvous,
};
use zinniastall_model::{
    fingerprint::{Fingerprint, Subjects, Suspect, Suspects},
    id,
    state::State,
};

use crate::view::View;

/// What was known of a request when it was sent.
pub type Sent = zinniastall_coord::quarantine::Sent<Fingerprint>;

/// Longest time for which the answer to a request that crashed a target is held back until the
/// other instances of the zone know of it.
const SHARE_TIMEOUT: Duration = Duration::from_millis(250);

/// Suspected requests of an instance. Clones share their state.
#[derive(Debug, Clone)]
pub struct Quarantine(Arc<Inner>);

struct Inner {
    known: ArcSwap<Known<Fingerprint>>,
    writer: Mutex<Writer>,
    probes: Mutex<Probes<Fingerprint>>,
    /// Trials of quarantined suspects that this instance makes.
    trials: Mutex<Trials<Fingerprint>>,
    changed: Notify,
    /// Version of the suspicions that all other instances of the zone have.
    heard: watch::Sender<u64>,
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inner").finish_non_exhaustive()
    }
}

/// State of those who change suspicions.
#[derive(Debug, Default)]
struct Writer {
    suspects: Suspects,
    /// Suspects that the control group holds, as of the last comparison.
    held: Arc<Vec<Suspect>>,
    /// Suspects that the control group should hold and doesn't hold yet.
    missing: Vec<Suspect>,
    /// Whether suspicions have changed since the last comparison.
    has_changed: bool,
    /// Number of changes that other instances have to be told.
    version: u64,
}

/// Guard that marks the suspects of a request as in flight.
#[derive(Debug)]
pub struct Probe {
    quarantine: Quarantine,
    suspects: Vec<Fingerprint>,
    is_strong: bool,
    is_trial: bool,
}

impl Probe {
    /// Returns whether the request tries a quarantined suspect.
    pub const fn is_trial(&self) -> bool {
        self.is_trial
    }

    /// Records that the request is sent to a target; returns `false` if it is a strong suspect and
    /// another one is there.
    pub fn enter(&self, target: &str) -> bool {
        !self.is_strong || lock(&self.quarantine.0.probes).enter(target, &self.suspects)
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        lock(&self.quarantine.0.probes).end(&self.suspects);
    }
}

impl Default for Quarantine {
    fn default() -> Self {
        let writer = Writer::default();
        Self(Arc::new(Inner {
            known: ArcSwap::from_pointee(writer.suspects.known().clone()),
            writer: Mutex::new(writer),
            probes: Mutex::default(),
            trials: Mutex::default(),
            changed: Notify::new(),
            heard: watch::Sender::new(0),
        }))
    }
}

impl Quarantine {
    /// Returns whether neither this instance nor the configuration knows a suspect.
    pub fn is_empty(&self, configured: Option<&State>) -> bool {
        self.0.known.load().is_empty() && configured.is_none_or(|state| state.suspects.is_empty())
    }

    /// Returns what is known against a request and its parts, from what instances report and from the
    /// configuration. The latter counts as soon as it is in force, also when it releases a request.
    pub fn suspicions(&self, subjects: &Subjects, configured: Option<&State>) -> Vec<Suspect> {
        let known = self.0.known.load();
        let mut suspicions = known.suspicions(subjects);
        for (suspect, merged) in unknown(&known, subjects, configured) {
            suspicions.retain(|(held, _)| *held != suspect);
            suspicions.push((suspect, merged));
        }
        suspicions.sort_by_key(|(suspect, _)| suspect.is_part());
        suspicions
    }

    /// Returns how a request stands, from the same sources.
    pub fn standing(
        &self,
        subjects: &Subjects,
        configured: Option<&State>,
    ) -> Standing<Fingerprint> {
        let known = self.0.known.load();
        let unknown = unknown(&known, subjects, configured);
        let now = Instant::now();
        if unknown.is_empty() {
            return known.standing(subjects, now);
        }
        known.with(&unknown, now).standing(subjects, now)
    }

    /// Returns whether a request that was held back may be sent although its suspects are at targets;
    /// see [`Known::is_unconfirmed`].
    pub fn is_unconfirmed(&self, standing: &Standing<Fingerprint>) -> bool {
        let known = self.0.known.load();
        known.is_unconfirmed(standing, Instant::now())
    }

    /// Returns what is known now, to be kept with a request that is sent to a run of a target.
    ///
    /// `subjects` is called only if anything was ever suspected.
    pub fn sent<'a>(&self, subjects: impl FnOnce() -> &'a Subjects, run: Run) -> Sent {
        self.0.known.load().sent(subjects, run)
    }

    /// Returns when this instance learned that a run of a target crashed; `None` if it didn't.
    pub fn crashed_at(&self, run: Run) -> Option<Instant> {
        self.0.known.load().crashed_at(run)
    }

    /// Returns the crashed run that became known last.
    pub fn last_crashed_run(&self) -> Option<Run> {
        self.0.known.load().last_crashed_run()
    }

    /// Records that the target to which a request was sent crashed with the request in flight.
    pub fn record_crash(&self, subjects: &Subjects, sent: &Sent) -> Change {
        self.change(|suspects| {
            let change = suspects.record_crash(subjects, sent, Instant::now());
            (change, change != Change::None)
        })
    }

    /// Records that a request finished; returns what that cleared of the request and its parts.
    pub fn record_finish(&self, subjects: &Subjects) -> Vec<Fingerprint> {
        self.change(|suspects| {
            let cleared = suspects.record_finish(subjects, Instant::now());
            let has_changed = !cleared.is_empty();
            (cleared, has_changed)
        })
    }

    /// Remembers, for a sample of requests, that one finished while nothing was suspected. Waits for
    /// nobody; `parts` is called only for a request of the sample.
    pub fn remember_finish(&self, parts: impl FnOnce() -> Vec<Fingerprint>) {
        let is_due =
            |mut writer: MutexGuard<'_, Writer>| writer.suspects.is_sample_due(Instant::now());
        if self.0.writer.try_lock().is_ok_and(is_due) {
            let parts = parts();
            self.writer().suspects.remember_finish(&parts);
        }
    }

    /// Records that the answer to a request has gone on for a while; returns the parts that this cleared.
    pub fn record_progress(&self, subjects: &Subjects) -> Vec<Fingerprint> {
        self.change(|suspects| {
            let cleared = suspects.record_progress(subjects, Instant::now());
            let has_changed = !cleared.is_empty();
            (cleared, has_changed)
        })
    }

    /// Merges what another instance reports, and passes news on to the instances in `scope`.
    pub fn hear(&self, peer: &str, reported: &[Suspect], scope: Option<Scope>) {
        let now = Instant::now();
        let news = self.change(|suspects| {
            let merge = |(request, suspicion): &Suspect| {
                let change = suspects.merge(*request, suspicion, scope, now);
                (*request, change)
            };
            let mut news: Vec<_> = reported.iter().map(merge).collect();
            news.retain(|(_, change)| *change != Change::None);
            let has_changed = !news.is_empty();
            (news, has_changed)
        });
        if !news.is_empty() {
            tracing::info!(event = "suspects-heard", peer, requests = news.len());
        }
        for (request, change) in news {
            if change == Change::Quarantined {
                tracing::warn!(event = "quarantine-heard", peer, fingerprint = %request);
            }
        }
    }

    /// Returns the news to send to other instances now, and the version that they have with it.
    pub fn news(&self) -> (Vec<Suspect>, u64) {
        let mut writer = self.writer();
        let news = writer.suspects.news().into_iter();
        let news = news.map(|(_, request, suspicion)| (request, suspicion));
        (news.collect(), writer.version)
    }

    /// Sets the version that all other instances of the zone have acknowledged.
    pub fn set_heard(&self, version: u64) {
        self.0.heard.send_replace(version);
    }

    /// Waits, up to a limit, until the other instances of the zone know what is known here.
    ///
    /// A caller whose request crashed a target may send it to another instance at once.
    pub async fn shared(&self) {
        let version = self.writer().version;
        let mut heard = self.0.heard.subscribe();
        let shared = heard.wait_for(|heard| *heard >= version);
        if timeout(SHARE_TIMEOUT, shared).await.is_err() {
            tracing::warn!(event = "suspects-not-heard", version);
        }
    }

    /// Waits until there may be news.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// Returns the strong suspects and the version.
    pub fn strong(&self) -> (Vec<Suspect>, u64) {
        let writer = self.writer();
        (writer.suspects.strong(), writer.version)
    }

    /// Compares with the suspects of a configuration, if either side has changed.
    pub fn reconcile(&self, configured: &State) {
        let mut writer = self.writer();
        let held = configured.suspects.iter();
        if !writer.has_changed
            && held
                .clone()
                .eq(writer.held.iter().map(|(key, held)| (key, held)))
        {
            return;
        }
        writer.has_changed = false;
        writer.held = Arc::new(held.map(|(key, held)| (*key, held.clone())).collect());
        let held = Arc::clone(&writer.held);
        writer.missing = writer.suspects.reconcile(&held, Instant::now());
        self.publish(&writer);
    }

    /// Returns the suspects that the control group should hold and doesn't hold yet.
    pub fn missing(&self) -> Vec<Suspect> {
        self.writer().missing.clone()
    }

    /// Marks suspects as in flight; returns `None` if one of them is already.
    pub fn begin_probe(&self, suspects: &[Fingerprint], is_strong: bool) -> Option<Probe> {
        let is_first = lock(&self.0.probes).begin(suspects);
        is_first.then(|| Probe {
            quarantine: self.clone(),
            suspects: suspects.to_vec(),
            is_strong,
            is_trial: false,
        })
    }

    /// Has a request try its only quarantined suspect, if that is due and this instance is the one that
    /// does so: the choice of all live instances by rendezvous hashing.
    pub fn begin_trial(&self, standing: &Standing<Fingerprint>, view: &View) -> Option<Probe> {
        let [suspect] = *standing.suspects else {
            return None;
        };
        let chosen = rendezvous::choose(&suspect.to_string(), view.peers.keys());
        if chosen != Some(&view.instance) {
            return None;
        }
        let (known, now) = (self.0.known.load(), Instant::now());
        let due = known.due_trial(suspect, now)?;
        let is_first = lock(&self.0.trials).begin(suspect, due, now);
        let mut probe = is_first.then(|| self.begin_probe(&[suspect], true))??;
        probe.is_trial = true;
        tracing::warn!(event = "quarantine-tried", suspect = %suspect);
        Some(probe)
    }

    /// Returns the targets at which strong suspects other than these are.
    pub fn occupied(&self, suspects: &[Fingerprint]) -> Vec<id::Target> {
        let probes = lock(&self.0.probes);
        probes.occupied(suspects).map(str::to_owned).collect()
    }

    /// Applies a function that returns its result and whether it changed a suspicion.
    fn change<T>(&self, apply: impl FnOnce(&mut Suspects) -> (T, bool)) -> T {
        let mut writer = self.writer();
        let (result, has_changed) = apply(&mut writer.suspects);
        if has_changed {
            writer.has_changed = true;
            writer.version += u64::from(writer.suspects.has_news());
            self.publish(&writer);
            drop(writer);
            self.0.changed.notify_one();
        }
        result
    }

    /// Publishes the suspicions to readers, in the order of the changes.
    fn publish(&self, writer: &Writer) {
        let known = writer.suspects.known().clone();
        self.0.known.store(Arc::new(known));
    }

    fn writer(&self) -> MutexGuard<'_, Writer> {
        lock(&self.0.writer)
    }
}

/// Locks a mutex whose content stays consistent when a thread panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns what the configuration knows against a request and its parts and this instance doesn't.
fn unknown(
    known: &Known<Fingerprint>,
    subjects: &Subjects,
    configured: Option<&State>,
) -> Vec<Suspect> {
    let Some(configured) = configured.filter(|state| !state.suspects.is_empty()) else {
        return Vec::new();
    };
    let unknown = subjects.keys().filter_map(|key| {
        let held = configured.suspects.get(&key)?;
        let own = known.suspicion(key).cloned().unwrap_or_default();
        let mut merged = own.clone();
        merged.merge(held);
        (merged != own).then_some((key, merged))
    });
    unknown.collect()
}
