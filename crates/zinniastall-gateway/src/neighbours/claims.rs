//! Claims of targets in large regions.
//!
//! Before an instance sends a request to a target, it asks the target's coordinator what the other
//! instances have sent there in the last moments.
//!
//! In a region of a hundred instances the sums of load reports are about 150 ms old. In that time
//! dozens of long prompts are placed, all of them at the target that looks idle, and the streams
//! running there stall while it reads one prompt after the other. So each target has a coordinator,
//! chosen by rendezvous hashing, which counts recent claims. Its answer takes one round trip within
//! the region. Claims expire by themselves, so nothing has to be released, handed over or stored.
//!
//! If the coordinator is gone or frozen, or instances disagree on which one it is, the cost is a
//! few milliseconds or an undercount, but never a request: without an answer, an instance places by
//! the sums alone.

use std::{
    cell::RefCell,
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use zinniastall_model::id;

use super::{
    Load, coordinator,
    datagram::{Datagram, Key, key},
    queries::Queries,
};
use crate::view::View;

/// Time for which a claim counts at the coordinator. By then most sums include the request.
const CLAIM_TTL: Duration = Duration::from_millis(150);
/// Time for which a coordinator that did not answer isn't asked again.
const SILENT_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of claims remembered for one target; a target gets at most a few hundred requests
/// a second.
const MAX_CLAIMS_PER_TARGET: usize = 256;

/// Recent claims of the targets that this instance coordinates.
#[derive(Debug, Default)]
pub struct History {
    claims: IndexMap<Key, VecDeque<(Instant, u64)>>,
}

impl History {
    /// Records a claim for one request; returns the load claimed of the target in the moments
    /// before.
    pub fn claim(&mut self, target: Key, reading_us: u64, now: Instant) -> Load {
        let is_live = |since: Instant| now.saturating_duration_since(since) < CLAIM_TTL;
        let claims = self.claims.entry(target).or_default();
        claims.retain(|(since, _)| is_live(*since));
        let reading = claims.iter().map(|(_, reading_us)| *reading_us);
        let claimed_us = reading.fold(0, u64::saturating_add);
        let before = Load {
            in_flight: u32::try_from(claims.len()).unwrap_or(u32::MAX),
            reading_us: claimed_us,
        };
        if claims.len() < MAX_CLAIMS_PER_TARGET {
            claims.push_back((now, reading_us));
        }
        before
    }

    /// Forgets targets without recent claims.
    pub fn expire(&mut self, now: Instant) {
        let is_live = |since: Instant| now.saturating_duration_since(since) < CLAIM_TTL;
        self.claims
            .retain(|_, claims| claims.back().is_some_and(|(since, _)| is_live(*since)));
    }
}

/// Claims of this instance that await answers, and claims that it coordinates.
#[derive(Debug, Default)]
pub struct Claims {
    queries: Queries,
    history: RefCell<History>,
    silent_until: RefCell<IndexMap<id::Instance, Instant>>,
}

impl Claims {
    /// Sets the socket used to ask coordinators; without one no claims are made.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.queries.set_socket(socket);
    }

    /// Claims a target for a request; returns the load that others claimed in the moments before,
    /// or `None` if no coordinator answers.
    pub async fn claim(&self, view: &View, target: &str, reading_us: u64) -> Option<Load> {
        let coordinator = coordinator::of(view, target)?;
        let key = key(target);
        if *coordinator == view.instance {
            let mut history = self.history.borrow_mut();
            return Some(history.claim(key, reading_us, Instant::now()));
        }
        if self.is_silent(coordinator) {
            return None;
        }
        let presence = view.instances.by_name().get(coordinator)?;
        let address: SocketAddr = presence.forward.parse().ok()?;
        let claim = |number| Datagram::Claim {
            number,
            target: key,
            reading_ms: u32::try_from(reading_us / 1_000).unwrap_or(u32::MAX),
        };
        let answer = self.queries.ask(address, 1, claim).await;
        let Some(Datagram::Claimed {
            in_flight,
            reading_ms,
            ..
        }) = answer
        else {
            let until = Instant::now() + SILENT_BACKOFF;
            let mut silent_until = self.silent_until.borrow_mut();
            silent_until.insert(coordinator.to_owned(), until);
            return None;
        };
        Some(Load {
            in_flight,
            reading_us: u64::from(reading_ms) * 1_000,
        })
    }

    fn is_silent(&self, coordinator: &str) -> bool {
        let silent_until = self.silent_until.borrow();
        silent_until
            .get(coordinator)
            .is_some_and(|until| *until > Instant::now())
    }

    /// Records another instance's claim; returns the answer.
    pub fn receive_claim(
        &self,
        number: u32,
        target: Key,
        reading_ms: u32,
        now: Instant,
    ) -> Datagram {
        let reading = u64::from(reading_ms) * 1_000;
        let before = self.history.borrow_mut().claim(target, reading, now);
        Datagram::Claimed {
            number,
            in_flight: before.in_flight,
            reading_ms: u32::try_from(before.reading_us / 1_000).unwrap_or(u32::MAX),
        }
    }

    /// Completes the claim that a coordinator has answered.
    pub fn receive_answer(&self, number: u32, answer: Datagram) {
        self.queries.receive_answer(number, answer);
    }

    /// Forgets expired claims and backoffs.
    pub fn expire(&self, now: Instant) {
        self.history.borrow_mut().expire(now);
        self.silent_until
            .borrow_mut()
            .retain(|_, until| *until > now);
        self.queries.expire();
    }
}
