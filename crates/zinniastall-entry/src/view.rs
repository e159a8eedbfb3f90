//! What traffic threads know: an immutable view, replaced as a whole.

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
use zinniastall_model::{id, place::Place, state::State};
use zinniastall_route::locate::Candidate;
use zinniastall_wire::gossip;

/// Everything that a request's path decides on.
#[derive(Debug, Clone)]
pub struct View {
    /// This instance.
    pub instance: id::Instance,
    /// Its run.
    pub incarnation: id::Incarnation,
    /// Where it runs.
    pub place: Place,
    /// Configuration in force; `None` until one that lists this instance has been found.
    pub state: Option<Arc<State>>,
    /// Whether the control group is reachable.
    pub connected: bool,
    /// Whether this instance takes no new requests.
    pub draining: bool,
    /// Entry instances that are alive, this one included, with what they say of themselves.
    pub peers: Arc<IndexMap<id::Instance, gossip::Peer>>,
    /// The zone's targets whose lease runs and that are not leaving.
    pub targets: Arc<IndexMap<id::Target, Target>>,
    /// Capacity of other zones, newest per place, subject and role.
    pub digests: Arc<Vec<Digest>>,
}

impl View {
    /// Creates the view of a run that knows of nobody and has no configuration yet.
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
        }
    }

    /// Returns the revision of the configuration in force; 0 for none.
    pub fn revision(&self) -> id::Revision {
        self.state.as_ref().map_or(0, |state| state.revision)
    }

    /// Returns the live instances as [`zinniastall_route::locate::locate`] wants them.
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

/// A target and when this instance learned of it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its announcement.
    pub report: gossip::Target,
    /// When the announcement arrived at this instance; its load is as old as that at least.
    pub heard: Instant,
    /// When its lease runs out.
    pub until: Instant,
}

/// A digest and when it was made, on this instance's clock.
#[derive(Debug, Clone)]
pub struct Digest {
    /// The digest.
    pub report: gossip::Digest,
    /// When it was made, as far as its age when sent tells.
    pub made: Instant,
}

/// Where the control arbiter publishes and traffic threads read.
#[derive(Debug, Clone)]
pub struct Shared {
    current: Arc<ArcSwap<View>>,
    load: Arc<AtomicU32>,
    revision: Arc<watch::Sender<id::Revision>>,
}

impl Shared {
    /// Creates a board with a first view.
    pub fn new(view: View) -> Self {
        let revision = Arc::new(watch::Sender::new(view.revision()));
        Self {
            current: Arc::new(ArcSwap::from_pointee(view)),
            load: Arc::default(),
            revision,
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
        // The sender lives as long as this board, so the wait cannot fail.
        let _ = held.wait_for(|held| *held >= revision).await;
    }

    /// Returns this instance's requests in progress over what it can take, in thousandths.
    pub fn load(&self) -> u32 {
        self.load.load(Ordering::Relaxed)
    }

    /// Sets this instance's requests in progress over what it can take, in thousandths.
    pub fn set_load(&self, load: u32) {
        self.load.store(load, Ordering::Relaxed);
    }
}
