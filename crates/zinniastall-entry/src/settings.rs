//! Settings of an entry instance.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use zinniastall_model::{id, place::Place};
use zinniastall_settings::{load::Settings, reader::Reader};

use crate::{callers, follow, spread};

/// Settings of an entry instance.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Name of the instance; it stays the same across restarts.
    pub instance: id::Instance,
    /// Place of the instance.
    pub place: Place,
    /// Addresses to bind; port 0 selects any free port.
    pub listen: Listen,
    /// Addresses at which others reach the instance. The bound addresses are used if absent.
    pub advertise: Advertise,
    /// Link addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Link addresses of some entry instances, those of the own zone first.
    pub seeds: Vec<SocketAddr>,
    /// Folder in which the last configuration is stored, for a restart while cut off from control.
    pub data: Option<PathBuf>,
    /// Address to which metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// Log level.
    pub log: String,
    /// Number of threads that serve requests.
    pub threads: usize,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Following of the control log.
    pub follow: follow::settings::Follow,
    /// Membership, target leases and digests.
    pub spread: spread::settings::Spread,
    /// Settings of the callers' interface: routing policy and tickets.
    pub callers: callers::settings::Callers,
    /// Maximum time that a shutdown waits for requests in progress and for tickets.
    pub drain: Duration,
}

/// Addresses that an entry instance binds.
#[derive(Debug, Clone)]
pub struct Listen {
    /// For callers, over HTTP.
    pub callers: SocketAddr,
    /// For targets, over HTTP.
    pub targets: SocketAddr,
    /// For links to other instances.
    pub links: SocketAddr,
}

/// Addresses at which others reach an entry instance.
#[derive(Debug, Clone)]
pub struct Advertise {
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For targets.
    pub targets: Option<SocketAddr>,
    /// For links.
    pub links: Option<SocketAddr>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum length of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of connections, over all threads.
    pub connections: usize,
    /// Maximum time for the head or body of a request to arrive.
    pub arrival: Duration,
    /// Deadline of requests that state none.
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

/// Converts a number whose permitted range fits into `usize`.
fn count(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
