//! What this instance believes of targets, where that can't be relied on, and what others believe.
//!
//! A target whose process was seen to have ended is limited like a cold one; whoever sees it tells the
//! other instances by the paths of [`flood`]. An instance that may have missed messages asks others
//! before it takes a target for warm; see [`zinniastall_coord::rate::Doubts`].

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use rand::Rng;
use serde::{Deserialize, Serialize};
use zinniastall_coord::{
    rate::{ColdStart, Doubts},
    rendezvous,
};
use zinniastall_model::{id, presence::Presence};

use super::{Outgoing, collector::Roster, datagram::Datagram, flood, queries::Queries};
use crate::{
    clock::{self, Moment},
    view::{Shared, Target, View},
};

/// Pause of this process after which others may have taken over from it, and after which it may have
/// missed messages.
pub(crate) const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Silence of all control replicas after which this instance may have missed messages. Each of them
/// sends something at least once a second.
const MAX_SILENCE: Duration = Duration::from_millis(1_300);
/// Instances that are asked for their belief.
const MAX_ASKED: usize = 5;
/// Time for which an answer counts, and for which nobody is asked after nobody knew or answered.
const OPINION_TTL: Duration = Duration::from_millis(100);
const UNKNOWN_TTL: Duration = Duration::from_millis(250);
/// Time in which an instance that hears from a control replica learns of all targets: replicas pass
/// reports on every three seconds.
const LEARNING_TIME: Duration = Duration::from_secs(5);
/// Requests per second that a cold target bears beyond its rate, for all instances to which nobody
/// answers.
const SPARE_PER_SECOND: f64 = 3.0;
/// Maximum number of targets in one datagram; each takes at most 100 bytes.
const MAX_ENTRIES_PER_DATAGRAM: usize = 12;

/// Targets whose processes were seen to have ended, and the time since, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part(Vec<(id::Target, u64)>);

/// What an instance believes of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opinion {
    /// It takes any rate.
    #[serde(rename = "w")]
    Warm,
    /// It takes a limited rate: a permit is needed.
    #[serde(rename = "l")]
    Limited,
    /// It gets no requests: it is not known, leaves, or its zone is evacuated.
    #[serde(rename = "x")]
    Unusable,
    /// The instance may have missed messages itself.
    #[serde(rename = "u")]
    Unsure,
}

/// What a sender may do with a target that it takes for warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// Another instance, or this one, knows.
    Known(Opinion),
    /// Nobody answers: this instance sends at its share of what a cold target bears.
    Alone,
}

/// What this instance can't rely on, and what others told it.
#[derive(Debug, Default)]
pub struct Beliefs {
    doubts: RefCell<Doubts>,
    queries: Queries,
    opinions: RefCell<IndexMap<id::Target, (Opinion, Instant)>>,
    /// What holds for all targets for now, because nobody knew or answered, and until when.
    common: Cell<Option<(Belief, Instant)>>,
    /// When this instance may next send to each target while nobody answers.
    alone: RefCell<IndexMap<id::Target, Instant>>,
    /// When the tick last came; zero if never.
    last_tick: Cell<Moment>,
    /// Whether a control replica was heard since the start.
    has_started: Cell<bool>,
    /// When this instance went on after it was last suspended.
    resumed: Cell<Option<Instant>>,
}

impl Beliefs {
    /// Returns the questions to other instances.
    pub(super) const fn queries(&self) -> &Queries {
        &self.queries
    }

    /// Returns what this instance can't rely on.
    pub const fn doubts(&self) -> &RefCell<Doubts> {
        &self.doubts
    }

    /// Notices that this instance was suspended, is out of touch or has just started; returns whether it
    /// was suspended. To be called before decisions, and by a tick several times within [`MAX_PAUSE`].
    pub(super) fn check(&self, state: &Shared, is_tick: bool) -> bool {
        let (now, last_tick) = (clock::now(), self.last_tick.get());
        let was_suspended = !last_tick.is_zero() && now.saturating_sub(last_tick) > MAX_PAUSE;
        if is_tick || was_suspended {
            self.last_tick.set(now);
        }
        let has_heard = state.heard().is_some();
        let has_started = has_heard && !self.has_started.replace(has_heard);
        if was_suspended || has_started || is_silent(state, now) {
            self.doubts.borrow_mut().miss(Instant::now());
        }
        if was_suspended {
            self.resumed.set(Some(Instant::now()));
            let paused_ms = now.saturating_sub(last_tick).as_millis();
            tracing::info!(event = "beliefs-in-doubt", why = "suspended", paused_ms);
        }
        was_suspended
    }

    /// Returns what this instance believes of a target, for another one; `is_limited` tells whether the
    /// target takes a limited rate.
    pub(super) fn opinion(
        &self,
        view: &View,
        target: Option<&Target>,
        start: ColdStart,
        is_limited: bool,
    ) -> Opinion {
        let now = Instant::now();
        let Some(target) = target else {
            let is_new_here = self.doubts.borrow().has_missed_within(LEARNING_TIME, now);
            return if is_new_here {
                Opinion::Unsure
            } else {
                Opinion::Unusable
            };
        };
        if self.has_missed(target, start, now) {
            return Opinion::Unsure;
        }
        if target.gone_at.is_some() || view.is_evacuated(&target.report.place.zone) {
            return Opinion::Unusable;
        }
        if is_limited {
            Opinion::Limited
        } else {
            Opinion::Warm
        }
    }

