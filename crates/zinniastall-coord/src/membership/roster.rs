//! The peers of one instance and the evidence that they are alive.

use std::{
    collections::VecDeque,
    hash::Hash,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Window;

/// Number of a process run; later runs have higher numbers.
pub type Incarnation = u64;
/// Number of a heartbeat within a run.
pub type Sequence = u64;

/// Own heartbeats whose send time is kept; an echo of an older one is no evidence.
const MAX_SENT_HEARTBEATS: usize = 128;
/// Most departed peers remembered. The oldest is evicted first: the older the departure, the less
/// likely is a late frame of that run, which the memory guards against.
const MAX_DEPARTED: usize = 1024;

/// Timing of a [`Roster`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Time between two heartbeats.
    pub period: Duration,
    /// Shortest bound on staleness.
    pub floor: Duration,
    /// Longest bound on staleness.
    pub ceiling: Duration,
    /// Pause between two ticks after which this instance counts as having been frozen.
    pub freeze_threshold: Duration,
    /// Consecutive fresh echoes that a lost peer must deliver before it counts as alive again.
    pub probation: u32,
    /// How long the incarnation of a departed peer is remembered.
    pub memory: Duration,
}

impl Default for Config {
    /// Returns a configuration for two heartbeats per second and link delays of up to a few hundred
    /// milliseconds.
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            floor: Duration::from_millis(1_500),
            ceiling: Duration::from_secs(6),
            freeze_threshold: Duration::from_millis(1_500),
            probation: 3,
            memory: Duration::from_mins(1),
        }
    }
}

/// Limits of the bound on the staleness of a peer's evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Shortest bound.
    pub floor: Duration,
    /// Longest bound.
    pub ceiling: Duration,
}

/// The newest heartbeat that the sender has received from the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo(pub Incarnation, pub Sequence);

/// A heartbeat to one peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Number of the heartbeat within that run.
    #[serde(rename = "s")]
    pub sequence: Sequence,
    /// Newest heartbeat that the sender has received from the receiver.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
}

/// How a received heartbeat compares with earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// The first heartbeat of a run.
    NewRun,
    /// A new heartbeat of a known run.
    Fresh,
    /// A duplicate or late heartbeat.
    Duplicate,
    /// A heartbeat of a run earlier than the known one, which is given; the sender should raise its
    /// own incarnation above it.
    Stale(Incarnation),
}

#[derive(Debug)]
struct Member {
    incarnation: Incarnation,
    last_sequence: Sequence,
    /// When the newest own heartbeat that the peer has echoed was sent.
    evidence: Option<Instant>,
    window: Window,
    /// Fresh echoes still required before the peer counts as alive.
    probation_left: u32,
    /// When a new heartbeat was last received.
    last_heard: Instant,
}

/// The peers of one instance.
///
/// Only heartbeats that arrive from the peer itself count. Reports by others may lead to a
/// connection attempt but never make a peer alive: otherwise reports of a dead peer could circulate
/// forever.
#[derive(Debug)]
pub struct Roster<I> {
    own: I,
    incarnation: Incarnation,
    config: Config,
    sequence: Sequence,
    sent_at: VecDeque<Instant>,
    ticked_at: Instant,
    members: IndexMap<I, Member>,
    departed: IndexMap<I, (Incarnation, Instant)>,
}

impl<I: Clone + Eq + Hash> Roster<I> {
    /// Creates the roster of an instance.
    pub fn new(own: I, incarnation: Incarnation, config: Config, now: Instant) -> Self {
        Self {
            own,
            incarnation,
            config,
            sequence: 0,
            sent_at: VecDeque::new(),
            ticked_at: now,
            members: IndexMap::new(),
            departed: IndexMap::new(),
        }
    }

    /// Returns this instance's incarnation.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Raises this instance's incarnation above one that its peers remember.
    ///
    /// A process whose clock was set back starts with a lower incarnation than its previous run.
    /// Its peers would drop all its messages as late.
    pub fn raise_incarnation(&mut self, remembered: Incarnation) {
        self.incarnation = self.incarnation.max(remembered.saturating_add(1));
    }

