//! Divides the engines of a service in a region between long prompts and short streams.
//!
//! An engine prefills prompts between the decode steps of running streams. Where a long prompt and
//! short streams share an engine, the streams stall for longer than their routes permit, and the
//! bound that prevents this keeps long prompts from nearly all engines. With engines of their own,
//! neither kind waits for the other.
//!
//! The division follows the time that each kind takes from an engine: prefill for prompts, and a
//! share of the decode steps of a full batch for the tokens of answers. Without the second part the
//! short side would have too few slots for streams that last for seconds.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use indexmap::IndexSet;
use zinniastall_coord::rendezvous::weight;

use super::{
    fit::{Fit, choose_fitting},
    place::{Candidate, Choice, Constraints, Region},
    prefill::Rates,
};

/// Least number of usable engines that are divided. Among fewer, one engine more or less on a side
/// is too large a part of the capacity.
pub const MIN_ENGINES: usize = 4;
/// Share of the bound on gaps above which the prefill of a prompt makes it a long one.
const LONG_GAP_SHARE: f64 = 0.25;
/// Prompt tokens that engines prefill at most in one step.
const CHUNK_TOKENS: u64 = 4_096;
/// Share of the bound on gaps from which on the chunks of one event call for a division: the
/// expected prefill time has an error of about a fifth.
const CALL_SHARE: f64 = 0.8;
/// Time of a decode step of a full batch.
const STEP: Duration = Duration::from_millis(9);
/// Streams in a full batch of an engine whose slots are not stated.
const DEFAULT_SLOTS: u32 = 64;
/// Difference between the long side and its share of the demand up to which nothing changes, in
/// engines.
const HYSTERESIS: f64 = 1.0;
/// Most engines that change their side in one round, besides those that were lost.
const MAX_MOVE: u32 = 1;
/// Time constant over which demand is averaged: several times the time between the arrivals of a
/// kind at one instance, and short against the time in which a region's demand changes.
const SMOOTHING: Duration = Duration::from_secs(3);
/// Time after its last request for which a kind counts as in use.
const USE_TTL: Duration = Duration::from_secs(10);
/// Time over which demand is observed before it is divided by for the first time.
const MIN_OBSERVED: Duration = Duration::from_secs(1);
/// Occupancy below which an engine of the short side may get a long prompt.
const IDLE_OCCUPANCY: f64 = 0.5;

/// Side of a division, and the kind of requests that it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Prompts whose prefill would stall streams.
    Long,
    /// All other requests.
    Short,
}

/// Time that a request takes from an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Expected time to prefill the whole prompt.
    pub prefill: Duration,
    /// Share of the decode steps of a full batch that the answer takes.
    pub decode: Duration,
}

/// Engines that the requests of each kind keep busy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Demand of long prompts.
    pub long: f64,
    /// Demand of all other requests.
    pub short: f64,
}

/// Number of engines on the long side, and of all that are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// Engines on the long side; at least one, and fewer than all.
    pub long: u32,
    /// Usable engines on both sides.
    pub engines: u32,
}

/// An engine that is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine<'a> {
    /// Name of the target.
    pub name: &'a str,
    /// Whether it is known to be slow.
    pub is_slow: bool,
}

/// Requests of both kinds that arrived lately at one instance.
#[derive(Debug, Clone, Default)]
pub struct Arrivals {
    first: Option<Instant>,
    long: Stream,
    short: Stream,
}

/// Averages of the requests of one kind.
#[derive(Debug, Clone, Default)]
struct Stream {
    last: Option<Instant>,
    prefill: Average,
    decode: Average,
    /// Prefill of the prompts that were placed, as if no engine had cached any part of them.
    placed: Average,
    /// The part of it that the chosen engines had not cached.
    uncached: Average,
}

/// An exponentially weighted sum of seconds per second.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    level: f64,
    at: Option<Instant>,
}

impl Side {
    /// Returns the side of a prompt with an expected prefill time, under a bound on gaps.
    pub fn of(prefill: Duration, gap: Duration) -> Self {
        if prefill > gap.mul_f64(LONG_GAP_SHARE) {
            Self::Long
        } else {
            Self::Short
        }
    }

    /// Returns the name of the side for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Long => "long",
            Self::Short => "short",
        }
    }
}

