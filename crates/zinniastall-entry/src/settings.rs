//! Settings of an entry instance.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use zinniastall_model::{id, place::Place};
use zinniastall_settings::{load::Settings, reader::Reader};

use crate::{callers, follow, spread};

/// Settings of an entry instance.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Name of the instance; it survives restarts.
    pub instance: id::Instance,
    /// Where it runs.
    pub place: Place,
    /// Addresses that it binds; port 0 takes any free port.
    pub listen: Listen,
    /// Addresses under which others reach it; the bound ones where absent.
    pub advertise: Advertise,
    /// Links of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Links of some entry instances, of its own zone first.
    pub seeds: Vec<SocketAddr>,
    /// Folder in which the last configuration is kept, for a restart while cut off.
    pub data: Option<PathBuf>,
    /// Where metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// Log level.
    pub log: String,
    /// Threads that serve requests.
    pub threads: usize,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Following of the control log.
    pub follow: follow::settings::Follow,
    /// Membership, targets' leases and digests.
    pub spread: spread::settings::Spread,
    /// The deployment's policy, and tickets.
    pub callers: callers::settings::Callers,
    /// Longest time that a shutdown waits for requests in progress and for tickets.
    pub drain: Duration,
}

/// Addresses that an entry instance binds.
#[derive(Debug, Clone)]
pub struct Listen {
    /// For callers, HTTP.
    pub callers: SocketAddr,
    /// For targets, HTTP.
    pub targets: SocketAddr,
    /// For the system's own links.
    pub links: SocketAddr,
}

/// Addresses under which others reach an entry instance.
#[derive(Debug, Clone)]
pub struct Advertise {
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For targets.
    pub targets: Option<SocketAddr>,
    /// For links.
    pub links: Option<SocketAddr>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Most connections at once, over all threads.
    pub connections: usize,
    /// Longest time a request's head or body may take to arrive.
    pub arrival: Duration,
    /// Deadline of a request that names none.
    pub deadline: Duration,
}

impl Settings for Entry {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            instance: reader.name("instance"),
            place: Place::new(reader.name("region"), reader.name("zone")),
            listen: reader.nested("listen", |reader| Listen {
                callers: reader.address("callers"),
                targets: reader.address("targets"),
                links: reader.address("links"),
            }),
            advertise: reader.nested("advertise", |reader| Advertise {
                callers: reader.optional_address("callers"),
                targets: reader.optional_address("targets"),
                links: reader.optional_address("links"),
            }),
            control: reader.addresses("control"),
            seeds: reader.addresses("seeds"),
            data: reader.optional_text("data").map(PathBuf::from),
            statsd: reader.optional_address("statsd"),
            log: reader
                .optional_name("log")
                .unwrap_or_else(|| "info".to_owned()),
            threads: count(reader.number("threads", 1..=256, 2)),
            limits: reader.nested("limits", read_limits),
            follow: reader.nested("follow", follow::settings::read),
            spread: reader.nested("spread", spread::settings::Spread::read),
            callers: callers::settings::Callers::read(reader),
            drain: reader.millis("drain_ms", 100..=3_600_000, 300_000),
        }
    }
}

fn read_limits(reader: &mut Reader<'_>) -> Limits {
    Limits {
        body_bytes: count(reader.number("body_bytes", 1_024..=64 << 20, 2 << 20)),
        connections: count(reader.number("connections", 1..=1_000_000, 20_000)),
        arrival: reader.millis("arrival_ms", 100..=600_000, 10_000),
        deadline: reader.millis("deadline_ms", 100..=3_600_000, 60_000),
    }
}

/// Converts a checked number; its range keeps it within `usize`.
fn count(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
