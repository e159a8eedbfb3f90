//! Model of a ticket: callers retry a request with one ticket, and its work runs at most once.

use super::check::Model;

/// Request that concerns one ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Sends the work; repeated until some caller learns its outcome.
    Ask,
    /// Counts the runs in the targets' ledgers, after the last attempt.
    Count,
}

/// Answer to a request.
///
/// The outcome "unknown" counts as no answer: the work may have run, or may still run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The complete result of the work.
    Whole(String),
    /// The work has not run and will not run.
    NotRun,
    /// Number of runs at the targets.
    Ran(usize),
}

/// Work that runs at most once and has a single correct result.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// Text of the complete result.
    pub expected: String,
}

/// State of the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// It has not run, but may still run.
    Open,
    /// It has run.
    Ran,
    /// A caller was told that it has not run. If it ran now and the caller retried with a new
    /// ticket, it would run twice.
    Refused,
}

impl Model for Ticket {
    type State = State;
    type Request = Request;
    type Answer = Answer;

    fn initial(&self) -> State {
        State::Open
    }

    fn step(&self, state: &State, request: &Request, answer: Option<&Answer>) -> Option<State> {
        match (request, answer, state) {
            (Request::Ask, Some(Answer::Whole(text)), State::Open | State::Ran) => {
                (*text == self.expected).then_some(State::Ran)
            }
            (Request::Ask, Some(Answer::NotRun), State::Open | State::Refused) => {
                Some(State::Refused)
            }
            (Request::Ask, None, State::Open) => Some(State::Ran),
            (Request::Count, Some(Answer::Ran(runs)), _) => {
                (*runs == usize::from(*state == State::Ran)).then_some(*state)
            }
            (_, None, _) => Some(*state),
            _ => None,
        }
    }
}
