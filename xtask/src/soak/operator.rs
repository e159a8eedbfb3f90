//! An operator's script under soak: changes one object after the other and notes what it was told.

use std::time::Duration;

use serde_json::{Value, json};
use zinniastall_tests::wait;

use super::system::System;

/// Objects that are changed in turn.
const OBJECTS: usize = 4;
/// Longest wait for the group once all faults are over.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);

/// An operator's script and what it was told.
#[derive(Debug, Default)]
pub(super) struct Operator {
    steps: usize,
    /// Newest version of each object that was accepted.
    known: [usize; OBJECTS],
    /// Changes that were accepted.
    pub(super) accepted: usize,
    /// Times that an accepted change was gone.
    pub(super) reverted: usize,
    /// Times that a process told to end did not end cleanly.
    pub(super) unclean: usize,
}

impl Operator {
    /// Changes the next object, to a version that only grows.
    pub(super) async fn step(&mut self, system: &System) {
        self.steps += 1;
        let object = self.steps % OBJECTS;
        let body = json!({"model": {"id": name(object), "version": self.steps.to_string()}});
        let arguments = ["--timeout", "2000", "apply", &body.to_string()];
        let Ok(run) = system.cluster.ctl(&arguments).await else {
            return;
        };
        // A pending change has been committed too; without an answer nothing is known.
        if matches!(run.code, Some(0 | 4)) {
            self.accepted += 1;
            self.known[object] = self.steps;
        }
    }

    /// Waits for the group to answer and compares what it holds with what it had accepted.
    pub(super) async fn settle(&mut self, system: &System) -> eyre::Result<()> {
        for object in 0..OBJECTS {
            let known = self.known[object];
            if known == 0 {
                continue;
            }
            let held = wait::within(SETTLE_TIMEOUT, "the group answering", async || {
                let arguments = ["--timeout", "2000", "get", "model", &name(object)];
                let record = system.cluster.ctl(&arguments).await.ok()?.json().ok()?;
                version(&record)
            });
            // Later versions may be in force although their answer was lost.
            let held = held.await?;
            if held < known {
                println!("soak: {} reverted from {known} to {held}", name(object));
                self.reverted += 1;
            }
        }
        Ok(())
    }
}

fn name(object: usize) -> String {
    format!("soak-{object}")
}

fn version(record: &Value) -> Option<usize> {
    record["object"]["model"]["version"].as_str()?.parse().ok()
}
