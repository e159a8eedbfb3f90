//! Schedule of the returns of one service's rejected requests, as one instance keeps it.
//!
//! Time is divided into slots. A slot's room is half of the work that the instance currently admits
//! in a slot's time, so that first attempts keep the other half. A request that needs more than is
//! left of a slot takes the rest from the following ones, as its prefill lasts into them: the share of
//! one instance in a slot is often less than one long prompt.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::{MAX_DELAY, MIN_DELAY, latest_delay};

/// Length of a slot.
pub const SLOT: Duration = Duration::from_millis(100);
/// Share of the admitted work that may be booked.
const BOOKED_SHARE: f64 = 0.5;
/// Weight of the last slot in the average of admitted work, which so covers about a second.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Slots over which the work of one request may extend: a request that takes longer at the current
/// rate would be served much later than its promise says.
const MAX_SPAN: usize = 20;
/// Slots in which bookings may begin.
const BOOKABLE_SLOTS: usize = (MAX_DELAY.as_millis() / SLOT.as_millis()) as usize + 1;
/// Slots after which nothing is left of the average.
const MAX_AVERAGED_SLOTS: u64 = 200;

/// Amount of work: microseconds of expected prefill at engines, requests at plain targets.
pub type Work = u64;

/// A rejected request that may return.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Work of the request.
    pub work: Work,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Time until the caller's deadline.
    pub left: Duration,
    /// Expected time from the return until its answer begins.
    pub service_time: Duration,
}

/// Booked room for the return of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Booking {
    /// Time until the request should return.
    pub delay: Duration,
    /// Time until the end of the slot in which it should return.
    pub slot_end: Duration,
    /// Room of a slot by the current average.
    pub room: Work,
}

/// Work that is booked in one slot, by priority.
#[derive(Debug, Default)]
struct Slot {
    total: Work,
    by_priority: Vec<(u8, Work)>,
}

impl Slot {
    fn book(&mut self, priority: u8, work: Work) {
        self.total += work;
        let mut entries = self.by_priority.iter_mut();
        match entries.find(|(held, _)| *held == priority) {
            Some((_, booked)) => *booked += work,
            None => self.by_priority.push((priority, work)),
        }
    }
}

/// Bookings of the next seconds, and the average of admitted work that bounds them.
#[derive(Debug)]
pub struct Schedule {
    origin: Instant,
    /// Number of the current slot since the origin.
    current: u64,
    /// Average work admitted in a slot.
    average: f64,
    /// Work admitted in the current slot.
    admitted: Work,
    /// Slots from the current one on.
    slots: VecDeque<Slot>,
}

impl Schedule {
    /// Creates an empty schedule, which has no room until work was admitted.
    pub const fn new(now: Instant) -> Self {
        Self {
            origin: now,
            current: 0,
            average: 0.0,
            admitted: 0,
            slots: VecDeque::new(),
        }
    }

    /// Records work that was admitted.
    pub fn admit(&mut self, work: Work, now: Instant) {
        self.advance(now);
        self.admitted = self.admitted.saturating_add(work);
    }

    /// Returns the work that may be booked in a slot.
    pub fn room(&mut self, now: Instant) -> Work {
        self.advance(now);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a non-negative average of sums that fit; the conversion saturates"
        )]
        let room = (self.average * BOOKED_SHARE) as Work;
        room
    }

    /// Returns the booked work by slot, the current slot first.
    pub fn booked(&mut self, now: Instant) -> impl Iterator<Item = Work> {
        self.advance(now);
        self.slots.iter().map(|slot| slot.total)
    }

    /// Returns the booked work that is due in the current slot and belongs to requests of the given
    /// priority or a more urgent one.
    pub fn due(&mut self, priority: u8, now: Instant) -> Work {
        self.advance(now);
        let slot = self.slots.front().into_iter();
        let booked = slot.flat_map(|slot| &slot.by_priority);
        let counted = booked.filter(|(held, _)| *held <= priority);
        counted.map(|(_, work)| *work).sum()
    }

    /// Books the earliest slot with room in which the request may return and still be served;
    /// `spread`, from 0 to 1, selects the time within the slot.
    pub fn book(&mut self, request: &Request, spread: f64, now: Instant) -> Option<Booking> {
        let latest = latest_delay(request.left);
        let latest = latest.min(request.left.saturating_sub(request.service_time));
        if latest < MIN_DELAY {
            return None;
        }
        let room = self.room(now);
        let into_slot = now.saturating_duration_since(self.start(0));
        for at in 0..BOOKABLE_SLOTS {
            let start = slots(at).saturating_sub(into_slot).max(MIN_DELAY);
            let slot_end = slots(at + 1).saturating_sub(into_slot);
            let end = slot_end.min(latest);
            if start > latest {
                return None;
            }
            if start < end && self.has_room(at, room, request.work) {
                self.take(at, room, request);
                let delay = start + end.saturating_sub(start).mul_f64(spread.clamp(0.0, 1.0));
                return Some(Booking {
                    delay,
                    slot_end,
                    room,
                });
            }
        }
        None
    }

    fn free(&self, at: usize, room: Work) -> Work {
        let booked = self.slots.get(at).map_or(0, |slot| slot.total);
        room.saturating_sub(booked)
    }

    /// Returns whether a slot has room, and together with the following ones enough for some work.
    fn has_room(&self, at: usize, room: Work, work: Work) -> bool {
        let span = at..at + MAX_SPAN;
        let free = || span.map(|at| self.free(at, room));
        self.free(at, room) > 0 && free().fold(0, Work::saturating_add) >= work
    }

    fn take(&mut self, first: usize, room: Work, request: &Request) {
        let mut rest = request.work;
        for at in first..first + MAX_SPAN {
            if self.slots.len() <= at {
                self.slots.resize_with(at + 1, Slot::default);
            }
            let taken = rest.min(self.free(at, room));
            if taken > 0 {
                self.slots[at].book(request.priority, taken);
            }
            rest -= taken;
            if rest == 0 {
                break;
            }
        }
    }

    fn start(&self, at: usize) -> Instant {
        let number = u32::try_from(self.current).unwrap_or(u32::MAX);
        self.origin + SLOT * number + slots(at)
    }

    /// Moves to the slot of the current time.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.origin).as_millis();
        let number = u64::try_from(elapsed / SLOT.as_millis()).unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.current);
        if passed == 0 {
            return;
        }
        for _ in 0..passed.min(MAX_AVERAGED_SLOTS) {
            #[expect(clippy::cast_precision_loss, reason = "sums are far below 2^52")]
            let admitted = std::mem::take(&mut self.admitted) as f64;
            self.average += (admitted - self.average) * AVERAGE_WEIGHT;
            self.slots.pop_front();
        }
        self.current = number;
    }
}

fn slots(count: usize) -> Duration {
    SLOT * u32::try_from(count).unwrap_or(u32::MAX)
}