    fn has_missed(&self, target: &Target, start: ColdStart, now: Instant) -> bool {
        let doubts = self.doubts.borrow();
        doubts.may_have_missed(target.heard_at, start, now)
    }

    /// Returns what is believed of a target that this instance takes for warm, here or by others if this
    /// instance may have missed messages.
    pub(super) async fn ask(&self, state: &Shared, target: &Target, start: ColdStart) -> Belief {
        let now = Instant::now();
        if !self.has_missed(target, start, now) {
            return Belief::Known(Opinion::Warm);
        }
        let name = &target.report.target;
        let held = self.opinions.borrow().get(name).copied();
        if let Some((opinion, _)) = held.filter(|(_, until)| *until > now) {
            return Belief::Known(opinion);
        }
        if let Some((belief, _)) = self.common.get().filter(|(_, until)| *until > now) {
            return belief;
        }
        let view = state.view();
        let asked = neighbours(&view, name);
        let (mut unsure, count) = (0, asked.len());
        for address in asked {
            match self.ask_one(address, name).await {
                Some(Opinion::Unsure) => unsure += 1,
                Some(opinion) => {
                    let until = Instant::now() + OPINION_TTL;
                    let mut opinions = self.opinions.borrow_mut();
                    opinions.insert(name.clone(), (opinion, until));
                    return Belief::Known(opinion);
                }
                None => {}
            }
        }
        let is_common = unsure == count || (unsure > 0 && self.is_out_of_touch(state));
        let belief = if is_common {
            Belief::Known(Opinion::Warm)
        } else {
            Belief::Alone
        };
        self.common
            .set(Some((belief, Instant::now() + UNKNOWN_TTL)));
        belief
    }

    /// Returns whether no control replica is heard although this instance was not suspended of late, so
    /// that others may not hear any either.
    fn is_out_of_touch(&self, state: &Shared) -> bool {
        let resumed = self.resumed.get();
        is_silent(state, clock::now()) && resumed.is_none_or(|at| at.elapsed() > MAX_SILENCE)
    }

    async fn ask_one(&self, address: SocketAddr, target: &str) -> Option<Opinion> {
        let question = |number| Datagram::BeliefQuestion {
            number,
            target: target.to_owned(),
        };
        match self.queries.ask(address, 1, question).await? {
            Datagram::BeliefAnswer { opinion, .. } => Some(opinion),
            _ => None,
        }
    }

    /// Returns whether a request may be sent to a target now while nobody answers this instance, one of
    /// a number in its region.
    pub(super) fn take_alone(&self, target: &str, instances: usize) -> bool {
        let count = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        let interval = Duration::from_secs_f64(f64::from(count) / SPARE_PER_SECOND);
        let now = Instant::now();
        let mut alone = self.alone.borrow_mut();
        // Instances that are cut off together would otherwise all begin at once.
        let first = || now + interval.mul_f64(rand::rng().random());
        let next = alone.entry(target.to_owned()).or_insert_with(first);
        if *next > now {
            return false;
        }
        *next = now + interval;
        true
    }

    /// Forgets what has expired, and targets that are not known any more.
    pub(super) fn expire(&self, is_known: impl Fn(&str) -> bool, now: Instant) {
        self.doubts.borrow_mut().expire(now);
        self.queries.expire();
        self.opinions
            .borrow_mut()
            .retain(|_, (_, until)| *until > now);
        self.alone.borrow_mut().retain(|target, _| is_known(target));
    }

    /// Merges the ends that another instance saw; returns the targets that are news.
    pub(super) fn receive(
        &self,
        roster: &Roster,
        (part, for_all): (&Part, bool),
        now: Instant,
    ) -> Vec<id::Target> {
        let scope = flood::forwarding_scope(roster, for_all);
        let mut doubts = self.doubts.borrow_mut();
        let new = part.0.iter().filter(|(target, age_ms)| {
            let ended = now.checked_sub(Duration::from_millis(*age_ms));
            doubts.merge(target, ended.unwrap_or(now), scope)
        });
        new.map(|(target, _)| target.clone()).collect()
    }

    /// Returns the ends to tell others of.
    pub(super) fn news(&self, roster: &Roster, now: Instant) -> Vec<Outgoing> {
        let news = self.doubts.borrow_mut().news(now).into_iter();
        let news = news.map(|(scope, target, age)| {
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            (scope, (target, age_ms))
        });
        flood::news(roster, news.collect(), |entries, for_all| {
            let part = |entries: &[(id::Target, u64)]| Datagram::Ended {
                for_all,
                part: Part(entries.to_vec()),
            };
            entries.chunks(MAX_ENTRIES_PER_DATAGRAM).map(part).collect()
        })
    }
}

fn is_silent(state: &Shared, now: Moment) -> bool {
    let heard = state.heard();
    heard.is_some_and(|heard| now.saturating_sub(heard) > MAX_SILENCE)
}

/// Returns the addresses of the region's other instances that may know of a target, in the order in
/// which they would coordinate it.
fn neighbours(view: &View, target: &str) -> Vec<SocketAddr> {
    let ready = view.instances.ready_in(&view.place.region);
    let mut others: Vec<&Presence> = ready
        .filter(|held| held.instance != view.instance)
        .collect();
    others.sort_by_cached_key(|held| std::cmp::Reverse(rendezvous::weight(target, &held.instance)));
    let addresses = others
        .into_iter()
        .filter_map(|held| held.forward.parse().ok());
    addresses.take(MAX_ASKED).collect()
}
