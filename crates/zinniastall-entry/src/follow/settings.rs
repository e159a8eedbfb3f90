//! Settings of following the control log.

use std::time::Duration;

use zinniastall_settings::reader::Reader;

/// Settings of following the control log.
#[derive(Debug, Clone, Copy)]
pub struct Follow {
    /// Time after which a starting instance without a connected source counts as cut off, and
    /// serves under the latest configuration that it has found.
    pub cut_off: Duration,
    /// Number of changes kept for followers that are slightly behind.
    pub tail: usize,
}

/// Reads the `follow` section.
pub fn read(reader: &mut Reader<'_>) -> Follow {
    Follow {
        cut_off: reader.millis("cut_off_ms", 100..=600_000, 5_000),
        tail: usize::try_from(reader.number("tail", 1..=65_536, 256)).unwrap_or(usize::MAX),
    }
}
