//! What one traffic thread keeps.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use zinniastall_model::{place::Place, state::State};
use zinniastall_route::{identify::Index, outcome::Reason, request::Request, residency};
use zinniastall_settings::metrics::Recorder;

use super::{Service, forward::Links, target::Clients};
use crate::view::View;

/// What one traffic thread keeps.
pub struct Worker {
    /// What all traffic threads share.
    pub service: Service,
    /// Connections to targets.
    pub client: Clients,
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
    /// Creates the worker of the calling thread.
    pub fn new(service: Service) -> Self {
        Self {
            client: Clients::default(),
            links: Links::new(service.identity.clone()),
            recorder: service.hub.recorder(),
            service,
            index: RefCell::default(),
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.service.board.view()
    }

    /// Returns a configuration arranged for look-ups; it is arranged once a revision.
    pub fn index(&self, state: &Arc<State>) -> Rc<Index> {
        let mut index = self.index.borrow_mut();
        if index.revision() != state.revision {
            *index = Rc::new(Index::new(state));
        }
        Rc::clone(&index)
    }

    /// Judges a request by the configuration in force now, before it is sent to a place.
    ///
    /// # Errors
    ///
    /// See [`residency::check_again`].
    pub fn check_again(&self, request: &Request, place: &Place) -> Result<(), Reason> {
        let view = self.view();
        let state = view.state.as_ref().ok_or(Reason::Unconfigured)?;
        residency::check_again(&self.index(state), request, place)
    }
}
