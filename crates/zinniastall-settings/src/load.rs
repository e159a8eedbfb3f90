//! Loading and validation of settings files.

use std::path::Path;

use serde_json::Value;

use crate::{
    problem::{Fault, Problem},
    reader::{Problems, Reader},
};

/// A type that can be read from a settings file.
pub trait Settings: Sized {
    /// Reads the settings and records faults in the reader.
    fn read(reader: &mut Reader<'_>) -> Self;
}

/// Loads and validates a settings file.
///
/// # Errors
///
/// Returns all problems of the file.
pub fn load<T: Settings>(path: &Path) -> Result<T, Vec<Problem>> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| file_problem(Fault::Unreadable(error.kind())))?;
    parse(&text)
}

/// Parses and validates settings.
///
/// # Errors
///
/// Returns all problems of the text.
pub fn parse<T: Settings>(text: &str) -> Result<T, Vec<Problem>> {
    let value: Value = serde_json::from_str(text).map_err(|error| {
        file_problem(Fault::Syntax {
            line: error.line(),
            column: error.column(),
        })
    })?;
    let problems = Problems::default();
    let mut reader = Reader::new(&value, "", &problems);
    let settings = T::read(&mut reader);
    reader.finish();
    let problems = problems.into_vec();
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(problems)
    }
}

fn file_problem(fault: Fault) -> Vec<Problem> {
    vec![Problem {
        path: ".".to_owned(),
        fault,
    }]
}
