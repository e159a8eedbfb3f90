//! What a proxy does to the bytes that pass it.

use std::time::Duration;

/// Directions of a connection, as its caller sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the caller.
    Up,
    /// Towards the caller.
    Down,
    /// Both.
    Both,
}

/// What happens to one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Impairment {
    /// Nothing passes, not even the end of the connection, and neither end is told; what was sent
    /// passes once this is lifted, as TCP would send it again.
    pub stalled: bool,
    /// Time that every byte takes.
    pub delay: Duration,
    /// Most bytes a second.
    pub rate: Option<u64>,
    /// Bytes after which both ends are reset.
    pub cut_after: Option<u64>,
}

/// What happens to a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rule {
    /// From the caller.
    pub up: Impairment,
    /// Towards the caller.
    pub down: Impairment,
    /// Connections are reset, new ones at once.
    pub refused: bool,
    /// The upstream end is closed; the caller is not told and hears nothing more.
    pub half_open: bool,
}

impl Rule {
    /// Returns what happens to one direction; that from the caller when both are meant.
    pub const fn impairment(&self, direction: Direction) -> Impairment {
        match direction {
            Direction::Down => self.down,
            Direction::Up | Direction::Both => self.up,
        }
    }

    /// Changes the lanes of a way.
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
