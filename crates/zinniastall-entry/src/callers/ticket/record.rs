//! The recorded answer of a ticket's request.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use tokio::sync::watch;
use zinniastall_route::outcome::{Reason, Refusal};

use super::reader::Reader;
use crate::callers::reply::{self, Reply, Served};

/// The recorded answer of a ticket's request: one task writes it, any number read it.
///
/// An answer that is longer than may be kept is dropped as its first reader takes it, and the task
/// waits for that reader, so that memory stays bounded. A later resend is then told that the
/// request ran and that its answer is not kept.
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
    /// Number of the first part that is still held.
    base: usize,
    bytes: usize,
    retained: bool,
    /// Part that the first reader takes next; `None` once it is gone.
    pub(super) owner: Option<usize>,
    end: Option<Result<(), Refusal>>,
}

#[derive(Debug, Clone)]
struct Head {
    status: u16,
    headers: Vec<(String, String)>,
    length: Option<u64>,
    events: bool,
    served: Served,
}

/// What a reader finds at its place.
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

    /// Writes the head of the answer.
    pub fn set_head(&self, reply: &Reply) {
        self.lock().head = Some(Head {
            status: reply.status,
            headers: reply.headers.clone(),
            length: reply.length,
            events: reply.events,
            served: reply.served.clone(),
        });
        self.notify();
    }

    /// Writes a part of the answer, and waits while the first reader has too much before it.
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

    /// Writes the end; later ends change nothing.
    pub fn end(&self, end: Result<(), Refusal>) {
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
        }
        drop(state);
        self.notify();
    }

    /// Returns the bytes that are kept for a resend, once the answer has ended.
    pub fn kept(&self) -> Option<usize> {
        let state = self.lock();
        state.end.as_ref().map(|_| state.bytes)
    }

    /// Drops the answer of a request that has ended, as far as its first reader has taken it; its
    /// end is kept.
    pub fn drop_answer(&self) {
        let mut state = self.lock();
        state.retained = false;
        state.trim();
        drop(state);
        self.notify();
    }

    /// Reads the answer from its start; the owner is the reader for whom the request runs.
    ///
    /// # Errors
    ///
    /// The recorded refusal, or [`Reason::NotKept`].
    pub async fn read(self: Arc<Self>, owner: bool) -> Result<Reply, Refusal> {
        let reader = Reader::new(Arc::clone(&self), owner);
        let head = self.wait_head().await?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            length: head.length,
            events: head.events,
            offset: 0,
            served: head.served,
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
                return Err(Refusal::unknown(Reason::Broken));
            }
        }
    }

    fn poll_head(&self) -> Result<Option<Head>, Refusal> {
        let state = self.lock();
        match (&state.head, &state.end) {
            // A resend of an answer that broke is told so at once instead of getting half of it.
            (_, Some(Err(refusal))) => Err(refusal.clone()),
            (Some(_), _) if state.base > 0 => Err(Refusal::unknown(Reason::NotKept)),
            (Some(head), _) => Ok(Some(head.clone())),
            (None, Some(Ok(()))) => Err(Refusal::unknown(Reason::NotKept)),
            (None, None) => Ok(None),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        // Each change is made in one step, so the state is usable after a panic elsewhere.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn notify(&self) {
        self.changed.send_replace(());
    }
}

impl State {
    /// Drops parts that may not be kept and that the first reader has taken.
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
            return Step::End(Err(Refusal::unknown(Reason::NotKept)));
        }
        match (self.parts.get(next - self.base), &self.end) {
            (Some(part), _) => Step::Part(part.clone()),
            (None, Some(end)) => Step::End(end.clone()),
            (None, None) => Step::Wait,
        }
    }
}

/// Ends a record as unknown if the task that writes it ends without having done so.
#[derive(Debug)]
pub struct Writer(pub Arc<Record>);

impl Drop for Writer {
    fn drop(&mut self) {
        self.0.end(Err(Refusal::unknown(Reason::Broken)));
    }
}
