//! Claims: an instance of a large region asks, before it sends a request to a target, what the others have sent
//! there within the last moments.
//!
//! Sums of load reports are some 150 ms old in a region of a hundred instances. In that time dozens of long
//! prompts are placed, and those that see the same free target all go there; streams that run at it then stand
//! still while it reads one prompt after the other. So each target has a coordinator, the instance that
//! rendezvous hashing picks, which counts the claims of the last moments. Its answer takes a round trip inside
//! the region, and what it counts fades by itself: nothing has to be given back, handed over or kept.
//!
//! A coordinator that is gone, frozen or believed to be another one costs some milliseconds or an undercount,
//! never a request: who gets no answer places by the sums alone.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tokio::{net::UdpSocket, sync::oneshot, time};
use zinniastall_model::id;

use super::{
    Load,
    datagram::{Datagram, Key, key},
};
use crate::{decide::slow_start, view::View};

/// Time for which a claim counts at its coordinator: until sums contain the request mostly.
const CLAIM_TTL: Duration = Duration::from_millis(150);
/// Longest wait for a coordinator's answer: a few round trips between zones of a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(12);
/// Time for which a coordinator that gave no answer isn't asked again.
const SILENT_BACKOFF: Duration = Duration::from_millis(500);
/// Claims of one target that are remembered; a target gets a few hundred requests a second at most.
const MAX_CLAIMS_PER_TARGET: usize = 256;

/// Claims of the last moments, as the coordinator of their targets counts them.
#[derive(Debug, Default)]
pub struct History {
    claims: IndexMap<Key, VecDeque<(Instant, u64)>>,
}

impl History {
    /// Notes a claim of one request; returns what was claimed of the target in the moments before.
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

/// Claims of this instance that wait for their coordinators' answers, and those that it coordinates.
#[derive(Debug, Default)]
pub struct Claims {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    history: RefCell<History>,
    pending: RefCell<IndexMap<u32, oneshot::Sender<Load>>>,
    silent_until: RefCell<IndexMap<id::Instance, Instant>>,
    last_number: Cell<u32>,
}

impl Claims {
    /// Sets the socket over which coordinators are asked; without one no claims are made.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.socket.replace(Some(socket));
    }

    /// Claims a target for a request; returns what others claimed of it in the moments before, or nothing where
    /// nobody can tell.
    pub async fn claim(&self, view: &View, target: &str, reading_us: u64) -> Option<Load> {
        let socket = self.socket.borrow().clone()?;
        let names = view.instances.ready_in(&view.place.region);
        let coordinator = slow_start::sender(target, names.map(|held| held.instance.as_str()))?;
        let key = key(target);
        if coordinator == view.instance {
            let mut history = self.history.borrow_mut();
            return Some(history.claim(key, reading_us, Instant::now()));
        }
        if self.is_silent(coordinator) {
            return None;
        }
        let presence = view.instances.by_name().get(coordinator)?;
        let address: SocketAddr = presence.forward.parse().ok()?;
        let load = self.request(&socket, address, key, reading_us).await;
        if load.is_none() {
            let until = Instant::now() + SILENT_BACKOFF;
            let mut silent_until = self.silent_until.borrow_mut();
            silent_until.insert(coordinator.to_owned(), until);
        }
        load
    }

    async fn request(
        &self,
        socket: &UdpSocket,
        address: SocketAddr,
        target: Key,
        reading_us: u64,
    ) -> Option<Load> {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        let claim = Datagram::Claim {
            number,
            target,
            reading_ms: u32::try_from(reading_us / 1_000).unwrap_or(u32::MAX),
        };
        let bytes = claim.encode().ok()?;
        let (answer, answered) = oneshot::channel();
        self.pending.borrow_mut().insert(number, answer);
        // A claim that can't be sent is like one that isn't answered.
        let _ = socket.send_to(&bytes, address).await;
        let answered = time::timeout(ANSWER_TIMEOUT, answered).await;
        self.pending.borrow_mut().swap_remove(&number);
        answered.ok()?.ok()
    }

    fn is_silent(&self, coordinator: &str) -> bool {
        let silent_until = self.silent_until.borrow();
        silent_until
            .get(coordinator)
            .is_some_and(|until| *until > Instant::now())
    }

    /// Takes another instance's claim in; returns the answer.
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

    /// Takes a coordinator's answer in.
    pub fn receive_answer(&self, number: u32, load: Load) {
        if let Some(pending) = self.pending.borrow_mut().swap_remove(&number) {
            // Who asked may have given up in this moment.
            let _ = pending.send(load);
        }
    }

    /// Forgets what is too old.
    pub fn expire(&self, now: Instant) {
        self.history.borrow_mut().expire(now);
        self.silent_until
            .borrow_mut()
            .retain(|_, until| *until > now);
        // A request whose caller has left waits no more.
        let mut pending = self.pending.borrow_mut();
        pending.retain(|_, answer| !answer.is_closed());
    }
}
