//! Chooses where a request goes: to a target of this region, to another region, into a short wait,
//! or nowhere.
//!
//! All options are compared by the expected time until the answer begins. For a model engine that
//! is the prefill of the prompts ahead, the part of the request's own prompt that the engine has
//! not cached, and the time until other requests of a full batch end. For a plain service it is the
//! time for the requests ahead. Another region adds its round trip.
//!
//! Under overload, admitting every request would let the queues grow without bound, and all answers
//! would be late, which is worth a third of an answer in time. With queues kept shorter than the
//! objective, as many requests are answered in time as there is capacity for, and the others are
//! told at once when to retry. Queues are kept shorter still where running streams would stall
//! during a prefill.

use std::time::Duration;

/// A target that may be chosen now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Expected time until the target starts on this request.
    pub wait: Duration,
    /// Part of that wait until a permit to send to the target is expected; zero if it takes any rate.
    pub permit_wait: Duration,
    /// Part of that wait in which the target prefills other prompts.
    pub prefill_ahead: Duration,
    /// Share of the target's slots in use; above 1 where requests queue for a slot.
    pub occupancy: f64,
    /// Expected time to prefill the part of this request's prompt that the target has not cached.
    pub prefill: Duration,
    /// Whether the target is ejected because its last requests failed. It is used only if no other
    /// target is left.
    pub is_ejected: bool,
    /// Orders targets that are otherwise equal.
    pub tie_breaker: u64,
}

impl Candidate {
    /// Returns the cost of sending a request to this target: the expected time until its answer
    /// begins, plus the time that its prefill takes from the other requests.
    pub fn cost(&self) -> Duration {
        self.wait + self.prefill * PREFILL_WEIGHT
    }

    /// Returns whether the target is used only if the others are no better.
    const fn is_last_resort(&self) -> bool {
        self.is_ejected || !self.permit_wait.is_zero()
    }

    /// Returns the time after which a request should return that would have to wait too long.
    ///
    /// Permits come at a known pace, however slow; all other waits are estimates.
    fn retry_after(&self, excess: Duration) -> Duration {
        let longest = if self.permit_wait.is_zero() {
            RETRY_AFTER.1
        } else {
            MAX_PERMIT_RETRY_AFTER
        };
        excess.clamp(RETRY_AFTER.0, longest)
    }

    /// Returns whether the target's running streams continue without a pause longer than `gap`.
    ///
    /// A target that prefills without a break processes a large chunk in each step, and an event
    /// takes several steps, so streams that began in time stall repeatedly for most of a second.
    /// The next event of a stream comes after the prompts waiting at the target and those prefilled
    /// since the last events.
    fn keeps_gap(&self, gap: Duration, rank: usize) -> bool {
        let share = (GAP_SHARE - GAP_CUT_PER_RANK * as_f64(rank)).max(MIN_GAP_SHARE);
        let own_prefill = self.prefill.min(gap.mul_f64(MAX_OWN_GAP_SHARE));
        let occupancy = gap.mul_f64(FULL_BATCH_GAP_SHARE * self.occupancy.min(1.0));
        gap.is_zero() || self.prefill_ahead + own_prefill + occupancy <= gap.mul_f64(share)
    }
}

/// Another region, as its instances report it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Region {
    /// Expected wait at the region's targets.
    pub wait: Duration,
    /// Round-trip time to the region.
    pub round_trip: Duration,
}

/// Limits on the wait of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Constraints {
    /// Time left until the request's deadline.
    pub left: Duration,
    /// Time left until the objective, within which an answer is worth most.
    pub objective: Duration,
    /// Number of more urgent priorities that use the service.
    pub rank: usize,
    /// Number of more urgent routes that use the service, whatever the account. The requests of a
    /// route are alike, and how long a target takes to prefill one does not depend on its account.
    pub route_rank: usize,
    /// Longest acceptable pause between two events of the service's streams; zero for no limit.
    pub gap: Duration,
    /// Whether a target of this region is expected to accept requests again within moments.
    pub opens_soon: bool,
}

/// A decision on where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// A target of this region, by its index.
    Local(usize),
    /// Another region, by its index.
    Remote(usize),
    /// No target for now; to be decided again after the given time.
    Wait(Duration),
    /// No target, since the answer would come too late; worth retrying after the given time.
    Refuse(Duration),
}

