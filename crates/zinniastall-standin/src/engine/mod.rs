//! A model engine: chat completions, whole and streamed, orders, a prefix cache.

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

/// A model engine; all threads share it.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: Standin,
    pub(crate) slots: Slots,
    pub(crate) ledger: Ledger,
    pub(crate) failure: Injector,
    pub(crate) cache: Mutex<Cache>,
    pub(crate) state: Mutex<State>,
}

/// What orders change.
#[derive(Debug, Clone)]
pub struct State {
    /// Role.
    pub role: String,
    /// Models held.
    pub models: Vec<Model>,
    /// Highest fencing number seen.
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

    /// Adds the engine's calls to a server.
    pub fn configure(config: &mut web::ServiceConfig) {
        config
            .route("/v1/chat/completions", web::post().to(chat::complete))
            .route("/v1/orders", web::post().to(orders::receive))
            .route("/orders", web::get().to(orders::list));
    }

    /// Returns what it serves and in which role, as of now.
    pub fn state(&self) -> State {
        self.lock_state().clone()
    }

    /// Returns whether it holds a model.
    fn serves_model(&self, model: &id::Model) -> bool {
        self.lock_state()
            .models
            .iter()
            .any(|held| held.model == *model)
    }

    /// Looks a prompt up in the cache, keeps it there, and returns cached and all blocks.
    fn cache_prompt(&self, prompt: &str) -> (usize, usize) {
        let chain = zinniastall_route::prefix::chain(prompt);
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        (cache.lookup_and_insert(&chain), chain.len())
    }

    /// Returns the time to the first token for a number of uncached blocks.
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
