//! Parses log lines: key=value pairs with an optional prefix of a time and a process name.

use indexmap::IndexMap;

/// Fields that hold the id of a request.
pub const REQUEST_FIELDS: [&str; 2] = ["id", "request"];
const SECONDS_PER_DAY: f64 = 86_400.0;

/// A parsed log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Seconds since a reference time that all lines of a log share.
    pub time: f64,
    /// Process that wrote the line; empty if unknown.
    pub process: String,
    /// Key-value pairs in their order on the line.
    pub fields: IndexMap<String, String>,
}

impl Line {
    /// Parses a line; returns `None` if it holds no event.
    ///
    /// A log collector may put a prefix before the line: a time in seconds and the process, or the
    /// process alone. Without a time in the prefix, the line's timestamp is used.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find("ts=")?;
        let mut prefix = text[..start].split_whitespace().peekable();
        let prefix_time = prefix.peek().and_then(|word| word.parse::<f64>().ok());
        if prefix_time.is_some() {
            prefix.next();
        }
        let process = prefix.next().unwrap_or_default().trim_end_matches(':');
        let fields = pairs(&text[start..]);
        let timestamp = fields.get("ts").and_then(|ts| seconds_in_month(ts));
        fields.get("event")?;
        Some(Self {
            time: prefix_time.or(timestamp)?,
            process: process.to_owned(),
            fields,
        })
    }

    /// Returns the name of the event.
    pub fn event(&self) -> &str {
        self.field("event")
    }

    /// Returns the id of the request that the line is about, which gateway instances and entry
    /// instances log under different names; empty if there is none.
    pub fn request(&self) -> &str {
        REQUEST_FIELDS
            .iter()
            .map(|name| self.field(name))
            .find(|id| !id.is_empty())
            .unwrap_or_default()
    }

    /// Returns the value of a field; empty if there is none.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Splits text into key-value pairs; values with spaces are quoted.
fn pairs(mut text: &str) -> IndexMap<String, String> {
    let mut pairs = IndexMap::new();
    while let Some((name, rest)) = text.trim_start().split_once('=') {
        let (value, left) = value(rest);
        pairs.insert(name.to_owned(), value);
        text = left;
    }
    pairs
}

/// Splits the first value off the text and returns it with the rest.
fn value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return (value, &quoted[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}

/// Converts a timestamp as log lines write it, in UTC with nanoseconds, to seconds within its month.
fn seconds_in_month(text: &str) -> Option<f64> {
    let (date, time) = text.trim_end_matches('Z').split_once('T')?;
    let mut parts = time.split(':');
    let mut part = || parts.next()?.parse::<f64>().ok();
    let seconds = part()? * 3_600.0 + part()? * 60.0 + part()?;
    // The day of the month keeps lines around midnight in order, unless a log spans two months.
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    Some(day * SECONDS_PER_DAY + seconds)
}
