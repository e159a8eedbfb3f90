//! Remembers the targets of this availability zone across a restart.
//!
//! Targets report about once a second. After a power loss of all instances a replica would hear of
//! them one by one during that second; the first few would get all requests, and most answers would
//! be late. So a replica keeps a list of the targets of its zone in its data directory, including
//! those that report to other replicas, and checks each of them when it starts. No entry is trusted
//! without a check: the target may have ended, its address may belong to another target, and a
//! target that has become cold fails when it gets more than a few requests a second.

use std::{
    cell::RefCell,
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
    rc::Rc,
    sync::{
        Arc,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use actix::Recipient;
use futures_util::future::join_all;
use http::{HeaderMap, Method};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time};
use zinniastall_http::{client, connection};
use zinniastall_model::{id, target::Report};
use zinniastall_wire::feed::Feed;

use crate::{control::Remember, hub::Hub};

/// Names of the list in the data directory and of its temporary file.
const FILE_NAMES: (&str, &str) = ("targets", "targets.tmp");
/// Largest age of the last report of a target that counts as present: a few heartbeats.
const REPORT_MAX_AGE: Duration = Duration::from_secs(5);
/// Time after which replicas of other zones are told again of targets that report here, and time
/// after which they drop targets that were not repeated. The second spans two lost messages.
const PEER_TIMINGS: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(25));
/// Interval at which the list is checked for changes. Targets come and go within seconds, and one
/// that is missing from the list reports within a second of the start, as all would without the
/// list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of the health request to a target. Targets in the same zone answer within milliseconds,
/// and after this time most have reported on their own.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Names of the header fields in a target's health response.
#[derive(Debug, Clone, Copy)]
pub struct Names {
    /// Field with the target's name.
    pub target: &'static str,
    /// Field with the remaining cold time, in milliseconds.
    pub cold_ms: &'static str,
}

/// The remembered targets of one replica.
#[derive(Debug)]
pub struct Recall {
    /// Receives the reports of targets.
    pub hub: Hub,
    /// Forwards targets of other zones to the replicas that remember them.
    pub control: Recipient<Remember>,
    /// Targets of this zone that other replicas report.
    pub registry: Registry,
    /// Configuration, which has the health path of each service.
    pub feed: watch::Receiver<Feed>,
    /// Availability zone whose targets are remembered. Replicas of other zones remember their own,
    /// so that each target is asked once.
    pub zone: id::Zone,
    /// Data directory.
    pub folder: PathBuf,
    /// Names of header fields.
    pub names: Names,
}

/// A target in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remembered {
    report: Report,
    health_path: String,
}

/// Targets of this replica's availability zone that other replicas report.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    targets: Rc<RefCell<IndexMap<id::Target, (Remembered, Instant)>>>,
}

impl Registry {
    /// Records targets reported by another replica, and drops those that were not repeated in time.
    pub fn record(&self, targets: Vec<Remembered>, now: Instant) {
        let mut held = self.targets.borrow_mut();
        for target in targets {
            held.insert(target.report.target.clone(), (target, now));
        }
        held.retain(|_, (_, heard)| now.saturating_duration_since(*heard) < PEER_TIMINGS.1);
    }

    /// Returns the targets that other replicas have reported.
    fn targets(&self) -> Vec<Remembered> {
        let held = self.targets.borrow();
        held.values().map(|(target, _)| target.clone()).collect()
    }
}

impl Remembered {
    /// Returns whether two reports come from the same run at the same address, so that the list
    /// need not be rewritten.
    fn is_same(&self, other: &Self) -> bool {
        let (one, other) = (&self.report, &other.report);
        let run = |report: &Report| (report.target.clone(), report.incarnation);
        run(one) == run(other) && one.address == other.address
    }
}

impl Recall {
    /// Checks the remembered targets, then keeps the list up to date.
    pub async fn run(self) {
        self.ask_all().await;
        let mut writer = match Writer::start(self.folder.clone()) {
            Ok(writer) => writer,
            Err(error) => {
                tracing::warn!(event = "targets-not-remembered", error = %error);
                return;
            }
        };
        let mut announcer = Announcer::default();
        loop {
            time::sleep(POLL_INTERVAL).await;
            let (own, others) = self.present();
            writer.save(own);
            for remember in announcer.due(others, Instant::now()) {
                self.control.do_send(remember);
            }
        }
    }

    async fn ask_all(&self) {
        let remembered = match read(&self.folder.join(FILE_NAMES.0)) {
            Ok(remembered) => remembered,
            Err(error) => {
                tracing::info!(event = "no-targets-remembered", reason = %error);
                return;
            }
        };
        let asked = remembered.into_iter().map(|target| self.ask(target));
        join_all(asked).await;
    }

    async fn ask(&self, remembered: Remembered) {
        let Remembered {
            report,
            health_path,
        } = remembered;
        let target = report.target.as_str();
        match cold_ms(&report, &health_path, self.names).await {
            Ok(cold_ms) => {
                tracing::info!(event = "target-recalled", target, cold_ms);
                self.hub.note(answered(report, cold_ms));
            }
            Err(reason) => tracing::info!(event = "target-not-recalled", target, reason = %reason),
        }
    }

