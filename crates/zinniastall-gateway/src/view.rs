//! What the request path decides on: an immutable view, replaced as a whole.

use std::{
    sync::{Arc, OnceLock},
    time::Instant,
};

use arc_swap::ArcSwap;
use zinniastall_model::{fingerprint::Suspect, id, place::Place, routing::Table, target::Report};
use zinniastall_wire::hub::Configuration;

use crate::{
    clock,
    freshness::{Lease, Trust},
    index::{Instances, Loads, Targets},
};

/// A target and what follows from its last report.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its last report.
    pub report: Report,
    /// When it said so.
    pub heard_at: Instant,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// When it will be gone, if it said so.
    pub gone_at: Option<Instant>,
}

/// Everything that the request path knows of the rest of the system.
#[derive(Debug, Clone)]
pub struct View {
    /// This instance.
    pub instance: id::Instance,
    /// Where it runs.
    pub place: Place,
    /// Configuration in force; `None` until one has been received.
    pub configuration: Option<Arc<Configuration>>,
    /// Targets that take requests.
    pub targets: Arc<Targets>,
    /// Gateway instances that are alive, this one included once it is known to the others.
    pub instances: Arc<Instances>,
    /// Load of all instances of each region.
    pub loads: Arc<Loads>,
}

impl View {
    /// Creates the view of an instance that knows nothing yet.
    pub fn new(instance: id::Instance, place: Place) -> Self {
        Self {
            instance,
            place,
            configuration: None,
            targets: Arc::default(),
            instances: Arc::default(),
            loads: Arc::default(),
        }
    }

    /// Returns the routing table in force.
    pub fn table(&self) -> Option<&Table> {
        self.configuration.as_ref()?.table.as_ref()
    }

    /// Returns the revision of the configuration in force; 0 for none.
    pub fn revision(&self) -> id::Revision {
        self.configuration.as_ref().map_or(0, |held| held.revision)
    }

    /// Tells whether the targets of a zone get no new requests.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let zones = self.configuration.as_ref().map(|held| &held.evacuated);
        zones.is_some_and(|zones| zones.iter().any(|evacuated| evacuated == zone))
    }
}

/// The time in which an instance ends.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    /// When it was told to.
    pub since: Instant,
    /// When it ends.
    pub end: Instant,
}

/// Requests that aren't run any more, between the thread that finds them out and the one that talks to control.
#[derive(Debug, Default)]
pub struct Suspects {
    /// What the control group holds.
    pub held: ArcSwap<Vec<Suspect>>,
    /// What it has to hold and doesn't yet.
    pub missing: ArcSwap<Vec<Suspect>>,
}

/// Where knowledge is published and the request path reads it.
#[derive(Debug, Clone)]
pub struct Shared {
    view: Arc<ArcSwap<View>>,
    lease: Lease,
    suspects: Arc<Suspects>,
    draining: Arc<OnceLock<Drain>>,
}

impl Shared {
    /// Creates a board with a first view, whose configuration is relied on for good.
    pub fn new(view: View) -> Self {
        Self {
            view: Arc::new(ArcSwap::from_pointee(view)),
            lease: Lease::new(None),
            suspects: Arc::default(),
            draining: Arc::default(),
        }
    }

    /// Sets for how long a confirmed configuration is relied on.
    #[must_use]
    pub fn with_lease(mut self, lease: Lease) -> Self {
        self.lease = lease;
        self
    }

    /// Returns the time up to which the configuration is relied on.
    pub const fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the requests that aren't run any more, as the control group knows them.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Tells whether the configuration of a view that is read after this call may be relied on now.
    pub fn trust(&self) -> Trust {
        self.lease.trust(clock::now())
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Notes that the instance drains; the first word counts.
    pub fn drain(&self, drain: Drain) {
        let _ = self.draining.set(drain);
    }

    /// Returns since when the instance drains, if it does.
    pub fn draining(&self) -> Option<Drain> {
        self.draining.get().copied()
    }

    /// Tells whether the instance drains.
    pub fn is_draining(&self) -> bool {
        self.draining.get().is_some()
    }

    /// Tells whether callers should be sent here.
    ///
    /// One that has not been confirmed yet could serve none of the requests that need a key. Later on it is of
    /// use also with an old confirmation: most likely, others have none that is newer.
    pub fn is_ready(&self) -> bool {
        let trust = self.trust();
        let view = self.view.load();
        let is_useful = |table: &Table| table.accounts.is_none() || trust != Trust::Unconfirmed;
        !self.is_draining() && view.table().is_some_and(is_useful)
    }
}
