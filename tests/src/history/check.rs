//! Search for a linearization of a history.

use std::collections::HashSet;
use std::hash::Hash;

use thiserror::Error;

use super::recorder::Call;

/// Sequential specification of an object.
pub trait Model {
    /// State of the object.
    type State: Clone + Eq + Hash;
    /// Request of a call.
    type Request;
    /// Answer to a call.
    type Answer;

    /// Returns the state before the first call.
    fn initial(&self) -> Self::State;

    /// Returns the state after a call, or `None` if the answer contradicts the state before it.
    ///
    /// A call without an answer is allowed in any state.
    fn step(
        &self,
        state: &Self::State,
        request: &Self::Request,
        answer: Option<&Self::Answer>,
    ) -> Option<Self::State>;
}

/// A history that is not linearizable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no order explains the {calls} calls; the longest prefix found explains {explained}")]
pub struct Violation {
    /// Number of calls in the history.
    pub calls: usize,
    /// Length of the longest valid sequential prefix found.
    pub explained: usize,
}

/// Checks that a history is linearizable.
///
/// # Errors
///
/// Returns [`Violation`] if it is not.
pub fn check<M: Model>(model: &M, calls: &[Call<M::Request, M::Answer>]) -> Result<(), Violation> {
    let mut sorted: Vec<_> = calls.iter().collect();
    sorted.sort_by_key(|call| call.began);
    let start = Configuration {
        ordered: CallSet::new(sorted.len()),
        state: model.initial(),
    };
    let mut seen = HashSet::from([start.clone()]);
    let mut pending = vec![start];
    let mut explained = 0;
    while let Some(configuration) = pending.pop() {
        if configuration.ordered.contains_all_answered(&sorted) {
            return Ok(());
        }
        explained = explained.max(configuration.ordered.count());
        for next in configuration.successors(model, &sorted) {
            if seen.insert(next.clone()) {
                pending.push(next);
            }
        }
    }
    Err(Violation {
        calls: sorted.len(),
        explained,
    })
}

/// The set of calls ordered so far and the state that they result in.
///
/// Two orders of the same calls that result in the same state have the same continuations, so each
/// pair of set and state is explored only once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Configuration<State> {
    ordered: CallSet,
    state: State,
}

impl<State: Clone + Eq + Hash> Configuration<State> {
    /// Returns the configurations that are reachable by one more call.
    ///
    /// A call can be next if it began before any other unordered call ended.
    fn successors<M: Model<State = State>>(
        &self,
        model: &M,
        calls: &[&Call<M::Request, M::Answer>],
    ) -> Vec<Self> {
        let open = || (0..calls.len()).filter(|call| !self.ordered.contains(*call));
        let first_end = open()
            .map(|call| calls[call].ended)
            .min()
            .unwrap_or(u64::MAX);
        let mut successors = Vec::new();
        for call in open().take_while(|call| calls[*call].began < first_end) {
            let answer = calls[call].answer.as_ref();
            let Some(state) = model.step(&self.state, &calls[call].request, answer) else {
                continue;
            };
            // An unanswered call that changes nothing is equivalent to one that never took effect.
            if answer.is_none() && state == self.state {
                continue;
            }
            successors.push(Self {
                ordered: self.ordered.with(call),
                state,
            });
        }
        successors
    }
}

/// A bit set of calls, by index in the sorted history.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CallSet {
    bits: Vec<u64>,
}

impl CallSet {
    fn new(calls: usize) -> Self {
        Self {
            bits: vec![0; calls.div_ceil(64)],
        }
    }

    fn contains(&self, call: usize) -> bool {
        self.bits[call / 64] >> (call % 64) & 1 == 1
    }

    fn with(&self, call: usize) -> Self {
        let mut next = self.clone();
        next.bits[call / 64] |= 1 << (call % 64);
        next
    }

    fn count(&self) -> usize {
        self.bits
            .iter()
            .map(|bits| bits.count_ones() as usize)
            .sum()
    }

    fn contains_all_answered<Request, Answer>(&self, calls: &[&Call<Request, Answer>]) -> bool {
        let mut answered = (0..calls.len()).filter(|call| calls[*call].answer.is_some());
        answered.all(|call| self.contains(call))
    }
}
