//! An object with a value and a revision, as operators see it.

use super::check::Model;

/// What an operator asks of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// The present value and revision.
    Read,
    /// A new value, if the revision is the expected one. No value deletes the object.
    Write {
        /// Revision that the object must have, zero for an object that never was.
        expected: u64,
        /// New value.
        value: Option<String>,
    },
}

/// What the operator was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The object as it is.
    Found {
        /// Its revision.
        revision: u64,
        /// Its value.
        value: Option<String>,
    },
    /// The write was accepted.
    Accepted {
        /// Revision that it made, later than the expected one.
        revision: u64,
    },
    /// The expected revision was not the present one.
    Conflict {
        /// The present revision.
        revision: u64,
    },
}

/// Writes by expected revision; revisions only grow, by any step.
#[derive(Debug, Clone, Copy, Default)]
pub struct Register;

/// The object after some calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    revision: Revision,
    value: Option<String>,
}

/// A revision that nobody was told of is only known to be later than the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Revision {
    Known(u64),
    After(u64),
}

impl Revision {
    const fn could_be(self, revision: u64) -> bool {
        match self {
            Self::Known(held) => held == revision,
            Self::After(earlier) => earlier < revision,
        }
    }
}

impl Model for Register {
    type State = State;
    type Request = Request;
    type Answer = Answer;

    fn initial(&self) -> State {
        State {
            revision: Revision::Known(0),
            value: None,
        }
    }

    fn step(&self, state: &State, request: &Request, answer: Option<&Answer>) -> Option<State> {
        let held = state.revision;
        let with_revision = |revision| State {
            revision: Revision::Known(revision),
            ..state.clone()
        };
        match (request, answer) {
            (Request::Read, Some(Answer::Found { revision, value })) => (held.could_be(*revision)
                && *value == state.value)
                .then(|| with_revision(*revision)),
            (Request::Write { expected, .. }, Some(Answer::Conflict { revision })) => {
                (held.could_be(*revision) && revision != expected).then(|| with_revision(*revision))
            }
            (Request::Write { expected, value }, Some(Answer::Accepted { revision })) => {
                let fits = held.could_be(*expected) && revision > expected;
                fits.then(|| State {
                    revision: Revision::Known(*revision),
                    value: value.clone(),
                })
            }
            (Request::Write { expected, value }, None) if held.could_be(*expected) => Some(State {
                revision: Revision::After(*expected),
                value: value.clone(),
            }),
            (Request::Read | Request::Write { .. }, None) => Some(state.clone()),
            (Request::Read | Request::Write { .. }, Some(_)) => None,
        }
    }
}
