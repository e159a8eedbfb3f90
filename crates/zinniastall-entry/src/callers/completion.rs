//! Last stage of the pipeline: one outcome, one log line and one histogram entry per request.

use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use zinniastall_http::ending::Ending;
use zinniastall_model::id;
use zinniastall_route::outcome::{Outcome, Refusal};
use zinniastall_settings::metrics::Recorder;
use zinniastall_wire::stream::Open;

use super::{progress::Started, reply::Body};

/// Records how a request ends; if dropped before that, records that the caller disconnected.
#[derive(Debug)]
pub struct Completion {
    recorder: Recorder,
    request: String,
    client: String,
    class: String,
    subject: String,
    revision: id::Revision,
    /// Revision under which the sender validated the request; 0 for a caller's request.
    sent_under: id::Revision,
    target: String,
    started: Instant,
    first: Option<Duration>,
    /// Instance that forwarded the request; empty if it came from a caller.
    sender: String,
    recorded: bool,
    progress: Option<Started>,
}

impl Completion {
    /// Starts the clock of a caller's request that is not identified yet.
    pub fn new(recorder: Recorder, progress: Started, request: String) -> Self {
        let mut completion = Self::forwarded(recorder, "");
        completion.request = request;
        completion.progress = Some(progress);
        completion
    }

    /// Starts the clock of a request that another instance forwarded. The forwarding instance
    /// records the histograms that describe callers' requests; this one uses separate metrics.
    pub fn forwarded(recorder: Recorder, sender: &str) -> Self {
        Self {
            recorder,
            request: String::new(),
            client: String::new(),
            class: String::new(),
            subject: String::new(),
            revision: 0,
            sent_under: 0,
            target: String::new(),
            started: Instant::now(),
            first: None,
            sender: sender.to_owned(),
            recorded: false,
            progress: None,
        }
    }

    /// Returns the id under which the request is logged.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Records the client, class and subject of an identified request.
    pub fn identified(&mut self, request: &zinniastall_route::request::Request) {
        self.request.clone_from(&request.id);
        self.client.clone_from(&request.client);
        self.class.clone_from(&request.class);
        request.subject.name().clone_into(&mut self.subject);
        self.revision = request.revision;
    }

    /// Records what the sender states about a forwarded request, so that a refusal can be found in
    /// the log.
    pub fn opened(&mut self, open: &Open) {
        self.request.clone_from(&open.request);
        self.client.clone_from(&open.client);
        self.class.clone_from(&open.class);
        open.subject.name().clone_into(&mut self.subject);
        self.sent_under = open.revision;
    }

    /// Records the target that serves the request.
    pub fn served(&mut self, target: &str) {
        target.clone_into(&mut self.target);
    }

    /// Records the arrival of the first part of the response.
    pub fn first_part(&mut self) {
        if self.first.is_none() {
            let first = self.started.elapsed();
            self.first = Some(first);
            let name = self.metric_name("request.first", "forwarded.first");
            self.recorder.time(name, &self.client, &self.class, first);
        }
    }

    /// Records the end of a request without a complete response.
    pub fn refused(&mut self, refusal: &Refusal) {
        self.end(refusal.outcome, refusal.reason.kind());
    }

    /// Records a response that has ended, with what is known of its end.
    pub fn answered(&mut self, ending: Ending) {
        self.first_part();
        if ending != Ending::Complete {
            return self.end(Outcome::Unknown, ending.as_str());
        }
        let total = self.started.elapsed();
        let name = self.metric_name("request.whole", "forwarded.whole");
        self.recorder.time(name, &self.client, &self.class, total);
        self.end(Outcome::Answered, "");
    }

    /// Selects the metric name for a caller's or a forwarded request.
    const fn metric_name(&self, caller: &'static str, sender: &'static str) -> &'static str {
        if self.sender.is_empty() {
            caller
        } else {
            sender
        }
    }

    fn end(&mut self, outcome: Outcome, reason: &str) {
        if std::mem::replace(&mut self.recorded, true) {
            return;
        }
        let took = self.started.elapsed();
        if outcome != Outcome::Answered {
            let name = match outcome {
                Outcome::NotRun => self.metric_name("request.not_run", "forwarded.not_run"),
                _ => self.metric_name("request.unknown", "forwarded.unknown"),
            };
            self.recorder.time(name, &self.client, &self.class, took);
        }
        tracing::info!(
            event = self.metric_name("request", "forwarded"),
            request = self.request,
            outcome = outcome.as_str(),
            reason,
            client = self.client,
            class = self.class,
            subject = self.subject,
            target = self.target,
            sender = self.sender,
            revision = self.revision,
            sent_under = self.sent_under,
            first_us = self.first.map_or(0, micros),
            whole_us = micros(took),
        );
    }

    /// Records the outcome when the relayed body ends; `highest` is the most that is known of its end
    /// then.
    pub fn track_body(self, body: Body, highest: Ending) -> Body {
        let next = move |(mut body, mut completion): (Body, Self)| async move {
            match body.next().await {
                Some(Ok(bytes)) => {
                    completion.first_part();
                    Some((Ok(bytes), (body, completion)))
                }
                Some(Err(refusal)) => {
                    completion.refused(&refusal);
                    Some((Err(refusal), (body, completion)))
                }
                None => {
                    completion.answered(highest);
                    None
                }
            }
        };
        stream::unfold((body, self), next).boxed_local()
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        self.end(Outcome::Unknown, "caller-gone");
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
