//! State shared by all traffic threads of an instance.

use std::{sync::Arc, time::Duration};

use tokio::sync::watch;
use zinniastall_route::outcome::{Outcome, Reason, Refusal};
use zinniastall_settings::metrics::Registry;

use super::{admission::Admission, progress::Progress, settings::Callers, ticket::Ledger};
use crate::{links::Identity, settings::Limits, view::Shared};

/// How often a shutdown checks whether it may end.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by all traffic threads of an instance.
#[derive(Debug, Clone)]
pub struct Service {
    /// Source of the current view.
    pub shared_view: Shared,
    /// Metrics.
    pub registry: Registry,
    /// Limits on what callers may send.
    pub limits: Arc<Limits>,
    /// Maximum gap between parts of a stream.
    pub stall_timeout: Duration,
    /// Maximum time that a forwarded request waits for its sender's configuration.
    pub max_revision_wait: Duration,
    /// Admission control and target selection.
    pub admission: Admission,
    /// Tickets for at-most-once execution.
    pub tickets: Ledger,
    /// Requests in progress.
    pub progress: Progress,
    /// Identity of this instance on links; without it, no request is forwarded.
    pub identity: Option<Identity>,
    linger: Duration,
    is_ending: Arc<watch::Sender<bool>>,
}

impl Service {
    /// Creates the shared state of an instance.
    pub fn new(
        shared_view: Shared,
        registry: Registry,
        limits: Limits,
        settings: &Callers,
    ) -> Self {
        let tickets = Ledger::new(&shared_view.view(), settings.tickets.clone());
        Self {
            admission: Admission::new(shared_view.clone(), Arc::clone(&settings.policy)),
            tickets,
            shared_view,
            registry,
            limits: Arc::new(limits),
            stall_timeout: settings.stall_timeout,
            max_revision_wait: settings.max_revision_wait,
            progress: Progress::default(),
            identity: None,
            linger: settings.tickets.linger,
            is_ending: Arc::default(),
        }
    }

    /// Enables forwarding under the given identity.
    #[must_use]
    pub fn identity(mut self, identity: Identity) -> Self {
        self.identity = Some(identity);
        self
    }

    /// Adds a new ticket to a "not run" refusal that carries none.
    pub fn with_ticket(&self, refusal: Refusal) -> Refusal {
        if refusal.outcome != Outcome::NotRun || refusal.ticket.is_some() {
            return refusal;
        }
        let ticket = self.tickets.issue();
        refusal.ticket(ticket)
    }

    /// Ends all requests in progress whose answers have not begun.
    pub fn end_requests(&self) {
        self.is_ending.send_replace(true);
    }

    /// Waits for the answer of a request, until requests in progress are ended.
    ///
    /// # Errors
    ///
    /// Returns the answer's refusal, or "unknown" if the request was ended.
    pub async fn until_requests_end<T>(
        &self,
        answer: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        let mut is_ending = self.is_ending.subscribe();
        tokio::select! {
            biased;
            answer = answer => answer,
            Ok(_) = is_ending.wait_for(|is_ending| *is_ending) => {
                Err(Refusal::unknown(Reason::Draining))
            }
        }
    }

    /// Waits until a draining instance can stop without interrupting a request.
    ///
    /// Requests in progress end first. Recorded responses are then kept for callers that lost
    /// theirs, until the tickets expire or the linger time has passed.
    pub async fn drained(&self) {
        while self.progress.count() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let lingering = async {
            while self.tickets.keeps_answers() {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // Whether the tickets expire or the linger time passes first makes no difference.
        let _ = tokio::time::timeout(self.linger, lingering).await;
    }
}
