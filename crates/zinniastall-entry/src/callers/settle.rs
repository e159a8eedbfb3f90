//! End of the path: one outcome, one log line, one entry in each histogram.

use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use zinniastall_route::outcome::{Outcome, Refusal};
use zinniastall_settings::metrics::Recorder;

use super::reply::Body;

/// Records how one request ends; dropping it unsettled records that the caller went away.
#[derive(Debug)]
pub struct Settle {
    recorder: Recorder,
    request: String,
    client: String,
    class: String,
    subject: String,
    revision: u64,
    target: String,
    started: Instant,
    first: Option<Duration>,
    settled: bool,
}

impl Settle {
    /// Starts the clock of a request that is not identified yet.
    pub fn new(recorder: Recorder, request: String) -> Self {
        Self {
            recorder,
            request,
            client: String::new(),
            class: String::new(),
            subject: String::new(),
            revision: 0,
            target: String::new(),
            started: Instant::now(),
            first: None,
            settled: false,
        }
    }

    /// Notes who asks for what.
    pub fn identified(&mut self, request: &zinniastall_route::request::Request) {
        self.request.clone_from(&request.id);
        self.client.clone_from(&request.client);
        self.class.clone_from(&request.class);
        request.subject.name().clone_into(&mut self.subject);
        self.revision = request.revision;
    }

    /// Notes who serves it.
    pub fn served(&mut self, target: &str) {
        target.clone_into(&mut self.target);
    }

    /// Notes the first part of the answer.
    pub fn first(&mut self) {
        if self.first.is_none() {
            let first = self.started.elapsed();
            self.first = Some(first);
            self.recorder
                .time("request.first", &self.client, &self.class, first);
        }
    }

    /// Records the end of a request without a whole answer.
    pub fn refused(&mut self, refusal: &Refusal) {
        self.end(refusal.outcome, refusal.reason.kind());
    }

    /// Records a whole answer.
    pub fn answered(&mut self) {
        self.first();
        let whole = self.started.elapsed();
        self.recorder
            .time("request.whole", &self.client, &self.class, whole);
        self.end(Outcome::Answered, "");
    }

    fn end(&mut self, outcome: Outcome, reason: &str) {
        if std::mem::replace(&mut self.settled, true) {
            return;
        }
        let took = self.started.elapsed();
        if outcome != Outcome::Answered {
            let name = match outcome {
                Outcome::NotRun => "request.not_run",
                _ => "request.unknown",
            };
            self.recorder.time(name, &self.client, &self.class, took);
        }
        tracing::info!(
            event = "request",
            request = self.request,
            outcome = outcome.as_str(),
            reason,
            client = self.client,
            class = self.class,
            subject = self.subject,
            target = self.target,
            revision = self.revision,
            first_us = self.first.map_or(0, micros),
            whole_us = micros(took),
        );
    }

    /// Settles a request when its relayed body ends.
    pub fn follow(self, body: Body) -> Body {
        let next = |(mut body, mut settle): (Body, Self)| async move {
            match body.next().await {
                Some(Ok(bytes)) => {
                    settle.first();
                    Some((Ok(bytes), (body, settle)))
                }
                Some(Err(refusal)) => {
                    settle.refused(&refusal);
                    Some((Err(refusal), (body, settle)))
                }
                None => {
                    settle.answered();
                    None
                }
            }
        };
        stream::unfold((body, self), next).boxed_local()
    }
}

impl Drop for Settle {
    fn drop(&mut self) {
        self.end(Outcome::Unknown, "caller-gone");
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
