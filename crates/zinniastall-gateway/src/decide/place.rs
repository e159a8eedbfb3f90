//! Where a request goes: which target of this region, another region, a short wait, or nowhere.
//!
//! Everything is compared as expected time until the answer begins. For a model engine that is the
//! prompts that wait before this one, the part of its own prompt that the engine doesn't hold, and the
//! ends of other requests that it has to wait for in a full batch; for a plain service, the requests
//! before it. Another region adds its round trip.
//!
//! Load that this answers: more requests than all targets can finish. If all were let in, each would
//! wait in a queue that only grows, and all answers would come late, which is worth a third; with the
//! queue held shorter than the objective, as many are answered in time as there is capacity, and the
//! rest are told at once when to come back. The queue is held shorter still where streams run that would
//! stand still while it is read.

use std::time::Duration;

/// A target that may be chosen now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Expected time until the target turns to this request.
    pub wait: Duration,
    /// Part of that wait in which it reads prompts of others.
    pub prefill_ahead: Duration,
    /// Part of its slots that is taken; above 1 where requests wait for one.
    pub occupancy: f64,
    /// Expected time for what the target has to read of this request's prompt.
    pub prefill: Duration,
    /// Whether its last requests failed; it is used only where nobody else is left.
    pub is_ejected: bool,
    /// Decides between equals.
    pub tie_breaker: u64,
}

impl Candidate {
    /// Returns what sending a request here costs: the expected time until its answer begins, and the time that
    /// reading its prompt takes from everybody else.
    pub fn cost(&self) -> Duration {
        self.wait + self.prefill * PREFILL_WEIGHT
    }

    /// Tells whether streams that run at the target go on without a pause that their callers mind.
    ///
    /// A target that reads prompts without a break takes a whole slice of them in each step, and an event
    /// takes several steps: callers see streams that began in time stand still for most of a second, again
    /// and again. What waits there, together with what was read since the last events, is what the next
    /// event comes behind.
    fn keeps_gap(&self, gap: Duration, rank: usize) -> bool {
        let share = (GAP_SHARE - GAP_CUT_PER_RANK * as_f64(rank)).max(MIN_GAP_SHARE);
        let own_prefill = self.prefill.min(gap.mul_f64(MAX_OWN_GAP_SHARE));
        let occupancy = gap.mul_f64(FULL_BATCH_GAP_SHARE * self.occupancy.min(1.0));
        gap.is_zero() || self.prefill_ahead + own_prefill + occupancy <= gap.mul_f64(share)
    }
}

/// Another region, as its instances describe it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Region {
    /// Expected wait at its targets.
    pub wait: Duration,
    /// Time to it and back.
    pub round_trip: Duration,
}

/// What a request may wait for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Constraints {
    /// Time that is left until nobody waits for the answer.
    pub left: Duration,
    /// What is left of the time within which an answer is worth most.
    pub objective: Duration,
    /// How many more urgent ranks share the service.
    pub rank: usize,
    /// How many more urgent routes share the service, whoever asks. A route's requests are of one kind, and how long
    /// a target reads for one doesn't depend on its account.
    pub route_rank: usize,
    /// Longest pause between two events that callers of the service's streams bear; zero for no bound.
    pub gap: Duration,
    /// Whether a target of this region is expected to take requests again within moments.
    pub opens_soon: bool,
}

/// A place for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// A target of this region, by its place in the list.
    Local(usize),
    /// Another region, by its place in the list.
    Remote(usize),
    /// None at the moment; to be asked again after a time.
    Wait(Duration),
    /// None: the answer would come too late; worth coming back after a time.
    Refuse(Duration),
}

/// Targets up to which all are weighed: few instances share them and hear of each other ten times a second.
const MAX_ALL_WEIGHED: usize = 6;
/// Targets that hold most of the prompt, and others, that are weighed of many.
const SAMPLED_CACHED: usize = 3;
/// See [`HOLDING`].
const SAMPLED_OTHERS: usize = 2;
/// How often reading counts where targets are compared. Counted once, a prompt would leave the target that holds its
/// beginning for any with a shorter queue, which then reads it too.
const PREFILL_WEIGHT: u32 = 2;
/// By how much another region has to be better. Its wait is known half a second late, and requests
/// that all turn to it on old news would only move the queue.
const REMOTE_MARGIN: Duration = Duration::from_millis(60);
/// Part of the objective that an expected wait may take; the rest is for what expectations miss. Load
/// of other instances is known a tenth of a second late, in which a burst adds a tenth of a queue.
const OBJECTIVE_SHARE: f64 = 0.8;
/// By how much of the bearable wait each more urgent rank of the service shortens it, and what is left at
/// least.
const WAIT_CUT_PER_RANK: f64 = 0.45;
/// See [`RANK`].
const MIN_WAIT_SHARE: f64 = 0.25;
/// Part of the time left that an expected wait may take where the objective is missed already: the
/// answer is worth less then, and nothing after the deadline.
const LATE_WAIT_SHARE: f64 = 0.35;
/// Part of the bearable pause that prompts before a request and its own may take together, and by how much
/// each more urgent route of the service shortens that.
const GAP_SHARE: f64 = 0.65;
/// See [`STEADY`].
const GAP_CUT_PER_RANK: f64 = 0.25;
/// Least part, at any rank: [`OWN`] and [`CROWD`] together, so that a full batch in which nothing waits takes
/// every prompt.
const MIN_GAP_SHARE: f64 = 0.4;
/// Part of the bearable pause that a request's own prompt counts for at most: otherwise the longest prompts
/// would get no target as long as any stream runs.
const MAX_OWN_GAP_SHARE: f64 = 0.35;
/// Part of the bearable pause that a full batch counts for: its steps are longer and its memory is short, so
/// that requests are put back in the middle of their streams.
const FULL_BATCH_GAP_SHARE: f64 = 0.05;
/// Part of the objective for which a request is kept where no target takes one now. A target that is
/// full or starts again mostly takes requests within a tenth of a second.
const HOLD_SHARE: f64 = 0.5;
/// Time after which a kept request looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Shortest and longest time after which a refused request should come back: below the first the
/// queue hasn't moved, and after the second callers have mostly given up.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// Chooses a place.
///
/// Where there are many targets, only a few of them are weighed. Each instance knows the others' requests a
/// moment late; if all of them weighed all targets, all would turn to the same one until they hear of each
/// other, and then to the next. Looking further where the few are taken brings most of that back.
pub fn choose(local: &[Candidate], remote: &[Region], constraints: Constraints) -> Choice {
    if local.len() > MAX_ALL_WEIGHED {
        let sample = sample(local);
        let weighed: Vec<Candidate> = sample.iter().map(|at| local[*at]).collect();
        return match choose_from(&weighed, remote, constraints) {
            Choice::Local(at) => Choice::Local(sample[at]),
            other => other,
        };
    }
    choose_from(local, remote, constraints)
}

