//! Loads a settings file.

use std::path::Path;

use serde_json::Value;

use crate::{
    problem::{Fault, Problem},
    reader::{Notes, Reader},
};

/// A type that a settings file describes.
pub trait Settings: Sized {
    /// Reads itself, noting faults in the reader.
    fn read(reader: &mut Reader<'_>) -> Self;
}

/// Loads and checks a settings file.
///
/// # Errors
///
/// Every fault of the file, with its path.
pub fn load<T: Settings>(path: &Path) -> Result<T, Vec<Problem>> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| file_problem(Fault::Unreadable(error.kind())))?;
    parse(&text)
}

/// Checks settings given as text.
///
/// # Errors
///
/// Every fault of the text, with its path.
pub fn parse<T: Settings>(text: &str) -> Result<T, Vec<Problem>> {
    let value: Value = serde_json::from_str(text).map_err(|error| {
        file_problem(Fault::Syntax {
            line: error.line(),
            column: error.column(),
        })
    })?;
    let notes = Notes::default();
    let mut reader = Reader::new(&value, "", &notes);
    let settings = T::read(&mut reader);
    reader.finish();
    let problems = notes.into_problems();
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
