//! Settings of the callers' interface: routing policy and tickets.

use std::{sync::Arc, time::Duration};

use zinniastall_coord::retry::Bound;
use zinniastall_route::policy::{Choice, Policy, Weights};
use zinniastall_settings::reader::Reader;

/// Settings of the callers' interface.
#[derive(Debug, Clone)]
pub struct Callers {
    /// Routing policy.
    pub policy: Arc<Policy>,
    /// Maximum gap between parts of a stream before it is considered broken.
    pub stall_timeout: Duration,
    /// Maximum time that a forwarded request waits for the configuration revision of its sender;
    /// zero disables the wait.
    pub max_revision_wait: Duration,
    /// At-most-once execution.
    pub tickets: Tickets,
}

/// Settings for at-most-once execution.
#[derive(Debug, Clone)]
pub struct Tickets {
    /// Validity period of a ticket.
    pub validity: Duration,
    /// Maximum number of used tickets that are remembered.
    pub marks: usize,
    /// Maximum size of a response that is kept for retries, in bytes.
    pub answer_bytes: usize,
    /// Maximum total size of kept responses, in bytes.
    pub kept_bytes: usize,
    /// How long a shutdown continues to resolve tickets after its last request has ended.
    pub linger: Duration,
}

impl Callers {
    /// Reads the callers' sections of an entry instance's settings.
    pub fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            policy: Arc::new(reader.nested("policy", policy)),
            stall_timeout: reader.millis("stall_ms", 100..=3_600_000, 30_000),
            max_revision_wait: reader.millis("behind_ms", 0..=10_000, 500),
            tickets: reader.nested("tickets", tickets),
        }
    }
}

fn policy(reader: &mut Reader<'_>) -> Policy {
    let choice = reader.word("choice", Choice::WORDS, Choice::parse, Choice::Cost);
    let weights = reader.nested("weights", weights);
    let classes = reader.names("classes");
    let slack = reader.number("retry_slack", 0..=1_000_000, 100);
    let slack = u32::try_from(slack).unwrap_or(u32::MAX);
    let policy = Policy::default()
        .choice(choice)
        .weights(weights)
        .block_prefill(reader.millis("block_ms", 0..=60_000, 4))
        .queue(count(reader.number("queue", 0..=1_000_000, 1024)))
        .retry_budget(
            Bound::default()
                .window(reader.millis("retry_window_ms", 100..=600_000, 10_000))
                .ratio(reader.fraction("retry_share", 1.0, 0.1))
                .slack(slack),
        )
        .retry_settling(reader.millis("retry_settle_ms", 0..=60_000, 3_500))
        .eject_floor(reader.fraction("eject_floor", 1.0, 0.5))
        .border_costs(
            reader.millis("zone_border_ms", 0..=60_000, 5),
            reader.millis("region_border_ms", 0..=60_000, 60),
        )
        .spill(reader.flag("spill", true));
    if classes.is_empty() {
        policy
    } else {
        policy.classes(classes)
    }
}

fn weights(reader: &mut Reader<'_>) -> Weights {
    const MAX_WEIGHT: f64 = 1_000_000.0;
    let default = Weights::default();
    Weights {
        wait: reader.fraction("wait", MAX_WEIGHT, default.wait),
        cache: reader.fraction("cache", MAX_WEIGHT, default.cache),
        border: reader.fraction("border", MAX_WEIGHT, default.border),
        price: reader.fraction("price", MAX_WEIGHT, default.price),
    }
}

fn tickets(reader: &mut Reader<'_>) -> Tickets {
    Tickets {
        validity: reader.millis("validity_ms", 100..=3_600_000, 120_000),
        marks: count(reader.number("marks", 1..=10_000_000, 100_000)),
        answer_bytes: count(reader.number("answer_bytes", 0..=64 << 20, 1 << 20)),
        kept_bytes: count(reader.number("kept_bytes", 0..=8 << 30, 64 << 20)),
        linger: reader.millis("linger_ms", 0..=3_600_000, 10_000),
    }
}

/// Converts a number whose range has been checked to fit in `usize`.
fn count(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
