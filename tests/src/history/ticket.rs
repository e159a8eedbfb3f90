//! Work that runs at most once, as those who ask for it with one ticket see it.

use super::check::Model;

/// What is asked about one ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// That its work is done; the same is asked again until somebody knows how it ended.
    Ask,
    /// How often the targets have run it, once nobody asks any more.
    Count,
}

/// What was answered. "Unknown" is no answer: the work may have run, or may still.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The whole answer of the work.
    Whole(String),
    /// It has not run and will not.
    NotRun,
    /// The targets have run it so often.
    Ran(usize),
}

/// Work that runs at most once, and its only right answer.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// Text of the whole answer.
    pub expected: String,
}

/// What has become of the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// It may still run.
    Open,
    /// It has run.
    Ran,
    /// Somebody was told that it has not run; if it ran now, a new ticket would run it twice.
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
