//! Settings of a control instance.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use crate::orders::Rules;
use zinniastall_coord::election::Timing;
use zinniastall_model::{id, place::Place};
use zinniastall_settings::{load::Settings, problem::Fault, reader::Reader};

/// Settings of a control instance.
#[derive(Debug, Clone)]
pub struct Control {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Region and availability zone of the instance.
    pub place: Place,
    /// Addresses to bind; port 0 takes any free port.
    pub listen: Listen,
    /// Addresses under which others reach the instance; the bound ones if absent.
    pub advertise: Advertise,
    /// Link addresses of the other control instances, which are asked before a cluster is founded.
    pub peers: Vec<SocketAddr>,
    /// Data directory, which holds the log.
    pub data: PathBuf,
    /// Address to which metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// Log level.
    pub log: String,
    /// Timing of the consensus; must be the same on all control instances.
    pub timing: Timing,
    /// Limits and safeguards for orders to targets.
    pub targets: Rules,
    /// Limits on memory and waiting times.
    pub limits: Limits,
    /// How the group forms and repairs itself.
    pub group: Group,
    /// Whether the machine may be suspended without its monotonic clock noticing. Leases are unsafe
    /// then, and a majority confirms every read.
    pub clock_stops: bool,
}

/// How a group forms and repairs itself.
#[derive(Debug, Clone, Default)]
pub struct Group {
    /// Whether new replicas and replicas that lost their disk are admitted, and replaced ones
    /// removed, without an operator.
    pub heals: bool,
    /// Whether this replica founds the cluster, once all of its peers answer that they belong to
    /// none.
    pub founds: bool,
    /// Voters that the group needs before it accepts its first change.
    pub size: usize,
    /// Losses of a disk that the group must bear at once; no removal leaves it fewer voters than
    /// that takes.
    pub losses: usize,
}

/// Addresses that a control instance binds.
#[derive(Debug, Clone)]
pub struct Listen {
    /// Operator interface (gRPC).
    pub operators: SocketAddr,
    /// Links between instances of the system.
    pub links: SocketAddr,
}

/// Addresses under which others reach a control instance.
#[derive(Debug, Clone)]
pub struct Advertise {
    /// Operator interface.
    pub operators: Option<SocketAddr>,
    /// Links.
    pub links: Option<SocketAddr>,
}

/// Limits on memory and waiting times.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Entries kept in memory behind a snapshot for replicas that lag slightly.
    pub retain: u64,
    /// Changes kept for followers that lag slightly.
    pub tail: usize,
    /// Links that entry instances and other replicas may open.
    pub links: usize,
    /// Watches that operators may hold open.
    pub watches: usize,
    /// Operators' calls that may wait at once.
    pub calls: usize,
    /// Longest wait of an operator for a commit; after it the outcome is reported as unknown.
    pub answer: Duration,
    /// Longest wait of a shutdown for commands in progress.
    pub drain: Duration,
}

impl Settings for Control {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            instance: reader.name("instance"),
            place: Place::new(reader.name("region"), reader.name("zone")),
            listen: reader.nested("listen", |reader| Listen {
                operators: reader.address("operators"),
                links: reader.address("links"),
            }),
            advertise: reader.nested("advertise", |reader| Advertise {
                operators: reader.optional_address("operators"),
                links: reader.optional_address("links"),
            }),
            peers: reader.addresses("peers"),
            data: PathBuf::from(reader.text("data")),
            statsd: reader.optional_address("statsd"),
            log: reader
                .optional_name("log")
                .unwrap_or_else(|| "info".to_owned()),
            timing: reader.nested("timing", read_timing),
            targets: reader.nested("targets", read_targets),
            limits: reader.nested("limits", read_limits),
            group: reader.nested("group", read_group),
            clock_stops: reader.flag("clock_stops", false),
        }
    }
}

fn read_timing(reader: &mut Reader<'_>) -> Timing {
    let heartbeat = reader.millis("heartbeat_ms", 5..=10_000, 200);
    let election = reader.millis("election_ms", 20..=60_000, 1_000);
    let timing = Timing::new(heartbeat, election);
    if timing.check().is_err() {
        reader.fault(
            "election_ms",
            Fault::Contradiction("heartbeat_ms: at least three heartbeats must fit"),
        );
    }
    timing
}

fn read_targets(reader: &mut Reader<'_>) -> Rules {
    Rules {
        checks: reader.names("checks"),
        send: reader.millis("send_ms", 100..=60_000, 2_000),
        loads_per_minute: reader.number("loads_per_minute", 1..=1_000_000, 60),
        burst: reader.number("burst", 1..=100_000, 4),
    }
}

fn read_group(reader: &mut Reader<'_>) -> Group {
    let size = reader.number("size", 1..=15, 1);
    Group {
        heals: reader.flag("heals", false),
        founds: reader.flag("founds", false),
        size: count(size),
        losses: count(reader.number("losses", 0..=7, (size - 1) / 2)),
    }
}

fn read_limits(reader: &mut Reader<'_>) -> Limits {
    Limits {
        snapshot_entries: reader.number("snapshot_entries", 16..=1_000_000, 1_024),
        retain: reader.number("retain", 1..=65_536, 512),
        tail: count(reader.number("tail", 1..=65_536, 1_024)),
        links: count(reader.number("links", 8..=65_536, 2_048)),
        watches: count(reader.number("watches", 1..=4_096, 64)),
        calls: count(reader.number("calls", 1..=65_536, 1_024)),
        answer: reader.millis("answer_ms", 100..=600_000, 10_000),
        drain: reader.millis("drain_ms", 100..=600_000, 10_000),
    }
}

/// Converts a validated number; its range keeps it within `usize`.
fn count(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
