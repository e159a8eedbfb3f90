//! What is wrong with a settings file.

/// One fault, with the path of the field that has it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {fault}")]
pub struct Problem {
    /// Path of the field, such as `limits.body_bytes` or `seeds[2]`; `.` is the whole file.
    pub path: String,
    /// What is wrong with it.
    pub fault: Fault,
}

/// Kinds of faults.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The file cannot be read.
    #[error("cannot be read ({0})")]
    Unreadable(std::io::ErrorKind),
    /// The file is not JSON.
    #[error("is not JSON (line {line}, column {column})")]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
    },
    /// A required field is missing.
    #[error("is required")]
    Missing,
    /// No such field exists.
    #[error("is not a known field")]
    Unknown,
    /// The field has another type.
    #[error("must be {0}")]
    Type(&'static str),
    /// The number is outside its range.
    #[error("must be from {low} to {high}")]
    Range {
        /// Least value.
        low: u64,
        /// Greatest value.
        high: u64,
    },
    /// The text is not an IP address with a port.
    #[error("must be an IP address and port, such as 127.0.0.1:7001")]
    Address,
    /// The text is empty, too long or has characters that a name may not have.
    #[error("must be 1 to 64 letters, digits, dots, dashes or underscores")]
    Name,
    /// The text is none of the permitted words.
    #[error("must be one of: {0}")]
    Word(&'static str),
    /// The field contradicts another one.
    #[error("contradicts {0}")]
    Contradiction(&'static str),
}
