//! Rounds of the exchange, and the state that they span.

use std::{
    cell::RefCell,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use indexmap::{IndexMap, IndexSet};
use zinniastall_coord::overflow::{
    Amount, Borrower, GRANT_LIFE, HOLD, Lender, ROUND, Stale, TAKEOVER,
};
use zinniastall_model::{id, presence::Presence};

use super::{
    Overflow, Shown,
    leaders::Leaders,
    messages::{
        ANYWHERE, Entry, Grant, GrantEntry, Invalid, MAX_GRANTS, MAX_SERVICES, Need, RegionEntry,
        Room,
    },
    rooms,
};
use crate::{
    index::Instances,
    neighbours::{
        Neighbours, Outgoing,
        collector::collectors,
        datagram::{Datagram, Key, Round, key},
        rates::Rates,
    },
    policy::Policy,
    reach::Reach,
    tracker::Tracker,
    view::View,
};

/// Ticks of the load reports from one round to the next.
const TICKS_PER_ROUND: u32 = 2;
/// Ticks from one report of an instance's need to the next.
const TICKS_PER_NEED: u32 = 4;
/// Rounds from one message to a region that neither lends nor borrows to the next.
const IDLE_ROUNDS: Round = 5;
/// Age at which the need of an instance expires: two reports were lost.
const NEED_TTL: Duration = Duration::from_millis(1_200);
/// Age at which the room of another region expires: two messages to an idle region were lost.
const ROOM_TTL: Duration = Duration::from_millis(2_500);
/// Regions that are asked for room for one service, those with the most.
const MAX_LENDERS: usize = 4;
/// Shortest time between two log lines about the room of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a round reads.
#[derive(Debug, Clone, Copy)]
pub struct Inputs<'a> {
    /// Current view.
    pub view: &'a View,
    /// Requests of this instance.
    pub tracker: &'a RefCell<Tracker>,
    /// Requests of the region's other instances.
    pub neighbours: &'a RefCell<Neighbours>,
    /// Rates of targets.
    pub rates: &'a Rates,
    /// Paths to targets.
    pub reach: &'a Reach,
    /// Timings of the deployment.
    pub policy: &'a Policy,
    /// Tokens and need of this instance.
    pub overflow: &'a Overflow,
}

/// Amounts by service.
type Amounts = IndexMap<Key, Amount>;

/// What another region's leader told last.
#[derive(Debug, Default)]
struct Told {
    needs: Amounts,
    grants: Amounts,
}

/// Need that an instance reported last.
#[derive(Debug)]
struct Reported {
    round: Round,
    at: Instant,
    needs: Vec<RegionEntry>,
}

/// State of the exchange.
#[derive(Debug, Default)]
pub struct Exchange {
    tick: u32,
    round: Option<Round>,
    instances: Option<Arc<Instances>>,
    leaders: Leaders,
    /// Since when this instance is a leader.
    leads_since: Option<Instant>,
    /// When the region's other leader was heard last.
    other_leader_at: Option<Instant>,
    reported: IndexMap<id::Instance, Reported>,
    told: Borrower<id::Region, Told>,
    rooms: IndexMap<id::Region, (Instant, Amounts)>,
    lenders: IndexMap<Key, Lender<Key>>,
    has_passed_on: bool,
    /// When grants came that no collector has to pass on.
    passed_on_at: Option<Instant>,
    relayed: Vec<Outgoing>,
    shown: IndexMap<id::Service, (Instant, Shown)>,
}

/// State of one service in a round.
struct Service<'a> {
    name: &'a id::Service,
    key: Key,
    room: rooms::Room,
    grants: Amounts,
    /// Need by the region in which requests may run, this one included.
    need: Amounts,
}

impl Service<'_> {
    /// Returns the need that this region would have met itself, had it room.
    fn need_at_home(&self, view: &View) -> Amount {
        let need = self.need.get(&key(&view.place.region));
        need.copied().unwrap_or_default()
    }

    /// Returns the need that another region may meet.
    fn need_of(&self, region: Key) -> Amount {
        let of = |key| self.need.get(&key).copied().unwrap_or_default();
        of(ANYWHERE).plus(of(region))
    }
}

