//! Answers that the gateway gives itself, in place of a target.

use std::time::Duration;

use http::{
    HeaderValue, StatusCode,
    header::{RETRY_AFTER, WWW_AUTHENTICATE},
};
use zinniastall_http::server::Reply;
use zinniastall_model::fingerprint::Suspect;

use crate::{
    headers::{OUTCOME, RETRY_MS},
    suspects,
};

/// Reason why a request gets no answer from a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The head cannot be parsed.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// The request did not arrive in time.
    ArrivalTimeout,
    /// No configuration has reached this instance yet.
    Unconfigured,
    /// The configuration known here may be out of date.
    Stale,
    /// The instance that forwarded the request uses another configuration.
    Mismatch,
    /// The instance that forwarded the request uses a later configuration, which hasn't come here.
    Behind,
    /// No route serves the path.
    NoRoute,
    /// The key belongs to no client account.
    Unauthenticated,
    /// The client account has used up its quota; the request may be retried after the given time.
    QuotaExceeded(Duration),
    /// The request crashes targets and is no longer run.
    Quarantined,
    /// A part of its prompt crashes targets and is no longer run.
    PartQuarantined,
    /// The request was never sent; it may be retried after the given time.
    Busy(Duration),
    /// It isn't known which version began the stream that the request continues.
    VersionUnknown,
    /// No target has the version that began the stream.
    VersionNotServed,
    /// A target refused the request before running it; it may be retried after the given time.
    Refused(Duration),
    /// The request was sent, and it is unknown whether it ran.
    AnswerLost,
    /// The request was sent, and its deadline has passed.
    DeadlineExceeded,
}

/// What the caller of a refused request may rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the request reached a target.
    NotSent,
    /// A target refused the request before running it.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Retry time for an instance without configuration. Most instances have one half a second after
/// their start.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry time for an instance whose configuration may be out of date. The control group confirms it
/// within a few hundred milliseconds once it can be reached.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Retry time for instances with different configurations.
const MISMATCH_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Retry time of a request that continues a stream which can't go on now. A rollback brings a version
/// back, and an instance that is cut off its records, but neither within moments.
pub const VERSION_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Outcome {
    /// Returns the value sent between instances.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the value sent between instances.
    pub fn parse(word: &str) -> Option<Self> {
        let all = [Self::NotSent, Self::NotRun, Self::Unknown];
        all.into_iter().find(|outcome| outcome.as_str() == word)
    }
}

impl Refusal {
    /// Returns the status sent to callers. 408, 421, 429 and 503 promise that the request has not
    /// run and never will.
    pub const fn status(self) -> StatusCode {
        match self {
            // The request itself has to change; callers don't retry after this status.
            Self::Malformed | Self::Quarantined | Self::PartQuarantined => StatusCode::BAD_REQUEST,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::ArrivalTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::Unconfigured
            | Self::Stale
            | Self::Mismatch
            | Self::Behind
            | Self::VersionUnknown
            | Self::VersionNotServed
            | Self::Busy(_)
            | Self::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::QuotaExceeded(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns what the caller may rely on.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::AnswerLost | Self::DeadlineExceeded => Outcome::Unknown,
            Self::Refused(_) => Outcome::NotRun,
            _ => Outcome::NotSent,
        }
    }

    /// Returns the time after which the request may be retried.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Unconfigured => Some(UNCONFIGURED_RETRY_AFTER),
            Self::Stale => Some(STALE_RETRY_AFTER),
            Self::Mismatch | Self::Behind => Some(MISMATCH_RETRY_AFTER),
            Self::VersionUnknown | Self::VersionNotServed => Some(VERSION_RETRY_AFTER),
            Self::Busy(retry_after)
            | Self::Refused(retry_after)
            | Self::QuotaExceeded(retry_after) => Some(retry_after),
            _ => None,
        }
    }

    /// Returns the name used in logs and bodies.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLong => "head-too-long",
            Self::BodyTooLong => "body-too-long",
            Self::ArrivalTimeout => "arrived-too-slowly",
            Self::Unconfigured => "no-configuration-yet",
            Self::Stale => "configuration-out-of-date",
            Self::Mismatch => "configurations-differ",
            Self::Behind => "configuration-behind",
            Self::NoRoute => "no-such-route",
            Self::Unauthenticated => "unknown-key",
            Self::QuotaExceeded(_) => "quota-exceeded",
            Self::Quarantined => "quarantined",
            Self::PartQuarantined => "prompt-part-quarantined",
            Self::Busy(_) => "busy",
            Self::VersionUnknown => "version-unknown",
            Self::VersionNotServed => "version-not-served",
            Self::Refused(_) => "refused-by-target",
            Self::AnswerLost => "answer-lost",
            Self::DeadlineExceeded => "out-of-time",
        }
    }

    /// Creates the answer for a caller.
    pub fn reply(self) -> Reply {
        let (word, outcome) = (self.as_str(), self.outcome().as_str());
        let body = format!("{{\"error\":\"{word}\",\"outcome\":\"{outcome}\"}}");
        let mut reply = Reply::json(self.status(), body);
        if self == Self::Unauthenticated {
            let scheme = HeaderValue::from_static("Bearer");
            reply.headers.insert(WWW_AUTHENTICATE, scheme);
        }
        if let Some(retry_after) = self.retry_after() {
            let seconds = format!("{:.2}", retry_after.as_secs_f64());
            reply
                .headers
                .extend(HeaderValue::try_from(seconds).map(|value| (RETRY_AFTER, value)));
        }
        reply
    }

    /// Creates the answer for the instance that forwarded the request, with what is known against it.
    pub fn reply_to_instance(self, suspicions: &[Suspect]) -> Reply {
        let mut reply = self.reply();
        let word = HeaderValue::from_static(self.outcome().as_str());
        reply.headers.insert(OUTCOME, word);
        suspects::state(&mut reply.headers, suspicions);
        if let Some(retry_after) = self.retry_after() {
            let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
            reply.headers.insert(RETRY_MS, HeaderValue::from(millis));
        }
        reply
    }
}
