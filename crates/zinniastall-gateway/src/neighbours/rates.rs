//! Permits for requests to targets that take a limited rate from all instances together.
//!
//! A target names the rate in its answers, or it is cold and its service has one. Either way the
//! target's coordinator issues a permit for each request; see [`zinniastall_coord::rate`].

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tokio::{net::UdpSocket, sync::Notify};
use zinniastall_coord::rate::{
    Change, ColdStart, Demand, Issued, Issuer, Limit, Limits, Permits, Rate, Said, Slots, Verdict,
};
use zinniastall_model::{id, routing::Service};
use zinniastall_wire::rates as wire;

use super::{
    Outgoing,
    beliefs::{Belief, Beliefs, Opinion},
    collector::Roster,
    coordinator,
    datagram::Datagram,
    limits,
    queries::Queries,
};
use crate::view::{Shared, Target, View};

/// Share of a service's rate that its cold targets get. Two coordinators whose views differ then
/// stay below one and a half times the rate plus three requests within a second.
const COLD_SHARE: f64 = 0.7;
/// Questions to a coordinator for one permit; the first may have been lost.
const MAX_QUESTIONS: usize = 2;
/// Datagrams that return a slot; one may be lost.
const RETURNS: usize = 2;
/// Rounds in which an instance that has just started asks for all rates.
const MAX_INTRODUCTIONS: u32 = 3;
/// Instances that it asks in a round.
const INTRODUCERS: usize = 2;

/// Rates of targets, and the permits to send them requests.
#[derive(Debug, Default)]
pub struct Rates {
    limits: RefCell<Limits>,
    permits: RefCell<Permits>,
    /// Rejections per second that targets bear, as this instance read it.
    rejections: RefCell<IndexMap<id::Target, Rate>>,
    /// Slots that this instance lends as a coordinator.
    slots: RefCell<Slots<Holder>>,
    issuer: RefCell<Issuer>,
    issued: RefCell<Issued<(SocketAddr, u32)>>,
    queries: Queries,
    beliefs: Beliefs,
    introduction: Cell<Introduction>,
    /// Notified when there is news to send at once.
    pub has_news: Notify,
}

/// Request that holds a slot: the address of its instance, `None` for this one, and its number there.
type Holder = (Option<SocketAddr>, u32);

/// A slot of a target that bears few rejections; it is returned when this is dropped.
#[derive(Debug)]
pub struct Slot {
    rates: Rc<Rates>,
    target: id::Target,
    number: u32,
    /// Address of the coordinator that lent it; `None` for this instance.
    coordinator: Option<SocketAddr>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(coordinator) = self.coordinator else {
            let holder = (None, self.number);
            self.rates
                .slots
                .borrow_mut()
                .take_back(&self.target, &holder);
            return;
        };
        let loan = Datagram::Loan(wire::Loan {
            number: self.number,
            target: self.target.clone(),
            slots: 0,
            time_ms: 0,
        });
        for _ in 0..RETURNS {
            self.rates.queries.tell(coordinator, &loan);
        }
    }
}

/// Whether this instance knows the rates that the others learned before it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Introduction {
    /// It does, or nobody can tell it.
    #[default]
    Done,
    /// It has asked this number of times.
    Asked(u32),
}

impl Rates {
    /// Sets the socket used to ask coordinators; without one only this instance's own permits are
    /// available.
    pub fn set_socket(&self, socket: &Rc<UdpSocket>) {
        self.queries.set_socket(Rc::clone(socket));
        self.beliefs.queries().set_socket(Rc::clone(socket));
    }

    /// Starts to learn the rates that the others know. Until then, this instance should send no
    /// requests.
    pub fn start_introduction(&self) {
        self.introduction.set(Introduction::Asked(0));
    }

    /// Returns whether this instance knows the rates that the others learned before it started.
    pub fn is_introduced(&self) -> bool {
        self.introduction.get() == Introduction::Done
    }

    /// Ends the introduction if this instance knows all that another one does, by its digest.
    pub fn check_introduction(&self, digest: u64) {
        if self.limits.borrow().digest() == digest {
            self.introduction.set(Introduction::Done);
        }
    }

