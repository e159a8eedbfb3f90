//! What the embedder may ask of a leader: commands, changes of voters, handing over, reading.

use std::time::Instant;

use super::leader::Leader;
use super::progress::Progress;
use super::{Id, Index, Refusal, Replica, Role, Term};
use crate::log::Payload;
use crate::voters::{Change, Voters};

/// A point that a read must wait for.
///
/// Once [`Replica::passed`] says so, the embedder's state holds every command that was
/// acknowledged before the barrier was made, by whichever leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Barrier {
    term: Term,
    round: u64,
    index: Index,
}

impl Replica {
    /// Proposes a command and returns where it will stand if it is committed.
    ///
    /// It took effect if an entry of that term is handed out at that place, and never will if an
    /// entry of another term is.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when this replica doesn't lead, hands over, or a bound is reached. Nothing was
    /// appended then.
    pub fn propose(&mut self, command: Vec<u8>, now: Instant) -> Result<(Term, Index), Refusal> {
        let leader = self.leading()?;
        let (bytes, waiting) = (command.len(), leader.waiting);
        if bytes > self.limits.command {
            return Err(Refusal::TooLarge {
                bytes,
                limit: self.limits.command,
            });
        }
        if waiting + bytes > self.limits.uncommitted {
            return Err(Refusal::Busy {
                bytes: waiting,
                limit: self.limits.uncommitted,
            });
        }
        let index = self.append_own(Payload::Command(command));
        self.replicate(now);
        Ok((self.hard.term, index))
    }

    /// Proposes a change of voters, one at a time.
    ///
    /// A leader changes the set only after it has committed an entry of its own term and while no
    /// other change is open. Otherwise two leaders could each change a set that the other doesn't
    /// know of, and win majorities that share no replica.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the change doesn't fit, a learner to be promoted is behind, or the set after
    /// it would have no majority that answers. Nothing was appended then.
    pub fn propose_voters(
        &mut self,
        change: &Change,
        now: Instant,
    ) -> Result<(Term, Index), Refusal> {
        let leader = self.leading()?;
        if self.commit < leader.first {
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
        self.check_reachable(change, &voters, now)?;
        self.meet(&voters);
        let index = self.append_own(Payload::Voters(voters));
        self.beat(now);
        self.replicate(now);
        Ok((self.hard.term, index))
    }

    /// Hands leadership to the voter that holds most, and names it.
    ///
    /// Proposals are refused until that voter has caught up and was told to campaign; if it doesn't
    /// catch up within an election timeout, this replica goes on leading.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoSuccessor`] when no other voter answers.
    pub fn transfer(&mut self, now: Instant) -> Result<Id, Refusal> {
        self.leading()?;
        let id = self.successor(now).ok_or(Refusal::NoSuccessor)?;
        if let Role::Leader(leader) = &mut self.role {
            leader.handover = Some((id, now + self.timing.election));
        }
        self.replicate(now);
        self.hand_over(now);
        Ok(id)
    }

    /// Makes a barrier for a read that needs no clock, and asks the others to confirm it.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when this replica doesn't lead or doesn't know yet what is committed.
    pub fn barrier(&mut self, now: Instant) -> Result<Barrier, Refusal> {
        let leader = self.leading()?;
        if self.commit < leader.first {
            return Err(Refusal::Unready);
        }
        self.beat(now);
        let leader = self.leading()?;
        Ok(Barrier {
            term: self.hard.term,
            round: leader.round,
            index: self.commit,
        })
    }

    /// Tells whether a barrier has been confirmed by a majority and reached by what was applied.
    ///
    /// # Errors
    ///
    /// [`Refusal::NotLeader`] when the leader that made it leads no more: the read must start anew.
    pub fn passed(&self, barrier: &Barrier) -> Result<bool, Refusal> {
        let Role::Leader(leader) = &self.role else {
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

    /// Returns how many voters may be lost at once without stopping the group or losing a change, by
    /// what they answered since a barrier was made.
    ///
    /// [`Status::spare`](super::Status::spare) counts voters that were heard within an election
    /// timeout. One that was lost a moment ago is among them, and an operator who took another one
    /// down on that word would stop the group. Zero here may mean that answers are still on their way:
    /// ask again while there is time.
    ///
    /// # Errors
    ///
    /// [`Refusal::NotLeader`] when the leader that made the barrier leads no more.
    pub fn spare_since(&self, barrier: &Barrier) -> Result<usize, Refusal> {
        let Role::Leader(leader) = &self.role else {
            return Err(self.not_leader());
        };
        if self.hard.term != barrier.term {
            return Err(self.not_leader());
        }
        if self.history.index() > self.commit {
            return Ok(0);
        }
        let voters = self.history.current();
        let is_whole = |id: &Id| {
            let answered = |progress: &Progress| {
                progress.round >= barrier.round && progress.matched >= barrier.index
            };
            *id == self.id || leader.peers.get(id).is_some_and(answered)
        };
        let whole = voters.voters.keys().filter(|id| is_whole(id)).count();
        Ok(whole.saturating_sub(voters.majority()))
    }

    fn leading(&self) -> Result<&Leader, Refusal> {
        match &self.role {
            Role::Leader(leader) if leader.handover.is_some() => Err(Refusal::Transferring),
            Role::Leader(leader) => Ok(leader),
            _ => Err(self.not_leader()),
        }
    }

    const fn not_leader(&self) -> Refusal {
        Refusal::NotLeader {
            leader: self.leader,
        }
    }

    /// Checks that a learner would make the group safer as a voter, and not only larger.
    fn check_caught_up(&self, id: Id, now: Instant) -> Result<(), Refusal> {
        let progress = self.leading()?.peers.get(&id);
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

    fn check_reachable(
        &self,
        change: &Change,
        voters: &Voters,
        now: Instant,
    ) -> Result<(), Refusal> {
        if matches!(change, Change::Admit { .. } | Change::Move { .. }) {
            return Ok(());
        }
        let (reachable, needed) = (self.reachable(voters, now), voters.majority());
        if reachable < needed {
            return Err(Refusal::Unreachable { reachable, needed });
        }
        Ok(())
    }

    /// Begins to send to members that are new in a set.
    fn meet(&mut self, voters: &Voters) {
        let last = self.log.last().index;
        let id = self.id;
        let Role::Leader(leader) = &mut self.role else {
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