impl Work {
    /// Returns the work of a request whose answer has a number of tokens, at an engine with `slots`
    /// slots; 0 if they are not stated.
    pub fn new(prefill: Duration, answer_tokens: u64, slots: u32) -> Self {
        let slots = if slots == 0 { DEFAULT_SLOTS } else { slots };
        let tokens = u32::try_from(answer_tokens).unwrap_or(u32::MAX);
        Self {
            prefill,
            decode: STEP.saturating_mul(tokens) / slots,
        }
    }
}

impl Average {
    fn add(&mut self, amount: Duration, now: Instant) {
        self.level = self.at(now) + amount.as_secs_f64() / SMOOTHING.as_secs_f64();
        self.at = Some(now);
    }

    fn at(&self, now: Instant) -> f64 {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.level * (-age.as_secs_f64() / SMOOTHING.as_secs_f64()).exp()
    }
}

impl Stream {
    fn is_in_use(&self, now: Instant) -> bool {
        let age = self.last.map(|last| now.saturating_duration_since(last));
        age.is_some_and(|age| age < USE_TTL)
    }

    /// Returns the engines that the requests keep busy. Prompts are counted by the part that
    /// engines were expected to prefill of those placed lately.
    fn demand(&self, now: Instant) -> f64 {
        let placed = self.placed.at(now);
        let uncached = if placed > 0.0 {
            (self.uncached.at(now) / placed).min(1.0)
        } else {
            1.0
        };
        self.prefill.at(now) * uncached + self.decode.at(now)
    }
}

impl Arrivals {
    /// Records a request that arrived.
    pub fn record(&mut self, side: Side, work: Work, now: Instant) {
        self.first.get_or_insert(now);
        let stream = self.stream(side);
        stream.last = Some(now);
        stream.prefill.add(work.prefill, now);
        stream.decode.add(work.decode, now);
    }

    /// Records that a request was placed at an engine which has to prefill `uncached` of its
    /// prompt, whose whole prefill takes `prefill`.
    pub fn record_placed(
        &mut self,
        side: Side,
        prefill: Duration,
        uncached: Duration,
        now: Instant,
    ) {
        let stream = self.stream(side);
        stream.placed.add(prefill, now);
        stream.uncached.add(uncached, now);
    }

    /// Returns the demand of both kinds; `None` unless both are in use and were observed for a
    /// while.
    pub fn demand(&self, now: Instant) -> Option<Demand> {
        let observed = now.saturating_duration_since(self.first?);
        let is_in_use = self.long.is_in_use(now) && self.short.is_in_use(now);
        (is_in_use && observed >= MIN_OBSERVED).then(|| Demand {
            long: self.long.demand(now),
            short: self.short.demand(now),
        })
    }

    const fn stream(&mut self, side: Side) -> &mut Stream {
        match side {
            Side::Long => &mut self.long,
            Side::Short => &mut self.short,
        }
    }
}

impl Plan {
    /// Returns the plan of the next round; `None` if the engines are not divided.
    ///
    /// Each round moves one engine at most, and as many more as were lost since `previous`. The
    /// first plan follows the demand at once.
    pub fn next(previous: Option<Self>, demand: Demand, engines: usize) -> Option<Self> {
        let sum = demand.long + demand.short;
        let is_used = demand.long > 0.0 && demand.short > 0.0 && sum.is_finite();
        let all = u32::try_from(engines).ok()?;
        if engines < MIN_ENGINES || !is_used {
            return None;
        }
        let share = f64::from(all) * demand.long / sum;
        let most = all - 1;
        let ideal = round(share).clamp(1, most);
        let long = previous.map_or(ideal, |previous| {
            if (share - f64::from(previous.long)).abs() < HYSTERESIS {
                return previous.long;
            }
            let reach = MAX_MOVE + previous.engines.saturating_sub(all);
            let least = previous.long.saturating_sub(reach);
            ideal.clamp(least, previous.long.saturating_add(reach))
        });
        Some(Self {
            long: long.clamp(1, most),
            engines: all,
        })
    }

    /// Returns whether the plan has engines on both sides.
    pub fn is_possible(&self) -> bool {
        let engines = usize::try_from(self.engines).unwrap_or(usize::MAX);
        (1..self.engines).contains(&self.long) && engines >= MIN_ENGINES
    }

    /// Returns whether so many usable engines may still be divided by the plan. After the loss of
    /// more than a third of them one side may have none left.
    pub const fn holds_for(&self, usable: usize) -> bool {
        usable >= MIN_ENGINES && usable as u64 * 3 >= self.engines as u64 * 2
    }
}

