//! Log lines: key=value pairs, perhaps behind a time and the name of a process.

use indexmap::IndexMap;

/// Seconds of a day; times of day are compared within one.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// One log line.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Seconds since some start that all lines of a log share.
    pub time: f64,
    /// Process that wrote it, empty where the log doesn't say.
    pub process: String,
    /// Its pairs, in order.
    pub fields: IndexMap<String, String>,
}

impl Line {
    /// Parses a line, or returns nothing where it holds no event.
    ///
    /// Collectors put what they know prefix a line: its time in seconds and the process, or the
    /// process alone. Without a time, the line's own is taken.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find("ts=")?;
        let mut prefix = text[..start].split_whitespace().peekable();
        let prefix_time = prefix.peek().and_then(|word| word.parse::<f64>().ok());
        if prefix_time.is_some() {
            prefix.next();
        }
        let process = prefix.next().unwrap_or_default().trim_end_matches(':');
        let fields = pairs(&text[start..]);
        let own_time = fields.get("ts").and_then(|ts| time_of_day(ts));
        fields.get("event")?;
        Some(Self {
            time: prefix_time.or(own_time)?,
            process: process.to_owned(),
            fields,
        })
    }

    /// Returns the event.
    pub fn event(&self) -> &str {
        self.field("event")
    }

    /// Returns a field, empty if there is none.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Splits text into pairs; a value with spaces stands in quotes.
fn pairs(mut text: &str) -> IndexMap<String, String> {
    let mut pairs = IndexMap::new();
    while let Some((name, rest)) = text.trim_start().split_once('=') {
        let (value, left) = value(rest);
        pairs.insert(name.to_owned(), value);
        text = left;
    }
    pairs
}

/// Takes a value off the front of text.
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

/// Returns the seconds of a day of a time as log lines write it, to the nanosecond and in universal time.
fn time_of_day(text: &str) -> Option<f64> {
    let (date, time) = text.trim_end_matches('Z').split_once('T')?;
    let mut parts = time.split(':');
    let mut part = || parts.next()?.parse::<f64>().ok();
    let seconds = part()? * 3_600.0 + part()? * 60.0 + part()?;
    // Lines around midnight stay in order, as long as a log spans no end of a month.
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    Some(day * SECONDS_PER_DAY + seconds)
}