    /// Starts a heartbeat period; returns whether this instance was frozen since the last one.
    ///
    /// After a freeze all state is as old as the freeze is long, and the messages that waited in
    /// the sockets don't show it. All evidence is therefore discarded: no peer counts as alive
    /// until it echoes a heartbeat that was sent after the freeze.
    pub fn tick(&mut self, now: Instant) -> bool {
        let frozen = now.saturating_duration_since(self.ticked_at) > self.config.freeze_threshold;
        self.ticked_at = now;
        if frozen {
            self.sent_at.clear();
            for member in self.members.values_mut() {
                member.evidence = None;
                member.probation_left = 1;
            }
        }
        self.sequence += 1;
        if self.sent_at.len() == MAX_SENT_HEARTBEATS {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
        self.restart_probation(now);
        frozen
    }

    /// Creates this period's heartbeat to one peer.
    pub fn heartbeat(&self, peer: &I) -> Heartbeat {
        let echo = self.members.get(peer);
        Heartbeat {
            incarnation: self.incarnation,
            sequence: self.sequence,
            echo: echo.map(|member| Echo(member.incarnation, member.last_sequence)),
        }
    }

    /// Processes a heartbeat received from a peer.
    pub fn hear(&mut self, peer: &I, heartbeat: Heartbeat, now: Instant) -> Heard {
        let Config { floor, ceiling, .. } = self.config;
        self.hear_within(peer, heartbeat, Bounds { floor, ceiling }, now)
    }

    /// Processes a heartbeat received from a peer that has its own heartbeat period, with bounds
    /// that fit that period.
    ///
    /// The first heartbeat of a run sets the bounds for that run.
    pub fn hear_within(
        &mut self,
        peer: &I,
        heartbeat: Heartbeat,
        bounds: Bounds,
        now: Instant,
    ) -> Heard {
        if *peer == self.own {
            return Heard::Duplicate;
        }
        let known = self.known_incarnation(peer);
        if known.is_some_and(|known| heartbeat.incarnation < known) {
            return Heard::Stale(known.unwrap_or_default());
        }
        let heard = self.record_heartbeat(peer, heartbeat, bounds, now);
        if heard == Heard::Duplicate {
            return heard;
        }
        let sent = heartbeat.echo.and_then(|echo| self.echo_sent_at(echo));
        if let (Some(sent), Some(member)) = (sent, self.members.get_mut(peer)) {
            member.accept_evidence(sent, now, &self.config);
        }
        heard
    }

    /// Returns whether a peer is alive.
    pub fn is_alive(&self, peer: &I, now: Instant) -> bool {
        let member = self.members.get(peer);
        member.is_some_and(|member| member.probation_left == 0 && member.is_fresh(now))
    }

    /// Returns a peer's incarnation, if it is known.
    pub fn run(&self, peer: &I) -> Option<Incarnation> {
        self.members.get(peer).map(|member| member.incarnation)
    }

    /// Returns the peers that are alive.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &I> {
        let alive = move |member: &Member| member.probation_left == 0 && member.is_fresh(now);
        self.members
            .iter()
            .filter(move |(_, member)| alive(member))
            .map(|(peer, _)| peer)
    }

    /// Returns the longest staleness at which a peer still counts as alive.
    pub fn bound(&self, peer: &I) -> Option<Duration> {
        self.members.get(peer).map(|member| member.window.bound())
    }

    /// Removes a peer that is gone or whose address has another owner. Its incarnation is
    /// remembered for a while, so that its late frames are recognised.
    pub fn forget(&mut self, peer: &I, now: Instant) {
        let Some(member) = self.members.swap_remove(peer) else {
            return;
        };
        if self.departed.len() == MAX_DEPARTED {
            self.departed.shift_remove_index(0);
        }
        let until = now + self.config.memory;
        self.departed
            .insert(peer.clone(), (member.incarnation, until));
    }

    /// Removes the peers that have been silent for the time of memory and returns them; also drops
    /// the departed peers that have been remembered long enough.
    pub fn sweep(&mut self, now: Instant) -> Vec<I> {
        self.departed.retain(|_, (_, until)| *until > now);
        let memory = self.config.memory;
        let silent = |member: &Member| now.saturating_duration_since(member.last_heard) > memory;
        let gone: Vec<I> = self
            .members
            .iter()
            .filter(|(_, member)| silent(member))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in &gone {
            self.forget(peer, now);
        }
        gone
    }

    /// Returns the number of peers and of departed peers held.
    pub fn held(&self) -> (usize, usize) {
        (self.members.len(), self.departed.len())
    }

    fn known_incarnation(&self, peer: &I) -> Option<Incarnation> {
        let departed = self.departed.get(peer).map(|(incarnation, _)| *incarnation);
        self.run(peer).max(departed)
    }

    fn record_heartbeat(
        &mut self,
        peer: &I,
        heartbeat: Heartbeat,
        bounds: Bounds,
        now: Instant,
    ) -> Heard {
        if let Some(member) = self.members.get_mut(peer)
            && member.incarnation == heartbeat.incarnation
        {
            if heartbeat.sequence <= member.last_sequence {
                return Heard::Duplicate;
            }
            member.last_sequence = heartbeat.sequence;
            member.last_heard = now;
            return Heard::Fresh;
        }
        let member = Member::new(heartbeat, bounds, now);
        self.members.insert(peer.clone(), member);
        self.departed.shift_remove(peer);
        Heard::NewRun
    }

    fn echo_sent_at(&self, echo: Echo) -> Option<Instant> {
        let Echo(incarnation, sequence) = echo;
        if incarnation != self.incarnation {
            return None;
        }
        let back = usize::try_from(self.sequence.checked_sub(sequence)?).ok()?;
        let index = self.sent_at.len().checked_sub(back + 1)?;
        self.sent_at.get(index).copied()
    }

    fn restart_probation(&mut self, now: Instant) {
        let probation = self.config.probation;
        for member in self.members.values_mut() {
            // On a bad link, one loss is followed by others. A peer that counted as alive again at
            // once each time would flap in every instance's view.
            if member.probation_left == 0 && !member.is_fresh(now) {
                member.probation_left = probation;
            }
        }
    }
}

impl Member {
    fn new(heartbeat: Heartbeat, bounds: Bounds, now: Instant) -> Self {
        Self {
            incarnation: heartbeat.incarnation,
            last_sequence: heartbeat.sequence,
            evidence: None,
            window: Window::new(bounds.floor, bounds.ceiling),
            probation_left: 1,
            last_heard: now,
        }
    }

    fn accept_evidence(&mut self, sent: Instant, now: Instant, config: &Config) {
        if self.evidence.is_some_and(|evidence| sent <= evidence) {
            return;
        }
        let staleness = now.saturating_duration_since(self.evidence.unwrap_or(sent));
        let fresh = now.saturating_duration_since(sent) <= self.window.bound();
        self.window.record(staleness);
        self.evidence = Some(sent);
        if self.probation_left == 0 {
            return;
        }
        self.probation_left = if fresh {
            self.probation_left - 1
        } else {
            config.probation
        };
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.evidence
            .is_some_and(|evidence| now.saturating_duration_since(evidence) <= self.window.bound())
    }
}
