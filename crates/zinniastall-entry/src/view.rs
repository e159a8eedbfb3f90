//! State that traffic threads read: an immutable view, replaced as a whole.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use tokio::sync::watch;
use zinniastall_coord::retry::Share;
use zinniastall_model::{id, place::Place, state::State};
use zinniastall_route::locate::Candidate;
use zinniastall_wire::gossip;

use crate::{notices::Notices, quarantine::Quarantine, rates::Rates, reach::Reach};

/// Everything on which the handling of a request depends.
#[derive(Debug, Clone)]
pub struct View {
    /// This instance.
    pub instance: id::Instance,
    /// Incarnation of this instance.
    pub incarnation: id::Incarnation,
    /// Place of this instance.
    pub place: Place,
    /// Configuration in force; `None` until one that lists this instance has been found.
    pub state: Option<Arc<State>>,
    /// Whether the control group is reachable.
    pub connected: bool,
    /// Whether this instance accepts no new requests.
    pub draining: bool,
    /// Live entry instances, including this one, with what they say about themselves.
    pub peers: Arc<IndexMap<id::Instance, gossip::Peer>>,
    /// Targets of the zone that have a valid lease and are not leaving.
    pub targets: Arc<IndexMap<id::Target, Target>>,
    /// Capacities of other zones, the latest per place, subject and role.
    pub digests: Arc<Vec<Digest>>,
    /// Share of the fixed number of retries that this instance holds, if it holds one.
    pub retry_share: Option<Share>,
}

impl View {
    /// Creates a view without other instances and without a configuration.
    pub fn new(instance: id::Instance, incarnation: id::Incarnation, place: Place) -> Self {
        Self {
            instance,
            incarnation,
            place,
            state: None,
            connected: false,
            draining: false,
            peers: Arc::default(),
            targets: Arc::default(),
            digests: Arc::default(),
            retry_share: None,
        }
    }

    /// Returns the revision of the configuration in force, or 0 if there is none.
    pub fn revision(&self) -> id::Revision {
        self.state.as_ref().map_or(0, |state| state.revision)
    }

    /// Returns the live instances as candidates for [`zinniastall_route::locate::locate`].
    pub fn candidates(&self) -> Vec<Candidate> {
        let candidate = |peer: &gossip::Peer| Candidate {
            instance: peer.instance.clone(),
            place: peer.place.clone(),
            caller_address: peer.callers.clone(),
            load: peer.load,
            uptime: Duration::from_millis(peer.up_ms),
            draining: peer.draining,
        };
        self.peers.values().map(candidate).collect()
    }
}

/// A target and when this instance heard of it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Announcement of the target.
    pub report: gossip::Target,
    /// When the announcement arrived at this instance. The load in it is at least that old.
    pub heard: Instant,
    /// When the lease expires.
    pub until: Instant,
}

/// A digest and when it was created, on this instance's clock.
#[derive(Debug, Clone)]
pub struct Digest {
    /// The digest.
    pub report: gossip::Digest,
    /// When it was created, as derived from its age when it was sent.
    pub made: Instant,
}

/// The current view, published by the control arbiter and read by traffic threads.
#[derive(Debug, Clone)]
pub struct Shared {
    current: Arc<ArcSwap<View>>,
    load: Arc<AtomicU32>,
    revision: Arc<watch::Sender<id::Revision>>,
    quarantine: Quarantine,
    rates: Rates,
    notices: Notices,
    reach: Reach,
}

impl Shared {
    /// Creates the shared view with its first value.
    pub fn new(view: View) -> Self {
        let revision = Arc::new(watch::Sender::new(view.revision()));
        Self {
            current: Arc::new(ArcSwap::from_pointee(view)),
            load: Arc::default(),
            revision,
            quarantine: Quarantine::default(),
            rates: Rates::default(),
            notices: Notices::default(),
            reach: Reach::default(),
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.current.load_full()
    }

    /// Replaces the view.
    pub fn publish(&self, view: View) {
        let revision = view.revision();
        self.current.store(Arc::new(view));
        self.revision.send_if_modified(|held| {
            let newer = revision > *held;
            *held = revision.max(*held);
            newer
        });
    }

    /// Waits until the view has a configuration of at least this revision.
    pub async fn reach(&self, revision: id::Revision) {
        let mut held = self.revision.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = held.wait_for(|held| *held >= revision).await;
    }

    /// Returns the requests that are suspected of crashing targets.
    pub const fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the rates of targets, and the permits to send to those that take a limited one.
    pub const fn rates(&self) -> &Rates {
        &self.rates
    }

    /// Returns what targets ask of this instance in their answers.
    pub const fn notices(&self) -> &Notices {
        &self.notices
    }

    /// Returns the paths to the targets of the zone.
    pub const fn paths(&self) -> &Reach {
        &self.reach
    }

    /// Returns the load of this instance: requests in progress relative to its capacity, in
    /// thousandths.
    pub fn load(&self) -> u32 {
        self.load.load(Ordering::Relaxed)
    }

    /// Sets the load of this instance: requests in progress relative to its capacity, in
    /// thousandths.
    pub fn set_load(&self, load: u32) {
        self.load.store(load, Ordering::Relaxed);
    }
}
