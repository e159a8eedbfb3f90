//! Settings: an experiment.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use zinniastall_model::id;
use zinniastall_settings::{load::Settings, problem::Fault, reader::Reader};

/// An experiment.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Log level.
    pub log: String,
    /// Threads that send.
    pub threads: usize,
    /// Time at the start that is not measured.
    pub warmup: Duration,
    /// Time that is measured.
    pub duration: Duration,
    /// Time within which an answer counts as goodput; sent along as the deadline.
    pub deadline: Duration,
    /// Longest wait for an answer; what has not ended by then is counted as unknown.
    pub timeout: Duration,
    /// File of the report; standard output where absent.
    pub report: Option<PathBuf>,
    /// File of the plot.
    pub plot: Option<PathBuf>,
    /// What is compared.
    pub variants: Vec<Variant>,
    /// Where requests come from.
    pub sources: Vec<Source>,
}

/// A system under load.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Name in the report.
    pub name: String,
    /// Callers' addresses of some entry instances.
    pub entries: Vec<SocketAddr>,
    /// A target that is called without the system, for comparison.
    pub direct: Option<SocketAddr>,
    /// Stand-in targets whose ledgers are compared with the outcomes.
    pub ledgers: Vec<SocketAddr>,
}

/// A source of requests.
#[derive(Debug, Clone)]
pub struct Source {
    /// Client.
    pub client: id::Client,
    /// Key that identifies the client.
    pub key: String,
    /// Class.
    pub class: id::Class,
    /// Where its callers are.
    pub region: Option<id::Region>,
    /// Availability zone that they prefer.
    pub zone: Option<id::Zone>,
    /// Model.
    pub model: id::Model,
    /// Requests a second.
    pub rate: f64,
    /// Whether gaps between requests are random (Poisson arrivals) or all the same.
    pub poisson: bool,
    /// When it begins, after the start of the warm-up.
    pub from: Duration,
    /// When it ends.
    pub until: Option<Duration>,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Whether requests may be repeated; others take a ticket along.
    pub idempotent: bool,
    /// Tokens of an answer.
    pub tokens: u64,
    /// Different beginnings that its prompts share; 0 for none.
    pub prefixes: u64,
    /// Bytes of a shared beginning.
    pub prefix_bytes: usize,
    /// Bytes that no other prompt has.
    pub suffix_bytes: usize,
}

impl Source {
    /// Returns whether its callers are in this region, as far as it says where they are.
    pub fn is_local(&self, region: &str) -> bool {
        self.region.as_deref().is_none_or(|home| home == region)
    }
}

impl Settings for Experiment {
    fn read(reader: &mut Reader<'_>) -> Self {
        let experiment = Self {
            seed: reader.number("seed", 0..=u64::MAX, 1),
            log: reader
                .optional_name("log")
                .unwrap_or_else(|| "warn".to_owned()),
            threads: to_usize(reader.number("threads", 1..=64, 2)),
            warmup: reader.millis("warmup_ms", 0..=3_600_000, 1_000),
            duration: reader.millis("duration_ms", 1..=86_400_000, 10_000),
            deadline: reader.millis("deadline_ms", 1..=3_600_000, 10_000),
            timeout: reader.millis("patience_ms", 1..=3_600_000, 60_000),
            report: reader.optional_text("report").map(PathBuf::from),
            plot: reader.optional_text("plot").map(PathBuf::from),
            variants: reader.objects("variants", read_variant),
            sources: reader.objects("sources", read_source),
        };
        if experiment.variants.is_empty() {
            reader.fault("variants", Fault::Missing);
        }
        if experiment.sources.is_empty() {
            reader.fault("sources", Fault::Missing);
        }
        experiment
    }
}

fn read_variant(reader: &mut Reader<'_>) -> Variant {
    let variant = Variant {
        name: reader.name("name"),
        entries: reader.addresses("entries"),
        direct: reader.optional_address("direct"),
        ledgers: reader.addresses("ledgers"),
    };
    if variant.entries.is_empty() == variant.direct.is_none() {
        reader.fault("direct", Fault::Contradiction("entries: give one of them"));
    }
    variant
}

fn read_source(reader: &mut Reader<'_>) -> Source {
    Source {
        client: reader.name("client"),
        key: reader.optional_text("key").unwrap_or_default(),
        class: reader
            .optional_name("class")
            .unwrap_or_else(|| "interactive".to_owned()),
        region: reader.optional_name("region"),
        zone: reader.optional_name("zone"),
        model: reader.name("model"),
        rate: reader.fraction("rate", 1e6, 10.0),
        poisson: reader.word("arrivals", "poisson, fixed", parse_arrivals, true),
        from: reader.millis("from_ms", 0..=86_400_000, 0),
        until: match reader.number("until_ms", 0..=86_400_000, 0) {
            0 => None,
            until => Some(Duration::from_millis(until)),
        },
        stream: reader.flag("stream", true),
        idempotent: reader.flag("idempotent", true),
        tokens: reader.number("tokens", 1..=100_000, 16),
        prefixes: reader.number("prefixes", 0..=1_000_000, 0),
        prefix_bytes: to_usize(reader.number("prefix_bytes", 0..=1 << 20, 2_048)),
        suffix_bytes: to_usize(reader.number("suffix_bytes", 0..=1 << 20, 64)),
    }
}

fn parse_arrivals(word: &str) -> Option<bool> {
    match word {
        "poisson" => Some(true),
        "fixed" => Some(false),
        _ => None,
    }
}

/// Converts a checked number; its range keeps it within `usize`.
fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
