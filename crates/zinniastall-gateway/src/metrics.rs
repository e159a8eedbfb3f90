//! Counters, gauges and histograms of a gateway instance.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use indexmap::IndexSet;
use prometheus_client::encoding::EncodeLabelSet;
use zinniastall_coord::overflow::Amount;
use zinniastall_http::{body::Framing, ending::Ending};
use zinniastall_settings::scrape::{Builder, Counters, Gauge, Gauges, Histograms, Page};

use crate::{
    decide::capacity::Capacity,
    request_log::{End, thousandths},
};

/// Routes with a label of their own; all others share [`OTHER_LABEL`]. Operators add hundreds of
/// routes, and each label costs some kilobytes on every instance.
const MAX_ROUTE_LABELS: usize = 64;
/// Client accounts with a label of their own; all others share [`OTHER_LABEL`].
const MAX_ACCOUNT_LABELS: usize = 64;
/// Services with a label of their own; all others share [`OTHER_LABEL`].
const MAX_SERVICE_LABELS: usize = 64;
/// Targets of which the learned figures are shown.
const MAX_PACED_TARGETS: usize = 64;
/// Label shared by the routes, accounts and services beyond the limits.
const OTHER_LABEL: &str = "other";

/// Labels of finished requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: &'static str,
}

/// Labels of the latencies of a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

/// Labels of the units charged to a client account's quota.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnitLabels {
    account: String,
    outcome: &'static str,
}

/// Labels of requests rejected because their client account exceeds its share.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShareLabels {
    account: String,
}

/// Labels of events of requests that are suspected of crashing targets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SuspectLabels {
    event: &'static str,
}

/// Labels of permits to send to targets that take a limited rate.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PermitLabels {
    outcome: &'static str,
}

/// Labels of what targets say of the rate that they take.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LimitLabels {
    event: &'static str,
}

/// Labels of events of targets that ask this instance for a pause.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PauseLabels {
    event: &'static str,
}

/// Labels of targets that leave.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DepartureLabels {
    via: &'static str,
}

/// Labels of decisions on the division of engines, by event.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DivisionLabels {
    event: &'static str,
}

/// Labels of requests placed at divided engines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SideLabels {
    side: &'static str,
}

/// Labels of events of the paths to targets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PathLabels {
    event: &'static str,
}

/// Labels of requests that came while the configuration wasn't confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnconfirmedLabels {
    decision: &'static str,
}

/// Labels of requests that were handed to a neighbour.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DetourLabels {
    outcome: &'static str,
}

/// Labels of events of rejected requests' returns.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReturnLabels {
    event: &'static str,
}

/// Labels of requests that continue streams.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TakenUpLabels {
    outcome: &'static str,
}

/// Labels of requests that room in other regions was sought for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OverflowLabels {
    outcome: &'static str,
}

/// Labels of messages about room that were dropped.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OverflowDroppedLabels {
    reason: &'static str,
}

/// Labels of what a region can lend, needs, lends and borrows.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OverflowAmountLabels {
    region: String,
    service: String,
    kind: &'static str,
}

/// Labels of decisions on retries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    service: String,
    outcome: &'static str,
}

/// Labels of finished attempts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    outcome: &'static str,
}

/// Labels of ended answers of targets and other instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndingLabels {
    framing: &'static str,
    ending: &'static str,
}

/// Labels of what was learned of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PaceLabels {
    service: String,
    target: String,
}

/// Labels of what was learned of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Metrics of the parts of load control.
#[derive(Debug, Clone)]
struct LoadControl {
    shares: Counters<ShareLabels>,
    divisions: Counters<DivisionLabels>,
    sides: Counters<SideLabels>,
    divided: Gauge,
    long_targets: Gauge,
    returns: Counters<ReturnLabels>,
    promises: Gauge,
    overflow: Counters<OverflowLabels>,
    overflow_dropped: Counters<OverflowDroppedLabels>,
    overflow_requests: Gauges<OverflowAmountLabels>,
    overflow_work: Gauges<OverflowAmountLabels>,
    paces: Gauges<PaceLabels>,
    gaps: Gauges<PaceLabels>,
    service_paces: Gauges<ServiceLabels>,
    dropped_paces: Gauge,
}