impl Exchange {
    /// Applies a datagram; other datagrams are ignored, as are all while the component is off.
    pub fn receive(
        &mut self,
        inputs: &Inputs<'_>,
        sender: SocketAddr,
        datagram: Datagram,
        now: Instant,
    ) {
        if !inputs.view.load_control.overflow {
            return;
        }
        let (message, result) = match datagram {
            Datagram::RegionRoom(room) => ("room", self.receive_room(inputs, sender, &room, now)),
            Datagram::RegionNeed(need) => ("need", self.receive_need(inputs, sender, need, now)),
            Datagram::RegionGrant(grant) => {
                ("grant", self.receive_grant(inputs, sender, grant, now))
            }
            _ => return,
        };
        if let Err(reason) = result {
            inputs.overflow.drop_message(sender, message, &reason);
        }
    }

    fn receive_room(
        &mut self,
        inputs: &Inputs<'_>,
        sender: SocketAddr,
        room: &Room,
        now: Instant,
    ) -> Result<(), Invalid> {
        room.check(inputs.view, sender)?;
        if room.region == inputs.view.place.region {
            self.follow(room, now);
            return Ok(());
        }
        let amounts = |entries: &[Entry]| -> Amounts {
            let entries = entries.iter();
            entries.map(|entry| (entry.0, entry.amount())).collect()
        };
        let grants = room.grants.iter();
        let told = Told {
            needs: amounts(&room.needs),
            grants: grants.map(|entry| (entry.0, entry.amount())).collect(),
        };
        let region = room.region.clone();
        self.told
            .receive(region.clone(), room.round, told, GRANT_LIFE, now)?;
        self.rooms.insert(region, (now, amounts(&room.rooms)));
        Ok(())
    }

    /// Follows the acting leader, so that its grants are known if this one takes over.
    fn follow(&mut self, room: &Room, now: Instant) {
        self.other_leader_at = Some(now);
        let own = self.round.get_or_insert_with(first_round);
        // Rounds go on from the later one, or those of the next leader would be stale.
        if room.round.wrapping_sub(*own) < Round::MAX / 2 {
            *own = room.round;
        }
        let mut grants: IndexMap<Key, Amounts> = IndexMap::new();
        for entry in &room.grants {
            let of_service = grants.entry(entry.0).or_default();
            of_service.insert(entry.1, entry.amount());
        }
        for (service, grants) in grants {
            let lender = self.lenders.entry(service).or_default();
            lender.observe(&grants, now);
        }
    }

    fn receive_need(
        &mut self,
        inputs: &Inputs<'_>,
        sender: SocketAddr,
        need: Need,
        now: Instant,
    ) -> Result<(), Invalid> {
        need.check(inputs.view, sender)?;
        let fresh = |held: &Reported| now.saturating_duration_since(held.at) < NEED_TTL;
        self.reported.retain(|_, held| fresh(held));
        if let Some(held) = self.reported.get(&need.instance) {
            let known = held.round;
            let ahead = need.round.wrapping_sub(known);
            if ahead == 0 || ahead >= Round::MAX / 2 {
                let round = need.round;
                return Err(Stale { round, known }.into());
            }
        }
        let reported = Reported {
            round: need.round,
            at: now,
            needs: need.needs,
        };
        self.reported.insert(need.instance, reported);
        Ok(())
    }

    fn receive_grant(
        &mut self,
        inputs: &Inputs<'_>,
        sender: SocketAddr,
        grant: Grant,
        now: Instant,
    ) -> Result<(), Invalid> {
        grant.check(inputs.view, sender)?;
        let mut wallet = inputs.overflow.wallet.borrow_mut();
        let received = wallet.receive(inputs.view, &grant, now);
        drop(wallet);
        if !grant.for_all {
            self.passed_on_at = Some(now);
        }
        match received {
            Ok(()) => {}
            // Collectors get a round from the leader and from the other collector.
            Err(Stale { round, known }) if round == known => return Ok(()),
            Err(stale) => return Err(stale.into()),
        }
        if grant.for_all {
            self.relay(inputs.view, grant, now);
        }
        Ok(())
    }

    /// Passes grants on to the zone; the second collector does so only while the first is silent.
    fn relay(&mut self, view: &View, grant: Grant, now: Instant) {
        let zone = &view.place.zone;
        let members = view.instances.in_region(&view.place.region);
        let members: Vec<&Presence> = members.filter(|held| held.place.zone == *zone).collect();
        let collectors = collectors(members.clone(), zone);
        let is_heard = |at| now.saturating_duration_since(at) < TAKEOVER;
        let acts = match collectors.iter().position(|name| *name == view.instance) {
            Some(0) => true,
            Some(_) => !self.passed_on_at.is_some_and(is_heard),
            None => false,
        };
        if !acts {
            return;
        }
        let others = members.iter().filter(|held| held.instance != view.instance);
        self.relayed.push(Outgoing {
            to: others.map(|held| held.instance.clone()).collect(),
            datagram: Datagram::RegionGrant(Grant {
                for_all: false,
                ..grant
            }),
        });
    }

