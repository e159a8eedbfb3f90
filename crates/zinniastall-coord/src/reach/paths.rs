//! The paths from this instance to all targets that it uses.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{
    DARK_TIMEOUT, EVIDENCE_TTL, VOUCHER_TTL,
    path::{DEAF_TIMEOUT, LATER_MARGIN, Path, Probe, State, Voucher},
};

/// Time since which a target must have been heard to stay above suspicion when another path fails.
const SUSPICION_AGE: Duration = Duration::from_millis(300);
/// Largest number of paths that come under suspicion, and so are probed, when another one fails.
const MAX_SUSPECTS: usize = 16;
/// Interval at which a waiting request checks its path: while the path is open, and otherwise.
const WATCH_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(20));

/// How a request reaches a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route<'a> {
    /// On a connection of this instance.
    Direct,
    /// By one of these neighbours, which vouch for the target.
    Detour(Vec<&'a str>),
    /// Not at all, as far as known.
    None {
        /// Time since the path was lost.
        since: Duration,
    },
}

/// Effect of evidence on a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// None that matters to requests.
    None,
    /// The path is lost.
    Lost,
    /// The path was lost and is open again.
    Back,
}

/// The paths from this instance to all targets that it uses.
#[derive(Debug, Default)]
pub struct Paths {
    paths: IndexMap<String, Path>,
    /// Neighbours whose vouchers don't count until a time, because they proved wrong.
    distrusted: IndexMap<String, Instant>,
}

impl Paths {
    /// Records that a request is about to be sent to a target. Each call is paired with one of
    /// [`Paths::end`].
    pub fn begin(&mut self, target: &str, now: Instant) {
        self.path(target, now).begin(now);
    }

    /// Records that a request at a target has ended, however.
    pub fn end(&mut self, target: &str) {
        if let Some(path) = self.paths.get_mut(target) {
            path.end();
        }
    }

    /// Records that part of an answer arrived; `is_new` tells whether the connection was opened for
    /// this request. Connections that were open before may live on while no new ones open.
    pub fn heard(&mut self, target: &str, is_new: bool, now: Instant) -> Change {
        let Some(path) = self.paths.get_mut(target) else {
            return Change::None;
        };
        path.heard(now);
        let before = path.state;
        if before == State::Suspect || (before == State::Lost && is_new) {
            path.enter(State::Open, now);
        }
        change(before, path.state)
    }

    /// Records that a connection to a target could not be opened.
    ///
    /// The cause may lie on this side, so other paths are probed that were not used of late.
    pub fn failed(&mut self, target: &str, now: Instant) -> Change {
        let path = self.path(target, now);
        let was_lost = path.state == State::Lost;
        path.lose(now);
        if was_lost {
            return Change::None;
        }
        self.suspect_others(false, now);
        Change::Lost
    }

    /// Records that a connection to a target broke while a request was in progress.
    pub fn broke(&mut self, target: &str, now: Instant) {
        let path = self.path(target, now);
        path.suspect(false, now);
    }

    /// Returns whether a target has said nothing of late, neither to requests nor to a probe. It may
    /// have paused, or this instance may be cut off from it: requests better go elsewhere for now.
    pub fn is_doubtful(&self, target: &str) -> bool {
        let path = self.paths.get(target);
        path.is_some_and(Path::is_mute_suspect)
    }

