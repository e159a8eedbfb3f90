//! What the other instances of this region have in progress at each target, told by datagram.
//!
//! Instances that share targets place by what they know of each other's requests. Over the control
//! replicas that is half a second old and a sum; in a burst all of them then turn to the same target.
//! A datagram ten times a second says it by target.
//!
//! In a small region each instance sends its load report to all others. In a large one that would grow with
//! the square, so reports go to two collectors of the zone ([`collector`]), and the first of them that is
//! alive returns the sum over the region. Each instance sends and gets as many datagrams in a region of
//! hundreds as in one of ten.

pub mod claims;
pub mod collector;
pub mod datagram;
mod reports;
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
use zinniastall_model::{id, presence::Presence};

use self::{
    claims::Claims,
    collector::Roster,
    datagram::{Datagram, Key, LONGEST, Part, Turn, key, parts},
    reports::{Reports, add},
    usage::Exchange,
};
use crate::{
    books::Books,
    decide::quota::{self, Quotas},
    suspects::Suspects,
    view::{Board, View},
};

/// Time between two reports while requests are in progress.
pub const PACE: Duration = Duration::from_millis(100);
/// Age at which a report counts no more: several datagrams were lost, or its sender is gone.
const OLD: Duration = Duration::from_millis(600);
/// Age at which a sum over the region counts no more. It is longer, since without any sum all instances would
/// turn to the same target: in it an instance learns that both collectors are gone, and who takes their place.
const OLD_SUM: Duration = Duration::from_secs(3);
/// Time for which news of suspects is gathered: all connections to a target that crashes break within it.
const GATHER: Duration = Duration::from_millis(10);
/// Silence of the first collector after which the second one takes its place.
const TAKE_OVER: Duration = Duration::from_millis(300);
/// Own reports that are remembered, to be taken off the sums that contain them.
const HISTORY: usize = 16;

/// Requests at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests.
    pub flights: u32,
    /// Expected time to read the prompts of those whose answers have not begun, in microseconds.
    pub reading_us: u64,
}

impl Load {
    /// Returns the sum of two loads.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            flights: self.flights.saturating_add(other.flights),
            reading_us: self.reading_us.saturating_add(other.reading_us),
        }
    }
}

/// Loads by target.
pub type Loads = IndexMap<Key, Load>;

/// A datagram and the instances to which it goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Names of the instances.
    pub to: Vec<id::Instance>,
    /// What they are sent.
    pub datagram: Datagram,
}

/// A sum over the region.
#[derive(Debug)]
struct Sum {
    turn: Turn,
    /// Own report that it contains; 0 for none.
    included: Turn,
    since: Instant,
    loads: Loads,
}

/// What the neighbours reported last, and what is due to them.
#[derive(Debug, Default)]
pub struct Neighbours {
    /// Reports of single instances: of all of a small region, or of the zone for which this one collects.
    reports: Reports<id::Instance>,
    /// Sums of the region's other zones, for a collector.
    zones: Reports<id::Zone>,
    sum: Option<Sum>,
    /// When a collector's sum last came.
    heard: Option<Instant>,
    own: IndexMap<Turn, Loads>,
    turn: Turn,
    was_busy: bool,
    was_region_busy: bool,
}

impl Neighbours {
    /// Returns what the neighbours have at a target.
    pub fn at(&self, target: &str, now: Instant) -> Load {
        let key = key(target);
        let fresh = |sum: &&Sum| now.saturating_duration_since(sum.since) < OLD_SUM;
        let Some(sum) = self.sum.as_ref().filter(fresh) else {
            return self.reports.at(key, now, OLD);
        };
        let held = sum.loads.get(&key).copied().unwrap_or_default();
        let own = self.own.get(&sum.included);
        let own = own.and_then(|loads| loads.get(&key)).copied();
        let own = own.unwrap_or_default();
        Load {
            flights: held.flights.saturating_sub(own.flights),
            reading_us: held.reading_us.saturating_sub(own.reading_us),
        }
    }

    /// Takes a datagram in.
    pub fn hear(&mut self, datagram: Datagram, now: Instant) {
        match datagram {
            Datagram::Report { instance, part } => self.reports.hear(instance, &part, now),
            Datagram::Zone { zone, part } => self.zones.hear(zone, &part, now),
            Datagram::Region { included, part } => self.hear_sum(included, &part, now),
            _ => {}
        }
    }

