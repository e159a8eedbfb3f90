//! Problems in a settings file.

/// A fault of a field, with the field's path.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {fault}")]
pub struct Problem {
    /// Path of the field, such as `limits.body_bytes` or `seeds[2]`, or `.` for the whole file.
    pub path: String,
    /// Fault of the field.
    pub fault: Fault,
}

/// Kinds of faults.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The file can't be read.
    #[error("cannot be read ({0})")]
    Unreadable(std::io::ErrorKind),
    /// The file is not valid JSON.
    #[error("is not JSON (line {line}, column {column})")]
    Syntax {
        /// Line, starting at 1.
        line: usize,
        /// Column, starting at 1.
        column: usize,
    },
    /// A required field is missing.
    #[error("is required")]
    Missing,
    /// The field is unknown.
    #[error("is not a known field")]
    Unknown,
    /// The value has the wrong type or form; the text names the expected one.
    #[error("must be {0}")]
    Type(&'static str),
    /// The number is outside its range.
    #[error("must be from {low} to {high}")]
    Range {
        /// Minimum.
        low: u64,
        /// Maximum.
        high: u64,
    },
    /// The text is not an IP address with a port.
    #[error("must be an IP address and port, such as 127.0.0.1:7001")]
    Address,
    /// The name is empty, too long or contains a character that isn't allowed.
    #[error("must be 1 to 64 letters, digits, dots, dashes or underscores")]
    Name,
    /// The text is none of the allowed words.
    #[error("must be one of: {0}")]
    Word(&'static str),
    /// The field contradicts another one.
    #[error("contradicts {0}")]
    Contradiction(&'static str),
}