    /// Returns the question for all rates, to be sent in this round to some instances of the region.
    ///
    /// After some rounds without an answer, the instance goes on without.
    pub fn introduce(&self, roster: &Roster) -> Option<Outgoing> {
        let Introduction::Asked(asked) = self.introduction.get() else {
            return None;
        };
        let neighbours = roster.neighbours();
        let is_alone = neighbours.is_empty() && !roster.is_empty();
        if is_alone || asked >= MAX_INTRODUCTIONS {
            self.introduction.set(Introduction::Done);
            return None;
        }
        self.introduction.set(Introduction::Asked(asked + 1));
        if neighbours.is_empty() {
            // The list of instances has not arrived yet.
            return None;
        }
        let first = asked as usize * INTRODUCERS;
        let asked = neighbours.iter().cycle().skip(first).take(INTRODUCERS);
        Some(Outgoing {
            to: asked.cloned().collect(),
            datagram: Datagram::LimitsRequest,
        })
    }

    /// Returns the rates that targets have named.
    pub const fn limits(&self) -> &RefCell<Limits> {
        &self.limits
    }

    /// Returns what this instance can't rely on, and what others believe.
    pub const fn beliefs(&self) -> &Beliefs {
        &self.beliefs
    }

    /// Returns the rate that a target takes now from all instances together; `None` for no limit.
    ///
    /// `start` tells how the targets of its service start. One whose process has ended, as far as is
    /// known, counts as cold.
    pub fn rate(&self, target: &Target, start: ColdStart, now: Instant) -> Option<Rate> {
        let limits = self.limits.borrow();
        let report = &target.report;
        let named = if limits.is_empty() {
            None
        } else {
            limits.rate(&report.target, report.incarnation, now)
        };
        let cold = start.rate.filter(|_| self.may_be_cold(target, start, now));
        match (named, cold) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }

    fn may_be_cold(&self, target: &Target, start: ColdStart, now: Instant) -> bool {
        let doubts = self.beliefs.doubts().borrow();
        target.is_cold(now)
            || (!doubts.is_empty()
                && doubts.may_have_restarted(&target.report.target, target.heard_at, start, now))
    }

    /// Records that a target's process has ended, since its address refuses connections.
    pub fn observe_end(&self, target: &str, now: Instant) {
        let is_new = self.beliefs.doubts().borrow_mut().observe(target, now);
        if is_new {
            tracing::info!(event = "target-ended", target, via = "refusal");
            self.has_news.notify_one();
        }
    }

    /// Records an answer of a target to a request sent at a time, on a connection that was opened at a
    /// time: a process that answers what was sent later had not ended.
    pub fn observe_answer(&self, target: &str, opened: Instant, sent_at: Instant) {
        let mut doubts = self.beliefs.doubts().borrow_mut();
        if !doubts.is_empty() && doubts.contradict(target, opened, sent_at) {
            tracing::info!(event = "target-not-ended", target);
        }
    }

    /// Returns what is believed of a target that this instance takes for warm.
    pub async fn belief(&self, state: &Shared, target: &Target, start: ColdStart) -> Belief {
        self.detect_pause(state, false);
        self.beliefs.ask(state, target, start).await
    }

    /// Returns what this instance believes of a target, for another one.
    pub fn opinion(&self, state: &Shared, target: &str, now: Instant) -> Opinion {
        self.detect_pause(state, false);
        let view = state.view();
        let known = view.targets.by_name().get(target);
        let service = known.and_then(|known| view.table()?.service(&known.report.service));
        let start = service.map(cold_start).unwrap_or_default();
        let is_limited = known.is_some_and(|known| self.rate(known, start, now).is_some());
        self.beliefs.opinion(&view, known, start, is_limited)
    }

    /// Returns whether a request may be sent to a target now while no other instance answers.
    pub fn take_alone(&self, state: &Shared, target: &str) -> bool {
        let view = state.view();
        let instances = view.instances.ready_in(&view.place.region).count();
        self.beliefs.take_alone(target, instances)
    }

    /// Records the rejections per second that a target bears; `None` for no limit.
    pub fn set_rejections(&self, target: &str, rejections: Option<Rate>) {
        let mut held = self.rejections.borrow_mut();
        match rejections {
            None if held.is_empty() => {}
            None => {
                if held.swap_remove(target).is_some() {
                    tracing::info!(event = "target-brittle", target, rejections = "none");
                }
            }
            Some(rejections) => {
                if held.insert(target.to_owned(), rejections) != Some(rejections) {
                    tracing::info!(event = "target-brittle", target, %rejections);
                }
            }
        }
    }

    /// Returns whether a target bears few rejections. It gets no request that would have to wait there.
    pub fn is_brittle(&self, target: &str) -> bool {
        let held = self.rejections.borrow();
        !held.is_empty() && held.contains_key(target)
    }

