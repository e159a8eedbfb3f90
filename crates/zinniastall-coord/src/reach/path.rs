//! The path from this instance to one target.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::VOUCHER_TTL;

/// Silence of a target with requests in progress after which it is probed. An engine is silent for as
/// long as it prefills the few prompts that this instance has there.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The same while all other targets with requests in progress are silent, too.
pub(super) const DEAF_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest intervals of the probes of a target that answers them but none of its requests.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest and longest interval of the probes of a lost path. The longest one bounds how long a path
/// that is back goes unnoticed.
const PROBE_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Time for which a target that says nothing to requests stays suspect although connections open.
const SILENT_HOLD: Duration = Duration::from_secs(5);

/// Difference by which one observation must be later than another: how far two messages may overtake
/// each other.
pub(super) const LATER_MARGIN: Duration = Duration::from_millis(10);

/// State of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Requests get through, as far as known.
    Open,
    /// There is evidence against the path, and a probe is under way or due.
    Suspect,
    /// A connection could not be opened or did not last, and no probe was answered since.
    Lost,
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The target answered.
    Answered,
    /// A connection opened and stays open; nothing was asked. This proves less than an answer: something
    /// in front of the target may have taken the connection.
    Opened,
    /// A connection opened and stays open, but the target does not answer. It may be busy.
    Silent,
    /// No connection opens, or none lasts.
    Failed,
}

/// A neighbour's statement that it hears from the target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Voucher {
    /// When the neighbour heard from the target.
    pub(super) heard_at: Instant,
    /// When the neighbour said so.
    pub(super) told_at: Instant,
}

/// To whom a suspect target has said nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silence {
    /// It is not suspect of silence.
    Nobody,
    /// To requests.
    Requests,
    /// To requests and then to a probe.
    Probes,
}

/// The path from this instance to one target.
#[derive(Debug)]
pub(super) struct Path {
    pub(super) state: State,
    /// When the state last changed.
    pub(super) since: Instant,
    /// When the target was last heard, on any connection.
    pub(super) heard_at: Option<Instant>,
    /// Requests in progress, and since when there are any.
    waiting: u32,
    waiting_since: Instant,
    probe_at: Option<Instant>,
    /// When the last probe began.
    probe_began: Instant,
    /// Start of the first failed probe since the path was open, and the end of the last one.
    failed_probes: Option<(Instant, Instant)>,
    /// Whether a neighbour is known to have heard from the target while the path was lost.
    pub(super) is_contradicted: bool,
    is_probing: bool,
    silence_of: Silence,
    backoff: Duration,
    silence_timeout: Duration,
    deaf_timeout: Duration,
    pub(super) vouchers: IndexMap<String, Voucher>,
}

