//! What one traffic thread keeps.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use zinniastall_model::state::State;
use zinniastall_route::identify::Index;
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
}
