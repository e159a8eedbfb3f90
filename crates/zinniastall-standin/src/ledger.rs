//! The ledger: every request that a stand-in ran, and how it ended there.
//!
//! With a file it outlives the process: each change is one line, written before the request goes
//! on, so that a killed stand-in still accounts for what it ran.

use std::{
    collections::VecDeque,
    fs::File,
    io::{BufRead, BufReader, Write},
    path::Path,
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
    file: Option<File>,
}

/// One line of a ledger's file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Line {
    Started(Entry),
    Finished(usize, u64),
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
            file: None,
        };
        Self {
            book: Arc::new(Mutex::new(book)),
        }
    }

    /// Opens a ledger that is kept in a file; what an earlier process left unfinished counts as
    /// cancelled.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or written.
    pub fn open(limit: usize, path: &Path) -> std::io::Result<Self> {
        let ledger = Self::new(limit);
        let options = File::options().create(true).append(true).read(true).clone();
        let file = options.open(path)?;
        for line in BufReader::new(&file).lines() {
            // A line that the end of the process cut short is the last one and tells nothing.
            match serde_json::from_str(&line?) {
                Ok(Line::Started(entry)) => {
                    ledger.lock().add(entry);
                }
                Ok(Line::Finished(number, at)) => ledger.change(number, |entry| {
                    entry.finished = Some(at);
                }),
                Err(_) => {}
            }
        }
        let mut book = ledger.lock();
        for entry in &mut book.entries {
            entry.cancelled = entry.finished.is_none();
        }
        book.file = Some(file);
        drop(book);
        Ok(ledger)
    }

    /// Notes that a request starts to run.
    pub fn start(&self, entry: Entry) -> Run {
        let mut book = self.lock();
        book.write(&Line::Started(entry.clone()));
        let number = book.add(entry);
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

impl Book {
    /// Adds an entry and returns its number.
    fn add(&mut self, entry: Entry) -> usize {
        if self.entries.len() == self.limit {
            self.entries.pop_front();
            self.dropped += 1;
        }
        self.entries.push_back(entry);
        self.dropped + self.entries.len() - 1
    }

    fn write(&mut self, line: &Line) {
        let Some(file) = &mut self.file else {
            return;
        };
        let text = serde_json::to_string(line).unwrap_or_default() + "\n";
        if let Err(error) = file.write_all(text.as_bytes()) {
            // A ledger that misses runs would prove promises that were not kept.
            tracing::error!(event = "ledger-failed", error = %error);
            std::process::exit(1);
        }
    }
}

impl Run {
    /// Notes that the whole answer was handed over.
    pub fn finish(&mut self) {
        self.finished = true;
        let at = now();
        self.ledger.lock().write(&Line::Finished(self.number, at));
        self.ledger
            .change(self.number, |entry| entry.finished = Some(at));
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
