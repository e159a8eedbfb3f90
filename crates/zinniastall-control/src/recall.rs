//! Remembers the targets of this availability zone over a restart.
//!
//! Targets report every second or so. After a loss of all power a replica would hear of them one by one in
//! that time, the first few would get all requests, and most answers would come late. So a replica keeps a
//! list of the targets of its zone in its data folder, those that report to other replicas included, and
//! asks each of them at its start whether it is still there. Nothing is believed unasked: a target may have ended, its address may belong to another
//! one, and one that has turned cold meanwhile fails when it gets more than a few requests a second.

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
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time};
use zinniastall_model::{id, target::Report};
use zinniastall_wire::feed::Feed;

use crate::{control::Remember, hub::Hub};

/// Name of the list in the data folder, and of the one that is being written.
const FILE_NAMES: (&str, &str) = ("targets", "targets.tmp");
/// Age of a target's last report up to which it counts as there: a few heartbeats.
const REPORT_MAX_AGE: Duration = Duration::from_secs(5);
/// Time after which the replicas of other zones are told again of targets that report here, and after which
/// their word is forgotten: two of them may be lost.
const PEER_INTERVAL_AND_TTL: (Duration, Duration) =
    (Duration::from_secs(10), Duration::from_secs(25));
/// Time between two looks at whether the list has changed. Targets come and go within seconds, and who is
/// missing from the list is heard of a second after the start, as all would be without it.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for a target's word. Targets of the same zone answer within some milliseconds; after this
/// most have reported by themselves.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Names of header fields with which a target answers when it is asked how it is.
#[derive(Debug, Clone, Copy)]
pub struct Names {
    /// Its own name.
    pub target: &'static str,
    /// How much longer it stays cold, in milliseconds.
    pub cold_ms: &'static str,
}

/// The list of one replica.
#[derive(Debug)]
pub struct Recall {
    /// Where targets are reported.
    pub hub: Hub,
    /// Passes on what other replicas have to remember.
    pub control: Recipient<Remember>,
    /// What other replicas say of targets of this zone.
    pub registry: Registry,
    /// Configuration, which says where targets are asked how they are.
    pub feed: watch::Receiver<Feed>,
    /// Availability zone whose targets are remembered. Replicas of other zones remember theirs, so that each
    /// target is asked once.
    pub zone: id::Zone,
    /// Data folder.
    pub folder: PathBuf,
    /// Names of header fields.
    pub names: Names,
}

/// A target, as it stands in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Remembered {
    report: Report,
    health_path: String,
}

/// What other replicas say of the targets of this replica's availability zone.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    targets: Rc<RefCell<IndexMap<id::Target, (Remembered, Instant)>>>,
}

impl Registry {
    /// Takes another replica's word, and forgets what nobody has said for a while.
    pub fn record(&self, targets: Vec<Remembered>, now: Instant) {
        let mut held = self.targets.borrow_mut();
        for target in targets {
            held.insert(target.report.target.clone(), (target, now));
        }
        held.retain(|_, (_, heard)| {
            now.saturating_duration_since(*heard) < PEER_INTERVAL_AND_TTL.1
        });
    }

    /// Returns the targets that other replicas named.
    fn targets(&self) -> Vec<Remembered> {
        let held = self.targets.borrow();
        held.values().map(|(target, _)| target.clone()).collect()
    }
}

impl Remembered {
    /// Tells whether the list needs not be written again for another report of the same target.
    fn is_same(&self, other: &Self) -> bool {
        let (one, other) = (&self.report, &other.report);
        let run = |report: &Report| (report.target.clone(), report.incarnation);
        run(one) == run(other) && one.address == other.address
    }
}

impl Recall {
    /// Asks the targets that are remembered, and remembers those that report from then on.
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
        let connector = awc::Connector::new().timeout(HEALTH_TIMEOUT);
        let client = awc::Client::builder()
            .connector(connector)
            .timeout(HEALTH_TIMEOUT)
            .finish();
        let asked = remembered
            .into_iter()
            .map(|target| self.ask(&client, target));
        join_all(asked).await;
    }

    async fn ask(&self, client: &awc::Client, remembered: Remembered) {
        let Remembered {
            report,
            health_path,
        } = remembered;
        let target = report.target.as_str();
        match cold_ms(client, &report, &health_path, self.names).await {
            Ok(cold_ms) => {
                tracing::info!(event = "target-recalled", target, cold_ms);
                self.hub.note(Report { cold_ms, ..report });
            }
            Err(reason) => tracing::info!(event = "target-not-recalled", target, reason = %reason),
        }
    }

    /// Returns the targets of this zone that take requests now, and those of others that report here, each in
    /// the order of their names.
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

/// Tells whether two lists name the same runs of the same targets.
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
    /// Returns what to tell each zone now: its whole list, where any list has changed or the word is old.
    fn due(&mut self, targets: Vec<Remembered>, now: Instant) -> Vec<Remember> {
        let is_fresh =
            |since: Instant| now.saturating_duration_since(since) < PEER_INTERVAL_AND_TTL.0;
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

/// Keeps the list in the data folder.
#[derive(Debug)]
struct Writer {
    writer: SyncSender<Vec<Remembered>>,
    saved: Vec<Remembered>,
}

impl Writer {
    /// Starts the thread that writes; a disk that hangs holds nothing else up.
    fn start(folder: PathBuf) -> io::Result<Self> {
        let (writer, lists) = sync_channel(1);
        let run = move || write_all(&folder, &lists);
        thread::Builder::new()
            .name("targets".to_owned())
            .spawn(run)?;
        Ok(Self {
            writer,
            saved: Vec::new(),
        })
    }

    /// Writes a list that says something new; where the disk hangs, the next one does.
    fn save(&mut self, targets: Vec<Remembered>) {
        if are_same(&targets, &self.saved) {
            return;
        }
        if self.writer.try_send(targets.clone()).is_ok() {
            self.saved = targets;
        }
    }
}

/// Why a remembered target isn't used before it reports by itself.
#[derive(Debug, thiserror::Error)]
enum Unconfirmed {
    #[error("it gave no answer: {0}")]
    NoAnswer(#[from] awc::error::SendRequestError),
    #[error("it answered with status {0}")]
    Unhealthy(u16),
    #[error("another target lives at its address")]
    OtherTarget,
}

/// Asks a target how much longer it stays cold.
async fn cold_ms(
    client: &awc::Client,
    report: &Report,
    health_path: &str,
    names: Names,
) -> Result<u64, Unconfirmed> {
    let url = format!("http://{}{health_path}", report.address);
    let answer = client.get(url).send().await?;
    if !answer.status().is_success() {
        return Err(Unconfirmed::Unhealthy(answer.status().as_u16()));
    }
    let field = |name: &str| answer.headers().get(name)?.to_str().ok();
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
    // One that doesn't say is as cold as it was.
    Ok(cold_ms.map_or(report.cold_ms, whole))
}

fn write_all(folder: &Path, lists: &Receiver<Vec<Remembered>>) {
    while let Ok(list) = lists.recv() {
        if let Err(error) = write(folder, &list) {
            tracing::warn!(event = "targets-not-remembered", error = %error);
        }
    }
}

/// Replaces the list as a whole. A power cut leaves the one before or this one.
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
