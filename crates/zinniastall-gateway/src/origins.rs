//! Which software versions began streams: the records of this instance, and those of others; see
//! [`zinniastall_coord::origin`].

use std::{
    cell::RefCell,
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use indexmap::{IndexMap, IndexSet};
use tokio::net::UdpSocket;
use zinniastall_coord::origin::{self, Found, Key, Origin, Record, Records, Requirement};
use zinniastall_model::id;

use crate::{
    freshness::Trust,
    neighbours::{datagram::Datagram, queries::Queries},
    view::{Shared, View},
};

/// Timeout for an answer, after which the question is repeated once: a round trip between the farthest
/// regions. A datagram may be lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of times that an instance is asked.
const TRIES: usize = 2;
/// Time after its beginning within which a stream's target may report a run that had begun before.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Streams that are watched at most: those of [`WATCH_TIME`] at several times the usual rate.
const MAX_WATCHED: usize = 2_048;
/// Records in one datagram; each takes at most 120 bytes unless names are long.
const MAX_RECORDS_PER_DATAGRAM: usize = 10;

/// Origins of streams, as this instance knows them and asks others for them.
#[derive(Debug, Default)]
pub struct Origins {
    records: RefCell<Records>,
    queries: Queries,
    /// Streams that began of late at targets which may have started again before.
    watched: RefCell<VecDeque<Watched>>,
    /// Services whose streams have a sole version for certain, so that no other instance is told.
    untold: RefCell<IndexSet<id::Service>>,
}

/// A stream and the target that began it, as it had reported itself by then.
#[derive(Debug)]
struct Watched {
    key: Key,
    target: id::Target,
    incarnation: id::Incarnation,
    life: Duration,
    since: Instant,
}

/// Returns the version at which all streams of a service began, if that is certain.
pub fn sole_version(state: &Shared, service: &str) -> Option<id::Version> {
    // The view is read after the lease, so it is at least as new as the one that the lease covers.
    let trust = state.trust();
    let view = state.view();
    let versions = view.versions()?.get(service)?;
    versions.sole().filter(|_| trust == Trust::Fresh).cloned()
}

/// Returns the requirement of a request that begins a stream of a service.
pub fn beginning(view: &View, service: &str) -> Requirement {
    let Some(versions) = view.versions() else {
        // The control replicas don't keep versions, so nothing is concluded from them either.
        return Requirement::Any;
    };
    Requirement::Settled(versions.get(service).cloned().unwrap_or_default())
}

impl Origins {
    /// Sets the socket to tell and ask others from; without one no others are told or asked.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.queries.set_socket(socket);
    }

    /// Returns what this instance knows of the beginning of a stream.
    pub fn find(&self, key: &Key) -> Found {
        self.records.borrow().find(key, Instant::now())
    }

    /// Records what began a stream, and tells others unless all streams began at one version; `life`
    /// is the time for which its caller may take it up.
    pub fn insert(&self, state: &Shared, key: Key, origin: &Origin, life: Duration) {
        let now = Instant::now();
        self.records.borrow_mut().insert(key, origin, life, now);
        if sole_version(state, &origin.service).is_some() {
            return;
        }
        let record = Record {
            key,
            origin: origin.clone(),
            left_ms: u64::try_from(life.as_millis()).unwrap_or(u64::MAX),
        };
        let view = state.view();
        let regions = others(&view);
        let told = origin::copies(&key, &view.place.region, &regions);
        let datagram = Datagram::Origins(vec![record]);
        for address in told.iter().filter_map(|name| address(&view, name)) {
            self.queries.tell(address, &datagram);
        }
    }

    /// Notes the target that began a stream: if it reports a later run soon, that run may have begun it.
    pub fn watch(&self, key: Key, target: &str, incarnation: id::Incarnation, life: Duration) {
        let mut watched = self.watched.borrow_mut();
        watched.push_back(Watched {
            key,
            target: target.to_owned(),
            incarnation,
            life,
            since: Instant::now(),
        });
        let surplus = watched.len().saturating_sub(MAX_WATCHED);
        watched.drain(..surplus);
    }

    /// Records the later runs of targets that may have begun streams; where their version is another,
    /// the two records contradict each other, here and at all that were told.
    fn correct(&self, state: &Shared, view: &View, now: Instant) {
        let mut watched = self.watched.borrow_mut();
        while watched
            .pop_front_if(|stream| stream.since + WATCH_TIME < now)
            .is_some()
        {}
        watched.retain(|stream| {
            let Some(known) = view.targets.by_name().get(&stream.target) else {
                return true;
            };
            let report = &known.report;
            let is_later = report.incarnation > stream.incarnation;
            let next = Origin::new(&report.service, report.version.as_deref());
            if let Some(next) = next.filter(|_| is_later) {
                self.insert(state, stream.key, &next, stream.life);
            }
            !is_later
        });
    }

    /// Asks other instances what began a stream; the first that knows it decides.
    pub async fn ask(&self, view: &View, key: &Key) -> Found {
        let regions = others(view);
        let asked = origin::asked(key, &view.place.region, &regions);
        let addresses = asked.iter().filter_map(|name| address(view, name));
        let question = |number| Datagram::OriginQuestion { number, key: *key };
        let questions = addresses.map(|address| {
            self.queries
                .ask_within(address, TRIES, ANSWER_TIMEOUT, question)
        });
        let mut answers: FuturesUnordered<_> = questions.collect();
        while let Some(answer) = answers.next().await {
            match answer {
                Some(Datagram::OriginAnswer {
                    origin: Some(origin),
                    ..
                }) => return Found::Origin(origin),
                Some(Datagram::OriginAnswer {
                    is_disputed: true, ..
                }) => return Found::Disputed,
                _ => {}
            }
        }
        Found::Nothing
    }

    /// Returns the answer to another instance's question.
    pub fn answer(&self, number: u32, key: &Key) -> Datagram {
        let found = self.find(key);
        let is_disputed = found == Found::Disputed;
        let origin = match found {
            Found::Origin(origin) => Some(origin),
            Found::Nothing | Found::Disputed => None,
        };
        Datagram::OriginAnswer {
            number,
            origin,
            is_disputed,
        }
    }

    /// Completes the question that an instance has answered.
    pub fn receive_answer(&self, number: u32, answer: Datagram) {
        self.queries.receive_answer(number, answer);
    }

    /// Merges the records that another instance told.
    pub fn receive(&self, told: &[Record], now: Instant) {
        let mut records = self.records.borrow_mut();
        for record in told {
            records.merge(record, now);
        }
    }

    /// Forgets what has expired, and tells others of the streams of services whose sole version has
    /// become uncertain: they began when no others were told.
    pub fn update(&self, state: &Shared, now: Instant) {
        self.records.borrow_mut().expire(now);
        self.queries.expire();
        let view = state.view();
        self.correct(state, &view, now);
        let Some(versions) = view.versions() else {
            return;
        };
        let services = versions.keys();
        let certain: IndexSet<id::Service> = services
            .filter(|service| sole_version(state, service).is_some())
            .cloned()
            .collect();
        let before = self.untold.replace(certain);
        let certain = self.untold.borrow();
        let is_news = |record: &Record| {
            let service = &record.origin.service;
            before.contains(service) && !certain.contains(service)
        };
        if before.iter().all(|service| certain.contains(service)) {
            return;
        }
        let mut news = self.records.borrow().all(now);
        news.retain(is_news);
        self.tell_all(&view, &news);
    }

    /// Tells others all that this instance knows, except of services whose sole version is certain. To be
    /// called before it ends: those that were told with it may end as well, one after the other.
    pub fn hand_over(&self, state: &Shared) {
        let mut records = self.records.borrow().all(Instant::now());
        records.retain(|record| sole_version(state, &record.origin.service).is_none());
        if !records.is_empty() {
            self.tell_all(&state.view(), &records);
        }
    }

    fn tell_all(&self, view: &View, news: &[Record]) {
        let regions = others(view);
        let mut by_instance: IndexMap<&str, Vec<Record>> = IndexMap::new();
        for record in news {
            for name in origin::copies(&record.key, &view.place.region, &regions) {
                by_instance.entry(name).or_default().push(record.clone());
            }
        }
        for (name, records) in by_instance {
            let Some(address) = address(view, name) else {
                continue;
            };
            for part in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
                self.queries
                    .tell(address, &Datagram::Origins(part.to_vec()));
            }
        }
        tracing::info!(event = "origins-told", streams = news.len());
    }
}

/// Returns the other instances that hold records, by region.
fn others(view: &View) -> IndexMap<&str, Vec<&str>> {
    let mut regions: IndexMap<&str, Vec<&str>> = IndexMap::new();
    let instances = view.instances.by_name().values();
    let holders = instances.filter(|held| held.checks_origins && held.instance != view.instance);
    for held in holders {
        let region = regions.entry(&held.place.region).or_default();
        region.push(&held.instance);
    }
    regions
}

fn address(view: &View, instance: &str) -> Option<SocketAddr> {
    let presence = view.instances.by_name().get(instance)?;
    presence.forward.parse().ok()
}
