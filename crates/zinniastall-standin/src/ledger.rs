//! The ledger: every request that a stand-in ran, and how it ended there.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Request id that the entry instance sent.
    pub request: String,
    /// Client that the entry instance named.
    pub client: String,
    /// Class that the entry instance named.
    pub class: String,
    /// BLAKE3 digest of the body, as hex.
    pub body_digest: String,
    /// When it started, in milliseconds since the epoch.
    pub started: u64,
    /// When it ended whole, in milliseconds since the epoch.
    pub finished: Option<u64>,
    /// Whether it ended before that.
    pub cancelled: bool,
    /// Event at which it resumed; 0 for a run from the start.
    pub offset: usize,
    /// Blocks of its prompt that were cached.
    pub cached: usize,
    /// Blocks of its prompt.
    pub blocks: usize,
    /// Method and path, for plain services.
    pub call: String,
}

/// A shared ledger.
#[derive(Debug, Clone)]
pub struct Ledger {
    book: Arc<Mutex<Book>>,
}

#[derive(Debug)]
struct Book {
    entries: VecDeque<Entry>,
    /// Entries dropped from the front.
    dropped: usize,
    limit: usize,
}

/// A run in progress; dropping it unfinished marks it as cancelled.
#[derive(Debug)]
pub struct Run {
    ledger: Ledger,
    number: usize,
    finished: bool,
}

impl Ledger {
    /// Creates a ledger of at most `limit` entries.
    pub fn new(limit: usize) -> Self {
        let book = Book {
            entries: VecDeque::new(),
            dropped: 0,
            limit,
        };
        Self {
            book: Arc::new(Mutex::new(book)),
        }
    }

    /// Notes that a request starts to run.
    pub fn start(&self, entry: Entry) -> Run {
        let mut book = self.lock();
        if book.entries.len() == book.limit {
            book.entries.pop_front();
            book.dropped += 1;
        }
        book.entries.push_back(entry);
        let number = book.dropped + book.entries.len() - 1;
        drop(book);
        Run {
            ledger: self.clone(),
            number,
            finished: false,
        }
    }

    /// Returns all entries.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().entries.iter().cloned().collect()
    }

    fn change(&self, number: usize, change: impl FnOnce(&mut Entry)) {
        let mut book = self.lock();
        let index = number.checked_sub(book.dropped);
        if let Some(entry) = index.and_then(|index| book.entries.get_mut(index)) {
            change(entry);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Run {
    /// Notes that the whole answer was handed over.
    pub fn finish(&mut self) {
        self.finished = true;
        self.ledger
            .change(self.number, |entry| entry.finished = Some(now()));
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.finished {
            self.ledger
                .change(self.number, |entry| entry.cancelled = true);
        }
    }
}

/// Returns milliseconds since the epoch.
pub fn now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
