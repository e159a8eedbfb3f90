//! Immutable view that the request path decides on, replaced as a whole.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use zinniastall_coord::{rate::Limit, retry};
use zinniastall_model::{
    fingerprint::Suspect,
    id,
    place::Place,
    routing::{Number, Table},
    target::Report,
};
use zinniastall_wire::{
    hub::{Configuration, Versions},
    reach,
};

use crate::{
    clock,
    freshness::{Lease, Trust},
    index::{Instances, Loads, Targets},
    policy::LoadControl,
};

/// A target and what follows from its last report.
#[derive(Debug, Clone)]
pub struct Target {
    /// Last report of the target.
    pub report: Report,
    /// Time of the last report.
    pub heard_at: Instant,
    /// Time until which the target is cold.
    pub cold_until: Option<Instant>,
    /// Time at which the target leaves, if it said that it does.
    pub gone_at: Option<Instant>,
}

impl Target {
    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }
}

/// Everything that the request path knows of the rest of the system.
#[derive(Debug, Clone)]
pub struct View {
    /// Name of this instance.
    pub instance: id::Instance,
    /// Place in which this instance runs.
    pub place: Place,
    /// Configuration in force; `None` until one has been received.
    pub configuration: Option<Arc<Configuration>>,
    /// Configurations with tables that were replaced a short time ago, latest first.
    pub replaced: Vec<Arc<Configuration>>,
    /// Targets that accept requests.
    pub targets: Arc<Targets>,
    /// Gateway instances that are alive, including this one once the others know it.
    pub instances: Arc<Instances>,
    /// Load by service and region.
    pub loads: Arc<Loads>,
    /// Share of the fixed number of retries that this instance holds, if it holds one.
    pub retry_share: Option<retry::Share>,
    /// Parts of load control that apply.
    pub load_control: LoadControl,
}

impl View {
    /// Creates the view of an instance that has no information yet.
    pub fn new(instance: id::Instance, place: Place) -> Self {
        Self {
            instance,
            place,
            configuration: None,
            replaced: Vec::new(),
            targets: Arc::default(),
            instances: Arc::default(),
            loads: Arc::default(),
            retry_share: None,
            load_control: LoadControl::default(),
        }
    }

    /// Returns the routing table in force.
    pub fn table(&self) -> Option<&Table> {
        self.configuration.as_ref()?.table.as_ref()
    }

    /// Returns the configuration with a table that was replaced a short time ago.
    pub fn replaced_table(&self, number: Number) -> Option<&Arc<Configuration>> {
        let has_number = |table: &Table| table.number == number;
        let mut replaced = self.replaced.iter();
        replaced.find(|replaced| replaced.table.as_ref().is_some_and(has_number))
    }

    /// Returns the software versions by service; `None` if the control replicas don't keep them.
    pub fn versions(&self) -> Option<&Versions> {
        self.configuration.as_ref()?.versions.as_ref()
    }

    /// Returns the revision of the configuration in force; 0 for none.
    pub fn revision(&self) -> id::Revision {
        self.configuration.as_ref().map_or(0, |held| held.revision)
    }

    /// Returns whether the targets of a zone get no new requests.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let zones = self.configuration.as_ref().map(|held| &held.evacuated);
        zones.is_some_and(|zones| zones.iter().any(|evacuated| evacuated == zone))
    }
}

/// Period in which an instance drains.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    /// Time at which the drain began.
    pub since: Instant,
    /// Time at which the drain ends at the latest.
    pub end: Instant,
}

/// Time before the end of a drain by which all requests get their final answers, so that these are
/// written before the process ends.
const ANSWER_TIME: Duration = Duration::from_millis(150);

impl Drain {
    /// Returns the time at which requests that are still in progress are ended.
    pub fn last_answer(&self) -> Instant {
        let last = self.end.checked_sub(ANSWER_TIME);
        last.map_or(self.since, |last| last.max(self.since))
    }
}

/// Runs of targets that said in their answers that they leave.
pub type Departures = IndexMap<id::Target, id::Incarnation>;

/// Quarantined requests, exchanged between the traffic thread and the control thread.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Suspects that the control group holds.
    pub held: ArcSwap<Vec<Suspect>>,
    /// Suspects that the control group should hold and doesn't hold yet.
    pub missing: ArcSwap<Vec<Suspect>>,
}