    fn hear_sum(&mut self, included: Turn, part: &Part, now: Instant) {
        let new = Sum {
            turn: part.turn,
            included,
            since: now,
            loads: Loads::default(),
        };
        let sum = self.sum.get_or_insert_with(|| Sum { ..new });
        if sum.turn != part.turn {
            sum.loads.clear();
        }
        (sum.turn, sum.included, sum.since) = (part.turn, included, now);
        sum.loads.extend(part.loads());
        self.heard = Some(now);
    }

    /// Returns what is to be sent in this round, in which this instance has some load.
    ///
    /// Nothing is sent while no request is in progress, but for one empty report when the last one ends.
    pub fn round(&mut self, roster: &Roster, own: Loads, now: Instant) -> Vec<Outgoing> {
        self.turn = self.turn.wrapping_add(1).max(1);
        let is_busy = !own.is_empty();
        let mut sends = Vec::new();
        if is_busy || self.was_busy {
            sends.extend(self.report(roster, &own));
        }
        self.was_busy = is_busy;
        if roster.is_small() {
            self.sum = None;
            return sends;
        }
        if roster.collects() {
            self.reports
                .keep(roster.instance(), self.turn, own.clone(), now);
            sends.extend(self.collect(roster, now));
        }
        self.own.insert(self.turn, own);
        let surplus = self.own.len().saturating_sub(HISTORY);
        self.own.drain(..surplus);
        sends
    }

    fn report(&self, roster: &Roster, own: &Loads) -> Vec<Outgoing> {
        let to = roster.reports_to();
        let report = |part| Outgoing {
            to: to.clone(),
            datagram: Datagram::Report {
                instance: roster.instance().clone(),
                part,
            },
        };
        parts(self.turn, own).into_iter().map(report).collect()
    }

    /// Sums what the zone has, tells it to the collectors of other zones, and the region's sum to the zone.
    fn collect(&mut self, roster: &Roster, now: Instant) -> Vec<Outgoing> {
        self.reports.expire(now, OLD);
        self.zones.expire(now, OLD);
        let is_silent = |heard| now.saturating_duration_since(heard) >= TAKE_OVER;
        if !roster.is_first() && !self.heard.is_none_or(is_silent) {
            return Vec::new();
        }
        let zone = self.reports.sum();
        let mut region = zone.clone();
        add(&mut region, &self.zones.sum());
        // When the last request of the region ends, that is told once.
        let was_busy = std::mem::replace(&mut self.was_region_busy, !region.is_empty());
        if region.is_empty() && !was_busy {
            return Vec::new();
        }
        let mut sends = self.tell_zones(roster, &zone);
        sends.extend(self.tell_instances(roster, &region));
        self.sum = Some(Sum {
            turn: self.turn,
            included: self.turn,
            since: now,
            loads: region,
        });
        sends
    }

    fn tell_zones(&self, roster: &Roster, zone: &Loads) -> Vec<Outgoing> {
        let tell = |part| Outgoing {
            to: roster.other_collectors().to_vec(),
            datagram: Datagram::Zone {
                zone: roster.zone().clone(),
                part,
            },
        };
        parts(self.turn, zone).into_iter().map(tell).collect()
    }

    fn tell_instances(&self, roster: &Roster, region: &Loads) -> Vec<Outgoing> {
        let parts = parts(self.turn, region);
        let mut sends = Vec::new();
        for instance in roster.zone_members() {
            let included = self.reports.turn(instance);
            let tell = |part: &Part| Outgoing {
                to: vec![instance.clone()],
                datagram: Datagram::Region {
                    included,
                    part: part.clone(),
                },
            };
            sends.extend(parts.iter().map(tell));
        }
        sends
    }
}

/// What an instance tells the others, and hears from them.
#[derive(Debug)]
pub struct Shared {
    /// What the request path knows of the rest of the system.
    pub board: Board,
    /// Requests at targets.
    pub books: Rc<RefCell<Books>>,
    /// The neighbours' requests at targets.
    pub neighbours: Rc<RefCell<Neighbours>>,
    /// What they have sent to targets within the last moments.
    pub claims: Rc<Claims>,
    /// Use of client accounts' quotas.
    pub quotas: Rc<RefCell<Quotas>>,
    /// Requests that are suspected of crashing targets.
    pub suspects: Rc<RefCell<Suspects>>,
    /// Says that the others have to be told of a suspect.
    pub news: Rc<Notify>,
}

