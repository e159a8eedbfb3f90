//! Promises of room for rejected requests, held by two instances of the region.
//!
//! A rejected caller mostly returns to another instance of its zone. That instance has to learn of the
//! promise without asking everyone, and also if the instance that gave it is gone. So each promise goes
//! to two ready instances of the region, chosen by the request's digest. The first one is asked, and
//! the second if it doesn't answer. Promises expire by themselves, so nothing is released or handed
//! over.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use zinniastall_coord::rendezvous;
use zinniastall_model::id;

use super::{datagram::Datagram, queries::Queries};
use crate::{
    decide::returns::{
        MAX_DELAY,
        promises::{Id, Invalid, Key, Promise, Promises, State},
    },
    index::Instances,
    metrics::Metrics,
    view::{Shared, View},
};

/// Time after which the second holder is asked: a round trip between zones, and the delay of an
/// instance that has a tenth of a core.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);
/// Time for which a holder that did not answer isn't asked again.
const SILENT_BACKOFF: Duration = Duration::from_millis(500);
/// Interval of log lines about invalid datagrams.
const INVALID_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Instances that hold a promise.
const HOLDERS: usize = 2;

/// A promise in a datagram; times are relative to its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Digest of the request.
    #[serde(rename = "k")]
    pub key: Key,
    /// Number of the promise.
    #[serde(rename = "n")]
    pub id: Id,
    /// Time until the request may return, in milliseconds.
    #[serde(rename = "d")]
    pub due_ms: u32,
    /// Time until the promise expires, in milliseconds.
    #[serde(rename = "u")]
    pub until_ms: u32,
}

/// State of a promise in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It is due, and was redeemed.
    #[serde(rename = "d")]
    Due,
    /// It is due after this time, in milliseconds.
    #[serde(rename = "e")]
    Early(u32),
    /// None is known.
    #[serde(rename = "n")]
    None,
}

/// What the holders of a promise said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// State of the promise.
    pub state: State,
    /// Holder that answered; `None` if none did.
    pub holder: Option<id::Instance>,
}

impl From<Promise> for Part {
    fn from(promise: Promise) -> Self {
        Self {
            key: promise.key,
            id: promise.id,
            due_ms: millis(promise.due),
            until_ms: millis(promise.until),
        }
    }
}

impl From<Part> for Promise {
    fn from(part: Part) -> Self {
        Self {
            key: part.key,
            id: part.id,
            due: Duration::from_millis(part.due_ms.into()),
            until: Duration::from_millis(part.until_ms.into()),
        }
    }
}

impl From<State> for Answer {
    fn from(state: State) -> Self {
        match state {
            State::Due => Self::Due,
            State::Early(left) => Self::Early(millis(left)),
            State::None => Self::None,
        }
    }
}

impl From<Answer> for State {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Due => Self::Due,
            Answer::Early(left_ms) => Self::Early(Duration::from_millis(left_ms.into())),
            Answer::None => Self::None,
        }
    }
}

/// An instance that may hold promises.
#[derive(Debug)]
struct Member {
    name: id::Instance,
    hash: u64,
    address: Option<SocketAddr>,
}

/// Ready instances of the region, derived from the list of instances.
#[derive(Debug, Default)]
struct Members {
    instances: Arc<Instances>,
    members: Rc<[Member]>,
}

impl Members {
    fn update(&mut self, view: &View) {
        if Arc::ptr_eq(&self.instances, &view.instances) {
            return;
        }
        self.instances = Arc::clone(&view.instances);
        let ready = view.instances.ready_in(&view.place.region);
        let members = ready.map(|held| Member {
            name: held.instance.clone(),
            hash: rendezvous::weight(&held.instance, ""),
            address: held.forward.parse().ok(),
        });
        self.members = members.collect();
    }
}

/// Promises that this instance holds, and its questions to other holders.
#[derive(Debug, Default)]
pub struct Returns {
    queries: Queries,
    promises: RefCell<Promises>,
    members: RefCell<Members>,
    silent_until: RefCell<IndexMap<id::Instance, Instant>>,
    invalid_logged_at: Cell<Option<Instant>>,
    metrics: Metrics,
}

