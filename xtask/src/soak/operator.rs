//! A scripted operator: changes objects in turn and records which changes were accepted.

use std::time::Duration;

use serde_json::{Value, json};
use zinniastall_tests::wait;

use super::system::System;

/// Number of objects, changed in turn.
const OBJECTS: usize = 4;
/// Longest wait for the control group to respond after the last fault.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);

/// State of the scripted operator.
#[derive(Debug, Default)]
pub(super) struct Operator {
    steps: usize,
    /// Latest accepted version of each object; zero if there is none.
    known: [usize; OBJECTS],
    /// Number of accepted changes.
    pub(super) accepted: usize,
    /// Number of objects that lost an accepted change.
    pub(super) reverted: usize,
    /// Number of processes that did not exit cleanly on SIGTERM.
    pub(super) unclean: usize,
}

impl Operator {
    /// Applies the next object, with an ever-increasing version.
    pub(super) async fn step(&mut self, system: &System) {
        self.steps += 1;
        let object = self.steps % OBJECTS;
        let body = json!({"model": {"id": name(object), "version": self.steps.to_string()}});
        let arguments = ["--timeout", "2000", "apply", &body.to_string()];
        let Ok(run) = system.cluster.ctl(&arguments).await else {
            return;
        };
        // Exit code 4 means pending: the change is committed as well. Any other result leaves the
        // outcome unknown.
        if matches!(run.code, Some(0 | 4)) {
            self.accepted += 1;
            self.known[object] = self.steps;
        }
    }

    /// Waits for the group to respond and compares its objects with the accepted changes.
    pub(super) async fn settle(&mut self, system: &System) -> eyre::Result<()> {
        for object in 0..OBJECTS {
            let known = self.known[object];
            if known == 0 {
                continue;
            }
            let held = wait::within(
                SETTLE_TIMEOUT,
                "a response of the control group",
                async || {
                    let arguments = ["--timeout", "2000", "get", "model", &name(object)];
                    let record = system.cluster.ctl(&arguments).await.ok()?.json().ok()?;
                    version(&record)
                },
            );
            // A later version is correct: its change may have been committed although the response
            // was lost.
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
