//! Field-by-field reading of settings that collects all faults.

use std::{cell::RefCell, net::SocketAddr, ops::RangeInclusive, time::Duration};

use serde_json::{Map, Value};

use crate::problem::{Fault, Problem};

/// Longest name.
const MAX_NAME_BYTES: usize = 64;

/// Collects problems while a file is read.
#[derive(Debug, Default)]
pub struct Problems {
    entries: RefCell<Vec<Problem>>,
}

impl Problems {
    /// Adds a fault of the field at a path.
    pub fn push(&self, path: impl Into<String>, fault: Fault) {
        let path = path.into();
        self.entries.borrow_mut().push(Problem { path, fault });
    }

    /// Returns all problems.
    pub fn into_vec(self) -> Vec<Problem> {
        self.entries.into_inner()
    }
}

/// Reads a JSON object.
///
/// For an invalid field, the reader records the fault and returns a placeholder, so that one run
/// reports all faults. The result must not be used if there are any; [`crate::load::parse`] ensures
/// that.
#[derive(Debug)]
pub struct Reader<'a> {
    problems: &'a Problems,
    path: String,
    fields: Option<&'a Map<String, Value>>,
    fields_read: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of the value at a path; a value that is not an object is a fault.
    pub fn new(value: &'a Value, path: impl Into<String>, problems: &'a Problems) -> Self {
        let path = path.into();
        let fields = value.as_object();
        if fields.is_none() {
            problems.push(
                if path.is_empty() { "." } else { &path },
                Fault::Type("an object"),
            );
        }
        Self {
            problems,
            path,
            fields,
            fields_read: Vec::new(),
        }
    }

    /// Records a fault of a field.
    pub fn fault(&self, field: &str, fault: Fault) {
        self.problems.push(self.path_of(field), fault);
    }

    /// Reads a required IP address and port.
    pub fn address(&mut self, field: &'static str) -> SocketAddr {
        self.required(field, address)
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Reads an optional IP address and port.
    pub fn optional_address(&mut self, field: &'static str) -> Option<SocketAddr> {
        self.optional(field, address)
    }

    /// Reads a list of IP addresses and ports; empty when absent.
    pub fn addresses(&mut self, field: &'static str) -> Vec<SocketAddr> {
        self.list(field, address)
    }

    /// Reads a required name.
    pub fn name(&mut self, field: &'static str) -> String {
        self.required(field, name).unwrap_or_default()
    }

    /// Reads an optional name.
    pub fn optional_name(&mut self, field: &'static str) -> Option<String> {
        self.optional(field, name)
    }

    /// Reads a list of names; empty when absent.
    pub fn names(&mut self, field: &'static str) -> Vec<String> {
        self.list(field, name)
    }

    /// Reads a required non-empty text, such as a path.
    pub fn text(&mut self, field: &'static str) -> String {
        self.required(field, text).unwrap_or_default()
    }

    /// Reads an optional non-empty text.
    pub fn optional_text(&mut self, field: &'static str) -> Option<String> {
        self.optional(field, text)
    }

    /// Reads an integer within a range, or returns the default.
    pub fn number(&mut self, field: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        self.optional(field, |value| number(value, &range))
            .unwrap_or(default)
    }

    /// Reads a duration in milliseconds within a range, or returns the default.
    pub fn millis(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Duration {
        Duration::from_millis(self.number(field, range, default))
    }

    /// Reads a number from zero to `high`, fractions allowed, or returns the default.
    pub fn fraction(&mut self, field: &'static str, high: f64, default: f64) -> f64 {
        self.optional(field, |value| {
            let number = value.as_f64().ok_or(Fault::Type("a number"))?;
            if (0.0..=high).contains(&number) {
                Ok(number)
            } else {
                Err(Fault::Type(
                    "a number that is not negative and within its limit",
                ))
            }
        })
        .unwrap_or(default)
    }

    /// Reads a boolean, or returns the default.
    pub fn flag(&mut self, field: &'static str, default: bool) -> bool {
        self.optional(field, |value| {
            value.as_bool().ok_or(Fault::Type("true or false"))
        })
        .unwrap_or(default)
    }

    /// Reads a word and converts it with `choose`, or returns the default.
    ///
    /// `words` lists the allowed words for the message of the fault.
    pub fn word<T>(
        &mut self,
        field: &'static str,
        words: &'static str,
        choose: impl Fn(&str) -> Option<T>,
        default: T,
    ) -> T {
        self.optional(field, |value| {
            let word = value.as_str().ok_or(Fault::Type("text"))?;
            choose(word).ok_or(Fault::Word(words))
        })
        .unwrap_or(default)
    }

    /// Reads a nested object; an absent one is read as an empty object, so that the defaults apply.
    pub fn nested<T>(&mut self, field: &'static str, read: impl FnOnce(&mut Reader<'_>) -> T) -> T {
        let empty = Value::Object(Map::new());
        let value = self.get(field).unwrap_or(&empty);
        let mut reader = Reader::new(value, self.path_of(field), self.problems);
        let result = read(&mut reader);
        reader.finish();
        result
    }

    /// Reads a list of nested objects; empty when absent.
    pub fn objects<T>(
        &mut self,
        field: &'static str,
        read: impl Fn(&mut Reader<'_>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.get(field) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.fault(field, Fault::Type("a list"));
            return Vec::new();
        };
        let path = self.path_of(field);
        let read_item = |(index, item)| {
            let mut reader = Reader::new(item, format!("{path}[{index}]"), self.problems);
            let result = read(&mut reader);
            reader.finish();
            result
        };
        items.iter().enumerate().map(read_item).collect()
    }

    /// Records a fault for every field that was not read, since it is unknown.
    pub fn finish(&self) {
        let Some(fields) = self.fields else { return };
        for field in fields.keys() {
            if !self.fields_read.contains(&field.as_str()) {
                self.fault(field, Fault::Unknown);
            }
        }
    }

    fn required<T>(
        &mut self,
        field: &'static str,
        parse: impl Fn(&Value) -> Result<T, Fault>,
    ) -> Option<T> {
        let absent = self
            .fields
            .is_some_and(|fields| !fields.contains_key(field));
        if absent {
            self.fault(field, Fault::Missing);
        }
        self.optional(field, parse)
    }

    fn optional<T>(
        &mut self,
        field: &'static str,
        parse: impl Fn(&Value) -> Result<T, Fault>,
    ) -> Option<T> {
        let value = self.get(field)?;
        match parse(value) {
            Ok(value) => Some(value),
            Err(fault) => {
                self.fault(field, fault);
                None
            }
        }
    }

    fn list<T>(
        &mut self,
        field: &'static str,
        parse: impl Fn(&Value) -> Result<T, Fault>,
    ) -> Vec<T> {
        let Some(value) = self.get(field) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.fault(field, Fault::Type("a list"));
            return Vec::new();
        };
        let mut parsed = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match parse(item) {
                Ok(item) => parsed.push(item),
                Err(fault) => self.fault(&format!("{field}[{index}]"), fault),
            }
        }
        parsed
    }

    fn get(&mut self, field: &'static str) -> Option<&'a Value> {
        self.fields_read.push(field);
        self.fields?.get(field)
    }

    fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }
}

fn address(value: &Value) -> Result<SocketAddr, Fault> {
    let text = value.as_str().ok_or(Fault::Address)?;
    text.parse().map_err(|_| Fault::Address)
}

fn name(value: &Value) -> Result<String, Fault> {
    let text = value.as_str().ok_or(Fault::Name)?;
    let fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    let permitted = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    if fits && text.chars().all(permitted) {
        Ok(text.to_owned())
    } else {
        Err(Fault::Name)
    }
}

fn text(value: &Value) -> Result<String, Fault> {
    match value.as_str() {
        Some(text) if !text.is_empty() => Ok(text.to_owned()),
        _ => Err(Fault::Type("text that is not empty")),
    }
}

fn number(value: &Value, range: &RangeInclusive<u64>) -> Result<u64, Fault> {
    let number = value.as_u64().ok_or(Fault::Type("a whole number"))?;
    if range.contains(&number) {
        Ok(number)
    } else {
        Err(Fault::Range {
            low: *range.start(),
            high: *range.end(),
        })
    }
}