    /// Acts on a tick of the load reports; returns the datagrams to send.
    pub fn tick(&mut self, inputs: &Inputs<'_>, now: Instant) -> Vec<Outgoing> {
        let view = inputs.view;
        if !view.load_control.overflow {
            return Vec::new();
        }
        self.tick = self.tick.wrapping_add(1);
        self.update_leaders(view, now);
        let mut outgoing = std::mem::take(&mut self.relayed);
        if self.tick.is_multiple_of(TICKS_PER_NEED) {
            outgoing.extend(self.report_need(inputs, now));
        }
        if self.tick.is_multiple_of(TICKS_PER_ROUND) && self.is_acting(view, now) {
            outgoing.extend(self.act(inputs, now));
        }
        outgoing
    }

    fn update_leaders(&mut self, view: &View, now: Instant) {
        let known = self.instances.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, &view.instances)) {
            return;
        }
        self.instances = Some(Arc::clone(&view.instances));
        self.leaders = Leaders::new(view);
        if !self.leads(view) {
            self.leads_since = None;
        } else if self.leads_since.is_none() {
            self.leads_since = Some(now);
        }
    }

    fn leads(&self, view: &View) -> bool {
        let leaders = self.leaders.of(&view.place.region);
        leaders.contains(&view.instance)
    }

    fn is_acting(&self, view: &View, now: Instant) -> bool {
        let leaders = self.leaders.of(&view.place.region);
        let is_first = leaders.first() == Some(&view.instance);
        let is_silent = |at| now.saturating_duration_since(at) >= TAKEOVER;
        // One that has just become a leader first listens for the other one.
        let leads = |since: Instant| is_silent(self.other_leader_at.unwrap_or(since));
        self.leads(view) && (is_first || self.leads_since.is_some_and(leads))
    }

    /// Reports this instance's need to the leaders of its region.
    fn report_need(&mut self, inputs: &Inputs<'_>, now: Instant) -> Option<Outgoing> {
        let view = inputs.view;
        let needs = inputs.overflow.wallet.borrow_mut().needs(now);
        if needs.is_empty() {
            self.reported.swap_remove(&view.instance);
            return None;
        }
        let own = Reported {
            round: self.tick,
            at: now,
            needs: needs.clone(),
        };
        self.reported.insert(view.instance.clone(), own);
        let leaders = self.leaders.of(&view.place.region).iter();
        let others = leaders.filter(|leader| **leader != view.instance);
        Some(Outgoing {
            to: others.cloned().collect(),
            datagram: Datagram::RegionNeed(Need {
                instance: view.instance.clone(),
                round: self.tick,
                needs,
            }),
        })
    }

    /// Computes room and need, divides the room, and passes on what is borrowed.
    fn act(&mut self, inputs: &Inputs<'_>, now: Instant) -> Vec<Outgoing> {
        let view = inputs.view;
        let round = self.round.get_or_insert_with(first_round);
        *round = round.wrapping_add(1);
        let round = *round;
        let services = self.services(inputs, now);
        let mut outgoing = self.room_messages(view, &services, round, now);
        outgoing.extend(self.pass_on(inputs, round, now));
        self.show(inputs, &services, round, now);
        outgoing
    }

    /// Returns the services that this region could lend or borrow for.
    fn services<'a>(&mut self, inputs: &Inputs<'a>, now: Instant) -> Vec<Service<'a>> {
        let view = inputs.view;
        let Some(table) = view.table() else {
            return Vec::new();
        };
        let home = &view.place.region;
        let is_shared = |service: &&zinniastall_model::routing::Service| {
            let mut regions = view.targets.regions(&service.name);
            regions.any(|region| region != home)
        };
        let shared = table.services.iter().filter(is_shared).take(MAX_SERVICES);
        let mut services: Vec<Service<'a>> = shared
            .map(|service| Service {
                name: &service.name,
                key: key(&service.name),
                room: rooms::of(inputs, table, service, now),
                grants: Amounts::default(),
                need: Amounts::default(),
            })
            .collect();
        let is_ready = view.instances.ready_in(home).next().is_some();
        for service in &mut services {
            service.need = self.need(service.key, now);
            let own = service.need_at_home(view);
            // The region's own callers come first.
            service.room.amount = if is_ready {
                service.room.amount.minus(own)
            } else {
                Amount::default()
            };
            service.grants = self.grants(service, now);
        }
        services
    }

    /// Returns the need of this region's callers, by the region in which requests may run.
    fn need(&self, service: Key, now: Instant) -> Amounts {
        let mut need = Amounts::default();
        let fresh = |held: &&Reported| now.saturating_duration_since(held.at) < NEED_TTL;
        let entries = self.reported.values().filter(fresh);
        let entries = entries.flat_map(|held| &held.needs);
        for entry in entries.filter(|entry| entry.0 == service) {
            let sum = need.entry(entry.1).or_default();
            *sum = sum.plus(entry.amount());
        }
        need
    }

    /// Returns the grants of a service, by borrowing region.
    fn grants(&mut self, service: &Service<'_>, now: Instant) -> Amounts {
        // Grants of another leader that was not heard have ended after this time.
        let has_listened = |since| now.saturating_duration_since(since) >= HOLD;
        if !self.leads_since.is_some_and(has_listened) {
            return Amounts::default();
        }
        let told = self.told.grants(now);
        let needs = told.filter_map(|(region, told, _)| {
            let need = told.needs.get(&service.key)?;
            Some((key(region), *need))
        });
        let needs: Amounts = needs.collect();
        let lender = self.lenders.entry(service.key).or_default();
        lender.divide(service.room.amount, &needs, now)
    }

    /// Returns the messages to the leaders of other regions and to the other leader of this one.
    fn room_messages(
        &self,
        view: &View,
        services: &[Service<'_>],
        round: Round,
        now: Instant,
    ) -> Vec<Outgoing> {
        let home = &view.place.region;
        let mut outgoing = Vec::new();
        for region in self.leaders.regions() {
            let leaders = self.leaders.of(region).iter();
            let to = leaders.filter(|leader| **leader != view.instance);
            let message = if region == home {
                own_message(home, services, round)
            } else {
                self.message(home, region, services, round, now)
            };
            let is_idle = message.needs.is_empty() && message.grants.is_empty();
            if is_idle && region != home && !round.is_multiple_of(IDLE_ROUNDS) {
                continue;
            }
            outgoing.push(Outgoing {
                to: to.cloned().collect(),
                datagram: Datagram::RegionRoom(message),
            });
        }
        outgoing
    }

    fn message(
        &self,
        home: &id::Region,
        region: &id::Region,
        services: &[Service<'_>],
        round: Round,
        now: Instant,
    ) -> Room {
        let to = key(region);
        let needs = services.iter().filter_map(|service| {
            let need = service.need_of(to);
            let is_asked = !need.is_zero() && self.is_asked(region, service.key, now);
            is_asked.then(|| Entry::new(service.key, need))
        });
        let grants = services.iter().filter_map(|service| {
            let grant = service.grants.get(&to)?;
            Some(RegionEntry::new(service.key, to, *grant))
        });
        Room {
            region: home.clone(),
            round,
            rooms: rooms(services),
            needs: needs.collect(),
            grants: grants.collect(),
        }
    }

    /// Returns whether a region is among those with the most room for a service.
    fn is_asked(&self, region: &id::Region, service: Key, now: Instant) -> bool {
        let room_of = |(told_at, rooms): &(Instant, Amounts)| {
            let is_fresh = now.saturating_duration_since(*told_at) < ROOM_TTL;
            let room = rooms.get(&service).filter(|_| is_fresh);
            room.map_or(0, |room| room.requests)
        };
        let own = self.rooms.get(region).map_or(0, room_of);
        let larger = self.rooms.values().filter(|held| room_of(held) > own);
        own > 0 && larger.count() < MAX_LENDERS
    }

    /// Passes the grants of other regions on to the instances of this one.
    fn pass_on(&mut self, inputs: &Inputs<'_>, round: Round, now: Instant) -> Vec<Outgoing> {
        let view = inputs.view;
        let mut grants = Vec::new();
        for (lender, told, until) in self.told.grants(now) {
            let left = until.saturating_duration_since(now).as_millis();
            let left = u32::try_from(left).unwrap_or(u32::MAX);
            let entries = told.grants.iter().filter(|(_, amount)| !amount.is_zero());
            grants.extend(entries.map(|(service, amount)| {
                GrantEntry(*service, key(lender), amount.work, amount.requests, left)
            }));
        }
        // One message without grants ends those that were passed on.
        if grants.is_empty() && !std::mem::take(&mut self.has_passed_on) {
            return Vec::new();
        }
        self.has_passed_on = !grants.is_empty();
        grants.sort_by_key(|entry| std::cmp::Reverse(entry.3));
        grants.truncate(MAX_GRANTS);
        let members = view.instances.ready_in(&view.place.region);
        let capacities = members.map(|member| u64::from(member.capacity));
        let capacities: Vec<u64> = capacities.collect();
        let by_capacity = capacities.iter().all(|capacity| *capacity > 0);
        let weight = if by_capacity {
            capacities.iter().sum()
        } else {
            capacities.len() as u64
        };
        let grant = Grant {
            round,
            for_all: false,
            weight: weight.max(1),
            by_capacity,
            grants,
        };
        let mut wallet = inputs.overflow.wallet.borrow_mut();
        // Its own rounds are in order, but for those of another leader that acted at once.
        let _ = wallet.receive(view, &grant, now);
        drop(wallet);
        let zone = view
            .instances
            .in_region(&view.place.region)
            .filter(|member| {
                member.place.zone == view.place.zone && member.instance != view.instance
            });
        let others = Grant {
            for_all: true,
            ..grant.clone()
        };
        let own = Outgoing {
            to: zone.map(|member| member.instance.clone()).collect(),
            datagram: Datagram::RegionGrant(grant),
        };
        let others = Outgoing {
            to: self.leaders.zone_collectors().cloned().collect(),
            datagram: Datagram::RegionGrant(others),
        };
        vec![own, others]
    }

    /// Updates metrics and logs what has changed.
    fn show(&mut self, inputs: &Inputs<'_>, services: &[Service<'_>], round: Round, now: Instant) {
        let (view, metrics) = (inputs.view, inputs.overflow.metrics());
        for service in services {
            let sum = |amounts: &mut dyn Iterator<Item = Amount>| {
                amounts.fold(Amount::default(), Amount::plus)
            };
            let borrowed = self.told.grants(now).map(|(_, told, _)| {
                let held = told.grants.get(&service.key);
                held.copied().unwrap_or_default()
            });
            let shown = Shown {
                room: service.room.amount,
                need: service.need_at_home(view),
                lent: sum(&mut service.grants.values().copied()),
                borrowed: sum(&mut borrowed.into_iter()),
                targets: service.room.targets,
                oldest_report: service.room.oldest_report,
            };
            let kinds = [
                ("room", shown.room),
                ("need", shown.need),
                ("lent", shown.lent),
                ("borrowed", shown.borrowed),
            ];
            for (kind, amount) in kinds {
                metrics.set_overflow(&view.place.region, service.name, kind, amount);
            }
            let last = self.shown.get(service.name);
            let is_due = |at: Instant| now.saturating_duration_since(at) >= LOG_INTERVAL;
            let is_new = last.is_none_or(|(at, last)| is_due(*at) && shown.differs(last));
            if is_new {
                shown.log(view, service.name, round);
                self.shown.insert(service.name.clone(), (now, shown));
            }
        }
        let known: IndexSet<&id::Service> = services.iter().map(|service| service.name).collect();
        self.shown.retain(|name, _| known.contains(name));
    }
}

/// Returns the message to the other leader of the region, which needs to know all grants.
fn own_message(home: &id::Region, services: &[Service<'_>], round: Round) -> Room {
    let grants = services.iter().flat_map(|service| {
        let grants = service.grants.iter();
        grants.map(|(region, amount)| RegionEntry::new(service.key, *region, *amount))
    });
    Room {
        region: home.clone(),
        round,
        rooms: rooms(services),
        needs: Vec::new(),
        grants: grants.take(MAX_GRANTS).collect(),
    }
}

fn rooms(services: &[Service<'_>]) -> Vec<Entry> {
    let with_room = services
        .iter()
        .filter(|service| !service.room.amount.is_zero());
    with_room
        .map(|service| Entry::new(service.key, service.room.amount))
        .collect()
}

/// Returns the first round of a run of the process: by the clock, so that a process that starts
/// again goes on with later rounds than those of the run before.
fn first_round() -> Round {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let rounds = since.unwrap_or_default().as_millis() / ROUND.as_millis();
    #[expect(clippy::cast_possible_truncation, reason = "rounds wrap around")]
    let round = rounds as Round;
    round
}
