//! Merges the messages of the control replicas into one view.
//!
//! Each replica tells what it heard itself, and any of them may be cut off, restarted or behind. So
//! the highest revision wins and never goes back within a run; of two reports of a target, the one
//! that replaces the other wins; and an instance is alive while any linked replica lists it.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_coord::rate::MAX_REPORT_DELAY;
use zinniastall_model::{
    id,
    place::Place,
    presence::{Presence, RegionLoad},
    target::{Known, Report, State as TargetState},
};
use zinniastall_wire::hub::{self, Configuration};

use crate::{
    index::{Instances, Loads, Targets},
    policy::Switches,
    view::{Departures, Target, View},
};

/// Link address of a control replica.
pub type Replica = String;

/// Time for which a replica's list of instances remains valid after its link or subscription ended.
/// Otherwise a link that breaks and reopens would briefly remove all its instances from the
/// directory.
const LIST_TTL: Duration = Duration::from_secs(3);
/// Time after which a target without new reports is forgotten. Long before that, it is used only if
/// it answers; until then it may be cut off from the replicas but not from this instance.
const REPORT_TTL: Duration = Duration::from_secs(25);

/// Time for which a replaced table is kept. Other instances learn of the later one within it, and send
/// on most of the requests that they have matched before.
const REPLACED_TTL: Duration = Duration::from_secs(6);
/// Replaced tables that are kept at most; one of hundreds of routes takes some 100 KB.
const MAX_REPLACED: usize = 4;

/// Everything that this instance has learned of the system.
#[derive(Debug)]
pub struct State {
    instance: id::Instance,
    place: Place,
    configuration: Option<Arc<Configuration>>,
    /// Configurations whose tables were replaced, latest first, and when.
    replaced: VecDeque<(Instant, Arc<Configuration>)>,
    targets: IndexMap<id::Target, Known>,
    lists: IndexMap<Replica, InstanceList>,
    /// Instances that are alive, and the number of lists that they were merged from.
    instances: Option<(usize, Arc<Instances>)>,
    reopened: IndexMap<id::Zone, Instant>,
    loads: Arc<Loads>,
    /// Runs of targets that said in their answers that they leave.
    departures: Arc<Departures>,
    switches: Switches,
    /// Whether instances of different capacities were listed in this run. A list that is cut down by
    /// a partition doesn't show that the deployment has changed.
    is_uneven: bool,
}

/// Instances that one replica is linked to.
#[derive(Debug, Default)]
struct InstanceList {
    instances: IndexMap<id::Instance, Presence>,
    /// Whether the replica is subscribed to and therefore sends changes.
    is_subscribed: bool,
    ended_at: Option<Instant>,
}

impl InstanceList {
    fn is_fresh(&self, now: Instant) -> bool {
        let fresh = |ended_at: Instant| now.saturating_duration_since(ended_at) < LIST_TTL;
        self.ended_at.is_none_or(fresh)
    }
}

impl State {
    /// Creates the state of an instance that has received nothing yet.
    pub fn new(instance: id::Instance, place: Place) -> Self {
        Self {
            instance,
            place,
            configuration: None,
            replaced: VecDeque::new(),
            targets: IndexMap::new(),
            lists: IndexMap::new(),
            instances: None,
            reopened: IndexMap::new(),
            loads: Arc::default(),
            departures: Arc::default(),
            switches: Switches::default(),
            is_uneven: false,
        }
    }

    /// Sets the parts of load control that are switched on.
    #[must_use]
    pub const fn with_load_control(mut self, switches: Switches) -> Self {
        self.switches = switches;
        self
    }

    /// Returns the revision of the configuration in force; 0 for none.
    pub fn revision(&self) -> id::Revision {
        self.configuration.as_ref().map_or(0, |held| held.revision)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.clone()
    }

    /// Replaces the configuration if the given one is newer; returns whether it is.
    pub fn apply_configuration(&mut self, configuration: Configuration, now: Instant) -> bool {
        if self.configuration.is_some() && configuration.revision <= self.revision() {
            return false;
        }
        self.record_reopened(&configuration, now);
        let before = self.configuration.replace(Arc::new(configuration));
        self.record_replaced(before, now);
        true
    }

