//! The policy of a deployment: how targets are chosen, and what its measures weigh.

use std::time::Duration;

use zinniastall_model::id;

/// How a target is chosen. All but [`Choice::Cost`] serve as baselines of measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Any target.
    Random,
    /// One after the other.
    RoundRobin,
    /// The target with the fewest requests of this instance in progress.
    LeastInFlight,
    /// The target that the prompt's first block hashes to.
    PrefixHash,
    /// The target of least cost by [`Weights`], out of a few.
    Cost,
}

impl Choice {
    /// Words that settings use, in the order of the variants.
    pub const WORDS: &'static str = "random, round-robin, least-in-flight, prefix-hash, cost";

    /// Reads the word that settings use.
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

/// What one unit of each measure weighs. Costs are compared in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// A millisecond of expected wait.
    pub wait: f64,
    /// A millisecond of prefill for blocks that the target has not cached. They also take the place
    /// of others in its cache, whose next request pays for that.
    pub cache: f64,
    /// A millisecond of the cost of crossing a border.
    pub border: f64,
    /// A millisecond of a target's time at price 1.
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

/// The policy of a deployment.
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
    pub(crate) retry_ratio: f64,
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
            retry_ratio: 0.1,
            eject_floor: 0.5,
            zone_border: Duration::from_millis(5),
            region_border: Duration::from_millis(60),
            spill: true,
        }
    }
}

impl Policy {
    /// Chooses how targets are chosen.
    #[must_use]
    pub const fn choice(mut self, choice: Choice) -> Self {
        self.choice = choice;
        self
    }

    /// Weighs the measures.
    #[must_use]
    pub const fn weights(mut self, weights: Weights) -> Self {
        self.weights = weights;
        self
    }

    /// Sets the time that prefilling one block takes.
    #[must_use]
    pub const fn block_prefill(mut self, block_prefill: Duration) -> Self {
        self.block_prefill = block_prefill;
        self
    }

    /// Names the classes, those that go first at the front. Others go last.
    #[must_use]
    pub fn classes(mut self, classes: Vec<id::Class>) -> Self {
        self.classes = classes;
        self
    }

    /// Sets the most requests that wait for one model or service.
    #[must_use]
    pub const fn queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the retries permitted for each request of the recent past.
    #[must_use]
    pub const fn retry_ratio(mut self, share: f64) -> Self {
        self.retry_ratio = share;
        self
    }

    /// Sets the share of targets that is never ejected.
    #[must_use]
    pub const fn eject_floor(mut self, floor: f64) -> Self {
        self.eject_floor = floor;
        self
    }

    /// Sets the cost of crossing a border between zones and between regions, which is the time that
    /// a request loses there.
    #[must_use]
    pub const fn border_costs(mut self, zone: Duration, region: Duration) -> Self {
        self.zone_border = zone;
        self.region_border = region;
        self
    }

    /// Permits or forbids sending requests to other zones and regions.
    #[must_use]
    pub const fn spill(mut self, spill: bool) -> Self {
        self.spill = spill;
        self
    }

    /// Returns how many waiting requests are looked at when a target has room.
    ///
    /// While all targets are full, whichever ends a request first would get the next one in turn,
    /// and prefixes would end up everywhere: full targets would make cold caches, and cold caches
    /// full targets. The baselines keep strictly to turns.
    pub const fn window(&self) -> usize {
        match self.choice {
            Choice::Cost => 16,
            _ => 1,
        }
    }

    /// Returns the retries permitted for each request.
    pub const fn earned_retries(&self) -> f64 {
        self.retry_ratio
    }

    /// Returns the most requests that wait for one model or service.
    pub const fn max_queue_length(&self) -> usize {
        self.queue
    }

    /// Returns whether requests may be sent to other zones and regions.
    pub const fn spill_enabled(&self) -> bool {
        self.spill
    }

    /// Returns the share of targets that is never ejected.
    pub const fn usable_floor(&self) -> f64 {
        self.eject_floor
    }

    /// Returns the time of a prefill of this many blocks without any cache.
    pub fn prefill(&self, blocks: usize) -> Duration {
        let blocks = u32::try_from(blocks).unwrap_or(u32::MAX);
        self.block_prefill.saturating_mul(blocks)
    }

    /// Returns the cost of a wait, in milliseconds.
    pub fn wait_cost(&self, wait: Duration) -> f64 {
        self.weights.wait * wait.as_secs_f64() * 1000.0
    }

    /// Returns a class's place in the order of priority, 0 first.
    pub fn rank(&self, class: &str) -> usize {
        let named = self.classes.iter().position(|name| name == class);
        named.unwrap_or(self.classes.len())
    }
}
