//! Rate limits that many instances keep together.
//!
//! A server names the number of requests per second that it takes from all instances together. The
//! number may be lower than the number of instances, so it can't be divided into shares. Instead,
//! one instance per server, its coordinator, issues a permit for each request:
//!
//! - [`Limits`] is what an instance knows of the servers that named a rate. Whoever reads a rate in
//!   an answer tells the others. Merging is commutative, associative and idempotent, so messages
//!   may be lost, duplicated, delayed and reordered.
//! - [`Issuer`] is the state of a coordinator. It issues permits at the rate, each for a point in
//!   time, so that requests wait in one queue however many instances they come through, and what
//!   can't be sent in time is refused at once.
//! - [`Issued`] keeps the latest permits, for those who ask again because the answer was lost.
//! - [`Permits`] is what an instance knows of the permits that it may get, so that it asks only
//!   where that is worth a round trip.
//! - [`Doubts`] is what an instance believes and can't rely on: a server that may have started again is
//!   limited like a cold one, and an instance that may have missed messages asks the others first.
//!
//! A target that bears few rejections gets no more requests at once than it has slots: its coordinator
//! lends them ([`Slots`]). If it rejects a request all the same, it is limited like one that names a
//! rate ([`Rate::after_rejection`]), which keeps all later rejections within bounds, until an answer
//! shows that it has room.
//!
//! Two instances may each believe that they are a server's coordinator while their views differ.
//! An issuer therefore issues nothing for [`TAKEOVER_DELAY`] after it was first asked for a server,
//! by which time the permits of a former one have been used, and starts without a burst.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//! use zinniastall_coord::rate::{Demand, Issuer, Rate, Verdict, TAKEOVER_DELAY};
//!
//! let start = Instant::now();
//! let mut issuer = Issuer::default();
//! let demand = Demand { rate: Rate::per_second(4.0), patience: Duration::ZERO };
//! issuer.acquire("engine-1", demand, start);
//! let now = start + TAKEOVER_DELAY;
//! assert!(matches!(issuer.acquire("engine-1", demand, now), Verdict::Granted { .. }));
//! assert!(matches!(issuer.acquire("engine-1", demand, now), Verdict::Denied { .. }));
//! ```

mod doubts;
mod issued;
mod issuer;
mod limits;
mod permits;
mod slots;

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

pub use doubts::{ColdStart, Doubts, MAX_REPORT_DELAY};
pub use issued::Issued;
pub use issuer::{Demand, Issuer, MAX_PATIENCE, TAKEOVER_DELAY, Verdict};
pub use limits::{Change, Limit, Limits, Said};
pub use permits::{PERMIT_TTL, Permits};
pub use slots::Slots;

/// Requests per second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub struct Rate(u64);

/// Lowest rate that is kept. A server that names less, or zero, still gets a request at this rate:
/// only an answer tells that it takes requests again.
pub const MIN_RATE: Rate = Rate(100);
/// Highest rate that is kept; no server takes as many requests, so that it is no limit.
const MAX_RATE: Rate = Rate(1_000_000_000);
/// Share of the rejections that a target bears at which it gets requests after one. The rest covers
/// requests under way when it rejected, and those that come while its rate rises again.
const AFTER_REJECTION: f64 = 0.25;
/// Maximum length of a rate as text.
const MAX_TEXT_BYTES: usize = 32;

/// Why a text is not a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The text is empty or longer than any decimal number that makes sense.
    #[error("a rate has 1 to {MAX_TEXT_BYTES} characters")]
    Length,
    /// The text is not a decimal number.
    #[error("not a decimal number")]
    Number,
    /// The number is negative or not finite.
    #[error("not a finite number of zero or more")]
    Range,
}

/// What an answer of a target names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// Requests per second that it takes; `None` for no limit.
    pub rate: Option<Rate>,
    /// Rejections per second that it bears; `None` for no limit.
    pub rejections: Option<Rate>,
}

impl Named {
    /// Reads the fields of an answer. A rejection by a target that bears few of them limits its rate.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] if one of the fields is no rate.
    pub fn read<'a>(
        rates: impl Iterator<Item = &'a [u8]>,
        rejections: impl Iterator<Item = &'a [u8]>,
        is_rejection: bool,
    ) -> Result<Self, Invalid> {
        let rate = Rate::read(rates)?;
        let rejections = Rate::read(rejections)?;
        let implied = rejections.filter(|_| is_rejection);
        let implied = implied.map(Rate::after_rejection);
        Ok(Self {
            rate: [rate, implied].into_iter().flatten().min(),
            rejections,
        })
    }
}

impl Rate {
    /// Creates a rate from requests per second, within the rates that are kept.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    pub fn per_second(requests: f64) -> Self {
        Self::milli((requests * 1_000.0).clamp(0.0, 1e12) as u64)
    }

    /// Creates a rate from thousandths of a request per second, within the rates that are kept.
    pub fn milli(milli: u64) -> Self {
        Self(milli).clamp(MIN_RATE, MAX_RATE)
    }

    /// Reads a rate from the text of a header field.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] if the text is not a finite decimal number of zero or more.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        let text = text.trim();
        if !(1..=MAX_TEXT_BYTES).contains(&text.len()) {
            return Err(Invalid::Length);
        }
        let requests: f64 = text.parse().map_err(|_| Invalid::Number)?;
        if !requests.is_finite() || requests < 0.0 {
            return Err(Invalid::Range);
        }
        Ok(Self::per_second(requests))
    }

    /// Reads the lowest rate of the fields of an answer; `None` if there are none.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] if one of the fields is no rate.
    pub fn read<'a>(fields: impl Iterator<Item = &'a [u8]>) -> Result<Option<Self>, Invalid> {
        let mut lowest: Option<Self> = None;
        for field in fields {
            let text = str::from_utf8(field).map_err(|_| Invalid::Number)?;
            let rate = Self::parse(text)?;
            lowest = Some(lowest.map_or(rate, |lowest| lowest.min(rate)));
        }
        Ok(lowest)
    }

    /// Returns the rate at which a target may get requests after it rejected one, if it bears this many
    /// rejections per second: even if it rejects all of them, it rejects less.
    #[must_use]
    pub fn after_rejection(self) -> Self {
        self.mul_f64(AFTER_REJECTION)
    }

    /// Returns the rate in thousandths of a request per second.
    pub const fn as_milli(self) -> u64 {
        self.0
    }

    /// Returns the number of requests per second.
    #[expect(clippy::cast_precision_loss, reason = "a rate is far below 2^52")]
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns the mean time between two requests.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.as_f64())
    }

    /// Returns a share or a multiple of the rate.
    #[must_use]
    pub fn mul_f64(self, factor: f64) -> Self {
        Self::per_second(self.as_f64() * factor)
    }
}

impl From<u64> for Rate {
    /// Creates a rate from thousandths of a request per second, as messages carry it.
    fn from(milli: u64) -> Self {
        Self::milli(milli)
    }
}

impl From<Rate> for u64 {
    fn from(rate: Rate) -> Self {
        rate.as_milli()
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.as_f64())
    }
}
