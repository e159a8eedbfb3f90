//! A model engine: whole and streamed chat completions, orders and a prefix cache.

pub mod cache;
mod chat;
mod orders;
mod stream;

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use actix_web::web;
use zinniastall_model::id;

use crate::{
    failure::Injector,
    ledger::Ledger,
    settings::{Model, Standin},
    slots::Slots,
};
use cache::Cache;
use orders::Order;

/// A model engine, shared by all threads.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: Standin,
    pub(crate) slots: Slots,
    pub(crate) ledger: Ledger,
    pub(crate) failure: Injector,
    pub(crate) cache: Mutex<Cache>,
    pub(crate) state: Mutex<State>,
}

/// The part of an engine's state that orders change.
#[derive(Debug, Clone)]
pub struct State {
    /// Current role.
    pub role: String,
    /// Models that it serves.
    pub models: Vec<Model>,
    /// Highest fencing token that an order carried.
    pub highest_fence: u64,
    pub(crate) orders: Vec<Order>,
}

impl Engine {
    /// Creates an engine.
    pub fn new(settings: &Standin, slots: Slots, ledger: Ledger, failure: Injector) -> Arc<Self> {
        Arc::new(Self {
            cache: Mutex::new(Cache::new(settings.engine.cache_blocks)),
            state: Mutex::new(State {
                role: settings.engine.role.clone(),
                models: settings.engine.models.clone(),
                highest_fence: 0,
                orders: Vec::new(),
            }),
            settings: settings.clone(),
            slots,
            ledger,
            failure,
        })
    }

    /// Registers the engine's handlers with a server.
    pub fn configure(config: &mut web::ServiceConfig) {
        config
            .route("/v1/chat/completions", web::post().to(chat::complete))
            .route("/v1/orders", web::post().to(orders::receive))
            .route("/orders", web::get().to(orders::list));
    }

    /// Returns a copy of the current state.
    pub fn state(&self) -> State {
        self.lock_state().clone()
    }

    /// Returns whether it serves a model, in whatever version.
    fn serves_model(&self, model: &id::Model) -> bool {
        self.lock_state()
            .models
            .iter()
            .any(|held| held.model == *model)
    }

    /// Looks a prompt up in the cache and inserts it; returns how many of its blocks were cached
    /// and how many it has.
    fn cache_prompt(&self, prompt: &str) -> (usize, usize) {
        let chain = zinniastall_route::prefix::chain(prompt);
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        (cache.lookup_and_insert(&chain), chain.len())
    }

    /// Returns the time to the first token of a prompt with a number of uncached blocks.
    fn first_token_latency(&self, uncached: usize) -> Duration {
        let blocks = u32::try_from(uncached).unwrap_or(u32::MAX);
        self.settings.engine.first_token_latency
            + self
                .settings
                .engine
                .block_prefill_time
                .saturating_mul(blocks)
    }

    fn lock_state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