    /// Merges reports of targets; returns those that change more than the time of the last report.
    pub fn apply_reports(&mut self, reports: Vec<Report>, now: Instant) -> Vec<Report> {
        let news = reports
            .into_iter()
            .filter_map(|report| self.apply_report(report, now));
        news.collect()
    }

    fn apply_report(&mut self, report: Report, now: Instant) -> Option<Report> {
        if Duration::from_millis(report.age_ms) > REPORT_TTL {
            return None;
        }
        let Some(held) = self.targets.get_mut(&report.target) else {
            let known = Known::new(report, now);
            let news = known.report().clone();
            self.targets.insert(news.target.clone(), known);
            self.retire_predecessors(&news);
            return Some(news);
        };
        let before = held.clone();
        if !held.merge(report, now) {
            return None;
        }
        let (news, differs) = (held.report().clone(), held.differs(&before));
        self.retire_predecessors(&news);
        differs.then_some(news)
    }

    /// Marks as gone the targets that earlier runs left behind at the address of a new target.
    fn retire_predecessors(&mut self, report: &Report) {
        if report.state == TargetState::Gone {
            return;
        }
        for known in self.targets.values_mut() {
            let other = known.report();
            let same = other.address == report.address && other.target != report.target;
            if same && other.incarnation < report.incarnation {
                known.end();
            }
        }
    }

    /// Records that a replica was subscribed to. Until its list arrives, it counts as an empty list
    /// that has ended, so that it doesn't displace the lists of other replicas.
    pub fn subscribe(&mut self, replica: &str, now: Instant) {
        let unheard = || InstanceList {
            ended_at: Some(now),
            ..InstanceList::default()
        };
        let list = self.lists.entry(replica.to_owned());
        list.or_insert_with(unheard).is_subscribed = true;
    }

    /// Applies a replica's list of the instances that are alive, or changes to it.
    ///
    /// Messages that arrive after the subscription ended are dropped. No later change would correct
    /// them, so an instance that was starting at that time would count as starting forever.
    pub fn apply_instances(&mut self, replica: &str, changes: hub::Instances) {
        let Some(list) = self
            .lists
            .get_mut(replica)
            .filter(|list| list.is_subscribed)
        else {
            return;
        };
        list.ended_at = None;
        if changes.whole {
            list.instances.clear();
        }
        for name in &changes.gone {
            list.instances.swap_remove(name);
        }
        let present = changes.present.into_iter();
        list.instances
            .extend(present.map(|presence| (presence.instance.clone(), presence)));
        self.instances = None;
    }

    /// Replaces the load of the regions. All replicas get the same information from the same
    /// instances, so the last message is as good as any.
    pub fn apply_loads(&mut self, loads: Vec<RegionLoad>) {
        self.loads = Arc::new(loads.into_iter().collect());
    }

    /// Records that a replica sends no more changes, because its link broke or other replicas are
    /// subscribed to instead.
    pub fn unsubscribe(&mut self, replica: &str, now: Instant) {
        if let Some(list) = self.lists.get_mut(replica) {
            list.is_subscribed = false;
            list.ended_at.get_or_insert(now);
            self.instances = None;
        }
    }

    /// Replaces the runs of targets that said in their answers that they leave.
    pub fn set_departures(&mut self, departures: Arc<Departures>) {
        self.departures = departures;
    }

    fn has_departed(&self, report: &Report) -> bool {
        let run = self.departures.get(&report.target);
        run.is_some_and(|run| *run >= report.incarnation)
    }

    /// Builds the view of the current state, and forgets targets whose reports are too old.
    pub fn view(&mut self, now: Instant) -> View {
        self.targets
            .retain(|_, known| now.saturating_duration_since(known.heard_at()) < REPORT_TTL);
        let instances = self.instances(now);
        self.is_uneven |= instances.is_uneven();
        let is_recent = |since: Instant| now.saturating_duration_since(since) < REPLACED_TTL;
        self.replaced.retain(|(since, _)| is_recent(*since));
        View {
            instance: self.instance.clone(),
            place: self.place.clone(),
            configuration: self.configuration.clone(),
            replaced: self
                .replaced
                .iter()
                .map(|(_, held)| Arc::clone(held))
                .collect(),
            targets: Arc::new(self.ready_targets(now)),
            instances,
            loads: Arc::clone(&self.loads),
            retry_share: None,
            load_control: self.switches.effective(self.is_uneven),
        }
    }

