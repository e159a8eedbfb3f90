//! Targets that ask this instance to stay away for a time; see [`zinniastall_coord::pause`].

use std::time::{Instant, SystemTime};

use http::StatusCode;
use zinniastall_coord::pause::State;
use zinniastall_http::{head::Response, retry_after};

use super::{
    Proxy,
    attempt::{Attempt, Place},
};
use crate::view::Target;

impl Proxy {
    /// Returns whether a target wants requests of this instance, as far as it said.
    pub(super) fn pause(&self, target: &Target, now: Instant) -> State {
        let pauses = self.pauses.borrow();
        if pauses.is_empty() {
            return State::Open;
        }
        let report = &target.report;
        pauses.state(&report.target, report.incarnation, now)
    }

    /// Returns whether a target wants no requests of this instance now.
    pub(super) fn is_paused(&self, target: &str) -> bool {
        let state = self.pauses.borrow().state(target, 0, Instant::now());
        matches!(state, State::Paused(_))
    }

    /// Returns whether a request may be sent to a place at once; the last question before it is. Since the
    /// place was chosen, the target may have answered another request.
    pub(super) fn enter(&self, place: &Place, now: Instant) -> bool {
        let Some((target, run)) = place.run() else {
            return true;
        };
        if self.has_departed(target, run) {
            return false;
        }
        let state = self.pauses.borrow_mut().enter(target, run, now);
        if state != State::Open {
            self.metrics.count_pause("withheld");
        }
        state == State::Open
    }

    /// Records the pause that a target asks for when it rejects a request, or that it asks for none. An
    /// answer of another target that took over the address says nothing.
    ///
    /// The application behind a target may answer 503 as well; it wants no other request either.
    pub(super) fn observe_pause(
        &self,
        attempt: &Attempt<'_>,
        response: &Response,
        sent_at: Instant,
        is_used: bool,
    ) {
        let Some((target, run)) = attempt.place.run() else {
            return;
        };
        let time = match response.status {
            StatusCode::MISDIRECTED_REQUEST => return,
            StatusCode::SERVICE_UNAVAILABLE => {
                let name = &self.header_names.pause;
                retry_after::read(&response.headers, name, SystemTime::now())
            }
            _ => Ok(None),
        };
        let time = time.unwrap_or_else(|invalid| {
            self.metrics.count_pause("invalid");
            self.request_log
                .unreadable_pause(attempt.job, target, invalid);
            None
        });
        let mut pauses = self.pauses.borrow_mut();
        let Some(time) = time.filter(|time| !time.is_zero()) else {
            // Without the request's id it may answer an earlier request on the same connection.
            if response.headers.contains_key(&self.header_names.request_id) || !is_used {
                pauses.answered(target, run, sent_at);
            }
            return;
        };
        if pauses.ask(target, run, time, Instant::now()) {
            self.metrics.count_pause("asked");
            self.request_log.paused(attempt.job, target, time);
        }
    }
}
