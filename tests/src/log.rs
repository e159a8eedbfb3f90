//! Captured log output of a process.

use std::{
    io::{BufRead, BufReader, Read},
    sync::{Arc, Mutex, PoisonError},
};

/// Log lines of a process, in the order in which they were read.
///
/// Clones share the same lines.
#[derive(Debug, Clone, Default)]
pub struct Log {
    lines: Arc<Mutex<Vec<String>>>,
}

/// Returns the value of one field in a line of `key=value` pairs, without its quotes.
///
/// ```
/// use zinniastall_tests::log::field;
///
/// assert_eq!(field("level=info event=listening role=links", "role"), Some("links"));
/// assert_eq!(field(r#"event=failed error="no route""#, "error"), Some("no route"));
/// ```
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.match_indices(name).map(|(at, _)| at).find(|&at| {
        let opens = at == 0 || line.as_bytes()[at - 1] == b' ';
        opens && line[at + name.len()..].starts_with('=')
    })?;
    let value = &line[start + name.len() + 1..];
    match value.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => value.split(' ').next(),
    }
}

impl Log {
    /// Reads lines from a process's output on a separate thread until the output ends.
    pub fn follow(&self, output: impl Read + Send + 'static) {
        let log = self.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(output)
                .lines()
                .map_while(std::io::Result::ok)
            {
                log.push(line);
            }
        });
    }

    /// Returns all lines read so far.
    pub fn lines(&self) -> Vec<String> {
        self.lock().clone()
    }

    /// Returns all lines read so far with this `event` field.
    pub fn events(&self, event: &str) -> Vec<String> {
        let of = |line: &&String| field(line, "event") == Some(event);
        self.lock().iter().filter(of).cloned().collect()
    }

    fn push(&self, line: String) {
        self.lock().push(line);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
