//! Estimates the tokens that an engine holds in memory, and whether one more request fits.
//!
//! An engine whose memory is full preempts running requests, which then stall or are prefilled
//! again. Slots don't prevent that where prompts are long. Own requests are counted with the prompt
//! and the expected answer from the start; of the requests of other instances only the number is
//! known, and each counts as the service's mean. Parts that prompts share are held once.

use indexmap::IndexMap;
use zinniastall_model::id;

/// Share of an engine's memory that may be in use by the estimate, which errs by a few percent.
pub const MAX_SHARE: f64 = 0.95;
/// Answer tokens assumed of a request that states none.
const ASSUMED_ANSWER_TOKENS: u64 = 256;
/// Requests after which the mean of a service is a moving average.
const MEAN_REQUESTS: u32 = 50;

/// Tokens that a request takes at its engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Parts of the prompt that requests share, with their tokens.
    parts: Vec<(String, u64)>,
    /// The rest of the prompt and the expected answer.
    own: u64,
}

impl Footprint {
    /// Creates the footprint of a prompt with shared parts. `answer` is the number of tokens that
    /// the answer takes at most, if the request states it.
    pub fn new(parts: Vec<(String, u64)>, prompt: u64, answer: Option<u64>) -> Self {
        let shared = sum(&parts);
        let answer = answer.unwrap_or(ASSUMED_ANSWER_TOKENS);
        Self {
            parts,
            own: prompt.saturating_sub(shared).saturating_add(answer),
        }
    }

    /// Returns all tokens of the request.
    pub fn tokens(&self) -> u64 {
        sum(&self.parts).saturating_add(self.own)
    }
}

/// Tokens of this instance's requests in flight, by engine.
#[derive(Debug, Default)]
pub struct Memory {
    targets: IndexMap<id::Target, Held>,
    means: IndexMap<id::Service, Mean>,
}

#[derive(Debug, Default)]
struct Held {
    requests: u32,
    own: u64,
    parts: IndexMap<String, Part>,
}

/// A shared part, and the requests in flight that hold it.
#[derive(Debug)]
struct Part {
    tokens: u64,
    requests: u32,
}

/// Mean of the tokens that requests of a service don't share.
#[derive(Debug, Default, Clone, Copy)]
struct Mean {
    tokens: f64,
    requests: u32,
}

impl Memory {
    /// Counts a request at an engine; [`Memory::end`] has to follow.
    pub fn start(&mut self, target: &str, service: &str, footprint: &Footprint) {
        let held = self.targets.entry(target.to_owned()).or_default();
        held.requests += 1;
        held.own = held.own.saturating_add(footprint.own);
        for (name, tokens) in &footprint.parts {
            let part = held.parts.entry(name.clone()).or_insert(Part {
                tokens: *tokens,
                requests: 0,
            });
            part.requests += 1;
        }
        let mean = self.means.entry(service.to_owned()).or_default();
        mean.add(footprint.own);
    }

    /// Removes a request that was counted at an engine.
    pub fn end(&mut self, target: &str, footprint: &Footprint) {
        let Some(held) = self.targets.get_mut(target) else {
            return;
        };
        held.requests = held.requests.saturating_sub(1);
        held.own = held.own.saturating_sub(footprint.own);
        for (name, _) in &footprint.parts {
            let Some(part) = held.parts.get_mut(name) else {
                continue;
            };
            part.requests = part.requests.saturating_sub(1);
            if part.requests == 0 {
                held.parts.swap_remove(name);
            }
        }
        if held.requests == 0 {
            self.targets.swap_remove(target);
        }
    }

    /// Returns the tokens of this instance's requests at an engine.
    pub fn own(&self, target: &str) -> u64 {
        self.targets.get(target).map_or(0, Held::tokens)
    }

    /// Returns the expected tokens at an engine that has `others` requests of other instances, once
    /// it has got one more request.
    pub fn expected(&self, target: &str, service: &str, others: u32, footprint: &Footprint) -> u64 {
        let held = self.targets.get(target);
        let is_new = |name: &str| held.is_none_or(|held| !held.parts.contains_key(name));
        let new = footprint.parts.iter().filter(|(name, _)| is_new(name));
        let new: u64 = new.map(|(_, tokens)| *tokens).sum();
        let mean = self.means.get(service);
        let mean = mean.map_or(footprint.own, Mean::rounded);
        let others = mean.saturating_mul(u64::from(others));
        let own = held.map_or(0, Held::tokens);
        own.saturating_add(others)
            .saturating_add(new)
            .saturating_add(footprint.own)
    }
}

impl Held {
    fn tokens(&self) -> u64 {
        let parts = self.parts.values().map(|part| part.tokens);
        parts.fold(self.own, u64::saturating_add)
    }
}

impl Mean {
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    fn add(&mut self, tokens: u64) {
        self.requests = (self.requests + 1).min(MEAN_REQUESTS);
        self.tokens += (tokens as f64 - self.tokens) / f64::from(self.requests);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of token counts is positive and far below 2^52"
    )]
    const fn rounded(&self) -> u64 {
        self.tokens as u64
    }
}

fn sum(parts: &[(String, u64)]) -> u64 {
    let tokens = parts.iter().map(|(_, tokens)| *tokens);
    tokens.fold(0, u64::saturating_add)
}
