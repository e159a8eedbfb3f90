//! Recording of concurrent calls.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// A call: its request, its answer, and when it began and ended.
///
/// Times are sequence numbers of the recorder's events, which follow the order of real time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call<Request, Answer> {
    /// Request.
    pub request: Request,
    /// Answer, or `None` if the caller does not know whether the call took effect.
    pub answer: Option<Answer>,
    /// Time at which it began.
    pub began: u64,
    /// Time at which it was answered; `u64::MAX` without an answer.
    pub ended: u64,
}

/// Records calls of many threads on one object.
#[derive(Debug)]
pub struct Recorder<Request, Answer> {
    record: Mutex<Record<Request, Answer>>,
}

#[derive(Debug)]
struct Record<Request, Answer> {
    events: u64,
    calls: Vec<Call<Request, Answer>>,
}

impl<Request, Answer> Default for Recorder<Request, Answer> {
    fn default() -> Self {
        Self {
            record: Mutex::new(Record {
                events: 0,
                calls: Vec::new(),
            }),
        }
    }
}

impl<Request, Answer> Recorder<Request, Answer> {
    /// Records the start of a call and returns its index.
    ///
    /// Must be called before the request is sent.
    pub fn begin(&self, request: Request) -> usize {
        let mut record = self.lock();
        let began = record.next_event();
        record.calls.push(Call {
            request,
            answer: None,
            began,
            ended: u64::MAX,
        });
        record.calls.len() - 1
    }

    /// Records the answer to a call.
    ///
    /// Must be called after the answer has arrived, and not for a call whose effect is unknown:
    /// such a call stays without an answer.
    pub fn end(&self, call: usize, answer: Answer) {
        let mut record = self.lock();
        let ended = record.next_event();
        if let Some(call) = record.calls.get_mut(call) {
            call.answer = Some(answer);
            call.ended = ended;
        }
    }

    /// Returns all calls in the order in which they began.
    pub fn into_calls(self) -> Vec<Call<Request, Answer>> {
        self.record
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner)
            .calls
    }

    fn lock(&self) -> MutexGuard<'_, Record<Request, Answer>> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<Request, Answer> Record<Request, Answer> {
    const fn next_event(&mut self) -> u64 {
        self.events += 1;
        self.events
    }
}
