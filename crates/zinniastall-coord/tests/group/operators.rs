//! Simulated operators of the group.

use zinniastall_coord::voters::Change;

use crate::network::Network;

impl Network {
    /// Acts as the operators: sends commands, reads, and repairs the group after a lost disk.
    pub(crate) fn operate(&mut self) {
        let Some(place) = self.leader() else { return };
        self.sent += 1;
        let voters = self
            .status(place)
            .map(|status| status.voters)
            .unwrap_or_default();
        let gone = voters
            .members()
            .find(|id| self.nodes[self.places[id]].id != *id);
        let fresh = self
            .nodes
            .iter()
            .map(|node| node.id)
            .find(|id| !voters.is_member(*id));
        let learner = voters
            .learners
            .keys()
            .find(|id| Some(**id) != gone)
            .copied();
        let change = match (learner, fresh, gone) {
            (Some(id), _, _) => Some(Change::Promote { id }),
            (None, Some(id), _) => Some(Change::Admit {
                id,
                address: self.places[&id].to_string(),
            }),
            (None, None, Some(id)) => Some(Change::Remove { id }),
            (None, None, None) => None,
        };
        let now = self.nodes[place].clock(self.time);
        let replica = self.nodes[place].replica.as_mut().expect("a leader is up");
        if let Some(change) = change {
            let _refused = replica.propose_voters(&change, now);
        }
        if self.sent.is_multiple_of(4) {
            let _refused = replica.propose(self.sent.to_le_bytes().to_vec(), now);
        }
        if self.sent.is_multiple_of(7)
            && let Ok(barrier) = replica.barrier(now)
        {
            self.reads.push((place, barrier, self.committed.len()));
        }
        self.drain(place);
    }
}
