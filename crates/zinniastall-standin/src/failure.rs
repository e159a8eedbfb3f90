//! Points at which a stand-in fails, so that tests place a loss exactly.

use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use zinniastall_settings::{problem::Fault, reader::Reader};

/// Where a request meets the failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Point {
    /// Nowhere.
    None,
    /// After the request has started to run, before the first byte of the answer.
    First,
    /// After a number of events.
    Events,
    /// After all content, before the mark that ends the answer.
    End,
}

/// What happens there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// The process ends at once.
    Die,
    /// The connection breaks.
    Cut,
    /// Nothing more is sent.
    Hang,
    /// The engine answers with an error; before the first byte only, elsewhere it cuts.
    Error,
}

/// A failure to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Where.
    pub point: Point,
    /// What.
    pub action: Action,
    /// Events before [`Point::Events`].
    #[serde(default)]
    pub events: usize,
    /// Requests that meet it.
    pub times: u64,
}

/// The failure in force; tests replace it while the process runs.
#[derive(Debug, Clone)]
pub struct Injector {
    failure: Arc<Mutex<Failure>>,
}

impl Injector {
    /// Creates a switch.
    pub fn new(failure: Failure) -> Self {
        Self {
            failure: Arc::new(Mutex::new(failure)),
        }
    }

    /// Replaces the failure.
    pub fn set(&self, failure: Failure) {
        *self.lock() = failure;
    }

    /// Returns whether a failure is still to come.
    pub fn is_armed(&self) -> bool {
        let failure = self.lock();
        failure.point != Point::None && failure.times > 0
    }

    /// Returns what a request that has reached a point after some events meets, and counts it.
    pub fn trigger(&self, point: Point, events: usize) -> Option<Action> {
        let mut failure = self.lock();
        let reached =
            failure.point == point && (point != Point::Events || failure.events == events);
        if !reached || failure.times == 0 {
            return None;
        }
        failure.times -= 1;
        if failure.action == Action::Die {
            // As a power cut: no destructor runs and no connection is ended in order.
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
        action: reader.word("action", "die, cut, hang, error", parse_action, Action::Die),
        events: usize::try_from(reader.number("events", 0..=1_000_000, 0)).unwrap_or(usize::MAX),
        times: reader.number("times", 0..=1_000_000, 1),
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