/// Returns the places of the targets that are weighed: some of those that hold most of the prompt, and some
/// others; failing ones only where too few others are left.
fn sample(local: &[Candidate]) -> Vec<usize> {
    let healthy = local.iter().filter(|candidate| !candidate.is_ejected);
    let min_prefill = healthy.map(|candidate| candidate.prefill).min();
    let has_most_cached =
        |at: &usize| !local[*at].is_ejected && Some(local[*at].prefill) == min_prefill;
    let mut indexes: Vec<usize> = (0..local.len()).collect();
    indexes.sort_by_key(|at| (local[*at].is_ejected, local[*at].tie_breaker));
    let (cached, others): (Vec<usize>, Vec<usize>) = indexes.into_iter().partition(has_most_cached);
    let cached = cached.into_iter().take(SAMPLED_CACHED);
    cached
        .chain(others.into_iter().take(SAMPLED_OTHERS))
        .collect()
}

fn choose_from(local: &[Candidate], remote: &[Region], constraints: Constraints) -> Choice {
    let best = best_target(local);
    let steady = best.filter(|at| local[*at].keeps_gap(constraints.gap, constraints.route_rank));
    let Some((choice, expected)) = closest(steady, local, best_region(remote), remote) else {
        return best.map_or_else(
            || no_target(constraints),
            |at| Choice::Refuse(local[at].wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1)),
        );
    };
    let max_wait = constraints.max_wait();
    if expected <= max_wait {
        return choice;
    }
    Choice::Refuse((expected.saturating_sub(max_wait)).clamp(RETRY_AFTER.0, RETRY_AFTER.1))
}

impl Constraints {
    /// Returns the longest wait for which a request is let in.
    ///
    /// Less urgent requests are given up first: their queue is held shorter, and what it leaves free is
    /// there for the urgent ones. They are not starved, since that is a part of the queue and not all.
    fn max_wait(&self) -> Duration {
        let share = (1.0 - WAIT_CUT_PER_RANK * as_f64(self.rank)).max(MIN_WAIT_SHARE);
        self.objective
            .mul_f64(OBJECTIVE_SHARE * share)
            .max(self.late_wait())
    }

    /// Returns what an answer that is late already may wait for.
    fn late_wait(&self) -> Duration {
        if self.objective.is_zero() {
            self.left.mul_f64(LATE_WAIT_SHARE)
        } else {
            Duration::ZERO
        }
    }
}

/// Returns the place with the least expected time, and that time without what is read.
fn closest(
    local_best: Option<usize>,
    local: &[Candidate],
    remote_best: Option<usize>,
    remote: &[Region],
) -> Option<(Choice, Duration)> {
    let stay = local_best.map(|at| (Choice::Local(at), local[at].wait));
    let leave = remote_best.map(|at| (Choice::Remote(at), remote[at].wait + remote[at].round_trip));
    let (Some(at), Some(far)) = (local_best, remote_best) else {
        return stay.or(leave);
    };
    // What another region holds isn't known; mostly one of its targets has been sent the prompt's beginning.
    let remote_cost = remote[far].wait + remote[far].round_trip + local[at].prefill;
    if local[at].is_ejected || remote_cost + REMOTE_MARGIN < local[at].cost() {
        return leave;
    }
    stay
}

fn as_f64(rank: usize) -> f64 {
    f64::from(u32::try_from(rank).unwrap_or(u32::MAX))
}

fn no_target(constraints: Constraints) -> Choice {
    if !constraints.opens_soon {
        return Choice::Refuse(RETRY_AFTER.1 / 2);
    }
    let hold = constraints.objective.mul_f64(HOLD_SHARE);
    if hold > POLL_INTERVAL {
        Choice::Wait(POLL_INTERVAL)
    } else {
        Choice::Refuse(RETRY_AFTER.0)
    }
}

fn best_target(candidates: &[Candidate]) -> Option<usize> {
    let indexes = candidates.iter().enumerate();
    let rank = |target: &Candidate| (target.is_ejected, target.cost(), target.tie_breaker);
    let best = indexes.min_by_key(|(_, candidate)| rank(candidate));
    best.map(|(at, _)| at)
}

fn best_region(regions: &[Region]) -> Option<usize> {
    let indexes = regions.iter().enumerate();
    let best = indexes.min_by_key(|(_, region)| region.wait + region.round_trip);
    best.map(|(at, _)| at)
}
