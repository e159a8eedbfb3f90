//! Merges what control replicas say into one view.
//!
//! Replicas say what they heard themselves, and any of them may be cut off, restarted or behind. The
//! rules are: the highest revision wins and never goes back within a run; of two reports of a target
//! the one that replaces the other; an instance is alive while any linked replica says so.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use zinniastall_model::{
    id,
    place::Place,
    presence::{Presence, RegionLoad},
    target::{Report, State as TargetState},
};
use zinniastall_wire::hub::{self, Configuration};

use crate::{
    index::{Instances, Loads, Targets},
    view::{Target, View},
};

/// Address of a control replica's links.
pub type Replica = String;

/// Time for which a replica's list of instances outlives its link or the subscription to it. Without it, a link
/// that breaks and opens again would take all of them out of the directory for a moment.
const LIST_TTL: Duration = Duration::from_secs(3);
/// Time after which a target that reports no more is forgotten. Long before that it is used only when
/// it answers; until then it may be cut off from the replicas and not from here.
const REPORT_TTL: Duration = Duration::from_secs(25);
/// Time after the end of an evacuation within which a report may still speak of the time before: what
/// passes on the way from a target over a replica to here.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(400);

/// What this instance knows of the rest of the system.
#[derive(Debug)]
pub struct State {
    instance: id::Instance,
    place: Place,
    configuration: Option<Arc<Configuration>>,
    targets: IndexMap<id::Target, KnownTarget>,
    lists: IndexMap<Replica, InstanceList>,
    /// Those that are alive, and how many lists that rests on.
    instances: Option<(usize, Arc<Instances>)>,
    reopened: IndexMap<id::Zone, Instant>,
    loads: Arc<Loads>,
}

#[derive(Debug)]
struct KnownTarget {
    report: Report,
    heard_at: Instant,
}

/// The instances that one replica is linked with.
#[derive(Debug, Default)]
struct InstanceList {
    instances: IndexMap<id::Instance, Presence>,
    /// Whether the replica is asked for it, so that it tells changes.
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
    /// Creates the knowledge of an instance that has heard nothing yet.
    pub fn new(instance: id::Instance, place: Place) -> Self {
        Self {
            instance,
            place,
            configuration: None,
            targets: IndexMap::new(),
            lists: IndexMap::new(),
            instances: None,
            reopened: IndexMap::new(),
            loads: Arc::default(),
        }
    }

    /// Returns the revision of the configuration in force; 0 for none.
    pub fn revision(&self) -> id::Revision {
        self.configuration.as_ref().map_or(0, |held| held.revision)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.clone()
    }

