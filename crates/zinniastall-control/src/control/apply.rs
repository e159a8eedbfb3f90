//! Applies committed entries and publishes the resulting configuration.

use std::{sync::Arc, time::Instant};

use zinniastall_coord::{
    log::{Entry, Payload},
    replica::Snapshot,
};
use zinniastall_model::{
    change::{Answer, Change},
    machine::Machine,
    routing::Publication,
};

use super::{
    Control, Failure,
    reply::{NotLeader, Reply},
    waiting::answer,
};
use crate::disk::Work;

/// Bytes of applied commands that trigger a snapshot before the entry limit does. A table of
/// hundreds of routes takes about 100 KB; without this limit a thousand of them would be kept in
/// memory and on disk.
const MAX_BYTES_SINCE_SNAPSHOT: usize = 2 << 20;

impl Control {
    /// Applies committed entries in order.
    pub(super) fn apply(&mut self, committed: Vec<Entry>) {
        let count = committed.len() as u64;
        for entry in committed {
            let reply = match &entry.payload {
                Payload::Noop => None,
                Payload::Voters(_) => {
                    self.update_peers();
                    Some(Answer::Done {
                        revision: 0,
                        narrows: false,
                    })
                }
                Payload::Command(command) => {
                    self.bytes_since_snapshot += command.len();
                    self.apply_command(command)
                }
            };
            self.answer_write(&entry, reply);
        }
        self.entries_since_snapshot += count;
        if self.entries_since_snapshot >= self.settings.limits.snapshot_entries
            || self.bytes_since_snapshot >= MAX_BYTES_SINCE_SNAPSHOT
        {
            (self.entries_since_snapshot, self.bytes_since_snapshot) = (0, 0);
            self.save_snapshot();
        }
    }

    /// Replaces the whole state by a leader's snapshot.
    pub(super) fn restore(&mut self, snapshot: &Snapshot) {
        match ciborium::from_reader::<Machine, _>(snapshot.data.as_slice()) {
            Ok(machine) => {
                tracing::info!(event = "snapshot-installed", index = snapshot.last.index);
                self.machine = machine;
                let restored = self.machine.state().routing.as_ref();
                self.settling.begin(restored, Instant::now());
                let state = Arc::clone(self.machine.state()).stripped();
                self.feed.send_modify(|feed| feed.restore(state));
                self.waiting.abandon_through(snapshot.last.index);
                self.entries_since_snapshot = 0;
            }
            Err(error) => {
                // Going on would apply later entries to a state that lacks earlier ones.
                self.fail(Failure::Snapshot(error));
            }
        }
    }

    /// Publishes the configuration if it or the connection state has changed.
    pub(super) fn publish(&self) {
        let state = self.machine.state();
        let connected = self.is_connected();
        self.feed.send_if_modified(|feed| {
            let is_newer = feed.state().revision < state.revision;
            let changed = is_newer || feed.is_connected() != connected;
            feed.set_connected(connected);
            if is_newer {
                feed.set_state(Arc::clone(state).stripped());
            }
            changed
        });
    }

    /// Returns whether a leader is known and everything known to be committed is applied.
    fn is_connected(&self) -> bool {
        let status = self.replica.status(Instant::now());
        status.leader.is_some() && status.commit > 0 && status.applied >= status.commit
    }

    fn apply_command(&mut self, command: &[u8]) -> Option<Answer> {
        let change: Change = match ciborium::from_reader(command) {
            Ok(change) => change,
            Err(error) => {
                // Every replica finds the same bytes malformed, so skipping them keeps the replicas
                // equal.
                tracing::error!(event = "entry-malformed", error = %error);
                return None;
            }
        };
        let state = self.machine.state();
        let (before, replaced) = (state.revision, state.routing.clone());
        let answer = self.machine.apply(&change);
        let revision = self.machine.state().revision;
        if let Some(replaced) = replaced {
            self.settle(replaced);
        }
        if revision > before {
            tracing::info!(event = "change-committed", revision);
            self.feed.send_if_modified(|feed| {
                feed.push(revision, Arc::new(change.stripped()));
                false
            });
        }
        Some(answer)
    }

    /// Lets the table in force settle if it has replaced another one.
    fn settle(&mut self, replaced: Arc<Publication>) {
        let held = self.machine.state().routing.as_ref();
        let Some(held) = held.filter(|held| !Arc::ptr_eq(held, &replaced)) else {
            return;
        };
        let left = self.settling.replace(replaced, held, Instant::now());
        if !left.is_zero() {
            let (number, left_ms) = (held.table.number, left.as_millis());
            tracing::info!(event = "table-settles", number, left_ms);
        }
    }

    fn answer_write(&mut self, entry: &Entry, outcome: Option<Answer>) {
        let Some(write) = self.waiting.take(entry.index) else {
            return;
        };
        if write.term != entry.term {
            // Another leader's entry has taken this index, so the write can never be committed.
            let reply = Reply::NotLeader(NotLeader {
                leader: self.leader_address(),
            });
            answer(write.reply, reply);
            return;
        }
        match outcome {
            Some(outcome) => self.finish_write(&outcome, write.wait, write.is_table, write.reply),
            None => answer(write.reply, Reply::Unknown),
        }
    }

    fn save_snapshot(&self) {
        let mut data = Vec::new();
        if let Err(error) = ciborium::into_writer(&self.machine, &mut data) {
            tracing::error!(event = "snapshot-failed", error = %error);
            return;
        }
        let snapshot = self.replica.snapshot(data);
        self.disk.submit(Work::Snapshot(Box::new(snapshot)));
    }
}
