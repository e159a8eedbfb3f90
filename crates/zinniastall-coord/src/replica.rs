//! One replica of a replicated log.
//!
//! A [`Replica`] is a state machine without I/O. The embedder feeds it time with
//! [`tick`](Replica::tick), messages with [`receive`](Replica::receive) and commands with
//! [`propose`](Replica::propose), and after each of these empties it with
//! [`ready`](Replica::ready), which says what to store, send and apply. See
//! `examples/embed.rs` for a group of three in one thread.
//!
//! The protocol is leader-based majority replication in terms, as in Ongaro and Ousterhout, "In
//! Search of an Understandable Consensus Algorithm" (2014), with the pre-vote, check-quorum, leader
//! transfer and single-server membership changes of Ongaro's dissertation. `docs/design/consensus.md`
//! gives the reasons and the points where this one differs.

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

use self::durable::Durable;
use self::follower::Follower;
use self::history::History;
use self::leader::Leader;
use self::survey::Survey;
use crate::election::{Timing, Votes};
use crate::log::{Log, Position};

/// Identity of a replica: random, never zero, made with its data folder and lost with it.
pub type Id = u64;

/// Number of an election; at most one replica leads in a term.
pub type Term = u64;

/// Place in the log, counted from 1.
pub type Index = u64;

/// Identity of a cluster, random, made when it is founded.
pub type Cluster = [u8; 16];

/// Bytes of committed entries handed out at once, so that a long log is applied in steps.
const MAX_COMMITTED_BATCH_BYTES: usize = 4 << 20;

/// One member of a replicated log.
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
    durable: Durable,
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
    /// Returns a builder for a replica with the id of its data folder.
    pub fn builder(id: Id, timing: Timing) -> Builder {
        Builder::new(id, timing)
    }

    /// Returns the id of this replica.
    pub const fn id(&self) -> Id {
        self.id
    }

    /// Lets time pass: sends heartbeats, campaigns, or steps down, as far as they are due.
    ///
    /// To be called a few times per heartbeat.
    pub fn tick(&mut self, now: Instant) {
        self.poll_survey();
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now);
        } else if now >= self.campaign_at {
            self.start_pre_vote(now);
        }
    }

    /// Returns the next batch of work, or nothing when all is done for now.
    ///
    /// Each batch has to be answered with [`synced`](Self::synced), in order.
    pub fn ready(&mut self) -> Option<Ready> {
        // What a majority has synced is handed out even if this replica hasn't synced it yet. A
        // leader with a slow disk would otherwise answer reads without an entry that followers
        // have applied already.
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

    /// Notes that everything up to a batch has been synced; releases the messages that waited.
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

    /// Makes a snapshot of the state that the embedder reached by applying all entries handed out.
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

    /// Notes that a snapshot has been synced, and forgets most of the entries before it.
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

    /// Sends once everything stored so far has been synced.
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

    /// Follows in a term, which forgets the vote if the term is new.
    ///
    /// A part of a snapshot is forgotten too: another leader may write the same state in other bytes,
    /// and one put together from both would be garbage with the right length.
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

    /// Starts to wait anew before the next campaign.
    fn reset_election_timer(&mut self, now: Instant) {
        self.campaign_at = now + self.timing.random_election_timeout(&mut self.rng);
    }
}
