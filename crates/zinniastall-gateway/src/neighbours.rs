//! Exchange of datagrams between the instances of the system: requests in flight at each target,
//! use of quotas, rates that targets name, permits to send to these, requests suspected of crashing
//! targets, the versions that began streams, and the targets that an instance does not reach.
//!
//! Instances that share targets have to know each other's requests when they place their own. By
//! way of the control replicas that information is a sum over all targets and half a second old, so
//! in a burst all instances would choose the same target. Load reports by target, sent ten times a
//! second, prevent this.
//!
//! In a small region each instance sends its load report to all others. In a large region the
//! traffic would grow with the square of the number of instances, so reports go to two collectors
//! in the zone ([`collector`]), and the first live one returns the sum over the region. Each
//! instance thus sends and receives as many datagrams in a region of hundreds as in a region of
//! ten.

pub mod beliefs;
pub mod claims;
pub mod collector;
pub mod coordinator;
pub mod datagram;
pub mod departures;
pub mod division;
mod flood;
pub mod limits;
pub mod overflow;
pub mod paces;
pub mod permits;
pub(crate) mod queries;
pub mod rates;
pub mod reach;
mod reports;
pub mod returns;
pub mod suspicions;
pub mod usage;

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use tokio::{net::UdpSocket, sync::Notify, time};
use zinniastall_coord::{departure::Departures, rate::ColdStart, reach::QUESTION_INTERVAL};
use zinniastall_model::{id, presence::Presence};
use zinniastall_wire::rates::Loan;

use self::{
    claims::Claims,
    collector::Roster,
    datagram::{Datagram, Key, MAX_DATAGRAM_BYTES, Part, Round, key, parts},
    division::Divisions,
    overflow::Overflow,
    permits::Permits,
    rates::Rates,
    reports::{Reports, add},
    returns::Returns,
    usage::Exchange,
};
use crate::{
    decide::quota::{self, Quotas},
    origins::Origins,
    policy::Policy,
    reach::Reach,
    suspects::Suspects,
    tracker::Tracker,
    view::{Shared, Target, View},
};

/// Interval of load reports while requests are in flight.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Age at which a load report expires: several datagrams were lost, or its sender is gone.
const REPORT_TTL: Duration = Duration::from_millis(600);
/// Age at which a region's sum expires. Without any sum all instances would choose the same target,
/// so this is long enough to learn that both collectors are gone and which instances replace them.
const SUM_TTL: Duration = Duration::from_secs(3);
/// Time for which news of suspects and rates is collected. All connections to a target that crashes
/// break within this time.
const NEWS_BATCH_DELAY: Duration = Duration::from_millis(10);
/// Silence of the first collector after which the second one takes over.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Own load reports that are kept, to be subtracted from the sums that include them.
const MAX_OWN_REPORTS: usize = 16;

/// Load of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: u32,
    /// Expected time to read the prompts of requests whose answers have not begun, in microseconds.
    pub reading_us: u64,
}

impl Load {
    /// Returns the sum of two loads.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            in_flight: self.in_flight.saturating_add(other.in_flight),
            reading_us: self.reading_us.saturating_add(other.reading_us),
        }
    }
}

/// Loads by target.
pub type Loads = IndexMap<Key, Load>;

/// A datagram and its recipients.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Names of the receiving instances.
    pub to: Vec<id::Instance>,
    /// The datagram.
    pub datagram: Datagram,
}

/// Sum of the loads of all instances of the region.
#[derive(Debug)]
struct RegionSum {
    round: Round,
    /// Round of the own report that the sum includes; 0 for none.
    included: Round,
    since: Instant,
    loads: Loads,
}

/// Loads that the neighbours reported, and the state of this instance's own reports.
#[derive(Debug, Default)]
pub struct Neighbours {
    /// Reports of single instances: of all instances in a small region, and otherwise of the zone
    /// that this instance collects for.
    reports: Reports<id::Instance>,
    /// Sums of the region's other zones, if this instance is a collector.
    zones: Reports<id::Zone>,
    sum: Option<RegionSum>,
    /// When the last sum from a collector arrived.
    last_sum_at: Option<Instant>,
    own: IndexMap<Round, Loads>,
    round: Round,
    was_busy: bool,
    was_region_busy: bool,
}

