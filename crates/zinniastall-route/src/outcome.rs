//! Outcomes of requests, and how they are reported to the caller.

use std::time::Duration;

use zinniastall_model::id;

/// How a request ended. Every request has exactly one outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response arrived.
    Answered,
    /// It certainly did not run: no byte of it was written to a target, or the process that
    /// received it definitely refused it before running it.
    NotRun,
    /// It may have run; covers all other cases.
    Unknown,
}

impl Outcome {
    /// Returns the word used in headers, error bodies and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request got no complete response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The request carries no API key.
    #[error("the request carries no key; send 'Authorization: Bearer <key>'")]
    NoKey,
    /// No client has this API key.
    #[error("no client has this key")]
    UnknownKey,
    /// The client is withdrawn.
    #[error("client {0} is withdrawn")]
    Withdrawn(id::Client),
    /// No route serves this path and model.
    #[error("no route serves {0}")]
    NoRoute(String),
    /// A header has an invalid value.
    #[error("header {0} is malformed")]
    MalformedHeader(&'static str),
    /// The query string is malformed.
    #[error("query: {0}")]
    MalformedQuery(String),
    /// The body is not valid for the path.
    #[error("body: {0}")]
    MalformedBody(String),
    /// The body is longer than permitted.
    #[error("the body is longer than {0} bytes")]
    BodyTooLarge(usize),
    /// The request did not arrive completely within the permitted time.
    #[error("the request took too long to arrive")]
    ArrivalTimeout,
    /// The instance has not received a configuration that lists it yet.
    #[error("the instance has no configuration yet")]
    NotConfigured,
    /// The instance accepts no new requests.
    #[error("the instance is shutting down")]
    Draining,
    /// The residency rules permit no region that can be reached.
    #[error("residency rules permit none of the regions that can be reached")]
    Residency,
    /// A forwarded request has crossed as many boundaries as it may.
    #[error("the request may not cross a further border")]
    TooManyHops,
    /// A request that is not idempotent carries no ticket.
    #[error("a request that may not be repeated needs a ticket; send the one given here")]
    TicketRequired,
    /// The ticket is malformed or was not issued by this system.
    #[error("the ticket is not valid")]
    TicketInvalid,
    /// The ticket has expired; whether its request ran is no longer known.
    #[error("the ticket has expired; whether its request ran is not known any more")]
    TicketExpired,
    /// The ticket was already used with another body or by another client.
    #[error("the ticket was used with another request")]
    TicketReused,
    /// The ticket's request ran, but its response is no longer kept.
    #[error("the request ran; its answer is not kept any more")]
    AnswerNotKept,
    /// The instance that issued the ticket cannot be reached.
    #[error("the instance that issued the ticket cannot be reached")]
    IssuerGone,
    /// The table of used tickets is full.
    #[error("too many tickets are in use")]
    TooManyTickets,
    /// No target currently serves the subject.
    #[error("no target serves {0} at present")]
    NoTarget(String),
    /// The deadline cannot be met.
    #[error("the deadline cannot be met")]
    DeadlineNotFeasible,
    /// The client holds its full share of a crowded queue.
    #[error("the client's share is used up")]
    ShareUsedUp,
    /// The queue is full.
    #[error("the queue is full")]
    QueueFull,
    /// Nothing tells which software version began the stream that the caller takes up.
    #[error("it is not known which software version began the stream; ask for it anew")]
    VersionUnknown,
    /// The target refused the request before running it.
    #[error("the target refused the request before running it")]
    TargetRefused,
    /// The target wants no requests of this instance at the moment.
    #[error("the target wants no requests at the moment")]
    TargetPaused,
    /// No connection to a target could be established.
    #[error("no connection to a target could be established")]
    TargetUnreachable,
    /// The connection broke after the request was sent.
    #[error("the connection to the target broke before the whole answer arrived")]
    TargetLost,
    /// The deadline passed before the complete response arrived.
    #[error("the deadline passed before the whole answer arrived")]
    DeadlinePassed,
    /// Another instance reported that a forwarded request failed.
    #[error("{0}")]
    ForwardedFailed(String),
    /// The request has crashed the targets that ran it.
    #[error("the request has crashed the targets that ran it; it is not run any more")]
    Quarantined,
    /// A part of the request's prompt crashes targets and is no longer run.
    #[error("a part of the prompt crashes targets; it is not run any more, other prompts are")]
    PartQuarantined,
    /// Another copy of a request that is suspected of crashing targets is still running.
    #[error("a copy of the request is running, and it is suspected of crashing targets")]
    CopyRunning,
    /// The received bytes are not the head of an HTTP request.
    #[error("this is not the head of an HTTP request")]
    MalformedHead,
    /// The head of the request is too long or has too many fields.
    #[error("the head of the request is too long or has too many fields")]
    HeadTooLarge,
}

impl Reason {
    /// Returns the `type` of the error body.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::NoKey => "no-key",
            Self::UnknownKey => "unknown-key",
            Self::Withdrawn(_) => "client-withdrawn",
            Self::NoRoute(_) => "no-route",
            Self::MalformedHeader(_) => "malformed-header",
            Self::MalformedQuery(_) => "malformed-query",
            Self::MalformedBody(_) => "malformed-body",
            Self::BodyTooLarge(_) => "body-too-large",
            Self::ArrivalTimeout => "too-slow",
            Self::NotConfigured => "not-configured",
            Self::Draining => "draining",
            Self::Residency => "residency",
            Self::TooManyHops => "too-many-hops",
            Self::TicketRequired => "ticket-required",
            Self::TicketInvalid => "ticket-invalid",
            Self::TicketExpired => "ticket-expired",
            Self::TicketReused => "ticket-reused",
            Self::AnswerNotKept => "answer-not-kept",
            Self::IssuerGone => "issuer-gone",
            Self::TooManyTickets => "too-many-tickets",
            Self::NoTarget(_) => "no-target",
            Self::DeadlineNotFeasible => "deadline-not-feasible",
            Self::ShareUsedUp => "share-used-up",
            Self::QueueFull => "queue-full",
            Self::VersionUnknown => "version-unknown",
            Self::TargetRefused => "target-refused",
            Self::TargetPaused => "target-paused",
            Self::TargetUnreachable => "target-unreachable",
            Self::TargetLost => "target-lost",
            Self::DeadlinePassed => "deadline-passed",
            Self::ForwardedFailed(_) => "forwarded-failed",
            Self::Quarantined => "quarantined",
            Self::PartQuarantined => "prompt-part-quarantined",
            Self::CopyRunning => "copy-running",
            Self::MalformedHead => "malformed-head",
            Self::HeadTooLarge => "head-too-large",
        }
    }

    /// Returns the HTTP status for an outcome.
    pub const fn status(&self, outcome: Outcome) -> u16 {
        match self {
            Self::DeadlinePassed => 504,
            // Whatever the reason: a status that callers take for a refusal promises "not run".
            _ if matches!(outcome, Outcome::Unknown) => 502,
            Self::NoKey | Self::UnknownKey => 401,
            Self::Withdrawn(_) | Self::Residency => 403,
            Self::NoRoute(_) => 404,
            Self::MalformedHeader(_)
            | Self::MalformedQuery(_)
            | Self::MalformedBody(_)
            | Self::TicketInvalid
            | Self::Quarantined
            | Self::PartQuarantined
            | Self::MalformedHead => 400,
            Self::ArrivalTimeout => 408,
            Self::TicketReused => 409,
            Self::BodyTooLarge(_) => 413,
            Self::TicketRequired => 428,
            Self::ShareUsedUp | Self::QueueFull => 429,
            Self::HeadTooLarge => 431,
            _ => 503,
        }
    }
}

/// End of a request without a complete response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{} ({reason})", outcome.as_str())]
pub struct Refusal {
    /// Whether the request certainly did not run or may have run.
    pub outcome: Outcome,
    /// Why it ended.
    pub reason: Reason,
    /// Time after which to retry; `None` if retrying the same request is of no use.
    pub retry_after: Option<Duration>,
    /// Ticket for the next attempt of a request that is not idempotent.
    pub ticket: Option<String>,
}

impl Refusal {
    /// Creates the refusal of a request that certainly did not run.
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after: None,
            ticket: None,
        }
    }

    /// Creates the end of a request that may have run.
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
            ticket: None,
        }
    }

    /// Sets the time after which to retry.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Adds a ticket for the next attempt.
    #[must_use]
    pub fn ticket(mut self, ticket: String) -> Self {
        self.ticket = Some(ticket);
        self
    }

    /// Returns the HTTP status.
    pub const fn status(&self) -> u16 {
        self.reason.status(self.outcome)
    }
}
