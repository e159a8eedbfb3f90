//! Tickets of one incarnation of an instance.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use zinniastall_coord::ticket::{Address, Invalid, Issuer, Redemption, Registry, Ticket, Use};
use zinniastall_route::{
    outcome::{Outcome, Reason, Refusal},
    request::Request,
};

use super::Record;
use crate::{
    callers::{call::Call, settings::Tickets},
    view::View,
};

/// Retry hint when the table of used tickets is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How to handle a request with a ticket.
#[derive(Debug)]
pub enum Action {
    /// Run the request and record its response.
    Run(Arc<Record>),
    /// Read the recorded response of a request that is running or has run.
    Join(Arc<Record>),
    /// Forward the request to the issuer of the ticket, which decides.
    Issuer(Address),
}

/// Issues tickets and tracks which have been used, for one incarnation of an instance.
#[derive(Debug, Clone)]
pub struct Ledger {
    issuer: Arc<Issuer>,
    started: Instant,
    marks: Arc<Mutex<Registry<Arc<Record>>>>,
    settings: Arc<Tickets>,
}

impl Ledger {
    /// Creates an empty ledger with a random signing key.
    pub fn new(view: &View, settings: Tickets) -> Self {
        let address = Address::new(
            view.place.region.clone(),
            view.place.zone.clone(),
            view.instance.clone(),
            view.incarnation,
        );
        let issuer = Issuer::new(address, rand::random(), settings.validity);
        Self {
            issuer: Arc::new(issuer),
            started: Instant::now(),
            marks: Arc::new(Mutex::new(Registry::new(settings.marks))),
            settings: Arc::new(settings),
        }
    }

    /// Issues a ticket.
    pub fn issue(&self) -> String {
        self.issuer.issue(self.now(), rand::random())
    }

    /// Decides how to handle a non-idempotent request from a caller.
    ///
    /// # Errors
    ///
    /// Returns a refusal; a "not run" refusal carries a new ticket where that helps.
    pub fn admit(&self, call: &Call, draining: bool) -> Result<Action, Refusal> {
        let Some(text) = &call.request.ticket else {
            let refusal = Refusal::not_run(Reason::TicketRequired).retry_after(Duration::ZERO);
            return Err(refusal.ticket(self.issue()));
        };
        match self.issuer.check(text, self.now()) {
            Ok(ticket) => self.mark(&ticket.name, ticket.expiry, call, draining),
            Err(Invalid::OtherIssuer(address)) => Ok(Action::Issuer(*address)),
            Err(Invalid::Expired) => Err(Refusal::unknown(Reason::TicketExpired)),
            Err(Invalid::Malformed | Invalid::Forged) => {
                Err(Refusal::not_run(Reason::TicketInvalid))
            }
        }
    }

    /// Decides how to handle a non-idempotent request from another instance.
    ///
    /// Only the sender can verify a ticket that it issued, so it is trusted to have done so; the
    /// mark here still rejects a second arrival. A ticket of a third instance is refused, since a
    /// forwarded request is not forwarded again.
    ///
    /// # Errors
    ///
    /// See [`Ledger::admit`].
    pub fn admit_forwarded(
        &self,
        call: &Call,
        sender: &Address,
        draining: bool,
    ) -> Result<Action, Refusal> {
        match self.admit(call, draining)? {
            Action::Issuer(issuer) if issuer == *sender => {
                let text = call.request.ticket.as_deref().unwrap_or_default();
                let ticket = Ticket::parse(text);
                let ticket = ticket.map_err(|_| Refusal::not_run(Reason::TicketInvalid))?;
                // The expiry refers to the sender's clock. The sender has checked it, so from now
                // on the ticket is valid for at most one full validity period.
                let until = self.now() + self.issuer.validity();
                self.mark(&ticket.name, until, call, draining)
            }
            Action::Issuer(_) => Err(Refusal::unknown(Reason::IssuerGone)),
            action => Ok(action),
        }
    }

    /// Adjusts the refusal of a request that was rejected before its ticket was examined.
    ///
    /// "Not run" is certain only for the first arrival of a request. A retry can be rejected the
    /// same way, because its client was withdrawn, its residency rules were narrowed or its
    /// connection became slow. If told "not run", its caller would take a new ticket and the
    /// request would run twice. `sender` is the instance that forwarded the request; a ticket that
    /// it issued may have been used here.
    pub fn rejected_early(
        &self,
        refusal: Refusal,
        ticket: Option<&str>,
        sender: Option<&Address>,
    ) -> Refusal {
        let Some(ticket) = ticket else {
            return refusal;
        };
        let may_have_run = match self.issuer.check(ticket, self.now()) {
            Ok(ticket) => self.lock().contains(&ticket.name),
            Err(Invalid::OtherIssuer(issuer)) if sender == Some(&*issuer) => self.is_marked(ticket),
            Err(Invalid::OtherIssuer(_) | Invalid::Expired) => true,
            Err(Invalid::Malformed | Invalid::Forged) => false,
        };
        if may_have_run {
            return Refusal {
                outcome: Outcome::Unknown,
                ..refusal
            };
        }
        refusal
    }

    /// Returns whether a ticket of any issuer is marked as used here.
    fn is_marked(&self, text: &str) -> bool {
        Ticket::parse(text).is_ok_and(|ticket| self.lock().contains(&ticket.name))
    }

    /// Drops recorded responses of ended requests until the total size is within its limit.
    pub fn enforce_kept_limit(&self) {
        let marks = self.lock();
        let kept: usize = marks.records().filter_map(|record| record.kept()).sum();
        let mut surplus = kept.saturating_sub(self.settings.kept_bytes);
        for record in marks.records() {
            if surplus == 0 {
                break;
            }
            let bytes = record.kept().unwrap_or(0);
            if bytes > 0 {
                record.drop_answer();
                surplus = surplus.saturating_sub(bytes);
            }
        }
    }

    /// Returns whether unexpired tickets remain that a caller may still retry with.
    pub fn keeps_answers(&self) -> bool {
        let now = self.now();
        let mut marks = self.lock();
        marks.expire(now);
        !marks.is_empty()
    }

    fn mark(
        &self,
        name: &str,
        until: Duration,
        call: &Call,
        draining: bool,
    ) -> Result<Action, Refusal> {
        let limit = self.settings.answer_bytes;
        let mut marks = self.lock();
        // A draining instance never starts new runs, so "not run" remains true.
        if draining && !marks.contains(name) {
            return Err(Refusal::not_run(Reason::Draining));
        }
        let make = || Arc::new(Record::new(limit));
        let verdict = marks.redeem(name, usage(call), until, self.now(), make);
        match verdict {
            Redemption::First(record) => Ok(Action::Run(record)),
            Redemption::Repeated(record) => Ok(Action::Join(record)),
            Redemption::Mismatch => Err(Refusal::not_run(Reason::TicketReused)),
            Redemption::Full => {
                Err(Refusal::not_run(Reason::TooManyTickets).retry_after(FULL_RETRY_AFTER))
            }
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Registry<Arc<Record>>> {
        // A mark is inserted in a single step, so the table stays consistent after a panic
        // elsewhere.
        self.marks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns what identifies the use of a ticket: the client, the method, the path and the body.
fn usage(call: &Call) -> Use {
    let Request { client, .. } = &call.request;
    let mut hasher = blake3::Hasher::new();
    for field in [call.method.as_bytes(), call.path.as_bytes()] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.update(&call.body);
    Use {
        client: client.clone(),
        digest: *hasher.finalize().as_bytes(),
    }
}