impl Neighbours {
    /// Returns the load of all neighbours at a target.
    pub fn load_at(&self, target: &str, now: Instant) -> Load {
        let key = key(target);
        let fresh = |sum: &&RegionSum| now.saturating_duration_since(sum.since) < SUM_TTL;
        let Some(sum) = self.sum.as_ref().filter(fresh) else {
            return self.reports.load_at(key, now, REPORT_TTL);
        };
        let held = sum.loads.get(&key).copied().unwrap_or_default();
        let own = self.own.get(&sum.included);
        let own = own.and_then(|loads| loads.get(&key)).copied();
        let own = own.unwrap_or_default();
        Load {
            in_flight: held.in_flight.saturating_sub(own.in_flight),
            reading_us: held.reading_us.saturating_sub(own.reading_us),
        }
    }

    /// Merges a load datagram; ignores other datagrams.
    pub fn receive(&mut self, datagram: Datagram, now: Instant) {
        match datagram {
            Datagram::Report { instance, part } => self.reports.receive(instance, &part, now),
            Datagram::Zone { zone, part } => self.zones.receive(zone, &part, now),
            Datagram::Region { included, part } => self.receive_sum(included, &part, now),
            _ => {}
        }
    }

    fn receive_sum(&mut self, included: Round, part: &Part, now: Instant) {
        let new = RegionSum {
            round: part.round,
            included,
            since: now,
            loads: Loads::default(),
        };
        let sum = self.sum.get_or_insert_with(|| RegionSum { ..new });
        if sum.round != part.round {
            sum.loads.clear();
        }
        (sum.round, sum.included, sum.since) = (part.round, included, now);
        sum.loads.extend(part.loads());
        self.last_sum_at = Some(now);
    }

    /// Starts a round with the current load of this instance; returns the datagrams to send.
    ///
    /// Nothing is sent while no requests are in flight, except for one empty report after the last
    /// one ends.
    pub fn round(&mut self, roster: &Roster, own: Loads, now: Instant) -> Vec<Outgoing> {
        self.round = self.round.wrapping_add(1).max(1);
        let is_busy = !own.is_empty();
        let mut outgoing = Vec::new();
        if is_busy || self.was_busy {
            outgoing.extend(self.report(roster, &own));
        }
        self.was_busy = is_busy;
        if roster.is_small() {
            self.sum = None;
            return outgoing;
        }
        if roster.is_collector() {
            self.reports
                .insert(roster.instance(), self.round, own.clone(), now);
            outgoing.extend(self.collect(roster, now));
        }
        self.own.insert(self.round, own);
        let surplus = self.own.len().saturating_sub(MAX_OWN_REPORTS);
        self.own.drain(..surplus);
        outgoing
    }

    fn report(&self, roster: &Roster, own: &Loads) -> Vec<Outgoing> {
        let to = roster.report_recipients();
        let report = |part| Outgoing {
            to: to.clone(),
            datagram: Datagram::Report {
                instance: roster.instance().clone(),
                part,
            },
        };
        parts(self.round, own).into_iter().map(report).collect()
    }

    /// Sums the reports of the zone; returns the zone's sum for the collectors of other zones and
    /// the region's sum for the instances of this zone.
    fn collect(&mut self, roster: &Roster, now: Instant) -> Vec<Outgoing> {
        self.reports.expire(now, REPORT_TTL);
        self.zones.expire(now, REPORT_TTL);
        let is_silent =
            |last_sum_at| now.saturating_duration_since(last_sum_at) >= TAKEOVER_TIMEOUT;
        if !roster.is_first_collector() && !self.last_sum_at.is_none_or(is_silent) {
            return Vec::new();
        }
        let zone = self.reports.sum();
        let mut region = zone.clone();
        add(&mut region, &self.zones.sum());
        // An empty sum is sent once, when the last request in the region has ended.
        let was_busy = std::mem::replace(&mut self.was_region_busy, !region.is_empty());
        if region.is_empty() && !was_busy {
            return Vec::new();
        }
        let mut outgoing = self.zone_messages(roster, &zone);
        outgoing.extend(self.region_messages(roster, &region));
        self.sum = Some(RegionSum {
            round: self.round,
            included: self.round,
            since: now,
            loads: region,
        });
        outgoing
    }

