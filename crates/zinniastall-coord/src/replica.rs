//! A replica of a replicated log.
//!
//! A [`Replica`] is a state machine without I/O. The embedder calls [`tick`](Replica::tick) as time
//! passes, passes messages to [`receive`](Replica::receive) and commands to
//! [`propose`](Replica::propose), and after each call drains [`ready`](Replica::ready), which
//! returns what to store, send and apply. `examples/embed.rs` runs a group of three replicas in one
//! thread.
//!
//! The protocol is Raft: leader-based majority replication in terms, as in Ongaro and Ousterhout,
//! "In Search of an Understandable Consensus Algorithm" (2014), with the pre-vote, check-quorum,
//! leadership transfer and single-server membership changes of Ongaro's dissertation.
//! `docs/design/consensus.md` explains the design and where it deviates from Raft.

mod builder;
mod campaign;
mod durable;
mod follower;
mod history;
mod inbox;
mod leader;
mod message;
mod progress;
mod proposal;
mod quorum;
mod ready;
mod refusal;
mod snapshot;
mod status;
mod survey;

use std::mem;
use std::sync::Arc;
use std::time::Instant;

use rand::rngs::StdRng;

pub use self::builder::{Builder, Limits};
pub use self::message::{Append, Body, Chunk, Message, Outcome};
pub use self::proposal::Barrier;
pub use self::ready::{HardState, Ready, Restored};
pub use self::refusal::Refusal;
pub use self::snapshot::Snapshot;
pub use self::status::{Peer, Role, Status};

use self::durable::Tracker;
use self::follower::Follower;
use self::history::History;
use self::leader::Leader;
use self::survey::Survey;
use crate::election::{Timing, Votes};
use crate::log::{Log, Position};

/// Identity of a replica: random, never zero, created with its data folder and lost with it.
pub type Id = u64;

/// Number of an election; at most one replica leads in a term.
pub type Term = u64;

/// Index in the log, counted from 1.
pub type Index = u64;

/// Identity of a cluster: random, created when the cluster is founded.
pub type Cluster = [u8; 16];

/// Bytes of committed entries in one batch, so that a long log is applied in steps.
const MAX_COMMITTED_BATCH_BYTES: usize = 4 << 20;

/// A replica of a replicated log.
#[derive(Debug)]
pub struct Replica {
    id: Id,
    cluster: Option<Cluster>,
    timing: Timing,
    limits: Limits,
    rng: StdRng,
    hard: HardState,
    log: Log,
    history: History,
    snapshot: Option<Arc<Snapshot>>,
    durable: Tracker,
    commit: Index,
    applied: Index,
    state: State,
    leader: Option<Id>,
    leader_heard_at: Instant,
    removal_index: Index,
    campaign_at: Instant,
    survey: Option<Survey>,
    surveyed: Option<survey::Number>,
    pending: Ready,
}

#[derive(Debug)]
enum State {
    Follower(Follower),
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Leader>),
}

impl Replica {
    /// Returns a builder for the replica that owns the data folder with this id.
    pub fn builder(id: Id, timing: Timing) -> Builder {
        Builder::new(id, timing)
    }

    /// Returns the id of this replica.
    pub const fn id(&self) -> Id {
        self.id
    }

