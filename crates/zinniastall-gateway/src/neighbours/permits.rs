//! Permits to send requests that are, or hold, suspects: one at a time over all instances.
//!
//! Each suspect has a coordinator among the instances of all regions, chosen by rendezvous hashing. While
//! their lists differ, two may issue permits. An instance to which nobody answers sends one request of a
//! suspect at a time by itself.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use zinniastall_coord::{quarantine, rendezvous};
use zinniastall_model::{fingerprint::Fingerprint, id, presence::Presence};

use super::{datagram::Datagram, queries::Queries};
use crate::{
    suspects::Suspects,
    view::{Shared, View},
};

/// Questions to a coordinator for one permit; the first may have been lost.
const MAX_QUESTIONS: usize = 2;
/// Datagrams that return a permit; one may be lost.
const RETURNS: usize = 2;
/// Timeouts for an answer from this region and from another one.
const ANSWER_TIMEOUTS: (Duration, Duration) =
    (Duration::from_millis(15), Duration::from_millis(150));
/// Time for which a denied trial isn't asked for again.
const TRIAL_PAUSE: Duration = Duration::from_secs(5);
/// Suspects whose denied trials are remembered.
const MAX_DENIED: usize = 1_024;

/// Question for a permit, or its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Number of the question, which identifies the request at its sender.
    #[serde(rename = "n")]
    number: u32,
    /// Suspect.
    #[serde(rename = "k")]
    suspect: Fingerprint,
    /// Longest time for which the request needs the permit, in milliseconds; 0 to return it.
    #[serde(rename = "w")]
    time_ms: u64,
    /// Of a permit that is returned: whether the request was sent.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    is_used: bool,
}

/// Request that holds a permit: the address of its instance, `None` for this one, and its number there.
type Holder = (Option<SocketAddr>, u32);

/// Permits that this instance issues, and questions for those that others issue.
#[derive(Debug, Default)]
pub struct Permits {
    issued: RefCell<quarantine::Permits<Fingerprint, Holder>>,
    /// When trials were last denied.
    denied: RefCell<IndexMap<Fingerprint, Instant>>,
    queries: Queries,
}

/// Right to send a request with a suspect; it is returned when this is dropped.
#[derive(Debug)]
pub struct Permit {
    permits: Rc<Permits>,
    suspect: Fingerprint,
    number: u32,
    /// Address of the coordinator that issued it; `None` for this instance.
    coordinator: Option<SocketAddr>,
    is_used: bool,
}

impl Permit {
    /// Records that the request is sent.
    pub const fn use_up(&mut self) {
        self.is_used = true;
    }
}

/// Answer to the question for a permit.
#[derive(Debug)]
pub enum Answer {
    /// The request may be sent.
    Granted(Permit),
    /// Another request with the suspect is at a target, or a trial isn't due.
    Denied,
    /// The coordinator doesn't answer.
    Silent,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(coordinator) = self.coordinator else {
            let holder = (None, self.number);
            self.permits.take_back(self.suspect, holder, self.is_used);
            return;
        };
        let returned = Datagram::PermitQuestion(Question {
            number: self.number,
            suspect: self.suspect,
            time_ms: 0,
            is_used: self.is_used,
        });
        for _ in 0..RETURNS {
            self.permits.queries.tell(coordinator, &returned);
        }
    }
}

