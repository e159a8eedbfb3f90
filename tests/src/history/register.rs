//! Model of a configuration object with a value and a revision.

use super::check::Model;

/// Request of an operator on one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Reads the current value and revision.
    Read,
    /// Writes a value if the current revision is the expected one; `None` deletes the object.
    Write {
        /// Expected current revision; zero for an object that has never existed.
        expected: u64,
        /// New value.
        value: Option<String>,
    },
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Result of a read.
    Found {
        /// Current revision.
        revision: u64,
        /// Current value.
        value: Option<String>,
    },
    /// The write was accepted.
    Accepted {
        /// Revision of the write, greater than the expected one.
        revision: u64,
    },
    /// The write was rejected because the current revision is not the expected one.
    Conflict {
        /// Current revision.
        revision: u64,
    },
}

/// A register with compare-and-set writes, whose revisions increase by arbitrary steps.
#[derive(Debug, Clone, Copy, Default)]
pub struct Register;

/// Value and revision of a register.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    revision: Revision,
    value: Option<String>,
}

/// Knowledge about the current revision.
///
/// The revision of an unanswered write is only known to be greater than its expected one.
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
        let at = |revision| State {
            revision: Revision::Known(revision),
            ..state.clone()
        };
        match (request, answer) {
            (Request::Read, Some(Answer::Found { revision, value })) => {
                (held.could_be(*revision) && *value == state.value).then(|| at(*revision))
            }
            (Request::Write { expected, .. }, Some(Answer::Conflict { revision })) => {
                (held.could_be(*revision) && revision != expected).then(|| at(*revision))
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