    fn zone_messages(&self, roster: &Roster, zone: &Loads) -> Vec<Outgoing> {
        let message = |part| Outgoing {
            to: roster.region_collectors().to_vec(),
            datagram: Datagram::Zone {
                zone: roster.zone().clone(),
                part,
            },
        };
        parts(self.round, zone).into_iter().map(message).collect()
    }

    fn region_messages(&self, roster: &Roster, region: &Loads) -> Vec<Outgoing> {
        let parts = parts(self.round, region);
        let mut outgoing = Vec::new();
        for instance in roster.zone_members() {
            let included = self.reports.round(instance);
            let message = |part: &Part| Outgoing {
                to: vec![instance.clone()],
                datagram: Datagram::Region {
                    included,
                    part: part.clone(),
                },
            };
            outgoing.extend(parts.iter().map(message));
        }
        outgoing
    }
}

/// State that the exchange with other instances reads and updates.
#[derive(Debug)]
pub struct Context {
    /// State shared between the threads.
    pub state: Shared,
    /// Requests in flight at targets.
    pub tracker: Rc<RefCell<Tracker>>,
    /// Loads that the neighbours reported.
    pub neighbours: Rc<RefCell<Neighbours>>,
    /// Recent claims of targets.
    pub claims: Rc<Claims>,
    /// Rates of targets.
    pub rates: Rc<Rates>,
    /// Targets that said that they leave.
    pub departures: Rc<RefCell<Departures>>,
    /// Engines divided between long prompts and short streams.
    pub divisions: Rc<RefCell<Divisions>>,
    /// Paths to targets.
    pub reach: Rc<Reach>,
    /// What began streams.
    pub origins: Rc<Origins>,
    /// Use of client accounts' quotas.
    pub quotas: Rc<RefCell<Quotas>>,
    /// Promises of room for rejected requests.
    pub returns: Rc<Returns>,
    /// Requests suspected of crashing targets.
    pub suspects: Rc<RefCell<Suspects>>,
    /// Permits to send requests with suspects.
    pub permits: Rc<Permits>,
    /// Notified when there is news of suspects, or of targets that leave, to send.
    pub news: Rc<Notify>,
    /// Tokens and need of this instance, for the exchange of room between regions.
    pub overflow: Rc<Overflow>,
    /// Timings and limits of the deployment.
    pub policy: Policy,
}