impl LoadControl {
    fn register(page: &mut Builder) -> Self {
        Self {
            shares: page.counters(
                "shares_exceeded",
                "Requests rejected because their client account exceeds its share of scarce capacity",
            ),
            divisions: page.counters(
                "division_decisions",
                "Decisions of others on the division of engines, by event",
            ),
            sides: page.counters(
                "division_placements",
                "Choices of divided engines by side",
            ),
            divided: page.gauge("divided_services", "Services whose engines are divided"),
            long_targets: page.gauge("long_targets", "Engines that take long prompts"),
            returns: page.counters(
                "returns",
                "Rejected requests that were promised room, and what became of them",
            ),
            promises: page.gauge(
                "return_promises",
                "Promises of room for rejected requests that are held here",
            ),
            overflow: page.counters(
                "overflow",
                "Requests that room in other regions was sought for, by outcome",
            ),
            overflow_dropped: page.counters(
                "overflow_dropped",
                "Messages about room in other regions that were not used, by reason",
            ),
            overflow_requests: page.gauges(
                "overflow_requests_per_second",
                "Requests per second that a region can lend, needs, lends and borrows",
            ),
            overflow_work: page.gauges(
                "overflow_work_ms_per_second",
                "Prefill time per second that a region can lend, needs, lends and borrows",
            ),
            paces: page.gauges(
                "target_pace_thousandths",
                "Learned time of a target for a prefill, in thousandths of the nominal one",
            ),
            gaps: page.gauges(
                "target_gap_milliseconds",
                "High quantile of the time between events of a target's streams",
            ),
            service_paces: page.gauges(
                "service_pace_thousandths",
                "Learned time of a service for a prefill, in thousandths of the nominal one",
            ),
            dropped_paces: page.gauge(
                "dropped_paces",
                "Reports on the speed of targets that were dropped, as stale or not valid",
            ),
        }
    }
}

