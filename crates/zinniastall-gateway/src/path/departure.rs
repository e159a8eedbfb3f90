//! Targets that say in their answers that they leave; see [`zinniastall_coord::departure`].

use std::time::Instant;

use http::{HeaderValue, StatusCode};
use zinniastall_coord::departure;
use zinniastall_http::head::Response;

use super::{Proxy, attempt::Attempt};

impl Proxy {
    /// Returns whether a run of a target has said that it leaves.
    pub(super) fn has_departed(&self, target: &str, incarnation: u64) -> bool {
        self.departures.borrow().has(target, incarnation)
    }

    /// Records that a target says in its answer that it leaves, and tells the other instances. An answer
    /// of another target that took over the address says nothing.
    pub(super) fn observe_departure(&self, attempt: &Attempt<'_>, response: &Response) {
        let Some((target, run)) = attempt.place.run() else {
            return;
        };
        let fields = response.headers.get_all(&self.header_names.leaving);
        let is_leaving = departure::is_said(fields.iter().map(HeaderValue::as_bytes));
        if !is_leaving || response.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let mut departures = self.departures.borrow_mut();
        if departures.observe(target, run, Instant::now()) {
            self.metrics.count_departure("answer");
            tracing::info!(event = "target-leaving", target, via = "answer");
            self.news.notify_one();
        }
    }
}
