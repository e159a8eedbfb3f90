//! Recorded response of a ticket's request.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use tokio::sync::watch;
use zinniastall_http::ending::Ending;
use zinniastall_route::outcome::{Reason, Refusal};

use super::reader::Reader;
use crate::callers::reply::{self, Reply, Served};

/// Recorded response of a ticket's request, with a single writer and any number of readers.
///
/// A response that exceeds the limit is discarded as the owner (the reader that started the run)
/// consumes it, and the writer waits for the owner, so that memory stays bounded. A later retry is
/// told that the request ran and that its response was not kept.
#[derive(Debug)]
pub struct Record {
    state: Mutex<State>,
    pub(super) changed: watch::Sender<()>,
    limit: usize,
}

#[derive(Debug)]
pub(super) struct State {
    head: Option<Head>,
    parts: VecDeque<Bytes>,
    /// Index of the first part that is still held.
    base: usize,
    bytes: usize,
    retained: bool,
    /// Index of the part that the owner reads next; `None` once it is gone.
    pub(super) owner: Option<usize>,
    end: Option<Result<(), Refusal>>,
}

#[derive(Debug, Clone)]
struct Head {
    status: u16,
    headers: Vec<(String, String)>,
    length: Option<u64>,
    highest: Ending,
    events: bool,
    served: Served,
}

/// What a reader finds at its position.
pub(super) enum Step {
    Part(Bytes),
    Wait,
    End(Result<(), Refusal>),
}

impl Record {
    /// Creates the record of a request that is about to run.
    pub fn new(limit: usize) -> Self {
        Self {
            state: Mutex::new(State {
                head: None,
                parts: VecDeque::new(),
                base: 0,
                bytes: 0,
                retained: true,
                owner: Some(0),
                end: None,
            }),
            changed: watch::Sender::new(()),
            limit,
        }
    }

    /// Sets the response head.
    pub fn set_head(&self, reply: &Reply) {
        self.lock().head = Some(Head {
            status: reply.status,
            headers: reply.headers.clone(),
            length: reply.length,
            highest: reply.highest,
            events: reply.events,
            served: reply.served.clone(),
        });
        self.notify();
    }

    /// Appends a part, and waits while more than the limit is held for the owner.
    pub async fn push(&self, bytes: Bytes) {
        let mut changed = self.changed.subscribe();
        {
            let mut state = self.lock();
            state.bytes += bytes.len();
            state.parts.push_back(bytes);
            if state.bytes > self.limit {
                state.retained = false;
            }
            state.trim();
        }
        self.notify();
        while self.lock().bytes > self.limit {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Records the end of the response; later calls have no effect.
    pub fn end(&self, end: Result<(), Refusal>) {
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
        }
        drop(state);
        self.notify();
    }

    /// Returns the number of bytes kept for retries, once the response has ended.
    pub fn kept(&self) -> Option<usize> {
        let state = self.lock();
        state.end.as_ref().map(|_| state.bytes)
    }

    /// Discards the parts of an ended response that the owner has read; its result is kept.
    pub fn drop_answer(&self) {
        let mut state = self.lock();
        state.retained = false;
        state.trim();
        drop(state);
        self.notify();
    }

    /// Returns a reply that reads the response from its start; the owner is the reader that started
    /// the run.
    ///
    /// # Errors
    ///
    /// Returns the recorded refusal, or [`Reason::AnswerNotKept`].
    pub async fn read(self: Arc<Self>, owner: bool) -> Result<Reply, Refusal> {
        let reader = Reader::new(Arc::clone(&self), owner);
        let head = self.wait_head().await?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            length: head.length,
            highest: head.highest,
            events: head.events,
            offset: 0,
            served: head.served,
            software: None,
            body: reply::lazy_body(reader),
        })
    }

    async fn wait_head(&self) -> Result<Head, Refusal> {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(head) = self.poll_head()? {
                return Ok(head);
            }
            if changed.changed().await.is_err() {
                return Err(Refusal::unknown(Reason::TargetLost));
            }
        }
    }

    fn poll_head(&self) -> Result<Option<Head>, Refusal> {
        let state = self.lock();
        match (&state.head, &state.end) {
            // A retry is told at once that the response broke, instead of receiving a part of it.
            (_, Some(Err(refusal))) => Err(refusal.clone()),
            (Some(_), _) if state.base > 0 => Err(Refusal::unknown(Reason::AnswerNotKept)),
            (Some(head), _) => Ok(Some(head.clone())),
            (None, Some(Ok(()))) => Err(Refusal::unknown(Reason::AnswerNotKept)),
            (None, None) => Ok(None),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        // Each change is made in a single step, so the state stays consistent after a panic
        // elsewhere.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn notify(&self) {
        self.changed.send_replace(());
    }
}

impl State {
    /// Discards parts that exceed the limit and that the owner has read.
    pub(super) fn trim(&mut self) {
        let end = self.base + self.parts.len();
        let taken = self.owner.unwrap_or(end);
        while !self.retained && self.base < taken {
            let Some(part) = self.parts.pop_front() else {
                break;
            };
            self.bytes -= part.len();
            self.base += 1;
        }
    }

    pub(super) fn step(&self, next: usize) -> Step {
        if next < self.base {
            return Step::End(Err(Refusal::unknown(Reason::AnswerNotKept)));
        }
        match (self.parts.get(next - self.base), &self.end) {
            (Some(part), _) => Step::Part(part.clone()),
            (None, Some(end)) => Step::End(end.clone()),
            (None, None) => Step::Wait,
        }
    }
}

/// Marks a record as failed with an unknown outcome if the task that writes it ends early.
#[derive(Debug)]
pub struct Writer(pub Arc<Record>);

impl Drop for Writer {
    fn drop(&mut self) {
        self.0.end(Err(Refusal::unknown(Reason::TargetLost)));
    }
}