    fn ready_targets(&self, now: Instant) -> Targets {
        let ready = |known: &&Known| known.report().state == TargetState::Ready;
        let targets = self.targets.values().filter(ready).map(|known| {
            let report = known.report();
            let gone = report.left_ms.map(Duration::from_millis);
            let gone_at = gone.map(|left| known.heard_at() + left);
            Target {
                report: report.clone(),
                heard_at: known.heard_at(),
                cold_until: self.cold_until(known, now),
                gone_at: gone_at.or_else(|| self.has_departed(report).then_some(now)),
            }
        });
        targets
            .map(|target| (target.report.target.clone(), target))
            .collect()
    }

    fn cold_until(&self, known: &Known, now: Instant) -> Option<Instant> {
        let reported = known.heard_at() + Duration::from_millis(known.report().cold_ms);
        let presumed = self.presumed_cold_until(known).unwrap_or(reported);
        Some(reported.max(presumed)).filter(|until| *until > now)
    }

    /// Returns the time until which a target of a reopened zone is treated as cold.
    ///
    /// After an evacuation a target may have become cold without having reported it yet, so it is
    /// presumed cold until it reports otherwise or the duration of a cold start has passed.
    fn presumed_cold_until(&self, known: &Known) -> Option<Instant> {
        let report = known.report();
        let reopened = *self.reopened.get(&report.place.zone)?;
        if known.heard_at() > reopened + MAX_REPORT_DELAY {
            return None;
        }
        let table = self.configuration.as_ref()?.table.as_ref()?;
        let service = table.service(&report.service)?;
        Some(reopened + Duration::from_millis(service.cold_ms))
    }

    fn record_reopened(&mut self, next: &Configuration, now: Instant) {
        let Some(held) = &self.configuration else {
            return;
        };
        for zone in &held.evacuated {
            if !next.evacuated.contains(zone) {
                self.reopened.insert(zone.clone(), now);
            }
        }
    }

    /// Keeps a configuration for a time if its table was replaced.
    fn record_replaced(&mut self, before: Option<Arc<Configuration>>, now: Instant) {
        let number = |held: &Configuration| held.table.as_ref().map(|table| table.number);
        let in_force = self.configuration.as_deref().and_then(number);
        let Some(before) = before.filter(|before| number(before) != in_force) else {
            return;
        };
        self.replaced.push_front((now, before));
        self.replaced.truncate(MAX_REPLACED);
    }

    /// Returns the instances that are alive. The lists are merged anew only if one of them changed
    /// or the number of valid lists did.
    fn instances(&mut self, now: Instant) -> Arc<Instances> {
        let current_lists = self.current_lists(now).count();
        let held = self.instances.take();
        let held = held.filter(|(before, _)| *before == current_lists);
        let (_, instances) = held.unwrap_or_else(|| (current_lists, Arc::new(self.alive(now))));
        self.instances = Some((current_lists, Arc::clone(&instances)));
        instances
    }

    /// Returns the lists that are valid.
    ///
    /// If no replica is linked, this instance is the one that is cut off, and the lists remain valid
    /// that were when the last link ended.
    fn current_lists(&self, now: Instant) -> impl Iterator<Item = &InstanceList> {
        let linked = self.lists.values().any(|list| list.ended_at.is_none());
        let last_end = self.lists.values().filter_map(|list| list.ended_at).max();
        let moment = last_end.filter(|_| !linked).unwrap_or(now);
        let lists = self.lists.values();
        lists.filter(move |list| list.is_fresh(moment))
    }

    /// Returns the instances in any valid list.
    fn alive(&self, now: Instant) -> Instances {
        let mut alive: IndexMap<&id::Instance, &Presence> = IndexMap::new();
        for (name, presence) in self.current_lists(now).flat_map(|list| &list.instances) {
            let newer = |held: &&Presence| {
                // Of two entries for the same run, the one that is no longer ready is the later.
                let same = presence.incarnation == held.incarnation;
                presence.incarnation > held.incarnation || (same && !presence.ready)
            };
            if alive.get(name).is_none_or(newer) {
                alive.insert(name, presence);
            }
        }
        let alive = alive.into_iter();
        alive
            .map(|(name, presence)| (name.clone(), presence.clone()))
            .collect()
    }
}