    /// Advances the clock: sends heartbeats, campaigns or steps down if that is due.
    ///
    /// Call it several times per heartbeat interval.
    pub fn tick(&mut self, now: Instant) {
        self.poll_survey();
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now);
        } else if now >= self.campaign_at {
            self.start_pre_vote(now);
        }
    }

    /// Returns the next batch of work, or `None` if nothing is left to do for now.
    ///
    /// Each batch must be acknowledged with [`synced`](Self::synced), in order.
    pub fn ready(&mut self) -> Option<Ready> {
        // Entries that a majority has synced are returned even if this replica hasn't synced them
        // yet. Otherwise a leader with a slow disk would serve reads that miss an entry which
        // followers have already applied.
        self.pending.committed =
            self.log
                .slice(self.applied + 1, self.commit, MAX_COMMITTED_BATCH_BYTES);
        if let Some(last) = self.pending.committed.last() {
            self.applied = last.index;
        }
        if self.pending.is_empty() && !self.durable.has_held() {
            return None;
        }
        let mut ready = mem::take(&mut self.pending);
        let installed = ready.install.as_ref().map(|snapshot| snapshot.last.index);
        let last = ready.append.last().map(|entry| entry.index).or(installed);
        ready.batch = self.durable.close_batch(last);
        Some(ready)
    }

    /// Records that every batch up to this one is synced, and releases the messages that waited for
    /// it.
    pub fn synced(&mut self, batch: u64, now: Instant) {
        for (to, message) in self.durable.synced(batch) {
            if to == self.id {
                self.receive(to, message, now);
            } else {
                self.pending.messages.push((to, message));
            }
        }
        self.advance_commit(now);
    }

    /// Creates a snapshot of the state that the embedder has after applying every entry returned so
    /// far.
    pub fn snapshot(&self, data: Vec<u8>) -> Snapshot {
        let term = self.log.term(self.applied).unwrap_or_default();
        let last = Position {
            index: self.applied,
            term,
        };
        Snapshot {
            last,
            voters: self.history.voters_at(self.applied).clone(),
            data,
        }
    }

    /// Records that a snapshot is synced, and discards the entries before it except the last
    /// [`Limits::retain`].
    pub fn compacted(&mut self, snapshot: Snapshot) {
        let last = snapshot.last.index;
        if self
            .snapshot
            .as_ref()
            .is_some_and(|held| held.last.index >= last)
        {
            return;
        }
        self.snapshot = Some(Arc::new(snapshot));
        self.history.compact(last);
        self.log.compact(last.saturating_sub(self.limits.retain));
    }

    /// Returns this replica's view of itself and its group.
    pub fn status(&self, now: Instant) -> Status {
        Status {
            id: self.id,
            cluster: self.cluster,
            role: self.role(),
            term: self.hard.term,
            leader: self.leader,
            commit: self.commit,
            applied: self.applied,
            last: self.log.last().index,
            voters: self.history.current().clone(),
            voters_index: self.history.index(),
            leading: self.leading(now),
            peers: self.peers(now),
            removed: self.is_removed(),
            lease_until: self.lease(now).map(|lease| lease.until),
        }
    }

    const fn role(&self) -> Role {
        match self.state {
            State::Follower(_) => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    fn send(&mut self, to: Id, body: Body) {
        if let Some(message) = self.message(to, body) {
            self.pending.messages.push((to, message));
        }
    }

    /// Sends a message once everything stored so far is synced.
    fn send_synced(&mut self, to: Id, body: Body) {
        if let Some(message) = self.message(to, body) {
            self.durable.hold(to, message);
        }
    }

    fn message(&self, to: Id, body: Body) -> Option<Message> {
        Some(Message {
            cluster: self.cluster?,
            to,
            term: self.hard.term,
            body,
        })
    }

    fn set_hard_state(&mut self, hard: HardState) {
        self.hard = hard;
        self.pending.hard = Some(hard);
    }

    /// Becomes a follower in a term; a new term clears the vote.
    ///
    /// A partially received snapshot is discarded too. Another leader may encode the same state in
    /// other bytes, and a snapshot assembled from both would be corrupt although its length is
    /// right.
    fn become_follower(&mut self, term: Term, leader: Option<Id>, now: Instant) {
        let new = term > self.hard.term;
        if new {
            self.set_hard_state(HardState { term, vote: None });
        }
        if new || !matches!(self.state, State::Follower(_)) {
            self.state = State::Follower(Follower::default());
        }
        self.leader = leader;
        self.reset_election_timer(now);
    }

    /// Restarts the random wait before the next campaign.
    fn reset_election_timer(&mut self, now: Instant) {
        self.campaign_at = now + self.timing.random_election_timeout(&mut self.rng);
    }
}
