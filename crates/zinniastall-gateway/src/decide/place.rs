//! Where a request goes: which target of this region, another region, or nowhere for now.
//!
//! Everything is compared as expected time until the answer begins. For a model engine that is the
//! prompts that wait before this one and the part of its own prompt that the engine doesn't hold;
//! for a plain service, the requests before it. Another region adds its round trip.

use std::time::Duration;

/// A target that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Expected time until the target turns to this request.
    pub wait: Duration,
    /// Expected time for what the target has to read of this request's prompt.
    pub read: Duration,
    /// Whether its last requests failed; it is used only where nobody else is left.
    pub is_out: bool,
    /// Decides between equals.
    pub tie: u64,
}

impl Candidate {
    /// Returns the expected time until the answer begins.
    pub fn cost(&self) -> Duration {
        self.wait + self.read
    }
}

/// Another region, as its instances describe it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Region {
    /// Expected wait at its targets.
    pub wait: Duration,
    /// Time to it and back.
    pub trip: Duration,
}

/// What a request may wait for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Patience {
    /// Time that is left until nobody waits for the answer.
    pub left: Duration,
}

/// A place for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// A target of this region, by its place in the list.
    Here(usize),
    /// Another region, by its place in the list.
    There(usize),
    /// None: every answer would come too late; worth asking again after a time.
    Refuse(Duration),
}

/// By how much another region has to be better. Its wait is known half a second late, and requests
/// that all turn to it on old news would only move the queue.
const ADVANTAGE: Duration = Duration::from_millis(60);
/// Part of the time left that an expected wait may take. Expectations are off by up to a half on the
/// busiest seconds; a request that is let in beyond this mostly ends late and for nothing.
const PART: f64 = 0.6;
/// Shortest and longest time after which a refused request should come back: below the first the
/// queue hasn't moved, and after the second callers have mostly given up.
const RETURN: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(3));

/// Chooses a place.
pub fn choose(here: &[Candidate], there: &[Region], patience: Patience) -> Choice {
    let home = best(here);
    let away = best_region(there);
    let wait = |at: usize| here.get(at).map_or(Duration::ZERO, Candidate::cost);
    let away_wait = |at: usize| {
        let read = home.map_or(Duration::ZERO, |at| here[at].read);
        there[at].wait + there[at].trip + read
    };
    let choice = match (home, away) {
        (None, None) => return Choice::Refuse(RETURN.1),
        (None, Some(at)) => Choice::There(at),
        (Some(at), Some(far)) if here[at].is_out => Choice::There(far).or_here(at, there[far]),
        (Some(at), Some(far)) if away_wait(far) + ADVANTAGE < wait(at) => Choice::There(far),
        (Some(at), _) => Choice::Here(at),
    };
    let expected = match choice {
        Choice::Here(at) => here[at].wait,
        Choice::There(at) => there[at].wait + there[at].trip,
        Choice::Refuse(after) => return Choice::Refuse(after),
    };
    let bearable = patience.left.mul_f64(PART);
    if expected <= bearable {
        return choice;
    }
    Choice::Refuse(expected.saturating_sub(bearable).clamp(RETURN.0, RETURN.1))
}

impl Choice {
    /// Stays here where the other region is busier than a failing target is likely to cost.
    const fn or_here(self, at: usize, region: Region) -> Self {
        const BUSY: Duration = Duration::from_millis(800);
        if region.wait.as_millis() > BUSY.as_millis() {
            Self::Here(at)
        } else {
            self
        }
    }
}

fn best(candidates: &[Candidate]) -> Option<usize> {
    let places = candidates.iter().enumerate();
    let rank = |candidate: &Candidate| (candidate.is_out, candidate.cost(), candidate.tie);
    let best = places.min_by_key(|(_, candidate)| rank(candidate));
    best.map(|(at, _)| at)
}

fn best_region(regions: &[Region]) -> Option<usize> {
    let places = regions.iter().enumerate();
    let best = places.min_by_key(|(_, region)| region.wait + region.trip);
    best.map(|(at, _)| at)
}
