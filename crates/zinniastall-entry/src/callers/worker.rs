//! State of one traffic thread.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use zinniastall_coord::retry::{Denial, Grant};
use zinniastall_http::pool::Pool;
use zinniastall_model::{place::Place, state::State};
use zinniastall_route::{identify::Index, outcome::Reason, request::Request, residency};
use zinniastall_settings::metrics::Recorder;

use super::{Service, forward::Links};
use crate::view::View;

/// State of one traffic thread.
pub struct Worker {
    /// State shared by all traffic threads.
    pub service: Service,
    /// Idle connections to targets.
    pub connections: Pool,
    /// Links to other instances.
    pub links: Links,
    /// Histograms of this thread.
    pub recorder: Recorder,
    index: RefCell<Rc<Index>>,
}

impl std::fmt::Debug for Worker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Worker").finish_non_exhaustive()
    }
}

impl Worker {
    /// Creates the worker of the current thread.
    pub fn new(service: Service) -> Self {
        Self {
            connections: Pool::default(),
            links: Links::new(
                service.identity.clone(),
                service.shared_view.quarantine().clone(),
            ),
            recorder: service.registry.recorder(),
            service,
            index: RefCell::default(),
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.service.shared_view.view()
    }

    /// Returns the look-up index of a configuration; it is rebuilt once per revision.
    pub fn index(&self, state: &Arc<State>) -> Rc<Index> {
        let mut index = self.index.borrow_mut();
        if index.revision() != state.revision {
            *index = Rc::new(Index::new(state));
        }
        Rc::clone(&index)
    }

    /// Reserves a retry of a request in the budget.
    ///
    /// # Errors
    ///
    /// Returns the [`Denial`] if the budget is exhausted.
    pub fn retry(&self, request: &Request) -> Result<Grant, Denial> {
        let granted = self.service.admission.retry(request);
        match &granted {
            Ok(_) => self.recorder.count("retries.granted", 1),
            Err(denial) => {
                self.recorder.count("retries.denied", 1);
                tracing::info!(
                    event = "retry",
                    request = request.id,
                    subject = request.subject.name(),
                    outcome = denial.as_str(),
                    span_ms = denial.span.as_millis(),
                    requests = denial.requests,
                    retries = denial.retries,
                    allowed = denial.allowed,
                    instances = denial.instances,
                );
            }
        }
        granted
    }

    /// Validates a request against the current configuration before it is sent to a place.
    ///
    /// # Errors
    ///
    /// See [`residency::check_again`].
    pub fn check_again(&self, request: &Request, place: &Place) -> Result<(), Reason> {
        let view = self.view();
        let state = view.state.as_ref().ok_or(Reason::NotConfigured)?;
        residency::check_again(&self.index(state), request, place)
    }
}
