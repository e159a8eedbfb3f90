//! Recording of calls as they happen.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// One call: what was asked, what was answered, and when.
///
/// Times are counted in events of the recorder, which are in the order of real time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call<Request, Answer> {
    /// What was asked.
    pub request: Request,
    /// What was answered; nothing if the caller can't know whether it took effect.
    pub answer: Option<Answer>,
    /// When it began.
    pub began: u64,
    /// When it was answered; `u64::MAX` without an answer.
    pub ended: u64,
}

/// Records the calls of many threads on one object.
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
    /// Notes that a call begins, and returns its number. To be called before anything is sent.
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

    /// Notes the answer to a call. To be called after the answer has arrived.
    ///
    /// Calls that failed without telling whether they took effect are left without an answer.
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