    /// Doubts the targets of which nothing is known either, once one has said nothing to a probe and
    /// none was heard since: requests would go to them, one after the other. A probe settles each.
    pub fn doubt_unheard<'a>(&mut self, known: impl Iterator<Item = &'a str>, now: Instant) {
        let mute = self.paths.values().filter(|path| path.is_mute_suspect());
        let Some(since) = mute.map(|path| path.since).min() else {
            return;
        };
        if self.paths.values().any(|path| path.heard_at > Some(since)) {
            return;
        }
        let open = known.filter(|target| self.state(target) == State::Open);
        let unheard: Vec<String> = open.take(MAX_SUSPECTS).map(str::to_owned).collect();
        for target in unheard {
            self.path(&target, now).doubt(now);
        }
    }

    /// Loses the paths to targets that were silent for [`DARK_TIMEOUT`], to probes too, while this
    /// instance hears from no target; returns the targets. A pause does not last as long.
    pub fn lose_dark(&mut self, now: Instant) -> Vec<String> {
        let is_tried =
            |path: &Path| path.is_waiting() || path.is_mute_suspect() || path.state == State::Lost;
        if !self.is_deaf_for(DARK_TIMEOUT, is_tried, now) {
            return Vec::new();
        }
        let is_dark = |path: &Path| {
            path.is_mute_suspect() && path.is_waiting() && path.silence(now) >= DARK_TIMEOUT
        };
        let dark = self.paths.iter_mut().filter(|(_, path)| is_dark(path));
        let lost = dark.map(|(target, path)| {
            path.lose(now);
            target.clone()
        });
        lost.collect()
    }

    /// Starts the probes that are due; returns the targets to probe.
    pub fn start_probes(&mut self, now: Instant) -> Vec<String> {
        let is_deaf = self.is_deaf_for(DEAF_TIMEOUT, Path::is_waiting, now);
        let paths = self.paths.iter_mut();
        let due = paths
            .filter_map(|(target, path)| path.start_probe(is_deaf, now).then(|| target.clone()));
        due.collect()
    }

    /// Returns whether this instance has heard from no target for a time although it tries, at more than
    /// one target if it uses several. One target alone is often silent for reasons of its own.
    fn is_deaf_for(&self, time: Duration, is_tried: impl Fn(&Path) -> bool, now: Instant) -> bool {
        let tried = self.paths.values().filter(|path| is_tried(path)).count();
        let is_silent = |path: &Path| {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < time;
            !path.heard_at.is_some_and(is_recent)
        };
        tried >= self.paths.len().min(2) && self.paths.values().all(is_silent)
    }

    /// Records the result of a probe.
    pub fn probed(&mut self, target: &str, probe: Probe, now: Instant) -> Change {
        let Some(path) = self.paths.get_mut(target) else {
            return Change::None;
        };
        let before = path.state;
        path.probed(probe, now);
        change(before, path.state)
    }

    /// Returns how a request reaches a target now; `is_usable` tells which neighbours may get it.
    ///
    /// A path that is only suspect is used directly if there is no detour.
    pub fn route(&self, target: &str, now: Instant, is_usable: impl Fn(&str) -> bool) -> Route<'_> {
        let Some(path) = self
            .paths
            .get(target)
            .filter(|path| path.state != State::Open)
        else {
            return Route::Direct;
        };
        let vouchers = path.vouchers(now).map(|(instance, _)| instance);
        let usable: Vec<&str> = vouchers.filter(|instance| is_usable(instance)).collect();
        if !usable.is_empty() {
            return Route::Detour(usable);
        }
        if path.state == State::Suspect {
            return Route::Direct;
        }
        let since = now.saturating_duration_since(path.since);
        Route::None { since }
    }

    /// Returns the state of a path.
    pub fn state(&self, target: &str) -> State {
        self.paths
            .get(target)
            .map_or(State::Open, |path| path.state)
    }

    /// Returns the interval at which a waiting request should check [`Paths::is_given_up`].
    pub fn watch_interval(&self, target: &str) -> Duration {
        if self.state(target) == State::Open {
            WATCH_INTERVALS.0
        } else {
            WATCH_INTERVALS.1
        }
    }

    /// Returns whether a request should stop waiting for an answer, because a neighbour heard from the
    /// target while this instance could not reach it, or because nobody does for a long time.
    pub fn is_given_up(&self, target: &str, now: Instant) -> bool {
        let lost = self.paths.get(target);
        let lost = lost.filter(|path| path.state == State::Lost);
        lost.is_some_and(|path| path.silence(now) >= DARK_TIMEOUT || path.is_contradicted)
    }

    /// Returns whether a neighbour has heard from a target later than a time.
    pub fn is_alive_since(&self, target: &str, at: Option<Instant>, now: Instant) -> bool {
        let Some(path) = self.paths.get(target) else {
            return false;
        };
        let is_later = |heard_at: Instant| at.is_none_or(|at| heard_at > at + LATER_MARGIN);
        path.vouchers(now).any(|(_, held)| is_later(held.heard_at))
    }

    /// Returns the targets whose paths are not open, about which neighbours are asked.
    pub fn questions(&self) -> impl Iterator<Item = &str> {
        let unsettled = self
            .paths
            .iter()
            .filter(|(_, path)| path.state != State::Open);
        unsettled.map(|(target, _)| target.as_str())
    }

    /// Returns the number of targets, and how many of them have a lost path.
    pub fn count_lost<'a>(&self, targets: impl Iterator<Item = &'a str>) -> (usize, usize) {
        targets.fold((0, 0), |(all, lost), target| {
            let is_lost = self.state(target) == State::Lost;
            (all + 1, lost + usize::from(is_lost))
        })
    }

    /// Returns the targets whose paths are lost, with the time since then and the number of
    /// neighbours that vouch for them.
    pub fn lost(&self, now: Instant) -> impl Iterator<Item = (&str, Duration, usize)> {
        let lost = self
            .paths
            .iter()
            .filter(|(_, path)| path.state == State::Lost);
        lost.map(move |(target, path)| {
            let since = now.saturating_duration_since(path.since);
            (target.as_str(), since, path.vouchers(now).count())
        })
    }

    /// Returns the time since a neighbour that vouches for a target heard from it.
    pub fn voucher_age(&self, target: &str, instance: &str, now: Instant) -> Option<Duration> {
        let mut vouchers = self.paths.get(target)?.vouchers(now);
        let (_, held) = vouchers.find(|(name, _)| *name == instance)?;
        Some(now.saturating_duration_since(held.heard_at))
    }

    /// Records that a neighbour heard from a target itself, `age` ago.
    pub fn vouch(&mut self, target: &str, instance: &str, age: Duration, now: Instant) {
        if age > EVIDENCE_TTL
            || self
                .distrusted
                .get(instance)
                .is_some_and(|until| *until > now)
        {
            return;
        }
        let Some(path) = self.paths.get_mut(target) else {
            return;
        };
        let heard_at = now.checked_sub(age).unwrap_or(now);
        let told_at = now;
        path.vouch(instance, Voucher { heard_at, told_at });
        let is_later = |at: Instant| heard_at > at + LATER_MARGIN;
        if path.is_silent_suspect() && path.heard_at.is_none_or(is_later) {
            self.suspect_others(true, now);
        }
    }

    /// Puts paths under suspicion that were not used of late, because another one failed. `is_silent`
    /// tells whether its target took connections and said nothing, as the others then may.
    fn suspect_others(&mut self, is_silent: bool, now: Instant) {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < SUSPICION_AGE;
        let others = self
            .paths
            .values_mut()
            .filter(|path| path.state == State::Open && !path.heard_at.is_some_and(is_fresh));
        for path in others.take(MAX_SUSPECTS) {
            path.suspect(is_silent, now);
        }
    }

    /// Drops the vouchers of a neighbour that did not keep its word.
    pub fn distrust(&mut self, instance: &str, now: Instant) {
        self.distrusted
            .insert(instance.to_owned(), now + VOUCHER_TTL);
        for path in self.paths.values_mut() {
            path.vouchers.swap_remove(instance);
        }
    }

    /// Returns how long ago this instance heard from a target itself, for a neighbour that asks for
    /// evidence no older than `longest`. Without such evidence, the target is probed.
    pub fn evidence(&mut self, target: &str, longest: Duration, now: Instant) -> Option<Duration> {
        let path = self.path(target, now);
        let age = path.heard_at.map(|at| now.saturating_duration_since(at));
        let age = age.filter(|age| *age <= longest.min(EVIDENCE_TTL));
        if age.is_none() && path.state == State::Open {
            path.probe_soon(now);
        }
        age.filter(|_| path.state == State::Open)
    }

    /// Returns the neighbours that vouch for any target now.
    pub fn vouchers(&self, now: Instant) -> impl Iterator<Item = &str> {
        let paths = self.paths.values();
        paths.flat_map(move |path| path.vouchers(now).map(|(instance, _)| instance))
    }

    /// Forgets targets that are not known any more, and what has expired.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool, now: Instant) {
        self.paths.retain(|target, path| {
            path.vouchers
                .retain(|_, held| now.saturating_duration_since(held.told_at) < VOUCHER_TTL);
            !path.is_idle() || is_known(target)
        });
        self.distrusted.retain(|_, until| *until > now);
    }

    fn path(&mut self, target: &str, now: Instant) -> &mut Path {
        if let Some(at) = self.paths.get_index_of(target) {
            return &mut self.paths[at];
        }
        let entry = self.paths.entry(target.to_owned());
        entry.or_insert_with(|| Path::new(now))
    }
}

const fn change(before: State, after: State) -> Change {
    match (before, after) {
        (State::Lost, State::Open) => Change::Back,
        (State::Open | State::Suspect, State::Lost) => Change::Lost,
        _ => Change::None,
    }
}
