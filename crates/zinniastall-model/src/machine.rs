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

/// Answers kept for one operator.
const MAX_ANSWERS_PER_OPERATOR: usize = 512;
/// Answers kept in all.
const MAX_ANSWERS: usize = 8192;
/// Narrowing revisions kept.
const MAX_NARROWING_REVISIONS: usize = 4096;

/// What every control replica holds: the configuration and what is known of commands.
///
/// It is a pure function of the log. Its bounds are constants rather than settings because two
/// replicas that forget at different places would answer a resend differently.
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

    /// Returns the recorded answer to a change, if its command ran before.
    pub fn recorded(&self, change: &Change) -> Option<Answer> {
        let origin = change.origin.as_ref()?;
        match self.look_up(origin, &change.body) {
            Outcome::New => None,
            Outcome::Recorded(answer) => Some(answer.clone()),
            Outcome::Reused => Some(Answer::Reused),
        }
    }

    /// Applies one committed change, or answers a resent command as before.
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

    /// Tells whether the change that made a revision narrows, so that every member must confirm it.
    ///
    /// For a revision from before those that are kept the answer is yes, which at worst makes an
    /// operator wait.
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

/// The expected revision is left out: a script that resends may have read a later one meanwhile,
/// which its own command has made.
fn digest(body: &Body) -> command::Digest {
    let mut bytes = Vec::new();
    // Writing into a vector cannot fail; a body that did would only meet its own digest again.
    drop(ciborium::into_writer(body, &mut bytes));
    command::digest(&bytes)
}