impl Context {
    /// Applies a datagram; returns the answers to its sender.
    fn receive(
        &self,
        roster: &Roster,
        exchanges: &mut Exchanges,
        (sender, datagram): (SocketAddr, Datagram),
        now: Instant,
    ) -> Vec<Datagram> {
        match datagram {
            // An instance that drains leaves the requests of its neighbours to the others.
            Datagram::PathQuestion(_) if self.state.is_draining() => Vec::new(),
            Datagram::PathQuestion(part) => {
                let answer = reach::answer(&self.reach, roster, &part, now);
                answer.into_iter().collect()
            }
            Datagram::PathAnswer(part) => {
                exchanges.reach.receive(&self.reach, roster, &part, now);
                Vec::new()
            }
            Datagram::Claim {
                number,
                target,
                reading_ms,
            } => vec![self.claims.receive_claim(number, target, reading_ms, now)],
            Datagram::Claimed { number, .. } => {
                self.claims.receive_answer(number, datagram);
                Vec::new()
            }
            Datagram::Loan(_)
            | Datagram::Lent { .. }
            | Datagram::Demand(_)
            | Datagram::Verdict(_)
            | Datagram::Ended { .. }
            | Datagram::BeliefQuestion { .. }
            | Datagram::BeliefAnswer { .. }
            | Datagram::Limits { .. }
            | Datagram::LimitsRequest
            | Datagram::LimitSum { .. } => self.receive_rate(roster, (sender, datagram), now),
            Datagram::Origins(records) => {
                self.origins.receive(&records, now);
                Vec::new()
            }
            Datagram::OriginQuestion { number, key } => vec![self.origins.answer(number, &key)],
            Datagram::OriginAnswer { number, .. } => {
                self.origins.receive_answer(number, datagram);
                Vec::new()
            }
            Datagram::Departures { for_all, part } => {
                self.receive_departures(roster, &part, for_all);
                Vec::new()
            }
            Datagram::DepartureSum { digest, is_answer } => {
                departures::answers(roster, &self.departures.borrow(), digest, is_answer)
            }
            Datagram::Used { .. } | Datagram::ZoneUsed { .. } | Datagram::AllUsed { .. } => {
                if exchanges.usage.receive(datagram, now) {
                    let totals = exchanges.usage.totals().clone();
                    self.quotas.borrow_mut().update_totals(totals, now);
                }
                Vec::new()
            }
            Datagram::PermitQuestion(question) => {
                let permits = &self.permits;
                let answer = permits.receive(&self.state, &self.suspects, sender, question);
                answer.into_iter().collect()
            }
            Datagram::PermitAnswer { number, .. } => {
                self.permits.receive_answer(number, datagram);
                Vec::new()
            }
            Datagram::Suspects { for_all, part } => {
                self.receive_suspects(roster, &part, for_all);
                Vec::new()
            }
            Datagram::SuspectSum { digest, is_answer } => {
                suspicions::answers(roster, &self.suspects.borrow(), digest, is_answer)
            }
            Datagram::Division(_)
            | Datagram::ReturnPromise(_)
            | Datagram::ReturnQuestion { .. }
            | Datagram::ReturnAnswer { .. }
            | Datagram::RegionRoom(_)
            | Datagram::RegionNeed(_)
            | Datagram::RegionGrant(_)
            | Datagram::Paces { .. }
            | Datagram::RegionPaces { .. } => {
                self.receive_load_control(roster, exchanges, (sender, datagram), now)
            }
            Datagram::Report { .. } | Datagram::Zone { .. } | Datagram::Region { .. } => {
                self.neighbours.borrow_mut().receive(datagram, now);
                Vec::new()
            }
        }
    }

    /// Applies a datagram about rates, permits or beliefs; returns the answers to its sender.
    fn receive_rate(
        &self,
        roster: &Roster,
        (sender, datagram): (SocketAddr, Datagram),
        now: Instant,
    ) -> Vec<Datagram> {
        match datagram {
            Datagram::Loan(loan) => self.receive_loan(sender, &loan, now),
            Datagram::Lent { number, .. } => {
                self.rates.receive_answer(number, datagram);
                Vec::new()
            }
            Datagram::Demand(demand) => {
                vec![self.rates.receive_demand(&self.state, sender, &demand, now)]
            }
            Datagram::Verdict(ref verdict) => {
                let number = verdict.number;
                self.rates.receive_answer(number, datagram);
                Vec::new()
            }
            Datagram::Ended { for_all, part } => {
                self.receive_ends(roster, &part, for_all, now);
                Vec::new()
            }
            Datagram::BeliefQuestion { number, target } => {
                let opinion = self.rates.opinion(&self.state, &target, now);
                vec![Datagram::BeliefAnswer { number, opinion }]
            }
            Datagram::BeliefAnswer { number, .. } => {
                self.rates
                    .beliefs()
                    .queries()
                    .receive_answer(number, datagram);
                Vec::new()
            }
            Datagram::Limits { for_all, part } => {
                self.receive_limits(roster, &part, for_all);
                Vec::new()
            }
            Datagram::LimitsRequest => limits::all(&self.rates.limits().borrow()),
            Datagram::LimitSum { digest, is_answer } => {
                if is_answer {
                    self.rates.check_introduction(digest);
                }
                limits::answers(roster, &self.rates.limits().borrow(), digest, is_answer)
            }
            _ => Vec::new(),
        }
    }

