//! Fault injection: makes a stand-in fail at a given point of a request, so that tests place a loss
//! exactly.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use zinniastall_settings::{problem::Fault, reader::Reader};

/// Point of a request at which the failure occurs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Point {
    /// Nowhere.
    None,
    /// After the request has started to run, before the first byte of the answer.
    First,
    /// After a number of streamed events.
    Events,
    /// After all content, before the marker that ends the answer.
    End,
}

/// What happens at the point of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The process exits at once.
    Die,
    /// The connection is cut.
    Cut,
    /// The answer ends in order, as if it were whole.
    End,
    /// The same, after half an event.
    Tear,
    /// Nothing more is sent, and the connection stays open.
    Hang,
    /// The answer is an error at [`Point::First`]; at other points the connection is cut.
    Error,
}

/// A failure to inject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Point at which it occurs.
    pub point: Point,
    /// What happens there.
    pub action: Action,
    /// Events that are sent before [`Point::Events`] is reached.
    #[serde(default)]
    pub events: usize,
    /// Number of requests that are still to fail.
    pub times: u64,
    /// Text that a request's prompt or body must contain to fail; empty for any request.
    #[serde(default)]
    pub mark: String,
}

/// Injects the current failure; tests replace it while the process runs.
#[derive(Debug, Clone)]
pub struct Injector {
    failure: Arc<Mutex<Failure>>,
}

impl Injector {
    /// Creates an injector of a failure.
    pub fn new(failure: Failure) -> Self {
        Self {
            failure: Arc::new(Mutex::new(failure)),
        }
    }

    /// Replaces the failure.
    pub fn set(&self, failure: Failure) {
        *self.lock() = failure;
    }

    /// Returns whether any request is still to fail.
    pub fn is_armed(&self) -> bool {
        let failure = self.lock();
        failure.point != Point::None && failure.times > 0
    }

    /// Returns the action for a request with a prompt or body of `text` that has reached `point` after
    /// `events` events, if it is to fail there, and counts the failure.
    pub fn trigger(&self, point: Point, events: usize, text: &str) -> Option<Action> {
        let mut failure = self.lock();
        let reached =
            failure.point == point && (point != Point::Events || failure.events == events);
        if !reached || failure.times == 0 || !text.contains(&failure.mark) {
            return None;
        }
        failure.times -= 1;
        if failure.action == Action::Die {
            // Like a power cut: no destructor runs and no connection is shut down cleanly.
            std::process::exit(1);
        }
        Some(failure.action)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Failure> {
        self.failure.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads a failure from settings.
pub(crate) fn read(reader: &mut Reader<'_>) -> Failure {
    let failure = Failure {
        point: reader.word(
            "point",
            "none, first, events, end",
            parse_point,
            Point::None,
        ),
        action: reader.word(
            "action",
            "die, cut, end, tear, hang, error",
            parse_action,
            Action::Die,
        ),
        events: usize::try_from(reader.number("events", 0..=1_000_000, 0)).unwrap_or(usize::MAX),
        times: reader.number("times", 0..=1_000_000, 1),
        mark: reader.optional_text("mark").unwrap_or_default(),
    };
    if failure.events > 0 && failure.point != Point::Events {
        reader.fault("events", Fault::Contradiction("point"));
    }
    failure
}

fn parse_point(word: &str) -> Option<Point> {
    serde_json::from_value(word.into()).ok()
}

fn parse_action(word: &str) -> Option<Action> {
    serde_json::from_value(word.into()).ok()
}