/// Returns whether chunks of prompts in all steps of one event of `stride` tokens would break the
/// bound on gaps, or nearly so.
pub fn is_called_for(gap: Duration, stride: u32, rates: &Rates) -> bool {
    let event = rates.expected(CHUNK_TOKENS, 0) * stride.max(1);
    !gap.is_zero() && event >= gap.mul_f64(CALL_SHARE)
}

/// Returns the engines on the long side.
///
/// All instances that know the same engines choose the same ones, and another engine changes the
/// side of at most one. Slow engines are left to the short side, since a long prompt takes longest
/// there, unless all of them are slow.
pub fn long_side<'a>(service: &str, engines: &[Engine<'a>], long: u32) -> IndexSet<&'a str> {
    let mut ordered = engines.to_vec();
    ordered.sort_by_cached_key(|engine| (Reverse(weight(service, engine.name)), engine.name));
    let fast: Vec<Engine<'_>> = ordered
        .iter()
        .filter(|engine| !engine.is_slow)
        .copied()
        .collect();
    let eligible = if fast.is_empty() { ordered } else { fast };
    let most = engines.len().saturating_sub(1);
    let long = usize::try_from(long).unwrap_or(usize::MAX).min(most);
    eligible
        .iter()
        .take(long)
        .map(|engine| engine.name)
        .collect()
}

/// Chooses where a request goes among divided engines; returns whether it goes to an engine of the
/// other side.
///
/// `fits` has an entry for each target, or is empty; `is_own` tells which targets take requests of the
/// side. If none of those accepts the request, or
/// only a full or ejected one does, it goes to an idle engine of the other side that accepts it.
pub fn choose(
    (local, fits): (&[Candidate], &[Fit]),
    (side, is_own): (Side, &[bool]),
    remote: &[Region],
    constraints: Constraints,
) -> (Choice, bool) {
    let (own, other): (Vec<usize>, Vec<usize>) = (0..local.len()).partition(|at| is_own[*at]);
    let constraints = match side {
        // No short streams run there that the prompts ahead could stall.
        Side::Long => Constraints {
            route_rank: 0,
            ..constraints
        },
        Side::Short => constraints,
    };
    let first = choose_among((local, fits), &own, remote, constraints);
    let accepts = |choice| matches!(choice, Choice::Local(at) if has_room(&local[at]));
    let is_settled = match first {
        Choice::Remote(_) => accepts(choose_among((local, fits), &own, &[], constraints)),
        other => accepts(other),
    };
    if is_settled {
        return (first, false);
    }
    let idle = other.into_iter().filter(|at| is_idle(&local[*at], side));
    let idle: Vec<usize> = idle.collect();
    match choose_among((local, fits), &idle, &[], constraints) {
        Choice::Local(at) => (Choice::Local(at), true),
        _ => (first, false),
    }
}

fn choose_among(
    (local, fits): (&[Candidate], &[Fit]),
    places: &[usize],
    remote: &[Region],
    constraints: Constraints,
) -> Choice {
    let candidates: Vec<Candidate> = places.iter().map(|at| local[*at]).collect();
    let fits = places.iter().filter_map(|at| fits.get(*at).copied());
    let fits: Vec<Fit> = fits.collect();
    match choose_fitting(&candidates, &fits, remote, constraints) {
        Choice::Local(at) => Choice::Local(places[at]),
        other => other,
    }
}

/// Returns whether a target of the own side is preferred to an idle one of the other side.
fn has_room(candidate: &Candidate) -> bool {
    !candidate.is_ejected && candidate.permit_wait.is_zero() && candidate.occupancy < 1.0
}

/// Returns whether a target of the other side may get a request of a side.
///
/// A long prompt stalls the streams that run there, so it needs an engine with few of them. A short
/// stream only needs a slot: otherwise streams that last for seconds would be refused once the
/// engines of their side are full.
fn is_idle(candidate: &Candidate, side: Side) -> bool {
    let max_occupancy = match side {
        Side::Long => IDLE_OCCUPANCY,
        Side::Short => 1.0,
    };
    has_room(candidate) && candidate.prefill_ahead.is_zero() && candidate.occupancy < max_occupancy
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of a number of engines, which is not negative"
)]
fn round(share: f64) -> u32 {
    share.round() as u32
}
