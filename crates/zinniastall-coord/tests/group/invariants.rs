//! Observations of the group, and the invariants checked after each step.

use std::time::Duration;

use zinniastall_coord::replica::{Body, Role, Status};

use crate::network::Network;

/// Most surveys that are watched at a time, since many are never answered.
const MAX_WATCHED_SURVEYS: usize = 64;

impl Network {
    pub(crate) fn check_invariants(&mut self) {
        let statuses = (0..self.nodes.len()).filter_map(|place| Some((place, self.status(place)?)));
        let leads = |(_, status): &(usize, Status)| status.role == Role::Leader;
        let leaders: Vec<(usize, Status)> = statuses.filter(leads).collect();
        for (place, status) in &leaders {
            let first = *self.leaders.entry(status.term).or_insert(status.id);
            assert_eq!(first, status.id, "two leaders in term {}", status.term);
            if status.lease_until.is_some() {
                let known = self.nodes[*place].applied.len();
                assert_eq!(
                    known,
                    self.committed.len(),
                    "a lease holder would answer stale"
                );
                let later = leaders.iter().find(|(_, other)| other.term > status.term);
                assert!(
                    later.is_none(),
                    "a leader was elected while another held a lease"
                );
            }
        }
        self.check_surveys();
        let nodes = &self.nodes;
        self.reads.retain(|(place, barrier, expected)| {
            let Some(replica) = &nodes[*place].replica else {
                return false;
            };
            let passed = replica.passed(barrier).unwrap_or(false);
            assert!(
                !passed || nodes[*place].applied.len() >= *expected,
                "a read would be stale"
            );
            !passed && replica.passed(barrier).is_ok()
        });
        self.surveys.retain(|(place, number, expected)| {
            let Some(replica) = &nodes[*place].replica else {
                return false;
            };
            let answered = replica.surveyed() == Some(*number);
            assert!(
                !answered || nodes[*place].applied.len() >= *expected,
                "a survey would hand out an older state"
            );
            !answered
        });
        let surplus = self.surveys.len().saturating_sub(MAX_WATCHED_SURVEYS);
        self.surveys.drain(..surplus);
    }

    /// Checks that a replica that learns without a leader what is committed holds everything that
    /// was committed when it started.
    fn check_surveys(&mut self) {
        for place in 0..self.nodes.len() {
            let Some(status) = self.status(place) else {
                continue;
            };
            let node = &mut self.nodes[place];
            node.start.led |= status.leader.is_some() || status.role == Role::Leader;
            if !node.start.led && status.commit > node.start.known {
                assert!(
                    node.applied.len() >= node.start.committed,
                    "a replica without a leader would hand out an older state"
                );
            }
        }
    }

    /// Checks that logs on disk that share an entry are equal up to it.
    pub(crate) fn check_logs(&self) {
        for (one, other) in self
            .nodes
            .iter()
            .flat_map(|one| self.nodes.iter().map(move |other| (one, other)))
        {
            let shared = one.disk.entries.iter().rev().find_map(|entry| {
                let held = other
                    .disk
                    .entries
                    .iter()
                    .find(|held| held.position() == entry.position());
                held.map(|_| entry.index)
            });
            let Some(last) = shared else { continue };
            for entry in one.disk.entries.iter().filter(|entry| entry.index <= last) {
                let held = other
                    .disk
                    .entries
                    .iter()
                    .find(|held| held.index == entry.index);
                assert!(
                    held.is_none_or(|held| held == entry),
                    "logs differ before a shared entry"
                );
            }
        }
    }

    pub(crate) fn status(&self, place: usize) -> Option<Status> {
        let node = &self.nodes[place];
        if !node.is_up(self.time) {
            return None;
        }
        Some(node.replica.as_ref()?.status(node.clock(self.time)))
    }

    /// Returns the place of the leader with the latest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let statuses = (0..self.nodes.len()).filter_map(|place| Some((place, self.status(place)?)));
        let leaders = statuses.filter(|(_, status)| status.role == Role::Leader);
        leaders
            .max_by_key(|(_, status)| status.term)
            .map(|(place, _)| place)
    }

    pub(crate) fn leader_status(&self) -> Option<Status> {
        self.status(self.leader()?)
    }

    /// Returns whether a message from a place is in flight.
    pub(crate) fn is_in_flight(&self, from: usize, is: impl Fn(&Body) -> bool) -> bool {
        let id = self.nodes[from].id;
        self.packets
            .iter()
            .any(|packet| packet.from == id && is(&packet.message.body))
    }

    /// Returns the place of the leader and those of the others.
    pub(crate) fn leader_and_followers(&self) -> (usize, Vec<usize>) {
        let leader = self.leader().expect("somebody leads");
        (
            leader,
            (0..self.nodes.len())
                .filter(|place| *place != leader)
                .collect(),
        )
    }

    /// Runs until a condition holds, for at most a minute of simulated time.
    pub(crate) fn run_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = self.time + Duration::from_mins(1);
        while !condition(self) {
            assert!(self.time < end, "not within a minute: {what}");
            self.step();
        }
    }

    /// Returns whether every replica votes, all lost ids are removed, and the group tolerates a
    /// loss.
    pub(crate) fn is_healthy(&self) -> bool {
        let Some(status) = self.leader_status() else {
            return false;
        };
        let all = self
            .nodes
            .iter()
            .all(|node| status.voters.is_voter(node.id));
        all && status.voters.voters.len() == self.nodes.len() && status.failure_tolerance() > 0
    }
}
