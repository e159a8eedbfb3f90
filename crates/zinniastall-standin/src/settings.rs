//! Settings of a stand-in.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use zinniastall_model::id;
use zinniastall_settings::{load::Settings, reader::Reader};

use crate::failure::{self, Failure};

/// System that a stand-in replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// The weight store.
    Weights,
    /// A statsd server that receives metrics.
    Statsd,
}

/// Settings of a stand-in.
#[derive(Debug, Clone)]
pub struct Standin {
    /// System that it replaces.
    pub kind: Kind,
    /// Address to bind.
    pub listen: SocketAddr,
    /// Log level.
    pub log: String,
    /// Threads that serve requests.
    pub threads: usize,
    /// Most entries that the ledger keeps; the oldest are dropped first.
    pub max_ledger_entries: usize,
    /// File that keeps the ledger across restarts; without it the ledger ends with the process.
    pub ledger_file: Option<PathBuf>,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are refused as not run.
    pub queue: usize,
    /// Whether its answers have neither a length nor chunks.
    pub unframed: bool,
    /// Failure to inject.
    pub failure: Failure,
    /// Announcement as a target.
    pub announce: Announce,
    /// Settings of the kind [`Kind::Engine`].
    pub engine: Engine,
    /// Settings of the kind [`Kind::Service`].
    pub service: Service,
    /// Settings of the kind [`Kind::Weights`].
    pub weights: Weights,
}

/// How a target announces itself.
#[derive(Debug, Clone)]
pub struct Announce {
    /// Entry instances of its zone to try first; with none, the target is not announced.
    pub instances: Vec<SocketAddr>,
    /// Name of the target.
    pub target: id::Target,
    /// Address at which entry instances reach it; the bound one where absent.
    pub advertise: Option<SocketAddr>,
    /// Kind of target, as the deployment names it.
    pub kind: String,
    /// Time by which the reported load lags behind the actual one.
    pub report_lag: Duration,
    /// Price of one busy second.
    pub price: f64,
    /// Whether it reports a gap in its cache events.
    pub cache_gap: bool,
    /// Version of its software, which it announces and writes into each answer and event.
    pub software: Option<id::Version>,
}

/// Settings of a model engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Models served from the start.
    pub models: Vec<Model>,
    /// Role at the start.
    pub role: String,
    /// Time to the first token of a fully cached prompt.
    pub first_token_latency: Duration,
    /// Further time to the first token for each uncached prompt block.
    pub block_prefill_time: Duration,
    /// Time between two tokens.
    pub inter_token_latency: Duration,
    /// Capacity of its prefix cache, in prompt blocks.
    pub cache_blocks: usize,
    /// Whether it refuses orders with a stale fencing token.
    pub checks_fence: bool,
    /// Time that an order to load models takes without a weight store.
    pub load_time: Duration,
    /// Weight store from which it downloads the models that an order names.
    pub weight_store: Option<SocketAddr>,
}

/// A model version that an engine serves.
#[derive(Debug, Clone)]
pub struct Model {
    /// Model.
    pub model: id::Model,
    /// Version.
    pub version: String,
    /// Adapters.
    pub adapters: Vec<id::Adapter>,
}

/// Settings of a plain service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: id::Service,
    /// Time that a request takes to run.
    pub service_time: Duration,
}

/// Settings of the weight store.
#[derive(Debug, Clone)]
pub struct Weights {
    /// Rate limit shared by all downloads.
    pub bytes_per_second: u64,
    /// Size of each file.
    pub file_bytes: u64,
}

impl Settings for Standin {
    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            kind: reader.word(
                "kind",
                "engine, service, weights, statsd",
                parse_kind,
                Kind::Engine,
            ),
            listen: reader.address("listen"),
            log: reader
                .optional_name("log")
                .unwrap_or_else(|| "info".to_owned()),
            threads: to_usize(reader.number("threads", 1..=64, 1)),
            max_ledger_entries: to_usize(reader.number("ledger", 1..=10_000_000, 100_000)),
            ledger_file: reader.optional_text("ledger_file").map(PathBuf::from),
            slots: to_usize(reader.number("slots", 1..=100_000, 8)),
            queue: to_usize(reader.number("queue", 0..=100_000, 64)),
            unframed: reader.flag("unframed", false),
            failure: reader.nested("failure", failure::read),
            announce: reader.nested("announce", read_announce),
            engine: reader.nested("engine", read_engine),
            service: reader.nested("service", |reader| Service {
                name: reader
                    .optional_name("name")
                    .unwrap_or_else(|| "service".to_owned()),
                service_time: reader.millis("busy_ms", 0..=600_000, 0),
            }),
            weights: reader.nested("weights", |reader| Weights {
                bytes_per_second: reader.number("rate", 1..=1 << 40, 1 << 30),
                file_bytes: reader.number("size", 1..=1 << 40, 1 << 20),
            }),
        }
    }
}

fn parse_kind(word: &str) -> Option<Kind> {
    match word {
        "engine" => Some(Kind::Engine),
        "service" => Some(Kind::Service),
        "weights" => Some(Kind::Weights),
        "statsd" => Some(Kind::Statsd),
        _ => None,
    }
}

fn read_announce(reader: &mut Reader<'_>) -> Announce {
    Announce {
        instances: reader.addresses("instances"),
        target: reader
            .optional_name("target")
            .unwrap_or_else(|| "standin".to_owned()),
        advertise: reader.optional_address("advertise"),
        kind: reader
            .optional_name("kind")
            .unwrap_or_else(|| "standin".to_owned()),
        report_lag: reader.millis("lag_ms", 0..=600_000, 0),
        price: reader.fraction("price", 1e9, 1.0),
        cache_gap: reader.flag("gap", false),
        software: reader.optional_name("software"),
    }
}

fn read_engine(reader: &mut Reader<'_>) -> Engine {
    Engine {
        models: reader.objects("models", |reader| Model {
            model: reader.name("model"),
            version: reader.name("version"),
            adapters: reader.names("adapters"),
        }),
        role: reader
            .optional_name("role")
            .unwrap_or_else(|| "both".to_owned()),
        first_token_latency: reader.millis("first_ms", 0..=600_000, 0),
        block_prefill_time: Duration::from_micros(reader.number("block_us", 0..=10_000_000, 0)),
        inter_token_latency: Duration::from_micros(reader.number("token_us", 0..=60_000_000, 0)),
        cache_blocks: to_usize(reader.number("cache_blocks", 0..=10_000_000, 4096)),
        checks_fence: reader.flag("checks_fence", true),
        load_time: reader.millis("load_ms", 0..=600_000, 0),
        weight_store: reader.optional_address("store"),
    }
}

/// Converts a number whose checked range fits into `usize`.
fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
