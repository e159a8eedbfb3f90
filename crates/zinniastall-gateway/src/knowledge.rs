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
    target::{Report, State},
};
use zinniastall_wire::hub::Configuration;

use crate::{
    groups::{Instances, Loads, Targets},
    view::{Target, View},
};

/// Address of a control replica's links.
pub type Replica = String;

/// Time for which a replica's word on instances outlives its link. Without it, a link that breaks and
/// opens again would take all of them out of the directory for a moment.
const WORD: Duration = Duration::from_secs(3);
/// Time after which a target that reports no more is forgotten. Long before that it is used only when
/// it answers; until then it may be cut off from the replicas and not from here.
const FORGOTTEN: Duration = Duration::from_secs(25);
/// Time after the end of an evacuation within which a report may still speak of the time before: what
/// passes on the way from a target over a replica to here.
const ON_THE_WAY: Duration = Duration::from_millis(400);

/// What this instance knows of the rest of the system.
#[derive(Debug)]
pub struct Knowledge {
    instance: id::Instance,
    place: Place,
    configuration: Option<Arc<Configuration>>,
    targets: IndexMap<id::Target, Known>,
    words: IndexMap<Replica, Word>,
    reopened: IndexMap<id::Zone, Instant>,
    loads: Arc<Loads>,
}

#[derive(Debug)]
struct Known {
    report: Report,
    heard: Instant,
}

/// What one replica says of instances.
#[derive(Debug, Default)]
struct Word {
    instances: Vec<Presence>,
    cut: Option<Instant>,
}

impl Knowledge {
    /// Creates the knowledge of an instance that has heard nothing yet.
    pub fn new(instance: id::Instance, place: Place) -> Self {
        Self {
            instance,
            place,
            configuration: None,
            targets: IndexMap::new(),
            words: IndexMap::new(),
            reopened: IndexMap::new(),
            loads: Arc::default(),
        }
    }

    /// Returns the revision of the configuration in force; 0 for none.
    pub fn revision(&self) -> id::Revision {
        self.configuration.as_ref().map_or(0, |held| held.revision)
    }

    /// Takes a configuration, unless it is no newer than the one in force.
    pub fn configure(&mut self, configuration: Configuration, now: Instant) -> bool {
        if self.configuration.is_some() && configuration.revision <= self.revision() {
            return false;
        }
        self.note_reopened(&configuration, now);
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Takes reports of targets; returns those that change what is believed of a target, beyond that it
    /// is still there.
    pub fn hear(&mut self, reports: Vec<Report>, now: Instant) -> Vec<Report> {
        let news = reports
            .into_iter()
            .filter_map(|report| self.hear_one(report, now));
        news.collect()
    }

    fn hear_one(&mut self, report: Report, now: Instant) -> Option<Report> {
        let age = Duration::from_millis(report.age_ms);
        let held = self.targets.get(&report.target);
        if age > FORGOTTEN || held.is_some_and(|held| !report.replaces(&held.report)) {
            return None;
        }
        let is_news = held.is_none_or(|held| report.differs(&held.report));
        if report.state != State::Gone {
            self.vacate(&report);
        }
        let heard = now.checked_sub(age).unwrap_or(now);
        let news = is_news.then(|| report.clone());
        let target = report.target.clone();
        self.targets.insert(target, Known { report, heard });
        news
    }

    /// Marks targets gone that an earlier run left behind at the address of a new one.
    fn vacate(&mut self, report: &Report) {
        for known in self.targets.values_mut() {
            let other = &mut known.report;
            let same = other.address == report.address && other.target != report.target;
            if same && other.incarnation < report.incarnation {
                other.state = State::Gone;
            }
        }
    }

    /// Takes a replica's word on which instances are alive.
    pub fn hear_instances(&mut self, replica: &str, instances: Vec<Presence>) {
        let word = self.words.entry(replica.to_owned()).or_default();
        *word = Word {
            instances,
            cut: None,
        };
    }

    /// Takes a replica's word on the load of regions. All replicas are told the same by the same instances, so
    /// the last word is as good as any.
    pub fn hear_loads(&mut self, loads: Vec<RegionLoad>) {
        self.loads = Arc::new(loads.into_iter().collect());
    }

    /// Notes that the link to a replica broke.
    pub fn lose(&mut self, replica: &str, now: Instant) {
        if let Some(word) = self.words.get_mut(replica) {
            word.cut.get_or_insert(now);
        }
    }

    /// Makes the view of what is known now, and forgets what is too old.
    pub fn view(&mut self, now: Instant) -> View {
        self.targets
            .retain(|_, known| now.saturating_duration_since(known.heard) < FORGOTTEN);
        View {
            instance: self.instance.clone(),
            place: self.place.clone(),
            configuration: self.configuration.clone(),
            targets: Arc::new(self.usable(now)),
            instances: Arc::new(self.alive(now)),
            loads: Arc::clone(&self.loads),
        }
    }

    fn usable(&self, now: Instant) -> Targets {
        let ready = |known: &&Known| known.report.state == State::Ready;
        let targets = self.targets.values().filter(ready).map(|known| {
            let gone = known.report.left_ms.map(Duration::from_millis);
            Target {
                report: known.report.clone(),
                heard: known.heard,
                cold_until: self.cold_until(known, now),
                gone_at: gone.map(|left| known.heard + left),
            }
        });
        targets
            .map(|target| (target.report.target.clone(), target))
            .collect()
    }

    fn cold_until(&self, known: &Known, now: Instant) -> Option<Instant> {
        let said = known.heard + Duration::from_millis(known.report.cold_ms);
        let feared = self.feared_cold(known).unwrap_or(said);
        Some(said.max(feared)).filter(|until| *until > now)
    }

    /// Returns until when a target of a zone that was taken back is to be treated as cold: until it
    /// says since then that it is not, or for as long as a start takes.
    fn feared_cold(&self, known: &Known) -> Option<Instant> {
        let reopened = *self.reopened.get(&known.report.place.zone)?;
        if known.heard > reopened + ON_THE_WAY {
            return None;
        }
        let table = self.configuration.as_ref()?.table.as_ref()?;
        let service = table.service(&known.report.service)?;
        Some(reopened + Duration::from_millis(service.cold_ms))
    }

    fn note_reopened(&mut self, next: &Configuration, now: Instant) {
        let Some(held) = &self.configuration else {
            return;
        };
        for zone in &held.evacuated {
            if !next.evacuated.contains(zone) {
                self.reopened.insert(zone.clone(), now);
            }
        }
    }

    /// Returns the instances that any replica calls alive.
    ///
    /// Where no replica is linked, all are as they were: this instance is the one that is cut off.
    fn alive(&self, now: Instant) -> Instances {
        let linked = self.words.values().any(|word| word.cut.is_none());
        let counts = |word: &&Word| {
            let fresh = |cut: Instant| now.saturating_duration_since(cut) < WORD;
            !linked || word.cut.is_none_or(fresh)
        };
        let mut alive: IndexMap<id::Instance, Presence> = IndexMap::new();
        for presence in self
            .words
            .values()
            .filter(counts)
            .flat_map(|word| &word.instances)
        {
            let held = alive.get(&presence.instance);
            let newer = |held: &Presence| {
                // Of two words on one run, the one that knows of its end is the later.
                let same = presence.incarnation == held.incarnation;
                presence.incarnation > held.incarnation || (same && !presence.ready)
            };
            if held.is_none_or(newer) {
                alive.insert(presence.instance.clone(), presence.clone());
            }
        }
        alive.into_iter().collect()
    }
}