impl Returns {
    /// Creates an empty table that counts in these metrics.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            ..Self::default()
        }
    }

    /// Sets the socket used to reach other holders; without one only this instance holds promises.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.queries.set_socket(socket);
    }

    /// Returns the number of promises that this instance holds.
    pub fn len(&self) -> usize {
        self.promises.borrow().len()
    }

    /// Returns whether this instance holds no promises.
    pub fn is_empty(&self) -> bool {
        self.promises.borrow().is_empty()
    }

    /// Returns the number of instances of the region that give promises.
    pub fn instances(&self, view: &View) -> usize {
        self.members(view).len()
    }

    /// Gives a promise to its holders.
    pub fn give(&self, view: &View, promise: Promise) {
        let members = self.members(view);
        for holder in holders(&members, promise.key) {
            if holder.name == view.instance {
                self.add(promise, &view.instance);
            } else if let Some(address) = holder.address {
                let datagram = Datagram::ReturnPromise(promise.into());
                self.queries.tell(address, &datagram);
            }
        }
    }

    /// Asks the holders of the promise for a request, one after the other, until one answers.
    pub async fn ask(&self, view: &View, key: Key) -> Found {
        let members = self.members(view);
        for holder in holders(&members, key) {
            let found = |state| Found {
                state,
                holder: Some(holder.name.clone()),
            };
            if holder.name == view.instance {
                return found(self.promises.borrow_mut().redeem(key, Instant::now()));
            }
            if self.is_silent(&holder.name) {
                continue;
            }
            let Some(address) = holder.address else {
                continue;
            };
            let question = |number| Datagram::ReturnQuestion { number, key };
            let asked = self
                .queries
                .ask_within(address, 1, ANSWER_TIMEOUT, question);
            if let Some(Datagram::ReturnAnswer { state, .. }) = asked.await {
                return found(state.into());
            }
            let until = Instant::now() + SILENT_BACKOFF;
            let mut silent_until = self.silent_until.borrow_mut();
            silent_until.insert(holder.name.clone(), until);
        }
        Found {
            state: State::None,
            holder: None,
        }
    }

    /// Applies a datagram of another instance; returns the answer to a question. While the return
    /// schedule is off, all are ignored.
    pub fn receive(
        &self,
        state: &Shared,
        sender: SocketAddr,
        datagram: Datagram,
        now: Instant,
    ) -> Option<Datagram> {
        if !state.view().load_control.returns {
            return None;
        }
        match datagram {
            Datagram::ReturnPromise(part) => self.add(part.into(), &sender),
            Datagram::ReturnQuestion { number, key } => {
                let state = self.promises.borrow_mut().redeem(key, now).into();
                return Some(Datagram::ReturnAnswer { number, state });
            }
            Datagram::ReturnAnswer {
                state: Answer::Early(left_ms),
                ..
            } if left_ms > millis(MAX_DELAY) => self.note_invalid(&sender, &Invalid::Late),
            Datagram::ReturnAnswer { number, .. } => self.queries.receive_answer(number, datagram),
            _ => {}
        }
        None
    }

    /// Forgets expired promises and backoffs.
    pub fn expire(&self, now: Instant) {
        self.promises.borrow_mut().expire(now);
        let mut silent_until = self.silent_until.borrow_mut();
        silent_until.retain(|_, until| *until > now);
        self.queries.expire();
    }

    fn add(&self, promise: Promise, sender: &dyn std::fmt::Display) {
        let added = self.promises.borrow_mut().add(&promise, Instant::now());
        if let Err(invalid) = added {
            self.note_invalid(sender, &invalid);
        }
    }

    fn note_invalid(&self, sender: &dyn std::fmt::Display, reason: &dyn std::fmt::Display) {
        self.metrics.count_return("invalid");
        let now = Instant::now();
        let is_recent = |last: Instant| now.saturating_duration_since(last) < INVALID_LOG_INTERVAL;
        if !self.invalid_logged_at.get().is_some_and(is_recent) {
            self.invalid_logged_at.set(Some(now));
            tracing::warn!(event = "return-invalid", sender = %sender, reason = %reason);
        }
    }

    fn is_silent(&self, instance: &str) -> bool {
        let silent_until = self.silent_until.borrow();
        let until = silent_until.get(instance);
        until.is_some_and(|until| *until > Instant::now())
    }

    fn members(&self, view: &View) -> Rc<[Member]> {
        let mut members = self.members.borrow_mut();
        members.update(view);
        Rc::clone(&members.members)
    }
}

/// Returns the holders of the promise for a request, the first one to ask first.
fn holders(members: &[Member], key: Key) -> impl Iterator<Item = &Member> {
    let mut best = [None; HOLDERS];
    for member in members {
        let mut weighed = Some((weight(key, member.hash), member));
        for held in &mut best {
            let weight = |held: &Option<(u64, &Member)>| held.map(|(weight, _)| weight);
            if weight(&weighed) > weight(held) {
                std::mem::swap(held, &mut weighed);
            }
        }
    }
    best.into_iter().flatten().map(|(_, member)| member)
}

/// Returns the rendezvous weight of a request at an instance, by the finalizer of `SplitMix64`. Both
/// are digests already; hashing each pair with BLAKE3 would cost some ten microseconds per rejection.
const fn weight(key: Key, member: u64) -> u64 {
    let mut mixed = key ^ member;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
