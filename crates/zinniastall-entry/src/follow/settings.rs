//! Settings of following.

use std::time::Duration;

use zinniastall_settings::reader::Reader;

/// Settings of following.
#[derive(Debug, Clone, Copy)]
pub struct Follow {
    /// Time after which a starting instance that reaches no connected source counts as cut off and
    /// serves under the highest configuration that it has found.
    pub cut_off: Duration,
    /// Changes kept for followers that are a little behind.
    pub tail: usize,
}

/// Reads the section `follow`.
pub fn read(reader: &mut Reader<'_>) -> Follow {
    Follow {
        cut_off: reader.millis("cut_off_ms", 100..=600_000, 5_000),
        tail: usize::try_from(reader.number("tail", 1..=65_536, 256)).unwrap_or(usize::MAX),
    }
}