    /// Lends a slot of a target, or takes it back; returns the answer, if there is one.
    fn receive_loan(&self, sender: SocketAddr, loan: &Loan, now: Instant) -> Vec<Datagram> {
        let (neighbours, tracker) = (&self.neighbours, &self.tracker);
        let known = || {
            let others = neighbours.borrow().load_at(&loan.target, now);
            let own = tracker.borrow().in_flight(&loan.target);
            others.in_flight.saturating_add(own)
        };
        let answer = self
            .rates
            .receive_loan(&self.state, sender, loan, known, now);
        answer.into_iter().collect()
    }

    /// Applies a datagram of a part of load control; returns the answers to its sender.
    fn receive_load_control(
        &self,
        roster: &Roster,
        exchanges: &mut Exchanges,
        (sender, datagram): (SocketAddr, Datagram),
        now: Instant,
    ) -> Vec<Datagram> {
        match datagram {
            Datagram::Division(part) => {
                let mut divisions = self.divisions.borrow_mut();
                divisions.receive(roster, &self.state.view(), &part, now);
                Vec::new()
            }
            Datagram::ReturnPromise(_)
            | Datagram::ReturnQuestion { .. }
            | Datagram::ReturnAnswer { .. } => {
                let answer = self.returns.receive(&self.state, sender, datagram, now);
                answer.into_iter().collect()
            }
            Datagram::RegionRoom(_) | Datagram::RegionNeed(_) | Datagram::RegionGrant(_) => {
                let view = self.state.view();
                let inputs = self.overflow_inputs(&view);
                exchanges.overflow.receive(&inputs, sender, datagram, now);
                Vec::new()
            }
            Datagram::Paces { .. } | Datagram::RegionPaces { .. } => {
                let view = self.state.view();
                let capacity = &mut self.tracker.borrow_mut().capacity;
                let dropped = exchanges
                    .paces
                    .receive(datagram, roster, &view, capacity, now);
                capacity.dropped += dropped;
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn overflow_inputs<'a>(&'a self, view: &'a View) -> overflow::Inputs<'a> {
        overflow::Inputs {
            view,
            tracker: &self.tracker,
            neighbours: &self.neighbours,
            rates: &self.rates,
            reach: &self.reach,
            policy: &self.policy,
            overflow: &self.overflow,
        }
    }

    /// Merges suspicions that another instance sent.
    fn receive_suspects(&self, roster: &Roster, part: &suspicions::Part, for_all: bool) {
        let mut suspects = self.suspects.borrow_mut();
        let now = Instant::now();
        for request in suspicions::receive(roster, &mut suspects, part, for_all, now) {
            tracing::warn!(event = "quarantine-heard", fingerprint = %request);
        }
        if suspects.has_news() {
            self.news.notify_one();
        }
    }

    /// Merges rates that another instance sent.
    fn receive_limits(&self, roster: &Roster, part: &limits::Part, for_all: bool) {
        let mut known = self.rates.limits().borrow_mut();
        let view = self.state.view();
        let is_known = |target: &str| view.targets.by_name().contains_key(target);
        let news = (part, for_all);
        for (target, limit) in limits::receive(roster, &mut known, news, is_known, Instant::now()) {
            let rate = rates::text(&limit);
            tracing::info!(event = "target-limit", target, rate, via = "instance");
        }
        if known.has_news() {
            self.rates.has_news.notify_one();
        }
    }

    /// Merges ends of targets' processes that another instance saw.
    fn receive_ends(&self, roster: &Roster, part: &beliefs::Part, for_all: bool, now: Instant) {
        let beliefs = self.rates.beliefs();
        for target in beliefs.receive(roster, (part, for_all), now) {
            tracing::info!(event = "target-ended", target, via = "instance");
        }
        if beliefs.doubts().borrow().has_news() {
            self.rates.has_news.notify_one();
        }
    }

    /// Merges targets that leave, as another instance sent them.
    fn receive_departures(&self, roster: &Roster, part: &departures::Part, for_all: bool) {
        let mut known = self.departures.borrow_mut();
        let view = self.state.view();
        let is_known = |target: &str| view.targets.by_name().contains_key(target);
        let news = (part, for_all);
        let now = Instant::now();
        for target in departures::receive(roster, &mut known, news, is_known, now) {
            tracing::info!(event = "target-leaving", target, via = "instance");
        }
        if known.has_news() {
            self.news.notify_one();
        }
    }

    /// Returns the decisions on the division of engines to send in this round.
    fn divide(&self, roster: &Roster, view: &View, now: Instant) -> Vec<Outgoing> {
        let tracker = self.tracker.borrow();
        let inputs = Engines {
            tracker: &tracker,
            rates: &self.rates,
            now,
        };
        let mut divisions = self.divisions.borrow_mut();
        divisions.round(roster, view, &inputs, now)
    }

    /// Returns the quota datagrams to send in this round; none if no account has a quota.
    fn usage(&self, exchange: &mut Exchange, roster: &Roster, now: Instant) -> Vec<Outgoing> {
        let view = self.state.view();
        let accounts = view.table().and_then(|table| table.accounts.as_ref());
        let accounts = accounts.into_iter().flatten();
        let rates = accounts.filter_map(|account| {
            let quota = account.quota?;
            Some((quota::key(&account.name), quota.rate))
        });
        let rates: IndexMap<quota::Key, u64> = rates.collect();
        if rates.is_empty() {
            return Vec::new();
        }
        let mut quotas = self.quotas.borrow_mut();
        quotas.set_instances(roster.len());
        let own = quotas.usage(now);
        let accounts = Accounts {
            rates: &rates,
            quotas: &quotas,
            now,
        };
        let outgoing = exchange.round(roster, &own, &accounts, now);
        if roster.is_collector() {
            quotas.update_totals(exchange.totals().clone(), now);
        }
        outgoing
    }
}

/// State of the exchanges that span several datagrams.
#[derive(Debug, Default)]
struct Exchanges {
    usage: Exchange,
    suspects: suspicions::Exchange,
    departures: departures::Exchange,
    limits: limits::Exchange,
    reach: reach::Exchange,
    overflow: overflow::Exchange,
    paces: paces::Exchange,
}

/// What this instance knows of client accounts.
struct Accounts<'a> {
    rates: &'a IndexMap<quota::Key, u64>,
    quotas: &'a Quotas,
    now: Instant,
}

impl usage::Accounts for Accounts<'_> {
    fn rate(&self, account: quota::Key) -> Option<u64> {
        self.rates.get(&account).copied()
    }

    fn past(&self, account: quota::Key) -> Option<u64> {
        self.quotas.window_usage(account, self.now)
    }
}

/// What this instance knows of engines that are divided.
struct Engines<'a> {
    tracker: &'a Tracker,
    rates: &'a Rates,
    now: Instant,
}

