//! The ledger: every request that a stand-in ran and how the run ended.
//!
//! A ledger with a file outlives the process: the start and the completion of a run are one line
//! each, written before the request proceeds, so that a killed stand-in still accounts for what it
//! ran.

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
    /// Id of the request, as the entry instance sent it.
    pub request: String,
    /// Client that the entry instance named.
    pub client: String,
    /// Class that the entry instance named.
    pub class: String,
    /// BLAKE3 digest of the body, as hex.
    pub body_digest: String,
    /// When it started, in milliseconds since the Unix epoch.
    pub started: u64,
    /// When its whole answer was ready, in milliseconds since the Unix epoch; absent before.
    pub finished: Option<u64>,
    /// Whether it ended without a whole answer.
    pub cancelled: bool,
    /// Event at which it resumed a stream; 0 for a run from the start.
    pub offset: usize,
    /// Prompt blocks that were found in the cache.
    pub cached: usize,
    /// Prompt blocks in total.
    pub blocks: usize,
    /// Method and path of the call.
    pub call: String,
}

/// A ledger; clones share its entries.
#[derive(Debug, Clone)]
pub struct Ledger {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    entries: VecDeque<Entry>,
    /// Number of entries dropped from the front, which is the number of the first one kept.
    dropped: usize,
    max_entries: usize,
    file: Option<File>,
}

/// One line of a ledger file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Record {
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
    /// Creates a ledger without a file that keeps at most `max_entries` entries.
    pub fn new(max_entries: usize) -> Self {
        let state = State {
            entries: VecDeque::new(),
            dropped: 0,
            max_entries,
            file: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Opens a ledger that is kept in a file; runs that an earlier process left unfinished count as
    /// cancelled.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or written.
    pub fn open(max_entries: usize, path: &Path) -> std::io::Result<Self> {
        let ledger = Self::new(max_entries);
        let options = File::options().create(true).append(true).read(true).clone();
        let file = options.open(path)?;
        for line in BufReader::new(&file).lines() {
            // A line cut short by the end of the process is the last one and can be ignored.
            match serde_json::from_str(&line?) {
                Ok(Record::Started(entry)) => {
                    ledger.lock().add(entry);
                }
                Ok(Record::Finished(number, at)) => ledger.update(number, |entry| {
                    entry.finished = Some(at);
                }),
                Err(_) => {}
            }
        }
        let mut state = ledger.lock();
        for entry in &mut state.entries {
            entry.cancelled = entry.finished.is_none();
        }
        state.file = Some(file);
        drop(state);
        Ok(ledger)
    }

    /// Records that a request starts to run.
    pub fn start(&self, entry: Entry) -> Run {
        let mut state = self.lock();
        state.write(&Record::Started(entry.clone()));
        let number = state.add(entry);
        drop(state);
        Run {
            ledger: self.clone(),
            number,
            finished: false,
        }
    }

    /// Returns all entries, oldest first.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().entries.iter().cloned().collect()
    }

    fn update(&self, number: usize, edit: impl FnOnce(&mut Entry)) {
        let mut state = self.lock();
        let index = number.checked_sub(state.dropped);
        if let Some(entry) = index.and_then(|index| state.entries.get_mut(index)) {
            edit(entry);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Adds an entry and returns its number, counted from the first one ever added.
    fn add(&mut self, entry: Entry) -> usize {
        if self.entries.len() == self.max_entries {
            self.entries.pop_front();
            self.dropped += 1;
        }
        self.entries.push_back(entry);
        self.dropped + self.entries.len() - 1
    }

    fn write(&mut self, record: &Record) {
        let Some(file) = &mut self.file else {
            return;
        };
        let text = serde_json::to_string(record).unwrap_or_default() + "\n";
        if let Err(error) = file.write_all(text.as_bytes()) {
            // A ledger that misses runs would hide broken guarantees.
            tracing::error!(event = "ledger-failed", error = %error);
            std::process::exit(1);
        }
    }
}

impl Run {
    /// Records that the whole answer is handed over.
    pub fn finish(&mut self) {
        self.finished = true;
        let at = unix_ms();
        self.ledger.lock().write(&Record::Finished(self.number, at));
        self.ledger
            .update(self.number, |entry| entry.finished = Some(at));
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.finished {
            self.ledger
                .update(self.number, |entry| entry.cancelled = true);
        }
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
