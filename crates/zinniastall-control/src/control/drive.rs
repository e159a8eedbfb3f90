//! Drives the replica: stores, sends, applies and publishes what it asks for.

use std::time::Instant;

use actix::{AsyncContext, Context, Handler, Message};
use zinniastall_coord::replica::{Ready, Role, Status};

use super::{Control, hex};
use crate::{disk::Work, peers};

impl Control {
    /// Handles the replica's output until there is no more.
    pub(super) fn drive(&mut self) {
        if self.failed.is_none() {
            return;
        }
        let now = Instant::now();
        while let Some(ready) = self.replica.ready() {
            self.perform(ready, now);
        }
        self.publish();
        self.check_role(now);
        self.check_reads(now);
        self.check_leaderless();
        self.check_health_queries(now);
    }

    fn perform(&mut self, mut ready: Ready, now: Instant) {
        let messages = std::mem::take(&mut ready.messages);
        let committed = std::mem::take(&mut ready.committed);
        let joins_cluster = ready.cluster.is_some();
        if let Some(snapshot) = ready.install.clone() {
            self.restore(&snapshot);
        }
        if ready.needs_sync() || self.submitted > self.synced {
            self.submitted = ready.batch;
            self.disk.submit(Work::Save(Box::new(ready)));
        } else {
            self.submitted = ready.batch;
            self.synced = ready.batch;
            self.replica.synced(ready.batch, now);
        }
        if joins_cluster {
            self.update_peers();
        }
        let voters = self.replica.status(now).voters;
        for (to, message) in messages {
            let message = peers::Message::Log(Box::new(message));
            self.peers.send(to, voters.address(to), &message);
        }
        self.apply(committed);
    }

    /// Dials the current members of the group with the current cluster id.
    pub(super) fn update_peers(&mut self) {
        let status = self.replica.status(Instant::now());
        let cluster = status.cluster.map(hex);
        self.identity.borrow_mut().cluster = cluster;
        let hello = self.identity.borrow().clone();
        let others = status.voters.members().filter(|id| *id != status.id);
        let mut addresses: Vec<String> = others
            .filter_map(|id| status.voters.address(id).cloned())
            .collect();
        // A replica outside the group knows the group only from its settings and has to ask to
        // join.
        let outside = self.settings.group.heals && !status.voters.is_member(status.id);
        if outside {
            let seeds = self.heal.seeds().iter();
            let fresh = seeds.filter(|seed| **seed != hello.links && !addresses.contains(*seed));
            addresses.extend(fresh.cloned().collect::<Vec<_>>());
        }
        self.replica_info
            .retain(|id, _| status.voters.is_member(*id));
        self.peers.dial(&hello, &addresses);
    }

    /// Schedules [`Control::drive`] to run after the messages already in the mailbox, so that all
    /// their commands share one sync.
    pub(super) fn schedule(&mut self, context: &mut Context<Self>) {
        if !self.scheduled {
            self.scheduled = true;
            context.notify(Drive);
        }
    }

    /// Logs what a majority has confirmed as committed before there is a leader.
    fn check_commit(&mut self, status: &Status) {
        let is_led = status.leader.is_some() || status.role == Role::Leader;
        if !is_led && status.commit > self.known_commit {
            let (index, term) = (status.commit, status.term);
            tracing::info!(event = "log-known", index, term);
        }
        self.known_commit = status.commit;
    }

    fn check_role(&mut self, now: Instant) {
        let status = self.replica.status(now);
        self.check_commit(&status);
        if status.role == self.role {
            return;
        }
        let (part, term) = (format!("{:?}", status.role).to_lowercase(), status.term);
        tracing::info!(event = "part-changed", part, term);
        if self.role == Role::Leader {
            self.waiting
                .shorten_deadlines(now + self.settings.timing.election * 2);
        }
        self.role = status.role;
    }
}

/// Drives the replica.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Drive;

impl Handler<Drive> for Control {
    type Result = ();

    fn handle(&mut self, _: Drive, _: &mut Context<Self>) {
        self.scheduled = false;
        self.drive();
    }
}
