//! Reads an object: JSON from the command line, a file or standard input.

use std::{fs, io};

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use zinniastall_api::operator::{Object, RoutingTable};

/// Why an object can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file or standard input can't be read.
    #[error("{path} cannot be read: {error}")]
    Unreadable {
        /// What was read.
        path: String,
        /// Why it can't be.
        error: io::Error,
    },
    /// The text is not JSON of an object.
    #[error("not an object: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The JSON has fields that no object has.
    #[error("unknown field {0}")]
    UnknownField(String),
    /// The JSON names no kind of object.
    #[error("expected one of client, route, model, adapter, residency, role")]
    MissingKind,
}

/// Reads an object from inline JSON, a file name, or `-` for standard input.
///
/// # Errors
///
/// [`Fault`] says what is wrong.
pub fn object(argument: &str) -> Result<Object, Error> {
    parse(&text(argument)?)
}

/// Reads a routing table from inline JSON, a file name, or `-` for standard input.
///
/// # Errors
///
/// [`Fault`] says what is wrong.
pub fn table(argument: &str) -> Result<RoutingTable, Error> {
    parse_strict(&text(argument)?)
}

fn text(argument: &str) -> Result<String, Error> {
    if argument.trim_start().starts_with('{') {
        return Ok(argument.to_owned());
    }
    let text = if argument == "-" {
        io::read_to_string(io::stdin())
    } else {
        fs::read_to_string(argument)
    };
    text.map_err(|error| Error::Unreadable {
        path: argument.to_owned(),
        error,
    })
}

/// Parses the JSON of an object.
///
/// # Errors
///
/// [`Fault`] says what is wrong; an unknown field is a fault, since it is a misspelt one as a rule.
pub fn parse(text: &str) -> Result<Object, Error> {
    let object: Object = parse_strict(text)?;
    if object.object.is_none() {
        return Err(Error::MissingKind);
    }
    Ok(object)
}

/// Parses JSON all of whose fields have to be understood.
fn parse_strict<T: Serialize + DeserializeOwned>(text: &str) -> Result<T, Error> {
    let given: Value = serde_json::from_str(text)?;
    let read: T = serde_json::from_value(given.clone())?;
    match find_unknown_field(&given, &serde_json::to_value(&read)?, "") {
        Some(field) => Err(Error::UnknownField(field)),
        None => Ok(read),
    }
}

/// Finds a field that was given and not understood.
fn find_unknown_field(given: &Value, parse_strict: &Value, path: &str) -> Option<String> {
    if let (Some(given), Some(parse_strict)) = (given.as_array(), parse_strict.as_array()) {
        let mut items = given.iter().zip(parse_strict);
        return items.find_map(|(given, own)| find_unknown_field(given, own, path));
    }
    let given = given.as_object()?;
    for (field, value) in given {
        let path = format!("{path}.{field}");
        let Some(own) = parse_strict.get(field) else {
            return Some(path.trim_start_matches('.').to_owned());
        };
        if let Some(inner) = find_unknown_field(value, own, &path) {
            return Some(inner);
        }
    }
    None
}
