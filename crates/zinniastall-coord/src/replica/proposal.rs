//! Requests of the embedder to a leader: commands, changes of voters, leadership transfer, reads.

use std::time::Instant;

use super::leader::Leader;
use super::progress::Progress;
use super::{Id, Index, Refusal, Replica, State, Term};
use crate::log::Payload;
use crate::voters::{Change, Voters};

/// A point in the log that a linearizable read must wait for.
///
/// Once [`Replica::passed`] returns `true`, the embedder's state contains every command that was
/// acknowledged before the barrier was created, by whichever leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Barrier {
    term: Term,
    round: u64,
    index: Index,
}

impl Replica {
    /// Proposes a command and returns its term and its index in the log.
    ///
    /// The command has taken effect once an entry of that term is handed out at that index; it
    /// never will if an entry of another term is.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when this replica doesn't lead, is transferring leadership, or a limit is
    /// reached. Nothing is appended in that case.
    pub fn propose(&mut self, command: Vec<u8>, now: Instant) -> Result<(Term, Index), Refusal> {
        let leader = self.require_leader()?;
        let (bytes, uncommitted_bytes) = (command.len(), leader.uncommitted_bytes);
        if bytes > self.limits.command {
            return Err(Refusal::TooLarge {
                bytes,
                limit: self.limits.command,
            });
        }
        if uncommitted_bytes + bytes > self.limits.uncommitted {
            return Err(Refusal::Busy {
                bytes: uncommitted_bytes,
                limit: self.limits.uncommitted,
            });
        }
        let index = self.append_as_leader(Payload::Command(command));
        self.replicate(now);
        Ok((self.hard.term, index))
    }

    /// Proposes a change of voters; only one may be in progress.
    ///
    /// A leader changes the set only after it has committed an entry of its own term and while no
    /// other change is uncommitted. Otherwise two leaders could each change a set that the other
    /// doesn't know of, and win majorities that share no replica.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the change doesn't fit the current set, the learner to be promoted is
    /// behind, or the new set would have no reachable majority. Nothing is appended in that case.
    pub fn propose_voters(
        &mut self,
        change: &Change,
        now: Instant,
    ) -> Result<(Term, Index), Refusal> {
        let leader = self.require_leader()?;
        if self.commit < leader.first_index {
            return Err(Refusal::Unready);
        }
        if self.history.index() > self.commit {
            return Err(Refusal::Pending {
                index: self.history.index(),
            });
        }
        let voters = self.history.current().after(change)?;
        if let Change::Promote { id } = change {
            self.check_caught_up(*id, now)?;
        }
        self.check_quorum_after(change, &voters, now)?;
        self.track_members(&voters);
        let index = self.append_as_leader(Payload::Voters(voters));
        self.broadcast_heartbeat(now);
        self.replicate(now);
        Ok((self.hard.term, index))
    }

    /// Transfers leadership to the reachable voter with the longest log and returns its id.
    ///
    /// Proposals are refused until that voter has caught up and was told to campaign. If it doesn't
    /// catch up within an election timeout, this replica continues to lead.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoSuccessor`] when no other voter is reachable.
    pub fn transfer(&mut self, now: Instant) -> Result<Id, Refusal> {
        self.require_leader()?;
        let id = self.successor(now).ok_or(Refusal::NoSuccessor)?;
        if let State::Leader(leader) = &mut self.state {
            leader.transfer = Some((id, now + self.timing.election));
        }
        self.replicate(now);
        self.complete_transfer(now);
        Ok(id)
    }

    /// Creates a barrier for a read that doesn't rely on clocks, and asks the others to confirm it.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when this replica doesn't lead or doesn't know yet what is committed.
    pub fn barrier(&mut self, now: Instant) -> Result<Barrier, Refusal> {
        let leader = self.require_leader()?;
        if self.commit < leader.first_index {
            return Err(Refusal::Unready);
        }
        self.broadcast_heartbeat(now);
        let leader = self.require_leader()?;
        Ok(Barrier {
            term: self.hard.term,
            round: leader.round,
            index: self.commit,
        })
    }