    /// Returns the time until a permit of a target is expected to be available.
    pub fn wait(&self, target: &str, now: Instant) -> Duration {
        self.permits.borrow().wait(target, now)
    }

    /// Returns the coordinator of a target, and the time since its rate was learned, if it named one.
    pub fn source(
        &self,
        state: &Shared,
        target: &str,
        now: Instant,
    ) -> (Option<id::Instance>, Option<Duration>) {
        let coordinator = coordinator(state, &state.view(), target).cloned();
        let limits = self.limits.borrow();
        let named = limits.named(now).find(|(name, ..)| *name == target);
        (coordinator, named.map(|(.., age)| age))
    }

    /// Records what an answer of a target says of its rate.
    pub fn observe(&self, target: &str, said: Said, now: Instant) -> Change {
        let mut limits = self.limits.borrow_mut();
        if limits.is_empty() && said.rate.is_none() {
            return Change::None;
        }
        let change = limits.observe(target, said, now);
        // Others are told of all other changes in the next round.
        if change == Change::Lowered {
            self.has_news.notify_one();
        }
        change
    }

    /// Returns the news of this instance to send.
    pub fn news(&self, roster: &Roster, now: Instant) -> Vec<Outgoing> {
        let mut news = limits::news(roster, &mut self.limits.borrow_mut());
        news.extend(self.beliefs.news(roster, now));
        news
    }

    /// Asks the coordinator of a target for a permit; returns `None` if it doesn't answer.
    pub async fn acquire(&self, state: &Shared, target: &str, demand: Demand) -> Option<Verdict> {
        let verdict = self.ask(state, target, demand).await;
        let mut permits = self.permits.borrow_mut();
        permits.record(target, verdict, Instant::now());
        verdict
    }

    async fn ask(&self, state: &Shared, target: &str, demand: Demand) -> Option<Verdict> {
        let view = state.view();
        let coordinator = coordinator(state, &view, target)?;
        if *coordinator == view.instance {
            return Some(self.issue(state, target, demand, Instant::now()));
        }
        let presence = view.instances.by_name().get(coordinator)?;
        let address: SocketAddr = presence.forward.parse().ok()?;
        let question = |number| Datagram::Demand(wire::Demand::new(number, target, demand));
        match self.queries.ask(address, MAX_QUESTIONS, question).await? {
            Datagram::Verdict(verdict) => Some((&verdict).into()),
            _ => None,
        }
    }

    /// Answers another instance's demand. A repeated question gets the permit that was issued for it.
    pub fn receive_demand(
        &self,
        state: &Shared,
        sender: SocketAddr,
        demand: &wire::Demand,
        now: Instant,
    ) -> Datagram {
        let question = (sender, demand.number);
        let repeated = self.issued.borrow().repeat(&question, now);
        let verdict = repeated.unwrap_or_else(|| {
            let verdict = self.decide(state, demand, now);
            self.issued.borrow_mut().record(question, verdict, now);
            verdict
        });
        Datagram::Verdict(wire::Verdict::new(demand.number, verdict))
    }

    fn decide(&self, state: &Shared, demand: &wire::Demand, now: Instant) -> Verdict {
        let (view, target) = (state.view(), demand.target.as_str());
        if coordinator(state, &view, target) != Some(&view.instance) {
            return Verdict::NOT_COORDINATOR;
        }
        let named = self.limits.borrow().rate(target, 0, now);
        self.issue(state, target, Demand::from(demand).at_most(named), now)
    }

