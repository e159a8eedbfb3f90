//! Questions for permits to send to targets that take a limited rate, and their answers.
//!
//! Entry instances send them in gossip messages, gateway instances in datagrams.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use zinniastall_coord::rate::{self, Rate};
use zinniastall_model::id;

/// Number of a question, chosen by its sender.
pub type Number = u32;

/// Question for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Number of the question.
    #[serde(rename = "n")]
    pub number: Number,
    /// Target.
    #[serde(rename = "k")]
    pub target: id::Target,
    /// Rate that the sender knows of.
    #[serde(rename = "r")]
    pub rate: Rate,
    /// Longest time that the request would wait, in milliseconds.
    #[serde(rename = "w")]
    pub patience_ms: u64,
}

/// Answer to a [`Demand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Number of the question.
    #[serde(rename = "n")]
    pub number: Number,
    /// Time until the permit may be used, in microseconds; `None` if there is none.
    #[serde(rename = "w")]
    pub wait_us: Option<u64>,
    /// Time until the next permit, in microseconds.
    #[serde(rename = "t")]
    pub next_us: u64,
}

/// Question for a slot of a target that bears few rejections, or its return.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Number of the question, which identifies the request at its sender.
    #[serde(rename = "n")]
    pub number: Number,
    /// Target.
    #[serde(rename = "k")]
    pub target: id::Target,
    /// Slots of the target.
    #[serde(rename = "s")]
    pub slots: u32,
    /// Longest time for which the request needs the slot, in milliseconds; 0 to return it.
    #[serde(rename = "w")]
    pub time_ms: u64,
}

impl Demand {
    /// Creates the question for a permit of a target.
    pub fn new(number: Number, target: &str, demand: rate::Demand) -> Self {
        Self {
            number,
            target: target.to_owned(),
            rate: demand.rate,
            patience_ms: u64::try_from(demand.patience.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<&Demand> for rate::Demand {
    fn from(demand: &Demand) -> Self {
        Self {
            rate: demand.rate,
            patience: Duration::from_millis(demand.patience_ms),
        }
    }
}

impl Verdict {
    /// Creates the answer to a question.
    pub fn new(number: Number, verdict: rate::Verdict) -> Self {
        let (wait, next) = match verdict {
            rate::Verdict::Granted { wait, next } => (Some(wait), next),
            rate::Verdict::Denied { next } => (None, next),
        };
        Self {
            number,
            wait_us: wait.map(micros),
            next_us: micros(next),
        }
    }
}

impl From<&Verdict> for rate::Verdict {
    fn from(verdict: &Verdict) -> Self {
        let next = Duration::from_micros(verdict.next_us);
        match verdict.wait_us {
            Some(wait_us) => Self::Granted {
                wait: Duration::from_micros(wait_us),
                next,
            },
            None => Self::Denied { next },
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