impl division::Inputs for Engines<'_> {
    fn gap(&self, service: &str) -> Duration {
        self.tracker.min_gap(service, self.now)
    }

    fn is_limited(&self, target: &Target) -> bool {
        self.rates
            .rate(target, ColdStart::default(), self.now)
            .is_some()
    }

    /// The speed of single engines is not known here.
    fn is_slow(&self, _target: &Target) -> bool {
        false
    }
}

/// Exchanges datagrams with the other instances; never returns.
pub async fn run(socket: Rc<UdpSocket>, context: Context) {
    let Context {
        state,
        tracker,
        neighbours,
        claims,
        rates,
        departures,
        reach,
        origins,
        returns,
        suspects,
        permits,
        news,
        ..
    } = &context;
    claims.set_socket(Rc::clone(&socket));
    origins.set_socket(Rc::clone(&socket));
    rates.set_socket(&socket);
    permits.set_socket(Rc::clone(&socket));
    returns.set_socket(Rc::clone(&socket));
    rates.start_introduction();
    let mut exchanges = Exchanges::default();
    let mut question_due = time::Instant::now();
    let mut news_due: Option<time::Instant> = None;
    let mut ticks = time::interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut roster = Roster::default();
    let mut known_view = state.view();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, sender)) = received else { continue };
                // Malformed datagrams are dropped; the next valid one follows soon.
                let Ok(datagram) = Datagram::decode(&buffer[..length]) else { continue };
                let now = Instant::now();
                let received = (sender, datagram);
                for answer in context.receive(&roster, &mut exchanges, received, now) {
                    send(&socket, &answer, [sender]).await;
                }
            }
            () = news.notified(), if news_due.is_none() => {
                news_due = Some(time::Instant::now() + NEWS_BATCH_DELAY);
            }
            () = rates.has_news.notified(), if news_due.is_none() => {
                news_due = Some(time::Instant::now() + NEWS_BATCH_DELAY);
            }
            () = reach.questions.notified() => question_due = time::Instant::now(),
            () = time::sleep_until(question_due) => {
                question_due = time::Instant::now() + QUESTION_INTERVAL;
                let view = state.view();
                let question = exchanges.reach.question(reach, &view, &roster, Instant::now());
                send_all(&socket, &view, question.into_iter().collect()).await;
            }
            () = time::sleep_until(news_due.unwrap_or_else(time::Instant::now)),
                if news_due.is_some() =>
            {
                news_due = None;
                let mut outgoing = suspicions::news(&roster, &mut suspects.borrow_mut());
                outgoing.extend(rates.news(&roster, Instant::now()));
                outgoing.extend(departures::news(&roster, &mut departures.borrow_mut()));
                send_all(&socket, &state.view(), outgoing).await;
            }
            _ = ticks.tick() => {
                claims.expire(Instant::now());
                permits.expire();
                returns.expire(Instant::now());
                rates.expire(state, Instant::now());
                origins.update(state, Instant::now());
                let view = state.view();
                let own = tracker.borrow().by_target();
                let own = own.into_iter().map(|(target, load)| (key(&target), load));
                if roster.instance().is_empty()
                    || !Arc::ptr_eq(&known_view.instances, &view.instances)
                {
                    roster = Roster::new(&view);
                    known_view = Arc::clone(&view);
                }
                let now = Instant::now();
                let mut outgoing = neighbours.borrow_mut().round(&roster, own.collect(), now);
                outgoing.extend(context.usage(&mut exchanges.usage, &roster, now));
                outgoing.extend(context.divide(&roster, &view, now));
                let paces = &mut exchanges.paces;
                outgoing.extend(paces.round(&roster, &view, &mut tracker.borrow_mut().capacity, now));
                outgoing.extend(exchanges.suspects.round(&roster, &suspects.borrow()));
                outgoing.extend(suspicions::news(&roster, &mut suspects.borrow_mut()));
                // Requests are served as soon as there is a configuration.
                if view.configuration.is_some() {
                    outgoing.extend(rates.introduce(&roster));
                }
                outgoing.extend(exchanges.limits.round(&roster, &rates.limits().borrow()));
                outgoing.extend(rates.news(&roster, now));
                outgoing.extend(exchanges.departures.round(&roster, &departures.borrow()));
                outgoing.extend(departures::news(&roster, &mut departures.borrow_mut()));
                let inputs = context.overflow_inputs(&view);
                outgoing.extend(exchanges.overflow.tick(&inputs, now));
                send_all(&socket, &view, outgoing).await;
            }
        }
    }
}

async fn send_all(socket: &UdpSocket, view: &View, outgoing: Vec<Outgoing>) {
    let address = |name: &id::Instance| {
        let presence: &Presence = view.instances.by_name().get(name)?;
        presence.forward.parse().ok()
    };
    for sent in outgoing {
        send(socket, &sent.datagram, sent.to.iter().filter_map(address)).await;
    }
}

async fn send(
    socket: &UdpSocket,
    datagram: &Datagram,
    addresses: impl IntoIterator<Item = SocketAddr>,
) {
    let bytes = match datagram.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::warn!(event = "datagram-not-sent", error = %error);
            return;
        }
    };
    for address in addresses {
        // A lost datagram is superseded by the next one.
        let _ = socket.send_to(&bytes, address).await;
    }
}
