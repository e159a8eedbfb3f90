//! Observes one request at an engine, to learn how fast the engine is and how much memory it has left.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use zinniastall_model::id;

use crate::{
    decide::{capacity::Run, memory::Footprint},
    tracker::Tracker,
};

/// Time that forwarding an event may take without the next gap being left out: a caller that reads
/// slowly delays the events, and says nothing of the engine.
const MAX_FORWARDING: Duration = Duration::from_millis(20);

/// A request to be observed.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Name of the engine.
    pub target: id::Target,
    /// Service of the engine.
    pub service: id::Service,
    /// Run of the engine's process.
    pub incarnation: id::Incarnation,
    /// Tokens that the request takes there.
    pub footprint: Footprint,
    /// Expected time until its answer begins, at the nominal rate; `None` if other causes are known
    /// to delay it.
    pub nominal: Option<Duration>,
    /// When it was sent.
    pub at: Instant,
}

/// Observes a request and counts its tokens until it is dropped.
#[derive(Debug)]
pub struct Watch {
    tracker: Rc<RefCell<Tracker>>,
    sent: Sent,
    has_begun: bool,
    last_event: Option<Instant>,
}

impl Watch {
    /// Starts counting the request's tokens.
    pub fn start(tracker: &Rc<RefCell<Tracker>>, sent: Sent) -> Self {
        let memory = &mut tracker.borrow_mut().memory;
        memory.start(&sent.target, &sent.service, &sent.footprint);
        Self {
            tracker: Rc::clone(tracker),
            sent,
            has_begun: false,
            last_event: None,
        }
    }

    /// Records that an event of the answer arrived.
    pub fn event(&mut self, now: Instant) {
        let run = Run {
            target: &self.sent.target,
            service: &self.sent.service,
            incarnation: self.sent.incarnation,
        };
        let capacity = &mut self.tracker.borrow_mut().capacity;
        let is_first = !std::mem::replace(&mut self.has_begun, true);
        if let Some(nominal) = self.sent.nominal.filter(|_| is_first) {
            let took = now.saturating_duration_since(self.sent.at);
            capacity.answer_began(run, nominal, took, now);
        }
        if let Some(last) = self.last_event.replace(now) {
            capacity.event(run, now.saturating_duration_since(last), now);
        }
    }

    /// Records that the event was forwarded to the caller.
    pub fn forwarded(&mut self, now: Instant) {
        let is_prompt = |last: &Instant| now.saturating_duration_since(*last) < MAX_FORWARDING;
        self.last_event = self.last_event.filter(is_prompt);
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        let memory = &mut self.tracker.borrow_mut().memory;
        memory.end(&self.sent.target, &self.sent.footprint);
    }
}
