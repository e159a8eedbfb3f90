//! Schedules the returns of rejected requests, and keeps the promises of room that their callers got.
//!
//! A caller whose request is rejected returns once. If all callers are told the same time, they
//! return together and most are rejected again. So each rejected request books part of the room that
//! the instance is expected to have later ([`schedule`]), and its caller is told that time. Two
//! instances of the region hold the promise ([`promises`]), since the caller may reach any instance
//! when it returns.

pub mod promises;
pub mod schedule;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use zinniastall_model::id;

use self::schedule::{Booking, Request, Schedule, Work};

/// Least time until a return. A queue hardly moves in a shorter time.
pub const MIN_DELAY: Duration = Duration::from_millis(250);
/// Longest time until a return: the rate at which requests are admitted says little of a later time.
pub const MAX_DELAY: Duration = Duration::from_secs(4);
/// Time after its slot for which a promise is kept, for callers that are late.
pub const GRACE: Duration = Duration::from_secs(1);
/// Share of its remaining time, as a divisor, up to which a caller honours `Retry-After`.
const HONOURED_PART: u32 = 3;
/// Time by which a return is told to come before that: a caller computes its share when the answer has
/// arrived, some milliseconds later, and `Retry-After` is rounded to hundredths of a second.
const HONOUR_MARGIN: Duration = Duration::from_millis(30);
/// Time without a request after which a service's schedule is forgotten; all of its slots have passed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the latest time at which a caller that has `left` until its deadline honours
/// `Retry-After`.
pub fn latest_delay(left: Duration) -> Duration {
    let honoured = (left / HONOURED_PART).saturating_sub(HONOUR_MARGIN);
    honoured.min(MAX_DELAY)
}

/// Schedules of one instance by service. A service has either engines or plain targets, so all of its
/// work is of one unit.
#[derive(Debug, Default)]
pub struct Schedules {
    services: IndexMap<id::Service, (Schedule, Instant)>,
}

impl Schedules {
    /// Records work that was admitted for a service.
    pub fn admit(&mut self, service: &str, work: Work, now: Instant) {
        self.schedule(service, now).admit(work, now);
    }

    /// Books the return of a rejected request; `spread` is a random number from 0 to 1 that selects
    /// the time within the slot. Returns `None` if no slot in the request's time has room.
    pub fn book(
        &mut self,
        service: &str,
        request: &Request,
        spread: f64,
        now: Instant,
    ) -> Option<Booking> {
        self.schedule(service, now).book(request, spread, now)
    }

    /// Returns the booked work of a service that is due in the current slot and belongs to requests of
    /// the given priority or a more urgent one.
    pub fn due(&mut self, service: &str, priority: u8, now: Instant) -> Work {
        let known = self.services.get_mut(service);
        known.map_or(0, |(schedule, _)| schedule.due(priority, now))
    }

    fn schedule(&mut self, service: &str, now: Instant) -> &mut Schedule {
        if !self.services.contains_key(service) {
            // Operators replace services; unused schedules would accumulate.
            let is_used = |last: Instant| now.saturating_duration_since(last) < IDLE_TIMEOUT;
            self.services.retain(|_, (_, last)| is_used(*last));
        }
        let entry = self.services.entry(service.to_owned());
        let (schedule, last) = entry.or_insert_with(|| (Schedule::new(now), now));
        *last = now;
        schedule
    }
}
