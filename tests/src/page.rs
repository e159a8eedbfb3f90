//! Examples in the documentation, for tests that verify them.

use std::path::Path;

use serde_json::Value;

use crate::error::{Error, Result};

/// Returns the fenced code blocks of a page under `docs`.
///
/// # Errors
///
/// Fails if the page cannot be read.
pub fn blocks(page: &str) -> Result<Vec<String>> {
    Ok(text(page)?
        .split("```")
        .skip(1)
        .step_by(2)
        .map(|block| block.split_once('\n').map_or("", |(_, code)| code))
        .map(str::to_owned)
        .collect())
}

/// Returns the text of a page under `docs`.
///
/// # Errors
///
/// Fails if the page cannot be read.
pub fn text(page: &str) -> Result<String> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    Ok(std::fs::read_to_string(docs.join(page))?)
}

/// Checks that a response has exactly the fields that a page shows, with values of the same types.
///
/// Arrays are compared by their first elements only.
///
/// # Errors
///
/// Returns [`Error::Unknown`] with the path at which they differ.
pub fn check_shape(shown: &Value, got: &Value, place: &str) -> Result<()> {
    let differs = || Error::Unknown(format!("{place}: the page shows {shown}, got {got}"));
    match (shown, got) {
        (Value::Object(fields), Value::Object(answer)) => {
            if fields.len() != answer.len() {
                return Err(differs());
            }
            for (name, field) in fields {
                let value = answer.get(name).ok_or_else(differs)?;
                check_shape(field, value, &format!("{place}.{name}"))?;
            }
            Ok(())
        }
        (Value::Array(shown), Value::Array(got)) => match (shown.first(), got.first()) {
            (Some(shown), Some(got)) => check_shape(shown, got, &format!("{place}[0]")),
            (None, None) => Ok(()),
            _ => Err(differs()),
        },
        (Value::String(_), Value::String(_))
        | (Value::Number(_), Value::Number(_))
        | (Value::Bool(_), Value::Bool(_))
        | (Value::Null, Value::Null) => Ok(()),
        _ => Err(differs()),
    }
}

/// Splits a shell command at spaces outside single quotes.
///
/// The pages use no other shell syntax.
pub fn split_command(command: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for character in command.chars() {
        match character {
            '\'' => quoted = !quoted,
            ' ' if !quoted => words.push(String::new()),
            _ => words
                .iter_mut()
                .next_back()
                .map_or((), |word| word.push(character)),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}