/// Largest number of targets that are all weighed. So few targets are shared by few instances,
/// which exchange their loads ten times a second.
const MAX_ALL_WEIGHED: usize = 6;
/// Targets sampled from a larger number, among those with most of the prompt cached.
const SAMPLED_CACHED: usize = 3;
/// Targets sampled from the others.
const SAMPLED_OTHERS: usize = 2;
/// Weight of the prefill when targets are compared. With a weight of 1, a prompt would leave the
/// target that has its prefix cached for any target with a shorter queue, which then prefills it
/// again.
const PREFILL_WEIGHT: u32 = 2;
/// How much quicker another region has to be. Its wait is known with a delay of half a second, and
/// requests that all move to it on outdated information would only move the queue.
const REMOTE_MARGIN: Duration = Duration::from_millis(60);
/// Share of the objective that an expected wait may take; the rest covers errors of the estimate.
/// The load of other instances is known with a delay of a tenth of a second, in which a burst adds
/// a tenth of a queue.
const OBJECTIVE_SHARE: f64 = 0.8;
/// Cut of the acceptable wait for each more urgent priority that uses the service.
const WAIT_CUT_PER_RANK: f64 = 0.45;
/// Least share of the acceptable wait, at any priority.
const MIN_WAIT_SHARE: f64 = 0.25;
/// Share of the remaining time that an expected wait may take once the objective is missed. The
/// answer is worth less then, and nothing after the deadline.
const LATE_WAIT_SHARE: f64 = 0.35;
/// Share of the acceptable pause that the prompts ahead of a request and its own may take together.
const GAP_SHARE: f64 = 0.65;
/// Cut of that share for each more urgent route that uses the service.
const GAP_CUT_PER_RANK: f64 = 0.25;
/// Least share, at any rank: the sum of [`MAX_OWN_GAP_SHARE`] and [`FULL_BATCH_GAP_SHARE`], so that
/// a full batch without waiting prompts accepts every prompt.
const MIN_GAP_SHARE: f64 = 0.4;
/// Share of the acceptable pause that a request's own prompt counts for at most. Without this cap
/// the longest prompts would find no target as long as any stream runs.
const MAX_OWN_GAP_SHARE: f64 = 0.35;
/// Share of the acceptable pause that a full batch counts for: its steps are longer, and it is
/// short of memory, so that requests are preempted in the middle of their streams.
const FULL_BATCH_GAP_SHARE: f64 = 0.05;
/// Share of the objective for which a request is held if no target accepts one now. A target that
/// is full or restarting mostly accepts requests again within a tenth of a second.
const HOLD_SHARE: f64 = 0.5;
/// Time after which a held request is decided again.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Shortest and longest time after which a refused request should retry. Before the first the queue
/// has hardly moved, and after the second most callers have given up.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));
/// Longest time after which a request should retry that found no permit.
const MAX_PERMIT_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Chooses where a request goes.
///
/// If there are many targets, only a sample of them is weighed. Each instance learns of the others'
/// requests with a short delay; if all instances weighed all targets, they would all pick the same
/// one until they hear of each other, and then the next. Weighing further targets when the sampled
/// ones are busy brings most of that effect back.
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

/// Returns the indexes of the targets to weigh: some of those with most of the prompt cached, and
/// some others. Ejected targets, and those that take a limited rate and have no permit left now, are
/// included only if too few others are left.
fn sample(local: &[Candidate]) -> Vec<usize> {
    let healthy = local.iter().filter(|candidate| !candidate.is_last_resort());
    let min_prefill = healthy.map(|candidate| candidate.prefill).min();
    let has_most_cached =
        |at: &usize| !local[*at].is_last_resort() && Some(local[*at].prefill) == min_prefill;
    let mut indexes: Vec<usize> = (0..local.len()).collect();
    indexes.sort_by_key(|at| (local[*at].is_last_resort(), local[*at].tie_breaker));
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
            |at| Choice::Refuse(local[at].retry_after(local[at].wait)),
        );
    };
    let max_wait = constraints.max_wait();
    if expected <= max_wait {
        return choice;
    }
    let excess = expected.saturating_sub(max_wait);
    let after = match choice {
        Choice::Local(at) => local[at].retry_after(excess),
        _ => excess.clamp(RETRY_AFTER.0, RETRY_AFTER.1),
    };
    Choice::Refuse(after)
}

impl Constraints {
    /// Returns the longest expected wait for which a request is admitted.
    ///
    /// Less urgent requests are shed first: their queue is kept shorter, which leaves capacity for
    /// the urgent ones. They do not starve, since they keep part of the queue.
    pub(crate) fn max_wait(&self) -> Duration {
        let share = (1.0 - WAIT_CUT_PER_RANK * as_f64(self.rank)).max(MIN_WAIT_SHARE);
        self.objective
            .mul_f64(OBJECTIVE_SHARE * share)
            .max(self.late_wait())
    }

    /// Returns the wait acceptable for an answer that already missed the objective.
    fn late_wait(&self) -> Duration {
        if self.objective.is_zero() {
            self.left.mul_f64(LATE_WAIT_SHARE)
        } else {
            Duration::ZERO
        }
    }
}

/// Returns the option with the least expected time, and that time without the request's own
/// prefill.
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
    // The cache of another region is unknown, but mostly one of its targets has the prompt's
    // prefix. Its cost counts this region's prefill time once.
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
    let indexed = candidates.iter().enumerate();
    let rank = |target: &Candidate| (target.is_ejected, target.cost(), target.tie_breaker);
    let best = indexed.min_by_key(|(_, candidate)| rank(candidate));
    best.map(|(at, _)| at)
}

fn best_region(regions: &[Region]) -> Option<usize> {
    let indexed = regions.iter().enumerate();
    let best = indexed.min_by_key(|(_, region)| region.wait + region.round_trip);
    best.map(|(at, _)| at)
}
