//! Rounds of the exchange, and the state that they span.

mod passing;
mod showing;
mod telling;

use std::{
    cell::RefCell,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use indexmap::IndexMap;
use zinniastall_coord::overflow::{
    Amount, Borrower, GRANT_LIFE, HOLD, Lender, ROUND, Stale, TAKEOVER,
};
use zinniastall_model::id;

use super::{
    Overflow, Shown,
    leaders::Leaders,
    messages::{ANYWHERE, Entry, Grant, Invalid, MAX_SERVICES, Need, RegionEntry, Room},
    rooms,
};
use crate::{
    index::Instances,
    neighbours::{
        Neighbours, Outgoing,
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
/// Age at which the need of an instance expires: two reports were lost.
const NEED_TTL: Duration = Duration::from_secs(2);
/// Instances of a region above which need is reported, and grants are passed on, half as often: the
/// traffic of a leader grows with their number.
const MAX_FREQUENT: usize = 32;

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
    /// Regions that are asked for room.
    lenders: Vec<Key>,
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

    /// Acts on a tick of the load reports; returns the datagrams to send.
    pub fn tick(&mut self, inputs: &Inputs<'_>, now: Instant) -> Vec<Outgoing> {
        let view = inputs.view;
        if !view.load_control.overflow {
            self.clear_shown(inputs);
            return Vec::new();
        }
        self.tick = self.tick.wrapping_add(1);
        self.update_leaders(view, now);
        let mut outgoing = std::mem::take(&mut self.relayed);
        if self.tick.is_multiple_of(TICKS_PER_NEED * slowness(view)) {
            outgoing.extend(self.report_need(inputs, now));
        }
        if !self.is_acting(view, now) {
            self.clear_shown(inputs);
        } else if self.tick.is_multiple_of(TICKS_PER_ROUND) {
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
        let mut outgoing = self.room_messages(view, &services, round);
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
        let is_served = |service: &&zinniastall_model::routing::Service| {
            let mut regions = view.targets.regions(&service.name);
            regions.next().is_some()
        };
        let served = table.services.iter().filter(is_served).take(MAX_SERVICES);
        let mut services: Vec<Service<'a>> = served
            .map(|service| Service {
                name: &service.name,
                key: key(&service.name),
                room: rooms::of(inputs, table, service, now),
                grants: Amounts::default(),
                need: Amounts::default(),
                lenders: self.lenders(home, key(&service.name), now),
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
}

/// Returns by how much the messages within a region are less frequent than in a small one.
fn slowness(view: &View) -> u32 {
    let members = view.instances.in_region(&view.place.region);
    if members.count() > MAX_FREQUENT { 2 } else { 1 }
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