impl Path {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            state: State::Open,
            since: now,
            heard_at: None,
            waiting: 0,
            waiting_since: now,
            probe_at: None,
            probe_began: now,
            failed_probes: None,
            is_contradicted: false,
            is_probing: false,
            silence_of: Silence::Nobody,
            backoff: PROBE_BACKOFF.0,
            silence_timeout: SILENCE_TIMEOUT,
            deaf_timeout: DEAF_TIMEOUT,
            vouchers: IndexMap::new(),
        }
    }

    pub(super) const fn is_idle(&self) -> bool {
        self.waiting == 0 && !self.is_probing
    }

    pub(super) const fn begin(&mut self, now: Instant) {
        if self.waiting == 0 {
            self.waiting_since = now;
        }
        self.waiting = self.waiting.saturating_add(1);
    }

    pub(super) const fn end(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    pub(super) fn heard(&mut self, now: Instant) {
        self.heard_at = Some(now);
        self.silence_of = Silence::Nobody;
        self.silence_timeout = SILENCE_TIMEOUT;
        self.deaf_timeout = DEAF_TIMEOUT;
    }

    /// Returns for how long the target has been silent although requests are in progress.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        let heard_at = self.heard_at.unwrap_or(self.waiting_since);
        let since = heard_at.max(self.waiting_since);
        if self.waiting == 0 {
            return Duration::ZERO;
        }
        now.saturating_duration_since(since)
    }

    pub(super) fn enter(&mut self, state: State, now: Instant) {
        if self.state != state {
            self.state = state;
            self.since = now;
        }
        if state == State::Open {
            self.failed_probes = None;
            self.is_contradicted = false;
        }
    }

    /// Puts the path under suspicion, unless it is lost, and schedules a probe.
    pub(super) fn suspect(&mut self, is_silent: bool, now: Instant) {
        if self.state == State::Open {
            self.silence_of = if is_silent {
                Silence::Requests
            } else {
                Silence::Nobody
            };
            self.enter(State::Suspect, now);
        }
        self.probe_soon(now);
    }

    /// Puts an open path under suspicion as if a probe had already been silent, and schedules one.
    pub(super) fn doubt(&mut self, now: Instant) {
        self.suspect(true, now);
        self.silence_of = Silence::Probes;
    }

    fn is_silent(&self) -> bool {
        self.silence_of != Silence::Nobody
    }

    /// Returns whether the path is suspect because the target said nothing.
    pub(super) fn is_silent_suspect(&self) -> bool {
        self.state == State::Suspect && self.is_silent()
    }

    /// Returns whether the target has said nothing, to requests and to a probe.
    pub(super) fn is_mute_suspect(&self) -> bool {
        self.state == State::Suspect && self.silence_of == Silence::Probes
    }

    /// Schedules a probe, unless one is under way.
    pub(super) fn probe_soon(&mut self, now: Instant) {
        let at = self.probe_at.map_or(now, |at| at.min(now));
        self.probe_at = Some(at);
    }

    /// Returns whether requests are in progress.
    pub(super) const fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Starts a probe if one is due, and returns whether it did. `is_deaf` tells whether this instance
    /// hears from no target.
    pub(super) fn start_probe(&mut self, is_deaf: bool, now: Instant) -> bool {
        let timeout = if is_deaf {
            self.deaf_timeout
        } else {
            self.silence_timeout
        };
        if self.state == State::Open && self.is_waiting() && self.silence(now) >= timeout {
            self.suspect(true, now);
        }
        let is_due = !self.is_probing && self.probe_at.is_some_and(|at| at <= now);
        if is_due {
            self.is_probing = true;
            self.probe_began = now;
            self.probe_at = None;
        }
        is_due
    }

    /// Records the result of a probe.
    pub(super) fn probed(&mut self, probe: Probe, now: Instant) {
        self.is_probing = false;
        match probe {
            Probe::Answered => self.restore(now),
            Probe::Opened if !self.is_silent() => self.restore(now),
            Probe::Opened if now.saturating_duration_since(self.since) >= SILENT_HOLD => {
                self.restore(now);
            }
            Probe::Opened | Probe::Silent => {
                if self.state == State::Open {
                    self.enter(State::Suspect, now);
                }
                // A path that is suspect for another reason may fall silent as well.
                let is_unheard = self.is_silent() || self.silence(now) >= DEAF_TIMEOUT;
                if is_unheard && probe == Probe::Silent {
                    self.silence_of = Silence::Probes;
                }
                self.probe_later(now);
            }
            Probe::Failed => {
                self.note_failure(now);
                self.lose(now);
            }
        }
    }

    /// Records a failed probe. A neighbour that heard from the target after an earlier one had begun, and
    /// before this one did, has seen it between two failures of this path.
    fn note_failure(&mut self, now: Instant) {
        let first = self.failed_probes.map(|(first, _)| first);
        let began = self.probe_began;
        let is_between = |held: &Voucher| {
            first.is_some_and(|first| held.heard_at > first + LATER_MARGIN) && held.heard_at < began
        };
        self.is_contradicted |= self.vouchers.values().any(is_between);
        self.failed_probes = Some((first.unwrap_or(began), now));
    }

    /// Records a neighbour's voucher. If it heard from the target while the last failed probe was under
    /// way, only this path is lost. Hearing from it before proves nothing, since the target may have
    /// paused for everybody since; neither does hearing from it after, since the pause may be over.
    pub(super) fn vouch(&mut self, instance: &str, voucher: Voucher) {
        let is_during = |(_, ended): (Instant, Instant)| {
            voucher.heard_at > self.probe_began + LATER_MARGIN
                && voucher.heard_at <= ended + LATER_MARGIN
        };
        let is_lost = self.state == State::Lost && !self.is_probing;
        self.is_contradicted |= is_lost && self.failed_probes.is_some_and(is_during);
        self.vouchers.insert(instance.to_owned(), voucher);
    }

    fn restore(&mut self, now: Instant) {
        if self.silence(now) >= self.deaf_timeout {
            self.deaf_timeout = (self.deaf_timeout * 2).min(MAX_SILENCE_TIMEOUT);
            self.silence_timeout = (self.silence_timeout * 2).min(MAX_SILENCE_TIMEOUT);
        }
        self.heard_at = Some(now);
        self.silence_of = Silence::Nobody;
        self.probe_at = None;
        self.backoff = PROBE_BACKOFF.0;
        self.enter(State::Open, now);
    }

    /// Records that the path is lost, and schedules the next probe.
    pub(super) fn lose(&mut self, now: Instant) {
        if self.state != State::Lost {
            self.backoff = PROBE_BACKOFF.0;
        }
        self.enter(State::Lost, now);
        self.probe_later(now);
    }

    fn probe_later(&mut self, now: Instant) {
        if self.probe_at.is_none() {
            self.probe_at = Some(now + self.backoff);
            self.backoff = (self.backoff * 2).min(PROBE_BACKOFF.1);
        }
    }

    /// Returns the neighbours that vouch for the target now.
    pub(super) fn vouchers(&self, now: Instant) -> impl Iterator<Item = (&str, Voucher)> {
        let vouchers = self.vouchers.iter();
        let current = vouchers
            .filter(move |(_, held)| now.saturating_duration_since(held.told_at) < VOUCHER_TTL);
        current.map(|(instance, held)| (instance.as_str(), *held))
    }
}