    /// Returns whether a majority has confirmed a barrier and the entries up to it are applied.
    ///
    /// # Errors
    ///
    /// [`Refusal::NotLeader`] when the leader that created it no longer leads: the read must start
    /// again.
    pub fn passed(&self, barrier: &Barrier) -> Result<bool, Refusal> {
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        if self.hard.term != barrier.term {
            return Err(self.not_leader());
        }
        let confirmed = self
            .majority_round(leader)
            .is_some_and(|round| round >= barrier.round);
        Ok(confirmed && self.applied >= barrier.index)
    }

    /// Returns how many voters may be lost at once without stopping the group or losing a change,
    /// judged by their answers since a barrier was created.
    ///
    /// [`Status::failure_tolerance`](super::Status::failure_tolerance) counts voters that were
    /// heard within an election timeout. A voter that was lost a moment ago is still counted, and
    /// an operator who relied on that number to take another one down would stop the group. Zero
    /// may also mean that answers are still in flight: ask again while there is time.
    ///
    /// # Errors
    ///
    /// [`Refusal::NotLeader`] when the leader that created the barrier no longer leads.
    pub fn failure_tolerance_since(&self, barrier: &Barrier) -> Result<usize, Refusal> {
        let State::Leader(leader) = &self.state else {
            return Err(self.not_leader());
        };
        if self.hard.term != barrier.term {
            return Err(self.not_leader());
        }
        if self.history.index() > self.commit {
            return Ok(0);
        }
        let voters = self.history.current();
        let is_up_to_date = |id: &Id| {
            let answered = |progress: &Progress| {
                progress.round >= barrier.round && progress.matched >= barrier.index
            };
            *id == self.id || leader.peers.get(id).is_some_and(answered)
        };
        let up_to_date = voters.voters.keys().filter(|id| is_up_to_date(id)).count();
        Ok(up_to_date.saturating_sub(voters.majority()))
    }

    fn require_leader(&self) -> Result<&Leader, Refusal> {
        match &self.state {
            State::Leader(leader) if leader.transfer.is_some() => Err(Refusal::Transferring),
            State::Leader(leader) => Ok(leader),
            _ => Err(self.not_leader()),
        }
    }

    const fn not_leader(&self) -> Refusal {
        Refusal::NotLeader {
            leader: self.leader,
        }
    }

    /// Checks that a learner has caught up and answers, so that its promotion makes the group
    /// safer.
    fn check_caught_up(&self, id: Id, now: Instant) -> Result<(), Refusal> {
        let progress = self.require_leader()?.peers.get(&id);
        let matched = progress.map_or(0, |progress| progress.matched);
        if matched + self.limits.lag < self.commit || matched == 0 {
            return Err(Refusal::Behind {
                matched,
                commit: self.commit,
            });
        }
        if !progress.is_some_and(|progress| progress.is_reachable(&self.timing, now)) {
            return Err(Refusal::Silent { id });
        }
        Ok(())
    }

    fn check_quorum_after(
        &self,
        change: &Change,
        voters: &Voters,
        now: Instant,
    ) -> Result<(), Refusal> {
        if matches!(change, Change::Admit { .. } | Change::Move { .. }) {
            return Ok(());
        }
        let (reachable, needed) = (self.count_reachable(voters, now), voters.majority());
        if reachable < needed {
            return Err(Refusal::Unreachable { reachable, needed });
        }
        Ok(())
    }

    /// Starts to track the progress of members that are new in a set.
    fn track_members(&mut self, voters: &Voters) {
        let last = self.log.last().index;
        let id = self.id;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        for member in voters.members().filter(|member| *member != id) {
            leader
                .peers
                .entry(member)
                .or_insert_with(|| Progress::new(last));
        }
    }
}