/// State shared between the threads of an instance: the current view, the configuration's leases,
/// quarantined requests and the drain.
#[derive(Debug, Clone)]
pub struct Shared {
    view: Arc<ArcSwap<View>>,
    lease: Lease,
    keys_lease: Lease,
    suspects: Arc<Suspects>,
    limits: Arc<ArcSwap<Vec<(id::Target, Limit)>>>,
    departures: Arc<ArcSwap<Departures>>,
    unreached: Arc<ArcSwap<Option<reach::Report>>>,
    draining: Arc<OnceLock<Drain>>,
    /// When a control replica was last heard, in milliseconds of [`clock::now`]; 0 for never.
    heard_ms: Arc<AtomicU64>,
}

impl Shared {
    /// Creates shared state with a first view, whose configuration never expires.
    pub fn new(view: View) -> Self {
        Self {
            view: Arc::new(ArcSwap::from_pointee(view)),
            lease: Lease::new(None),
            keys_lease: Lease::new(None),
            suspects: Arc::default(),
            limits: Arc::default(),
            departures: Arc::default(),
            unreached: Arc::default(),
            draining: Arc::default(),
            heard_ms: Arc::default(),
        }
    }

    /// Sets the lease that limits how long a confirmed configuration may be relied on.
    #[must_use]
    pub fn with_lease(mut self, lease: Lease) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the lease that limits how long the accounts' keys may be relied on.
    #[must_use]
    pub fn with_keys_lease(mut self, lease: Lease) -> Self {
        self.keys_lease = lease;
        self
    }

    /// Returns the lease on the configuration.
    pub const fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the lease on the accounts' keys.
    pub const fn keys_lease(&self) -> &Lease {
        &self.keys_lease
    }

    /// Returns the quarantined requests, as the control group knows them.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns the rates that targets have named, which the control thread reports to operators.
    pub fn limits(&self) -> &ArcSwap<Vec<(id::Target, Limit)>> {
        &self.limits
    }

    /// Returns the runs of targets that said that they leave, which the control thread marks in the
    /// view.
    pub fn departures(&self) -> &ArcSwap<Departures> {
        &self.departures
    }

    /// Returns the targets that this instance does not reach, which the control thread reports to
    /// operators.
    pub fn unreached(&self) -> &ArcSwap<Option<reach::Report>> {
        &self.unreached
    }

    /// Returns whether the configuration of a view that is read after this call may be relied on
    /// now.
    pub fn trust(&self) -> Trust {
        self.lease.trust(clock::now())
    }

    /// Returns whether the accounts' keys in a view that is read after this call may be relied on now.
    pub fn keys_trust(&self) -> Trust {
        self.keys_lease.trust(clock::now())
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the current view.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Records that a control replica was heard.
    pub fn hear(&self, at: clock::Moment) {
        let millis = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        self.heard_ms.store(millis, Ordering::Relaxed);
    }

    /// Returns when a control replica was last heard; `None` for never.
    pub fn heard(&self) -> Option<clock::Moment> {
        let millis = self.heard_ms.load(Ordering::Relaxed);
        (millis > 0).then(|| Duration::from_millis(millis))
    }

    /// Records that the instance drains; only the first call has an effect.
    pub fn drain(&self, drain: Drain) {
        let _ = self.draining.set(drain);
    }

    /// Returns the period of the drain, if the instance drains.
    pub fn draining(&self) -> Option<Drain> {
        self.draining.get().copied()
    }

    /// Returns whether the instance drains.
    pub fn is_draining(&self) -> bool {
        self.draining.get().is_some()
    }

    /// Returns whether callers should connect to this instance.
    ///
    /// An instance whose configuration was never confirmed could serve no request that needs a key,
    /// so it is not ready if there are accounts. One with a stale confirmation remains ready: most
    /// likely the other instances have no newer one either.
    pub fn is_ready(&self) -> bool {
        let trust = self.keys_trust();
        let view = self.view.load();
        let is_useful = |table: &Table| table.accounts.is_none() || trust != Trust::Unconfirmed;
        !self.is_draining() && view.table().is_some_and(is_useful)
    }
}
