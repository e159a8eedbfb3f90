//! Rates of work and of requests.

/// Room, need or grant: what may be sent, or has to be, within a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amount {
    /// Prefill time, in microseconds per second; zero for a plain service.
    pub work: u64,
    /// Requests, in thousandths per second.
    pub requests: u64,
}

impl Amount {
    /// Returns whether nothing may be sent.
    pub const fn is_zero(self) -> bool {
        self.requests == 0
    }

    /// Returns the sum of two amounts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            work: self.work.saturating_add(other.work),
            requests: self.requests.saturating_add(other.requests),
        }
    }

    /// Returns what is left of the amount without another one.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            work: self.work.saturating_sub(other.work),
            requests: self.requests.saturating_sub(other.requests),
        }
    }

    /// Returns `part` of `whole` equal parts of the amount, rounded down.
    #[must_use]
    pub fn part(self, part: u64, whole: u64) -> Self {
        let of = |value| scale(value, part, whole);
        Self {
            work: of(self.work),
            requests: of(self.requests),
        }
    }

    /// Returns whether neither dimension exceeds that of a limit.
    pub const fn fits(self, limit: Self) -> bool {
        self.work <= limit.work && self.requests <= limit.requests
    }
}

/// Returns `value × part / whole`, rounded down; zero if `whole` is.
pub(super) fn scale(value: u64, part: u64, whole: u64) -> u64 {
    let scaled = u128::from(value) * u128::from(part);
    let scaled = scaled.checked_div(u128::from(whole)).unwrap_or(0);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
