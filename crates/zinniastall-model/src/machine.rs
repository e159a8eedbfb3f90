//! The state machine of the control log.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use zinniastall_coord::command::{self, Outcome, Table};

use crate::{
    change::{Answer, Body, Change, Origin},
    id,
    state::State,
    validate,
};

/// Answers kept for each operator.
const MAX_ANSWERS_PER_OPERATOR: usize = 512;
/// Answers kept for all operators together.
const MAX_ANSWERS: usize = 8192;
/// Revisions of narrowing changes kept; see [`Machine::narrows`].
const MAX_NARROWING_REVISIONS: usize = 4096;

/// State machine of a control replica: the configuration and the answers to recent commands.
///
/// It is a pure function of the log. Its bounds are constants rather than settings because replicas
/// that evict answers at different points would answer a resend differently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    state: Arc<State>,
    commands: Table<Answer>,
    narrowing: VecDeque<id::Revision>,
    dropped: id::Revision,
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            commands: Table::new(MAX_ANSWERS_PER_OPERATOR, MAX_ANSWERS),
            narrowing: VecDeque::new(),
            dropped: 0,
        }
    }
}

impl Machine {
    /// Returns the configuration.
    pub const fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Returns the recorded answer to a change whose command has already run.
    pub fn recorded(&self, change: &Change) -> Option<Answer> {
        let origin = change.origin.as_ref()?;
        match self.look_up(origin, &change.body) {
            Outcome::New => None,
            Outcome::Recorded(answer) => Some(answer.clone()),
            Outcome::Reused => Some(Answer::Reused),
        }
    }

    /// Applies a committed change, or returns the recorded answer if its command was resent.
    pub fn apply(&mut self, change: &Change) -> Answer {
        if let Some(answer) = self.recorded(change) {
            return answer;
        }
        let answer = self.run(change);
        if let Some(origin) = &change.origin {
            let digest = digest(&change.body);
            self.commands
                .record(&origin.operator, &origin.command, digest, answer.clone());
        }
        answer
    }

    /// Tells whether the change that led to a revision narrows, so that every member must confirm
    /// it.
    ///
    /// A revision older than those kept counts as narrowing, which at worst makes an operator wait.
    pub fn narrows(&self, revision: id::Revision) -> bool {
        revision <= self.dropped || self.narrowing.contains(&revision)
    }

    fn run(&mut self, change: &Change) -> Answer {
        if let Some(Err(invalid)) = change.origin.as_ref().map(validate::origin) {
            return Answer::Invalid(invalid);
        }
        let answer = Arc::make_mut(&mut self.state).apply(change);
        if let Answer::Done {
            revision,
            narrows: true,
        } = answer
        {
            self.record_narrowing(revision);
        }
        answer
    }

    fn record_narrowing(&mut self, revision: id::Revision) {
        self.narrowing.push_back(revision);
        if self.narrowing.len() > MAX_NARROWING_REVISIONS {
            self.dropped = self.narrowing.pop_front().unwrap_or(self.dropped);
        }
    }

    fn look_up(&self, origin: &Origin, body: &Body) -> Outcome<'_, Answer> {
        self.commands
            .look_up(&origin.operator, &origin.command, &digest(body))
    }
}

/// Returns the digest by which a reused command id is detected.
///
/// The expected revision is left out: a script that resends its command may have read the later
/// revision that the command itself has made.
fn digest(body: &Body) -> command::Digest {
    let mut bytes = Vec::new();
    // Writing to a vector cannot fail. If it did, a resend would still have the same digest.
    drop(ciborium::into_writer(body, &mut bytes));
    command::digest(&bytes)
}
