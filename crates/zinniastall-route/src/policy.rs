//! Routing policy of a deployment: how targets are selected, and the weights of the cost function.

use std::time::Duration;

use zinniastall_coord::retry;
use zinniastall_model::id;

/// How a target is selected. All but [`Choice::Cost`] are baselines to compare it with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// A random target.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests of this instance in flight.
    LeastInFlight,
    /// The target that the prompt's first block hashes to; a random one if it has no whole block.
    PrefixHash,
    /// The cheapest of a few targets, with costs weighted by [`Weights`].
    Cost,
}

impl Choice {
    /// Words used in the settings, in the order of the variants.
    pub const WORDS: &'static str = "random, round-robin, least-in-flight, prefix-hash, cost";

    /// Parses the word used in the settings.
    pub fn parse(word: &str) -> Option<Self> {
        Some(match word {
            "random" => Self::Random,
            "round-robin" => Self::RoundRobin,
            "least-in-flight" => Self::LeastInFlight,
            "prefix-hash" => Self::PrefixHash,
            "cost" => Self::Cost,
            _ => return None,
        })
    }
}

/// Weights of the terms of a cost, which is in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// Weight of a millisecond of expected wait.
    pub wait: f64,
    /// Weight of a millisecond of prefill for blocks that the target has not cached. These blocks
    /// also evict others from its cache, which a later request has to prefill again.
    pub cache: f64,
    /// Weight of a millisecond spent on crossing a zone or region boundary.
    pub border: f64,
    /// Weight of a millisecond of a target's time at price 1.
    pub price: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            wait: 1.0,
            cache: 2.0,
            border: 1.0,
            price: 0.1,
        }
    }
}

/// Routing policy of a deployment.
///
/// # Example
///
/// ```
/// use zinniastall_route::policy::{Choice, Policy};
///
/// let policy = Policy::default().choice(Choice::RoundRobin).queue(64);
/// assert_eq!(policy.rank("interactive"), 0);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    pub(crate) choice: Choice,
    pub(crate) weights: Weights,
    pub(crate) block_prefill: Duration,
    pub(crate) classes: Vec<id::Class>,
    pub(crate) queue: usize,
    pub(crate) retry_budget: retry::Bound,
    pub(crate) retry_settling: Duration,
    pub(crate) eject_floor: f64,
    pub(crate) zone_border: Duration,
    pub(crate) region_border: Duration,
    pub(crate) spill: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            choice: Choice::Cost,
            weights: Weights::default(),
            block_prefill: Duration::from_millis(4),
            classes: vec!["interactive".into(), "batch".into()],
            queue: 1024,
            retry_budget: retry::Bound::default().ratio(0.1).slack(100),
            retry_settling: retry::SETTLING,
            eject_floor: 0.5,
            zone_border: Duration::from_millis(5),
            region_border: Duration::from_millis(60),
            spill: true,
        }
    }
}

impl Policy {
    /// Sets how targets are selected.
    #[must_use]
    pub const fn choice(mut self, choice: Choice) -> Self {
        self.choice = choice;
        self
    }

    /// Sets the weights of the cost function.
    #[must_use]
    pub const fn weights(mut self, weights: Weights) -> Self {
        self.weights = weights;
        self
    }

    /// Sets the time to prefill one block.
    #[must_use]
    pub const fn block_prefill(mut self, block_prefill: Duration) -> Self {
        self.block_prefill = block_prefill;
        self
    }

    /// Sets the classes in order of priority, highest first. Unlisted classes come last.
    #[must_use]
    pub fn classes(mut self, classes: Vec<id::Class>) -> Self {
        self.classes = classes;
        self
    }

    /// Sets the maximum number of requests that wait for one model or service.
    #[must_use]
    pub const fn queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the limit on the retries of a model or service, over all instances.
    #[must_use]
    pub const fn retry_budget(mut self, bound: retry::Bound) -> Self {
        self.retry_budget = bound;
        self
    }

    /// Sets the time that an instance is in touch before it holds a share of the retry budget.
    #[must_use]
    pub const fn retry_settling(mut self, settling: Duration) -> Self {
        self.retry_settling = settling;
        self
    }

    /// Sets the minimum share of targets that stays usable.
    #[must_use]
    pub const fn eject_floor(mut self, floor: f64) -> Self {
        self.eject_floor = floor;
        self
    }

    /// Sets the costs of crossing a zone and a region boundary, which are the time that a request
    /// loses there.
    #[must_use]
    pub const fn border_costs(mut self, zone: Duration, region: Duration) -> Self {
        self.zone_border = zone;
        self.region_border = region;
        self
    }

    /// Sets whether requests may be forwarded to other zones and regions.
    #[must_use]
    pub const fn spill(mut self, spill: bool) -> Self {
        self.spill = spill;
        self
    }

    /// Returns how many waiting requests are considered when a target has a free slot.
    ///
    /// If the first request in order always started while all targets are full, it would go to
    /// whichever target frees a slot first, and prefixes would spread over all targets: full
    /// targets would cause cold caches, and cold caches full targets. The baselines keep strictly
    /// to the order of the queue.
    pub const fn window(&self) -> usize {
        match self.choice {
            Choice::Cost => 16,
            _ => 1,
        }
    }

    /// Returns the limit on the retries of a model or service, over all instances.
    pub const fn retry_bound(&self) -> retry::Bound {
        self.retry_budget
    }

    /// Returns how the retry budget is divided among the instances.
    pub const fn retry_division(&self) -> retry::Division {
        retry::Division::new(self.retry_budget.window).settling(self.retry_settling)
    }

    /// Returns the maximum number of requests that wait for one model or service.
    pub const fn max_queue_length(&self) -> usize {
        self.queue
    }

    /// Returns whether requests may be forwarded to other zones and regions.
    pub const fn spill_enabled(&self) -> bool {
        self.spill
    }

    /// Returns the minimum share of targets that stays usable.
    pub const fn usable_floor(&self) -> f64 {
        self.eject_floor
    }

    /// Returns the time to prefill this many blocks without any cached one.
    pub fn prefill(&self, blocks: usize) -> Duration {
        let blocks = u32::try_from(blocks).unwrap_or(u32::MAX);
        self.block_prefill.saturating_mul(blocks)
    }

    /// Returns the weighted cost of a wait, in milliseconds.
    pub fn wait_cost(&self, wait: Duration) -> f64 {
        self.weights.wait * wait.as_secs_f64() * 1000.0
    }

    /// Returns the position of a class in the order of priority, from 0.
    pub fn rank(&self, class: &str) -> usize {
        let named = self.classes.iter().position(|name| name == class);
        named.unwrap_or(self.classes.len())
    }
}