    /// Returns the targets of this zone that accept requests, and those of other zones that report
    /// here, each sorted by name.
    fn present(&self) -> (Vec<Remembered>, Vec<Remembered>) {
        let state = Arc::clone(self.feed.borrow().state());
        let Some(routing) = &state.routing else {
            return Default::default();
        };
        let reports = self.hub.ready(REPORT_MAX_AGE).into_iter();
        let remembered = reports.filter_map(|report| {
            let service = routing.table.service(&report.service)?;
            Some(Remembered {
                health_path: service.health_path.clone(),
                report,
            })
        });
        let is_own = |target: &Remembered| target.report.place.zone == self.zone;
        let (mut own, mut others): (Vec<_>, Vec<_>) = remembered.partition(is_own);
        own.extend(self.registry.targets());
        for list in [&mut own, &mut others] {
            list.sort_by(|one, other| one.report.target.cmp(&other.report.target));
            list.dedup_by(|one, other| one.report.target == other.report.target);
        }
        (own, others)
    }
}

/// Returns the remembered report of a target that has just said how much longer it stays cold. What it
/// says holds from now on; the report's own age would make it look warm.
fn answered(report: Report, cold_ms: u64) -> Report {
    let age_ms = report.age_ms;
    Report {
        cold_ms,
        age_ms: 0,
        left_ms: report.left_ms.map(|left| left.saturating_sub(age_ms)),
        ..report
    }
}

/// Returns whether two lists name the same runs of the same targets.
fn are_same(one: &[Remembered], other: &[Remembered]) -> bool {
    let is_same = |(one, other): (&Remembered, &Remembered)| one.is_same(other);
    one.len() == other.len() && one.iter().zip(other).all(is_same)
}

/// Decides when other replicas are told of targets.
#[derive(Debug, Default)]
struct Announcer {
    announced: Vec<Remembered>,
    since: Option<Instant>,
}

impl Announcer {
    /// Returns the lists to send now: the whole list of each zone, if any list has changed or was
    /// last sent too long ago.
    fn due(&mut self, targets: Vec<Remembered>, now: Instant) -> Vec<Remember> {
        let is_fresh = |since: Instant| now.saturating_duration_since(since) < PEER_TIMINGS.0;
        if self.since.is_some_and(is_fresh) && are_same(&targets, &self.announced) {
            return Vec::new();
        }
        self.since = Some(now);
        self.announced.clone_from(&targets);
        let mut zones: IndexMap<id::Zone, Vec<Remembered>> = IndexMap::new();
        for target in targets {
            let zone = target.report.place.zone.clone();
            zones.entry(zone).or_default().push(target);
        }
        let lists = zones.into_iter();
        lists
            .map(|(zone, targets)| Remember { zone, targets })
            .collect()
    }
}

/// Writes the list to the data directory.
#[derive(Debug)]
struct Writer {
    queue: SyncSender<Vec<Remembered>>,
    saved: Vec<Remembered>,
}

impl Writer {
    /// Starts the writer thread, so that a stalled disk blocks nothing else.
    fn start(folder: PathBuf) -> io::Result<Self> {
        let (queue, lists) = sync_channel(1);
        let run = move || write_all(&folder, &lists);
        thread::Builder::new()
            .name("targets".to_owned())
            .spawn(run)?;
        Ok(Self {
            queue,
            saved: Vec::new(),
        })
    }

    /// Writes a list if it has changed. While the disk stalls the list is skipped; a later call
    /// writes it.
    fn save(&mut self, targets: Vec<Remembered>) {
        if are_same(&targets, &self.saved) {
            return;
        }
        if self.queue.try_send(targets.clone()).is_ok() {
            self.saved = targets;
        }
    }
}

/// Why a remembered target is not used until it reports on its own.
#[derive(Debug, thiserror::Error)]
enum Unconfirmed {
    #[error("it gave no answer: {0}")]
    NoAnswer(#[from] connection::Error),
    #[error("it gave no answer in time")]
    Late(#[from] time::error::Elapsed),
    #[error("it answered with status {0}")]
    Unhealthy(u16),
    #[error("another target lives at its address")]
    OtherTarget,
}

/// Asks a target how much longer it stays cold.
async fn cold_ms(report: &Report, health_path: &str, names: Names) -> Result<u64, Unconfirmed> {
    let call = (&Method::GET, health_path);
    let asked = client::ask(&report.address, call, HeaderMap::new(), &[], HEALTH_TIMEOUT);
    let answer = time::timeout(HEALTH_TIMEOUT, asked).await??;
    if !answer.status.is_success() {
        return Err(Unconfirmed::Unhealthy(answer.status.as_u16()));
    }
    let field = |name: &str| answer.headers.get(name)?.to_str().ok();
    if field(names.target) != Some(report.target.as_str()) {
        return Err(Unconfirmed::OtherTarget);
    }
    let cold_ms = field(names.cold_ms).and_then(|value| value.trim().parse::<f64>().ok());
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let whole = |cold_ms: f64| cold_ms.clamp(0.0, 1e12).ceil() as u64;
    // A target that does not say is as cold as in its last report.
    Ok(cold_ms.map_or(report.cold_ms, whole))
}

fn write_all(folder: &Path, lists: &Receiver<Vec<Remembered>>) {
    while let Ok(list) = lists.recv() {
        if let Err(error) = write(folder, &list) {
            tracing::warn!(event = "targets-not-remembered", error = %error);
        }
    }
}

/// Replaces the list atomically: after a power loss either the previous list or this one is there.
fn write(folder: &Path, list: &[Remembered]) -> io::Result<()> {
    let mut bytes = Vec::new();
    ciborium::into_writer(list, &mut bytes).map_err(io::Error::other)?;
    let temporary = folder.join(FILE_NAMES.1);
    let mut file = File::create(&temporary)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE_NAMES.0))?;
    File::open(folder)?.sync_all()
}

fn read(path: &Path) -> io::Result<Vec<Remembered>> {
    let bytes = fs::read(path)?;
    ciborium::from_reader(bytes.as_slice()).map_err(io::Error::other)
}