impl Permits {
    /// Sets the socket used to ask coordinators; without one this instance issues all permits itself.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.queries.set_socket(socket);
    }

    /// Asks a suspect's coordinator for a permit, for a time at most.
    pub async fn acquire(
        self: &Rc<Self>,
        state: &Shared,
        suspects: &RefCell<Suspects>,
        suspect: Fingerprint,
        time: Duration,
    ) -> Answer {
        let view = state.view();
        let Some(coordinator) = coordinator(state, &view, suspect) else {
            return self.issue_here(suspects, suspect, time);
        };
        if coordinator.instance == view.instance {
            return self.issue_here(suspects, suspect, time);
        }
        let Ok(address) = coordinator.forward.parse() else {
            return Answer::Silent;
        };
        let is_near = coordinator.place.region == view.place.region;
        let timeout = if is_near {
            ANSWER_TIMEOUTS.0
        } else {
            ANSWER_TIMEOUTS.1
        };
        self.ask(address, timeout, suspect, time).await
    }

    async fn ask(
        self: &Rc<Self>,
        address: SocketAddr,
        timeout: Duration,
        suspect: Fingerprint,
        time: Duration,
    ) -> Answer {
        let number = Cell::new(0);
        let question = |chosen| {
            number.set(chosen);
            Datagram::PermitQuestion(Question {
                number: chosen,
                suspect,
                time_ms: u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1),
                is_used: false,
            })
        };
        let asked = self
            .queries
            .ask_within(address, MAX_QUESTIONS, timeout, question);
        let answer = asked.await;
        // An answer that is lost may have granted the permit; then it is returned here.
        let permit = self.permit(suspect, number.get(), Some(address));
        match answer {
            Some(Datagram::PermitAnswer {
                is_granted: true, ..
            }) => Answer::Granted(permit),
            Some(_) => Answer::Denied,
            None => Answer::Silent,
        }
    }

    fn issue_here(
        self: &Rc<Self>,
        suspects: &RefCell<Suspects>,
        suspect: Fingerprint,
        time: Duration,
    ) -> Answer {
        let number = self.queries.next_number();
        if self.issue(suspects, suspect, (None, number), time) {
            Answer::Granted(self.permit(suspect, number, None))
        } else {
            Answer::Denied
        }
    }

    fn issue(
        &self,
        suspects: &RefCell<Suspects>,
        suspect: Fingerprint,
        holder: Holder,
        time: Duration,
    ) -> bool {
        let now = Instant::now();
        let mut issued = self.issued.borrow_mut();
        issued.issue(suspects.borrow().known(), suspect, holder, time, now)
    }

    fn permit(
        self: &Rc<Self>,
        suspect: Fingerprint,
        number: u32,
        coordinator: Option<SocketAddr>,
    ) -> Permit {
        Permit {
            permits: Rc::clone(self),
            suspect,
            number,
            coordinator,
            is_used: false,
        }
    }

    /// Answers another instance's question, or takes a permit back. There is an answer to the former only.
    pub(super) fn receive(
        &self,
        state: &Shared,
        suspects: &RefCell<Suspects>,
        sender: SocketAddr,
        question: Question,
    ) -> Option<Datagram> {
        let Question {
            number, suspect, ..
        } = question;
        let holder = (Some(sender), number);
        if question.time_ms == 0 {
            self.take_back(suspect, holder, question.is_used);
            return None;
        }
        let view = state.view();
        let chosen = coordinator(state, &view, suspect);
        let is_coordinator = chosen.is_some_and(|chosen| chosen.instance == view.instance);
        let time = Duration::from_millis(question.time_ms);
        let is_granted = is_coordinator && self.issue(suspects, suspect, holder, time);
        Some(Datagram::PermitAnswer { number, is_granted })
    }

    /// Takes a permit back.
    fn take_back(&self, suspect: Fingerprint, holder: Holder, is_used: bool) {
        let mut issued = self.issued.borrow_mut();
        if is_used {
            issued.take_back(&suspect, &holder, Instant::now());
        } else {
            issued.cancel(&suspect, &holder);
        }
    }

    /// Completes the question that a coordinator has answered.
    pub fn receive_answer(&self, number: u32, answer: Datagram) {
        self.queries.receive_answer(number, answer);
    }

    /// Returns whether the trial of a quarantined suspect may be asked for, which it is once in a while.
    pub fn may_ask_for_trial(&self, suspect: Fingerprint, now: Instant) -> bool {
        let mut denied = self.denied.borrow_mut();
        denied.retain(|_, at| now.saturating_duration_since(*at) < TRIAL_PAUSE);
        if denied.contains_key(&suspect) || denied.len() >= MAX_DENIED {
            return false;
        }
        denied.insert(suspect, now);
        true
    }

    /// Forgets questions that nobody awaits any more.
    pub fn expire(&self) {
        self.queries.expire();
    }
}

/// Returns the coordinator of a suspect among the ready instances of all regions. An instance that drains
/// leaves that to the others.
fn coordinator<'a>(state: &Shared, view: &'a View, suspect: Fingerprint) -> Option<&'a Presence> {
    let instances = view.instances.by_name();
    let is_drained = |name: &str| state.is_draining() && name == view.instance;
    let ready = instances
        .values()
        .filter(|held| held.ready && !is_drained(&held.instance));
    let names = ready.map(|held| &held.instance);
    let chosen: &id::Instance = rendezvous::choose(&suspect.to_string(), names)?;
    instances.get(chosen)
}