    /// Asks the coordinator of a target that bears few rejections for one of its slots, for a time at
    /// most; returns `None` if none is free or nobody answers. `known` returns the requests that are
    /// known to be at the target.
    pub async fn borrow_slot(
        self: &Rc<Self>,
        state: &Shared,
        target: &Target,
        time: Duration,
        known: impl FnOnce() -> u32,
    ) -> Option<Slot> {
        let view = state.view();
        let (name, slots) = (&target.report.target, target.report.slots);
        let coordinator = coordinator(state, &view, name)?;
        if *coordinator == view.instance {
            let number = self.queries.next_number();
            let now = Instant::now();
            let former = known();
            let is_lent = {
                let mut lent = self.slots.borrow_mut();
                lent.lend(name, (None, number), (slots, former), time, now)
            };
            return is_lent.then(|| self.slot(name, number, None));
        }
        let presence = view.instances.by_name().get(coordinator)?;
        let address: SocketAddr = presence.forward.parse().ok()?;
        let number = Cell::new(0);
        let question = |chosen| {
            number.set(chosen);
            Datagram::Loan(wire::Loan {
                number: chosen,
                target: name.clone(),
                slots,
                time_ms: u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1),
            })
        };
        let answer = self.queries.ask(address, MAX_QUESTIONS, question).await;
        // An answer that is lost may have granted the slot; then it is returned here.
        let slot = self.slot(name, number.get(), Some(address));
        let is_granted = matches!(
            answer,
            Some(Datagram::Lent {
                is_granted: true,
                ..
            })
        );
        is_granted.then_some(slot)
    }

    fn slot(self: &Rc<Self>, target: &str, number: u32, coordinator: Option<SocketAddr>) -> Slot {
        Slot {
            rates: Rc::clone(self),
            target: target.to_owned(),
            number,
            coordinator,
        }
    }

    /// Lends a slot to another instance's request, or takes it back. There is an answer to the former
    /// only.
    pub fn receive_loan(
        &self,
        state: &Shared,
        sender: SocketAddr,
        loan: &wire::Loan,
        known: impl FnOnce() -> u32,
        now: Instant,
    ) -> Option<Datagram> {
        let (target, number) = (loan.target.as_str(), loan.number);
        let holder = (Some(sender), number);
        let mut lent = self.slots.borrow_mut();
        if loan.time_ms == 0 {
            lent.take_back(target, &holder);
            return None;
        }
        let view = state.view();
        let is_coordinator = coordinator(state, &view, target) == Some(&view.instance);
        let time = Duration::from_millis(loan.time_ms);
        let is_granted =
            is_coordinator && lent.lend(target, holder, (loan.slots, known()), time, now);
        Some(Datagram::Lent { number, is_granted })
    }

    /// Completes the question that a coordinator has answered.
    pub fn receive_answer(&self, number: u32, answer: Datagram) {
        self.queries.receive_answer(number, answer);
    }

    fn issue(&self, state: &Shared, target: &str, demand: Demand, now: Instant) -> Verdict {
        self.detect_pause(state, false);
        self.issuer.borrow_mut().acquire(target, demand, now)
    }

    /// Starts anew as a coordinator if the process was suspended since the last tick. Messages that
    /// arrived meanwhile may be handled before the next one.
    fn detect_pause(&self, state: &Shared, is_tick: bool) {
        if self.beliefs.check(state, is_tick) {
            self.issuer.borrow_mut().clear();
        }
    }

    /// Gives up the targets that another instance coordinates now, and forgets what has expired. To be
    /// called regularly, several times within half a second.
    pub fn expire(&self, state: &Shared, now: Instant) {
        self.detect_pause(state, true);
        let view = state.view();
        let is_mine = |target: &str| coordinator(state, &view, target) == Some(&view.instance);
        self.issuer.borrow_mut().retain(is_mine, now);
        self.slots.borrow_mut().retain(is_mine);
        self.permits.borrow_mut().expire(now);
        self.queries.expire();
        let is_known = |target: &str| view.targets.by_name().contains_key(target);
        self.limits.borrow_mut().retain(is_known, now);
        self.beliefs.expire(is_known, now);
        self.rejections
            .borrow_mut()
            .retain(|target, _| is_known(target));
    }

    /// Returns the number of known targets that name a rate.
    pub fn limited(&self, view: &View, now: Instant) -> usize {
        let limits = self.limits.borrow();
        let is_known = |target: &str| view.targets.by_name().contains_key(target);
        limits
            .named(now)
            .filter(|(name, ..)| is_known(name))
            .count()
    }
}

/// Returns how the targets of a service start.
pub fn cold_start(service: &Service) -> ColdStart {
    ColdStart {
        rate: cold_rate(service.cold_rate_milli),
        time: Duration::from_millis(service.cold_ms),
    }
}

/// Returns the rate that cold targets of a service get; `None` for no limit.
///
/// `milli` is the rate that the service's targets sustain, in thousandths of a request per second.
pub fn cold_rate(milli: u64) -> Option<Rate> {
    (milli > 0).then(|| Rate::milli(milli).mul_f64(COLD_SHARE))
}

/// Returns the coordinator of a target. An instance that drains leaves that to the others before
/// these know of it.
fn coordinator<'a>(state: &Shared, view: &'a View, target: &str) -> Option<&'a id::Instance> {
    if !state.is_draining() {
        return coordinator::of(view, target);
    }
    coordinator::without(view, target, &view.instance)
}

/// Returns the text of a rate for logs; `none` if there is none.
pub fn text(limit: &Limit) -> String {
    limit
        .rate
        .map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}
