//! Fifth filter: selects the target that serves a request.
//!
//! If every instance compared all targets and took the cheapest, all would send to the same one
//! until the next reports arrive. Selection by cost therefore compares a few candidates: two
//! sampled at random (power of two choices; Mitzenmacher, 2001), the one that has cached most of
//! the prompt, and the one that the prompt's first block hashes to (rendezvous hashing), so that
//! instances agree on a target for a prefix before its cache is reported. The last two are
//! candidates only while their load is within a bound of the mean (consistent hashing with bounded
//! loads; Mirrokni et al., 2018).

use std::time::Instant;

use rand::{Rng, seq::IndexedRandom};
use zinniastall_model::id;

use crate::{
    load::Load,
    policy::{Choice, Policy},
};

/// Maximum ratio of a target's utilization to the mean at which prefix affinity applies.
const MAX_AFFINITY_LOAD_RATIO: f64 = 1.25;
/// Share of its service time by which a full batch slows a request down.
const FULL_BATCH_SLOWDOWN: f64 = 0.05;
/// Costs within this factor plus [`TIE_MARGIN_MS`] of the lowest count as equal: estimates are no
/// more precise than that, and always taking the lowest would use a single target.
const TIE_FACTOR: f64 = 1.05;
/// See [`TIE_FACTOR`].
const TIE_MARGIN_MS: f64 = 1.0;

/// A target that may be selected.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the target.
    pub target: &'a str,
    /// Its load and cache, as known to this instance.
    pub load: &'a Load,
}

/// Selects targets for one instance; keeps the position of round robin.
#[derive(Debug, Default)]
pub struct Chooser {
    next_turn: usize,
}

impl Chooser {
    /// Selects one of the candidates, which are in a fixed order; returns `None` if there are none.
    pub fn choose(
        &mut self,
        policy: &Policy,
        prefixes: &[u64],
        candidates: &[Candidate<'_>],
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<id::Target> {
        let chosen = match policy.choice {
            Choice::Random => candidates.choose(random),
            Choice::RoundRobin => self.round_robin(candidates),
            Choice::LeastInFlight => least_in_flight(candidates, random),
            Choice::PrefixHash => match prefixes.first() {
                Some(first) => rendezvous(candidates, *first),
                None => candidates.choose(random),
            },
            Choice::Cost => cheapest(policy, prefixes, candidates, now, random),
        };
        chosen.map(|candidate| candidate.target.to_owned())
    }

    fn round_robin<'a, 'b>(
        &mut self,
        candidates: &'a [Candidate<'b>],
    ) -> Option<&'a Candidate<'b>> {
        let turn = self.next_turn.checked_rem(candidates.len())?;
        self.next_turn = self.next_turn.wrapping_add(1);
        candidates.get(turn)
    }
}

/// Returns the cost of serving a prompt at a target, in milliseconds.
pub fn cost(policy: &Policy, prefixes: &[u64], load: &Load, now: Instant) -> f64 {
    let service = millis(load.service_time());
    let wait = millis(load.expected_wait(now))
        + service * FULL_BATCH_SLOWDOWN * load.utilization(now).min(1.0);
    let weights = &policy.weights;
    weights.wait * wait
        + cache_miss_cost(policy, prefixes, load, now)
        + weights.price * load.price() * service
}

/// Returns the part of the cost that is caused by blocks which the target has not cached.
#[expect(clippy::cast_precision_loss, reason = "at most a few hundred blocks")]
pub fn cache_miss_cost(policy: &Policy, prefixes: &[u64], load: &Load, now: Instant) -> f64 {
    let uncached = prefixes.len() as f64 - load.cached_blocks(prefixes, now);
    policy.weights.cache * uncached * millis(policy.block_prefill)
}

fn cheapest<'a, 'b>(
    policy: &Policy,
    prefixes: &[u64],
    candidates: &'a [Candidate<'b>],
    now: Instant,
    random: &mut impl Rng,
) -> Option<&'a Candidate<'b>> {
    let mut sampled: Vec<_> = candidates.choose_multiple(random, 2).collect();
    sampled.extend(affinity_candidates(prefixes, candidates, now));
    let costs = sampled
        .iter()
        .map(|candidate| cost(policy, prefixes, candidate.load, now));
    let costs: Vec<f64> = costs.collect();
    let least = costs.iter().copied().min_by(f64::total_cmp)?;
    let equal = sampled.into_iter().zip(costs);
    let equal = equal.filter(|(_, cost)| *cost <= least * TIE_FACTOR + TIE_MARGIN_MS);
    let equal: Vec<_> = equal.map(|(candidate, _)| candidate).collect();
    // Among equal targets, all instances agree on one, which leaves the others' caches undisturbed.
    let home = prefixes
        .first()
        .and_then(|first| rendezvous(candidates, *first));
    let is_home =
        |candidate: &&&Candidate<'_>| home.is_some_and(|home| home.target == candidate.target);
    let chosen = equal.iter().find(is_home);
    chosen.or_else(|| equal.choose(random)).copied()
}

/// Returns the targets with affinity to a prompt's prefix, without overloaded ones.
fn affinity_candidates<'a, 'b>(
    prefixes: &[u64],
    candidates: &'a [Candidate<'b>],
    now: Instant,
) -> Vec<&'a Candidate<'b>> {
    let Some(first) = prefixes.first() else {
        return Vec::new();
    };
    let most_cached = candidates.iter().max_by(|a, b| {
        let (a, b) = (
            a.load.cached_blocks(prefixes, now),
            b.load.cached_blocks(prefixes, now),
        );
        a.total_cmp(&b)
    });
    let bound = load_bound(candidates, now);
    let fits = |candidate: &&Candidate<'_>| candidate.load.utilization(now) <= bound;
    let both = [most_cached, rendezvous(candidates, *first)];
    both.into_iter().flatten().filter(fits).collect()
}

#[expect(clippy::cast_precision_loss, reason = "counts of targets")]
fn load_bound(candidates: &[Candidate<'_>], now: Instant) -> f64 {
    let utilizations = candidates
        .iter()
        .map(|candidate| candidate.load.utilization(now));
    let mean = utilizations.sum::<f64>() / candidates.len() as f64;
    // Requests do not wait at a target whose batch is not full.
    (mean * MAX_AFFINITY_LOAD_RATIO).max(1.0)
}

fn least_in_flight<'a, 'b>(
    candidates: &'a [Candidate<'b>],
    random: &mut impl Rng,
) -> Option<&'a Candidate<'b>> {
    let fewest = candidates
        .iter()
        .map(|candidate| candidate.load.in_flight())
        .min()?;
    let ties: Vec<_> = candidates
        .iter()
        .filter(|candidate| candidate.load.in_flight() == fewest)
        .collect();
    ties.choose(random).copied()
}

/// Returns the target that a digest hashes to by rendezvous hashing (highest random weight; Thaler
/// and Ravishankar, 1998). When targets join or leave, only the prefixes of these targets move.
fn rendezvous<'a, 'b>(candidates: &'a [Candidate<'b>], digest: u64) -> Option<&'a Candidate<'b>> {
    candidates
        .iter()
        .max_by_key(|candidate| rendezvous_weight(candidate.target, digest))
}

fn rendezvous_weight(target: &str, digest: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(&digest.to_le_bytes())
        .update(target.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

pub(crate) fn millis(duration: std::time::Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
