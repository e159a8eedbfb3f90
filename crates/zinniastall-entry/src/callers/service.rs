//! What all traffic threads of an instance share.

use std::{sync::Arc, time::Duration};

use zinniastall_route::outcome::{Outcome, Refusal};
use zinniastall_settings::metrics::Hub;

use super::{admission::Admission, progress::Progress, settings::Callers, ticket::Ledger};
use crate::{links::Identity, settings::Limits, view::Board};

/// How often a shutdown looks whether it may end.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What all traffic threads of an instance share.
#[derive(Debug, Clone)]
pub struct Service {
    /// Where the view is read.
    pub board: Board,
    /// Metrics.
    pub hub: Hub,
    /// Bounds on what callers may send.
    pub limits: Arc<Limits>,
    /// Longest silence within a stream.
    pub stall_timeout: Duration,
    /// Longest wait of a forwarded request for its sender's configuration.
    pub max_revision_wait: Duration,
    /// Admission and choice.
    pub admission: Admission,
    /// Work that runs at most once.
    pub tickets: Ledger,
    /// Requests in progress.
    pub progress: Progress,
    /// Who this instance is on links; without it nothing is forwarded.
    pub identity: Option<Identity>,
    linger: Duration,
}

impl Service {
    /// Creates the service of an instance.
    pub fn new(board: Board, hub: Hub, limits: Limits, settings: &Callers) -> Self {
        let tickets = Ledger::new(&board.view(), settings.tickets.clone());
        Self {
            admission: Admission::new(board.clone(), Arc::clone(&settings.policy)),
            tickets,
            board,
            hub,
            limits: Arc::new(limits),
            stall_timeout: settings.stall_timeout,
            max_revision_wait: settings.max_revision_wait,
            progress: Progress::default(),
            identity: None,
            linger: settings.tickets.linger,
        }
    }

    /// Lets the instance forward requests under an identity.
    #[must_use]
    pub fn identity(mut self, identity: Identity) -> Self {
        self.identity = Some(identity);
        self
    }

    /// Adds a fresh ticket to a refusal that says "not run".
    pub fn with_ticket(&self, refusal: Refusal) -> Refusal {
        if refusal.outcome != Outcome::NotRun || refusal.ticket.is_some() {
            return refusal;
        }
        let ticket = self.tickets.issue();
        refusal.ticket(ticket)
    }

    /// Waits, after the view says that the instance drains, until nothing is cut by its end.
    ///
    /// Requests in progress end first. Then recorded answers are kept for callers whose answer was
    /// lost, until their tickets expire or the time set for it has passed.
    pub async fn drained(&self) {
        while self.progress.count() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let lingering = async {
            while self.tickets.keeps_answers() {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // Both ends are as they should be.
        let _ = tokio::time::timeout(self.linger, lingering).await;
    }
}