    /// Takes a configuration, unless it is no newer than the one in force.
    pub fn apply_configuration(&mut self, configuration: Configuration, now: Instant) -> bool {
        if self.configuration.is_some() && configuration.revision <= self.revision() {
            return false;
        }
        self.record_reopened(&configuration, now);
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Takes reports of targets; returns those that change what is believed of a target, beyond that it
    /// is still there.
    pub fn apply_reports(&mut self, reports: Vec<Report>, now: Instant) -> Vec<Report> {
        let news = reports
            .into_iter()
            .filter_map(|report| self.apply_report(report, now));
        news.collect()
    }

    fn apply_report(&mut self, report: Report, now: Instant) -> Option<Report> {
        let age = Duration::from_millis(report.age_ms);
        let held = self.targets.get(&report.target);
        if age > REPORT_TTL || held.is_some_and(|held| !report.replaces(&held.report)) {
            return None;
        }
        let is_news = held.is_none_or(|held| report.differs(&held.report));
        if report.state != TargetState::Gone {
            self.retire_predecessors(&report);
        }
        let heard_at = now.checked_sub(age).unwrap_or(now);
        let news = is_news.then(|| report.clone());
        let target = report.target.clone();
        self.targets
            .insert(target, KnownTarget { report, heard_at });
        news
    }

    /// Marks targets gone that an earlier run left behind at the address of a new one.
    fn retire_predecessors(&mut self, report: &Report) {
        for known in self.targets.values_mut() {
            let other = &mut known.report;
            let same = other.address == report.address && other.target != report.target;
            if same && other.incarnation < report.incarnation {
                other.state = TargetState::Gone;
            }
        }
    }

    /// Notes that a replica is asked which instances there are. Until it has told, its list doesn't stand for
    /// others': it is empty.
    pub fn subscribe(&mut self, replica: &str, now: Instant) {
        let unheard = || InstanceList {
            ended_at: Some(now),
            ..InstanceList::default()
        };
        let list = self.lists.entry(replica.to_owned());
        list.or_insert_with(unheard).is_subscribed = true;
    }

    /// Takes a replica's list of the instances that are alive, or what has changed of it.
    ///
    /// One that was on its way when the replica was asked no more is dropped: no change would ever correct it, and
    /// instances that were starting by it would count as starting for good.
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

    /// Takes a replica's word on the load of regions. All replicas are told the same by the same instances, so
    /// the last word is as good as any.
    pub fn apply_loads(&mut self, loads: Vec<RegionLoad>) {
        self.loads = Arc::new(loads.into_iter().collect());
    }

    /// Notes that a replica says no more of instances: its link broke, or others are asked now.
    pub fn unsubscribe(&mut self, replica: &str, now: Instant) {
        if let Some(list) = self.lists.get_mut(replica) {
            list.is_subscribed = false;
            list.ended_at.get_or_insert(now);
        }
    }

    /// Makes the view of what is known now, and forgets what is too old.
    pub fn view(&mut self, now: Instant) -> View {
        self.targets
            .retain(|_, known| now.saturating_duration_since(known.heard_at) < REPORT_TTL);
        View {
            instance: self.instance.clone(),
            place: self.place.clone(),
            configuration: self.configuration.clone(),
            targets: Arc::new(self.ready_targets(now)),
            instances: self.instances(now),
            loads: Arc::clone(&self.loads),
        }
    }

    fn ready_targets(&self, now: Instant) -> Targets {
        let ready = |known: &&KnownTarget| known.report.state == TargetState::Ready;
        let targets = self.targets.values().filter(ready).map(|known| {
            let gone = known.report.left_ms.map(Duration::from_millis);
            Target {
                report: known.report.clone(),
                heard_at: known.heard_at,
                cold_until: self.cold_until(known, now),
                gone_at: gone.map(|left| known.heard_at + left),
            }
        });
        targets
            .map(|target| (target.report.target.clone(), target))
            .collect()
    }

    fn cold_until(&self, known: &KnownTarget, now: Instant) -> Option<Instant> {
        let reported = known.heard_at + Duration::from_millis(known.report.cold_ms);
        let presumed = self.presumed_cold_until(known).unwrap_or(reported);
        Some(reported.max(presumed)).filter(|until| *until > now)
    }

    /// Returns until when a target of a zone that was taken back is to be treated as cold: until it
    /// says since then that it is not, or for as long as a start takes.
    fn presumed_cold_until(&self, known: &KnownTarget) -> Option<Instant> {
        let reopened = *self.reopened.get(&known.report.place.zone)?;
        if known.heard_at > reopened + MAX_REPORT_DELAY {
            return None;
        }
        let table = self.configuration.as_ref()?.table.as_ref()?;
        let service = table.service(&known.report.service)?;
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

    /// Returns the instances that are alive, made anew only where that may have changed: a list was heard, or
    /// another number of lists counts than before.
    fn instances(&mut self, now: Instant) -> Arc<Instances> {
        let current_lists = self.current_lists(now).count();
        let held = self.instances.take();
        let held = held.filter(|(before, _)| *before == current_lists);
        let (_, instances) = held.unwrap_or_else(|| (current_lists, Arc::new(self.alive(now))));
        self.instances = Some((current_lists, Arc::clone(&instances)));
        instances
    }

    /// Returns the lists that count.
    ///
    /// Where no replica is linked, all are as they were: this instance is the one that is cut off.
    fn current_lists(&self, now: Instant) -> impl Iterator<Item = &InstanceList> {
        let linked = self.lists.values().any(|list| list.ended_at.is_none());
        let lists = self.lists.values();
        lists.filter(move |list| !linked || list.is_fresh(now))
    }

    /// Returns the instances that any replica lists.
    fn alive(&self, now: Instant) -> Instances {
        let mut alive: IndexMap<&id::Instance, &Presence> = IndexMap::new();
        for (name, presence) in self.current_lists(now).flat_map(|list| &list.instances) {
            let newer = |held: &&Presence| {
                // Of two lists on one run, the one that knows of its end is the later.
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
