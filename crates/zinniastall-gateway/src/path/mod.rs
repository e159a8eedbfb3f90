//! The request path: reads a request, matches its route, chooses a target, forwards the request and
//! returns the answer.

pub mod answer;
pub mod attempt;
mod capacity;
mod closings;
mod crash;
mod delivery;
mod departure;
mod division;
mod fair_share;
mod held;
pub mod job;
mod origin;
mod outgoing;
mod overflow;
mod pause;
pub mod placement;
mod rate;
pub mod reach;
pub mod responder;
mod resumption;
pub mod returns;
pub mod run;
mod runs;
pub mod segments;
pub mod serve;
mod transfer;
mod verify;

use std::{cell::RefCell, rc::Rc};

use tokio::sync::{Notify, watch};
use zinniastall_coord::{departure::Departures, pause::Pauses, quarantine::Probes, retry::Budgets};
use zinniastall_http::pool::Pool;
use zinniastall_model::fingerprint::Fingerprint;

use crate::{
    clock,
    decide::{fair_share::Shares, quota::Quotas, returns::Schedules, run_time::RunTimes},
    headers::Names,
    metrics::Metrics,
    neighbours::{
        Neighbours, claims::Claims, division::Divisions, overflow::Overflow, permits::Permits,
        rates::Rates, returns::Returns,
    },
    origins::Origins,
    policy::Policy,
    reach::Reach,
    request_log::Log,
    suspects::Suspects,
    tracker::Tracker,
    view::Shared,
};

use self::{
    closings::Closings, held::Held, resumption::Resumption, runs::Runs, serve::Connections,
};

/// Bytes that an answer may always take, so that one without end doesn't end the others.
const SMALL_ANSWER_BYTES: usize = 256 << 10;
/// Bytes that the body of a request may always take, so that long ones don't keep all others away.
const SMALL_BODY_BYTES: usize = 16 << 10;

/// The reverse proxy of one traffic thread.
#[derive(Debug)]
pub struct Proxy {
    /// Shared view of the rest of the system.
    pub state: Shared,
    /// Names of header fields.
    pub header_names: Names,
    /// Times and weights of the deployment.
    pub policy: Policy,
    /// Retry budgets, by service.
    pub retries: Budgets,
    /// Requests of this thread, by target and service.
    pub tracker: Rc<RefCell<Tracker>>,
    /// Load of the region's other instances at targets.
    pub neighbours: Rc<RefCell<Neighbours>>,
    /// Requests that those instances sent to targets within the last moments.
    pub claims: Rc<Claims>,
    /// Pauses that targets asked this instance for.
    pub pauses: RefCell<Pauses>,
    /// Targets that said that they leave.
    pub departures: Rc<RefCell<Departures>>,
    /// Rates of targets, and permits to send to those that take a limited one.
    pub rates: Rc<Rates>,
    /// Engines divided between long prompts and short streams.
    pub divisions: Rc<RefCell<Divisions>>,
    /// Paths to targets, and the neighbours that reach those that this instance doesn't.
    pub reach: Rc<Reach>,
    /// What began streams.
    pub origins: Rc<Origins>,
    /// Promises of room for rejected requests.
    pub returns: Rc<Returns>,
    /// Times at which rejected requests of this thread should return.
    schedules: RefCell<Schedules>,
    /// Use of client accounts' quotas.
    pub quotas: Rc<RefCell<Quotas>>,
    /// Tokens for requests to other regions.
    pub overflow: Rc<Overflow>,
    /// Shares of client accounts in scarce capacity.
    pub shares: RefCell<Shares>,
    /// Requests suspected of crashing targets.
    pub suspects: Rc<RefCell<Suspects>>,
    /// Permits to send requests with suspects.
    pub permits: Rc<Permits>,
    /// Suspects of which this thread has a request at a target.
    pub probes: RefCell<Probes<Fingerprint>>,
    /// Notified when the other instances have to be told of a suspect, or of a target that leaves.
    pub news: Rc<Notify>,
    /// Idle connections to targets and instances.
    pub pool: Pool,
    /// Connections to targets that ended with a request on them.
    closings: Closings,
    /// Answers that are held until they are whole.
    held: Held,
    /// Bodies of requests, which are held until the request has ended.
    bodies: Held,
    /// Connections to targets that tell whether their processes are the same.
    runs: Runs,
    /// Whether this instance has just started, or goes on after a suspension.
    resumption: Resumption,
    /// Connections of callers and instances.
    pub connections: Connections,
    /// How long requests of each route take.
    run_times: RefCell<RunTimes>,
    /// Whether requests in progress are ended, since this instance stops.
    is_ending: watch::Sender<bool>,
    /// Log of requests.
    pub request_log: Log,
    /// Counters and histograms.
    pub metrics: Metrics,
}

impl Proxy {
    /// Returns the bytes of answers that are held until they are whole.
    pub const fn held_bytes(&self) -> usize {
        self.held.bytes()
    }

    /// Returns the bytes of the bodies of all requests in progress.
    pub const fn body_bytes(&self) -> usize {
        self.bodies.bytes()
    }

    /// Notices a suspension of this instance. To be called several times a second.
    pub fn observe_time(&self) {
        self.resumption.observe(clock::now());
    }

    /// Ends all requests in progress with their final answers.
    pub fn end_requests(&self) {
        self.is_ending.send_replace(true);
    }

    /// Creates the proxy of a thread.
    pub fn new(state: Shared, header_names: Names, policy: Policy, metrics: Metrics) -> Self {
        Self {
            retries: Budgets::new(policy.retry_budget),
            tracker: Rc::default(),
            neighbours: Rc::default(),
            claims: Rc::default(),
            pauses: RefCell::default(),
            departures: Rc::default(),
            rates: Rc::default(),
            divisions: Rc::new(RefCell::new(Divisions::new(policy.rates, metrics.clone()))),
            reach: Rc::default(),
            origins: Rc::default(),
            returns: Rc::new(Returns::new(metrics.clone())),
            schedules: RefCell::default(),
            quotas: Rc::new(RefCell::new(Quotas::new(policy.quota))),
            overflow: Rc::new(Overflow::new(metrics.clone())),
            shares: RefCell::default(),
            suspects: Rc::default(),
            permits: Rc::default(),
            probes: RefCell::default(),
            news: Rc::default(),
            pool: Pool::default(),
            closings: Closings::default(),
            held: Held::new(policy.memory / 8, SMALL_ANSWER_BYTES).all(policy.memory / 16 * 3),
            bodies: Held::new(policy.memory / 2, SMALL_BODY_BYTES),
            runs: Runs::default(),
            resumption: Resumption::default(),
            connections: Connections::default(),
            run_times: RefCell::default(),
            is_ending: watch::Sender::new(false),
            request_log: Log::default(),
            metrics,
            state,
            header_names,
            policy,
        }
    }
}