/// Metrics of one instance; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    page: Page,
    routes: Arc<Mutex<IndexSet<String>>>,
    accounts: Arc<Mutex<IndexSet<String>>>,
    services: Arc<Mutex<IndexSet<String>>>,
    requests: Counters<RequestLabels>,
    seconds: Histograms<RouteLabels>,
    first_seconds: Histograms<RouteLabels>,
    pause_seconds: Histograms<RouteLabels>,
    attempts: Counters<AttemptLabels>,
    retries: Counters<RetryLabels>,
    endings: Counters<EndingLabels>,
    units: Counters<UnitLabels>,
    suspects: Counters<SuspectLabels>,
    permits: Counters<PermitLabels>,
    limits: Counters<LimitLabels>,
    pauses: Counters<PauseLabels>,
    departures: Counters<DepartureLabels>,
    load_control: LoadControl,
    paths: Counters<PathLabels>,
    detours: Counters<DetourLabels>,
    unconfirmed: Counters<UnconfirmedLabels>,
    taken_up: Counters<TakenUpLabels>,
    unreached: Gauge,
    quarantined: Gauge,
    retry_shares: Gauge,
    limited: Gauge,
    paused: Gauge,
    revision: Gauge,
    configuration_age: Gauge,
    targets: Gauge,
    instances: Gauge,
    connections: Gauge,
    request_count: Arc<AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics that are all zero.
    pub fn new() -> Self {
        let mut page = Builder::new("zinniastall_gateway");
        Self {
            requests: page.counters("requests", "Requests by route and outcome"),
            seconds: page.histograms("request_seconds", "Time to the final answer"),
            first_seconds: page.histograms("first_seconds", "Time until the answer begins"),
            pause_seconds: page.histograms(
                "pause_seconds",
                "Longest time between two pieces of an answer",
            ),
            attempts: page.counters("attempts", "Attempts by outcome"),
            retries: page.counters("retries", "Decisions on retries by service and outcome"),
            endings: page.counters(
                "answer_endings",
                "Answers received, by their framing and by what is known of their end",
            ),
            units: page.counters(
                "quota_units",
                "Units of quotas by client account and outcome",
            ),
            suspects: page.counters(
                "suspects",
                "Requests at targets that crashed, and what became of them",
            ),
            permits: page.counters(
                "permits",
                "Permits to send to targets that take a limited rate, by outcome",
            ),
            limits: page.counters("target_limits", "Rates that targets named, by event"),
            pauses: page.counters(
                "target_pauses",
                "Pauses that targets asked this instance for, by event",
            ),
            departures: page.counters(
                "target_departures",
                "Targets that said in their answers that they leave",
            ),
            load_control: LoadControl::register(&mut page),
            paths: page.counters("paths", "Paths to targets, by event"),
            taken_up: page.counters(
                "taken_up",
                "Streams that callers or instances took up, by outcome",
            ),
            unconfirmed: page.counters(
                "unconfirmed",
                "Requests that came while the configuration wasn't confirmed, by decision",
            ),
            detours: page.counters(
                "detours",
                "Requests handed to a neighbour that reaches the targets, by outcome",
            ),
            unreached: page.gauge(
                "unreached_targets",
                "Targets that are not reached from here",
            ),
            limited: page.gauge("limited_targets", "Targets that name a rate"),
            paused: page.gauge(
                "paused_targets",
                "Targets that want no requests of this instance now",
            ),
            retry_shares: page.gauge(
                "retry_shares",
                "Instances that divide the fixed number of retries; 0 while this one holds no share",
            ),
            quarantined: page.gauge("quarantined", "Requests that are not run any more"),
            revision: page.gauge("revision", "Configuration in force"),
            configuration_age: page.gauge(
                "configuration_age_milliseconds",
                "Time since the configuration in force was the newest for certain",
            ),
            targets: page.gauge("targets", "Targets that take requests"),
            instances: page.gauge("instances", "Instances that take requests"),
            connections: page.gauge("connections", "Connections of callers"),
            page: page.build(),
            routes: Arc::default(),
            accounts: Arc::default(),
            services: Arc::default(),
            request_count: Arc::default(),
        }
    }

    /// Counts a finished request.
    pub fn count_request(&self, route: &str, end: &End<'_>) {
        let route = bounded_label(&self.routes, route, MAX_ROUTE_LABELS);
        self.request_count.fetch_add(1, Ordering::Relaxed);
        let route_labels = RouteLabels {
            route: route.clone(),
        };
        if let Some(first) = end.first_byte {
            let seconds = self.first_seconds.get_or_create(&route_labels);
            seconds.observe(first.as_secs_f64());
        }
        if !end.longest_gap.is_zero() {
            let seconds = self.pause_seconds.get_or_create(&route_labels);
            seconds.observe(end.longest_gap.as_secs_f64());
        }
        let seconds = self.seconds.get_or_create(&route_labels);
        seconds.observe(end.duration.as_secs_f64());
        let outcome = end.outcome;
        self.requests
            .get_or_create(&RequestLabels { route, outcome })
            .inc();
    }

    /// Counts a finished attempt.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts
            .get_or_create(&AttemptLabels { outcome })
            .inc();
    }

    /// Counts a decision on a retry of a request for a service: `granted`, or why it wasn't.
    pub fn count_retry(&self, service: &str, outcome: &'static str) {
        let retry_labels = RetryLabels {
            service: bounded_label(&self.services, service, MAX_SERVICE_LABELS),
            outcome,
        };
        self.retries.get_or_create(&retry_labels).inc();
    }

    /// Counts the end of an answer that was received.
    pub fn count_ending(&self, framing: Framing, ending: Ending) {
        let ending_labels = EndingLabels {
            framing: framing.as_str(),
            ending: ending.as_str(),
        };
        self.endings.get_or_create(&ending_labels).inc();
    }

    /// Counts units of a client account's quota for which a request was admitted or refused.
    pub fn count_units(&self, account: &str, units: u64, admitted: bool) {
        let unit_labels = UnitLabels {
            account: bounded_label(&self.accounts, account, MAX_ACCOUNT_LABELS),
            outcome: if admitted { "admitted" } else { "exceeded" },
        };
        self.units.get_or_create(&unit_labels).inc_by(units);
    }

    /// Counts a request that was rejected because its client account exceeds its share.
    pub fn count_share_exceeded(&self, account: &str) {
        let account = bounded_label(&self.accounts, account, MAX_ACCOUNT_LABELS);
        self.load_control
            .shares
            .get_or_create(&ShareLabels { account })
            .inc();
    }

    /// Counts an event of a request that is suspected of crashing targets: `crashed`, `cleared`,
    /// `quarantined` or `rejected`.
    pub fn count_suspect(&self, event: &'static str) {
        self.suspects.get_or_create(&SuspectLabels { event }).inc();
    }

    /// Counts a question for a permit: `granted`, `denied`, `unanswered` or `void`, which was not used
    /// in time.
    pub fn count_permit(&self, outcome: &'static str) {
        self.permits.get_or_create(&PermitLabels { outcome }).inc();
    }

    /// Counts what a target says of the rate that it takes: `lowered`, `raised` or `invalid`.
    pub fn count_limit(&self, event: &'static str) {
        self.limits.get_or_create(&LimitLabels { event }).inc();
    }

    /// Counts an event of a target that asks this instance for a pause: `asked`, `invalid`, or
    /// `withheld` for a request that was about to be sent to it.
    pub fn count_pause(&self, event: &'static str) {
        self.pauses.get_or_create(&PauseLabels { event }).inc();
    }

    /// Counts a target that said that it leaves; `via` tells where this instance learned it.
    pub fn count_departure(&self, via: &'static str) {
        self.departures
            .get_or_create(&DepartureLabels { via })
            .inc();
    }

    /// Counts a decision of another instance on the division of engines: `accepted`, `repeated`, `stale`
    /// or `invalid`.
    pub fn count_division(&self, event: &'static str) {
        let labels = DivisionLabels { event };
        self.load_control.divisions.get_or_create(&labels).inc();
    }

    /// Counts the choice of a divided engine: of the side `long` or `short`, or of the `other` one.
    pub fn count_side(&self, side: &'static str) {
        self.load_control
            .sides
            .get_or_create(&SideLabels { side })
            .inc();
    }

    /// Sets the numbers of services whose engines are divided, and of engines that take long prompts.
    pub fn set_divided(&self, services: usize, long_targets: usize) {
        self.load_control.divided.set(services as u64);
        self.load_control.long_targets.set(long_targets as u64);
    }

    /// Counts an event of a path to a target: `lost`, `back` or `probed`.
    pub fn count_path(&self, event: &'static str) {
        self.paths.get_or_create(&PathLabels { event }).inc();
    }

    /// Counts a request that was handed to a neighbour, by the outcome of the attempt.
    pub fn count_detour(&self, outcome: &'static str) {
        self.detours.get_or_create(&DetourLabels { outcome }).inc();
    }

    /// Counts a request that came while the configuration wasn't confirmed: `served-once` or
    /// `rejected`.
    pub fn count_unconfirmed(&self, decision: &'static str) {
        self.unconfirmed
            .get_or_create(&UnconfirmedLabels { decision })
            .inc();
    }

    /// Counts a stream that was taken up: `went-on`, or the reason why it couldn't.
    pub fn count_taken_up(&self, outcome: &'static str) {
        self.taken_up
            .get_or_create(&TakenUpLabels { outcome })
            .inc();
    }

    /// Counts an event of a rejected request's return: `promised`, `no-room`, `kept`, `broken`,
    /// `early`, `unknown`, `unanswered` or `invalid`.
    pub fn count_return(&self, event: &'static str) {
        self.load_control
            .returns
            .get_or_create(&ReturnLabels { event })
            .inc();
    }

    /// Sets the number of targets that want no requests of this instance now.
    pub fn set_paused(&self, targets: usize) {
        self.paused.set(targets as u64);
    }

    /// Sets the number of promises of room that this instance holds.
    pub fn set_return_promises(&self, promises: usize) {
        self.load_control.promises.set(promises as u64);
    }
    /// Counts a request that room in another region was sought for: `sent`, `no-token`, and then
    /// `served` or `rejected` there.
    pub fn count_overflow(&self, outcome: &'static str) {
        self.load_control
            .overflow
            .get_or_create(&OverflowLabels { outcome })
            .inc();
    }

    /// Counts a message about room in other regions that was not used, and why.
    pub fn count_overflow_dropped(&self, reason: &'static str) {
        self.load_control
            .overflow_dropped
            .get_or_create(&OverflowDroppedLabels { reason })
            .inc();
    }

    /// Sets an amount of a service and region: its `room`, `need`, or what is `lent` or `borrowed`.
    pub fn set_overflow(&self, region: &str, service: &str, kind: &'static str, amount: Amount) {
        let amount_labels = OverflowAmountLabels {
            region: region.to_owned(),
            service: bounded_label(&self.services, service, MAX_SERVICE_LABELS),
            kind,
        };
        let requests = self
            .load_control
            .overflow_requests
            .get_or_create(&amount_labels);
        requests.set(amount.requests / 1_000);
        let work = self
            .load_control
            .overflow_work
            .get_or_create(&amount_labels);
        work.set(amount.work / 1_000);
    }
    /// Shows what was learned of targets and services.
    pub fn set_paces(&self, capacity: &mut Capacity, now: Instant) {
        self.load_control.dropped_paces.set(capacity.dropped);
        self.load_control.service_paces.clear();
        for (service, pace) in capacity.services(now).take(MAX_SERVICE_LABELS) {
            let service = service.clone();
            let gauge = self
                .load_control
                .service_paces
                .get_or_create(&ServiceLabels { service });
            gauge.set(thousandths(pace));
        }
        self.load_control.paces.clear();
        self.load_control.gaps.clear();
        for (target, service, figures) in capacity.all(now).into_iter().take(MAX_PACED_TARGETS) {
            let labels = PaceLabels { service, target };
            let pace = self.load_control.paces.get_or_create(&labels);
            pace.set(thousandths(figures.pace));
            let gap = self.load_control.gaps.get_or_create(&labels);
            gap.set(thousandths(figures.high_gap.as_secs_f64()));
        }
    }

    /// Sets the number of targets that this instance does not reach.
    pub fn set_unreached(&self, targets: usize) {
        self.unreached.set(targets as u64);
    }

    /// Sets the number of targets that name a rate.
    pub fn set_limited(&self, targets: usize) {
        self.limited.set(targets as u64);
    }

    /// Sets the number of quarantined requests.
    pub fn set_quarantined(&self, requests: usize) {
        self.quarantined.set(requests as u64);
    }

    /// Sets the number of instances that divide the fixed number of retries; 0 while this one holds
    /// no share.
    pub fn set_retry_shares(&self, instances: u32) {
        self.retry_shares.set(u64::from(instances));
    }

    /// Sets the time since the configuration in force was the newest for certain; 0 if it was not
    /// confirmed yet.
    pub fn set_configuration_age(&self, age: Option<Duration>) {
        self.configuration_age
            .set(age.map_or(0, crate::request_log::millis));
    }

    /// Sets the revision in force and the numbers of ready targets and instances.
    pub fn set_known(&self, revision: u64, targets: usize, instances: usize) {
        self.revision.set(revision);
        self.targets.set(targets as u64);
        self.instances.set(instances as u64);
    }

    /// Sets the number of open connections.
    pub fn set_connections(&self, connections: usize) {
        self.connections.set(connections as u64);
    }

    /// Returns the number of requests counted so far.
    pub fn request_count(&self) -> u64 {
        self.request_count.load(Ordering::Relaxed)
    }

    /// Encodes all metrics as text.
    pub fn text(&self) -> String {
        self.page.text()
    }
}

/// Returns the name, or [`OTHER_LABEL`] if `max` other names have a label already.
fn bounded_label(names: &Mutex<IndexSet<String>>, name: &str, max: usize) -> String {
    // A panic during an insertion leaves the set valid, so a poisoned lock is no error.
    let mut names = names.lock().unwrap_or_else(PoisonError::into_inner);
    if names.contains(name) {
        return name.to_owned();
    }
    if names.len() >= max {
        return OTHER_LABEL.to_owned();
    }
    names.insert(name.to_owned());
    name.to_owned()
}
