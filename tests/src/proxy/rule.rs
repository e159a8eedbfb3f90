//! Faults that a proxy injects into connections.

use std::time::Duration;

/// Direction of a connection, from its caller's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the caller to the upstream.
    Up,
    /// From the upstream to the caller.
    Down,
    /// Both directions.
    Both,
}

/// Faults of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Impairment {
    /// Nothing passes, not even the end of the connection, and neither side is notified. Bytes sent
    /// meanwhile arrive once this is lifted, as TCP would retransmit them.
    pub stalled: bool,
    /// Latency added to every byte.
    pub delay: Duration,
    /// Limit of bytes per second.
    pub rate: Option<u64>,
    /// Number of bytes after which the connection is reset on both sides.
    pub cut_after: Option<u64>,
}

/// Faults of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rule {
    /// Faults from the caller to the upstream.
    pub up: Impairment,
    /// Faults from the upstream to the caller.
    pub down: Impairment,
    /// The connection is reset; new connections are reset immediately.
    pub refused: bool,
    /// The upstream side is closed, while the caller's side stays open and silent.
    pub half_open: bool,
}

impl Rule {
    /// Returns the faults of one direction; for [`Direction::Both`], those towards the upstream.
    pub const fn impairment(&self, direction: Direction) -> Impairment {
        match direction {
            Direction::Down => self.down,
            Direction::Up | Direction::Both => self.up,
        }
    }

    /// Changes the faults of a direction.
    #[must_use]
    pub fn with(mut self, direction: Direction, change: impl Fn(&mut Impairment)) -> Self {
        if direction != Direction::Down {
            change(&mut self.up);
        }
        if direction != Direction::Up {
            change(&mut self.down);
        }
        self
    }
}