impl Shared {
    /// Takes what another instance knows of suspects.
    fn hear_suspects(&self, roster: &Roster, part: &suspicions::Part, for_all: bool) {
        let mut suspects = self.suspects.borrow_mut();
        let now = Instant::now();
        for request in suspicions::hear(roster, &mut suspects, part, for_all, now) {
            tracing::warn!(event = "quarantine-heard", fingerprint = %request);
        }
        if suspects.has_news() {
            self.news.notify_one();
        }
    }

    /// Returns what is to be sent of the use of quotas in this round; nothing where no account has one.
    fn usage(&self, exchange: &mut Exchange, roster: &Roster, now: Instant) -> Vec<Outgoing> {
        let view = self.board.view();
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
        let sends = exchange.round(roster, &own, &accounts, now);
        if roster.collects() {
            quotas.update_totals(exchange.totals().clone(), now);
        }
        sends
    }
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

/// Tells the others and hears them, for ever.
pub async fn run(socket: Rc<UdpSocket>, shared: Shared) {
    let Shared {
        board,
        books,
        neighbours,
        claims,
        quotas,
        suspects,
        news,
    } = &shared;
    claims.open(Rc::clone(&socket));
    let mut exchange = Exchange::default();
    let mut comparing = suspicions::Exchange::default();
    let mut telling: Option<time::Instant> = None;
    let mut pace = time::interval(PACE);
    pace.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; LONGEST];
    let mut roster = Roster::default();
    let mut known = board.view();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, sender)) = received else { continue };
                // Whatever is not a neighbour's datagram is dropped; the next one comes soon.
                let Ok(datagram) = Datagram::decode(&buffer[..length]) else { continue };
                let now = Instant::now();
                match datagram {
                    Datagram::Claim { number, target, reading_ms } => {
                        let answer = claims.coordinate(number, target, reading_ms, now);
                        send(&socket, &answer, [sender]).await;
                    }
                    Datagram::Claimed { number, flights, reading_ms } => {
                        let reading_us = u64::from(reading_ms) * 1_000;
                        let load = Load { flights, reading_us };
                        claims.answer(number, load);
                    }
                    Datagram::Used { .. } | Datagram::ZoneUsed { .. } | Datagram::AllUsed { .. } => {
                        if exchange.hear(datagram, now) {
                            let totals = exchange.totals().clone();
                            quotas.borrow_mut().update_totals(totals, now);
                        }
                    }
                    Datagram::Suspects { for_all, part } => {
                        shared.hear_suspects(&roster, &part, for_all);
                    }
                    Datagram::SuspectSum { sum, is_answer } => {
                        let answers = suspicions::answers(&roster, &suspects.borrow(), sum, is_answer);
                        for answer in answers {
                            send(&socket, &answer, [sender]).await;
                        }
                    }
                    datagram => neighbours.borrow_mut().hear(datagram, now),
                }
            }
            () = news.notified(), if telling.is_none() => {
                telling = Some(time::Instant::now() + GATHER);
            }
            () = time::sleep_until(telling.unwrap_or_else(time::Instant::now)), if telling.is_some() => {
                telling = None;
                let sends = suspicions::news(&roster, &mut suspects.borrow_mut());
                send_all(&socket, &board.view(), sends).await;
            }
            _ = pace.tick() => {
                claims.expire(Instant::now());
                let view = board.view();
                let own = books.borrow().by_target();
                let own = own.into_iter().map(|(target, load)| (key(&target), load));
                if roster.instance().is_empty() || !Arc::ptr_eq(&known.instances, &view.instances) {
                    roster = Roster::new(&view);
                    known = Arc::clone(&view);
                }
                let now = Instant::now();
                let mut sends = neighbours.borrow_mut().round(&roster, own.collect(), now);
                sends.extend(shared.usage(&mut exchange, &roster, now));
                sends.extend(comparing.round(&roster, &suspects.borrow()));
                sends.extend(suspicions::news(&roster, &mut suspects.borrow_mut()));
                send_all(&socket, &view, sends).await;
            }
        }
    }
}

async fn send_all(socket: &UdpSocket, view: &View, sends: Vec<Outgoing>) {
    let address = |name: &id::Instance| {
        let presence: &Presence = view.instances.by_name().get(name)?;
        presence.forward.parse().ok()
    };
    for sent in sends {
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
        // A lost datagram is replaced by the next one.
        let _ = socket.send_to(&bytes, address).await;
    }
}
