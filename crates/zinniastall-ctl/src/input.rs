//! Reads objects as JSON from the command line, a file or standard input.

use std::{fs, io};

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use zinniastall_api::operator::{Object, RoutingTable};

/// Why an object cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file or standard input cannot be read.
    #[error("{path} cannot be read: {error}")]
    Unreadable {
        /// File name, or `-` for standard input.
        path: String,
        /// Error of the read.
        error: io::Error,
    },
    /// The text is not JSON, or a field has the wrong type.
    #[error("not an object: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The JSON has a field that the schema lacks.
    #[error("unknown field {0}")]
    UnknownField(String),
    /// The JSON contains no object of any kind.
    #[error("expected one of client, route, model, adapter, residency, role")]
    MissingKind,
}

/// Reads an object from inline JSON, a file name, or `-` for standard input.
///
/// # Errors
///
/// Returns [`Error`] if the input cannot be read or is not a valid object.
pub fn object(argument: &str) -> Result<Object, Error> {
    parse(&text(argument)?)
}

/// Reads a routing table from inline JSON, a file name, or `-` for standard input.
///
/// # Errors
///
/// Returns [`Error`] if the input cannot be read or is not a valid table.
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
/// Returns [`Error`] if the text is not a valid object. Unknown fields are rejected, since they are
/// usually misspelt.
pub fn parse(text: &str) -> Result<Object, Error> {
    let object: Object = parse_strict(text)?;
    if object.object.is_none() {
        return Err(Error::MissingKind);
    }
    Ok(object)
}

/// Parses JSON and rejects unknown fields.
fn parse_strict<T: Serialize + DeserializeOwned>(text: &str) -> Result<T, Error> {
    let given: Value = serde_json::from_str(text)?;
    let read: T = serde_json::from_value(given.clone())?;
    match find_unknown_field(&given, &serde_json::to_value(&read)?, "") {
        Some(field) => Err(Error::UnknownField(field)),
        None => Ok(read),
    }
}

/// Returns the path of the first given field that was lost in parsing.
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
