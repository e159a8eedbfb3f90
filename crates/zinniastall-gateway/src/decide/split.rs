//! Which targets of a large region read long prompts, and which run streams beside short ones.
//!
//! Load that this answers: a region whose engines read for most of their time. Spread evenly, the long prompts
//! leave no engine on which a stream goes on without standing still for a slice of them at each event, and most
//! streams are late, though their own prompts are a tenth of the reading. With some of the engines kept for
//! requests whose prompts are short, in the proportion in which they come, those streams go on, and the long
//! prompts take little longer at the rest.

use std::time::{Duration, Instant};

use super::place::{self, Candidate, Choice, Patience, Region};

/// Part of the bearable pause up to which reading a prompt is short.
const SHORT: f64 = 0.15;
/// How much of an engine's time reading a short prompt is given in place of what it takes: its streams go on
/// while two thirds of the time are left to them.
const ROOM: f64 = 3.0;
/// Part of the slots of the targets for short prompts that is used: with each stream more, all others there are
/// slower.
const FULL: f64 = 0.25;
/// How often the number of targets is corrected for their flights.
const ROUNDS: usize = 3;
/// Targets from which on they are split: of fewer, one is a large part.
const LEAST: usize = 8;
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Whether a prompt takes long to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// It interrupts streams hardly.
    Short,
    /// It interrupts streams.
    Long,
}

impl Length {
    /// Tells whether a prompt that takes some time to read, as if nothing of it were held, is long for streams
    /// that bear a pause; nothing where they bear any.
    pub fn of(reading: Duration, gap: Duration) -> Option<Self> {
        if gap.is_zero() {
            return None;
        }
        let is_short = reading <= gap.mul_f64(SHORT);
        Some(if is_short { Self::Short } else { Self::Long })
    }
}

/// Reading by the length of prompts, as one instance sees it.
#[derive(Debug, Default, Clone, Copy)]
pub struct Mix {
    short: f64,
    long: f64,
    since: Option<Instant>,
}

impl Mix {
    /// Notes a request that takes some time to read.
    pub fn note(&mut self, length: Length, reading: Duration, now: Instant) {
        let age = self.since.replace(now);
        let age = age.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let left = (-age.div_duration_f64(WINDOW)).exp();
        self.short *= left;
        self.long *= left;
        match length {
            Length::Short => self.short += reading.as_secs_f64(),
            Length::Long => self.long += reading.as_secs_f64(),
        }
    }

    /// Returns how many targets are for short prompts, the first ones of a list; nothing where all are for both.
    ///
    /// `flights` are the requests at each of them, in the order in which they are given to short prompts, and
    /// `slots` what each runs at once. All instances see a part of the same requests and about the same flights, so
    /// that they come to about the same number.
    pub fn short_targets(&self, flights: &[u32], slots: u32) -> Option<usize> {
        let by_reading = self.by_reading(flights.len())?;
        let room = FULL * f64::from(slots.max(1));
        let mut count = by_reading;
        // Targets that come to the short ones bring their own flights, few as they are.
        for _ in 0..ROUNDS {
            let sum: u32 = flights.iter().take(count).sum();
            count = count.max(whole(f64::from(sum) / room));
        }
        Some(count.min(flights.len() - 1))
    }

    fn by_reading(&self, targets: usize) -> Option<usize> {
        if targets < LEAST || self.short <= 0.0 || self.long <= 0.0 {
            return None;
        }
        let short = ROOM * self.short;
        let part = short / (short + self.long);
        let targets = u32::try_from(targets).unwrap_or(u32::MAX);
        Some(whole(part * f64::from(targets)).max(1))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a number of targets"
)]
fn whole(count: f64) -> usize {
    count.ceil() as usize
}

/// Chooses a place for a request among targets that are split; `is_short` tells which are for short prompts.
///
/// A short prompt takes any target where its own and other regions have no room: it harms nobody there. A long one
/// stays off the targets for short prompts, unless there are no others.
pub fn choose(
    here: &[Candidate],
    is_short: &[bool],
    length: Length,
    there: &[Region],
    patience: Patience,
) -> Choice {
    let own = |at: &usize| is_short[*at] == (length == Length::Short);
    let places: Vec<usize> = (0..here.len()).filter(own).collect();
    if places.is_empty() {
        return place::choose(here, there, patience);
    }
    let candidates: Vec<Candidate> = places.iter().map(|at| here[*at]).collect();
    match place::choose(&candidates, there, patience) {
        Choice::Here(at) => Choice::Here(places[at]),
        Choice::There(at) => Choice::There(at),
        _ if length == Length::Short => place::choose(here, there, patience),
        other => other,
    }
}
