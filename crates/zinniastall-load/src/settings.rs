//! Settings of an experiment.

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
    /// Threads that send requests.
    pub threads: usize,
    /// Warm-up at the start, which is not measured.
    pub warmup: Duration,
    /// Measured time, which follows the warm-up.
    pub duration: Duration,
    /// Time within which a whole answer counts as goodput; sent as the deadline of each request.
    pub deadline: Duration,
    /// Longest wait for an answer; the outcome of a request that has not ended by then is unknown.
    pub timeout: Duration,
    /// File of the report; it goes to standard output where absent.
    pub report: Option<PathBuf>,
    /// File of the plot; none is drawn where absent.
    pub plot: Option<PathBuf>,
    /// Variants to compare.
    pub variants: Vec<Variant>,
    /// Sources of requests.
    pub sources: Vec<Source>,
}

/// A system under load.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Name in the report.
    pub name: String,
    /// Addresses at which some entry instances take requests.
    pub entries: Vec<SocketAddr>,
    /// A target that is called directly instead of through the system, for comparison.
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
    /// Region of its callers.
    pub region: Option<id::Region>,
    /// Availability zone that its callers prefer.
    pub zone: Option<id::Zone>,
    /// Model.
    pub model: id::Model,
    /// Requests per second.
    pub rate: f64,
    /// Whether arrivals are a Poisson process; otherwise the time between them is constant.
    pub poisson: bool,
    /// When its requests begin, counted from the start of the warm-up.
    pub from: Duration,
    /// When its requests end, counted likewise; at the end of the experiment where absent.
    pub until: Option<Duration>,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Whether requests may run more than once; others carry a ticket.
    pub idempotent: bool,
    /// Tokens of each answer.
    pub tokens: u64,
    /// Number of distinct prefixes that its prompts share; 0 for none.
    pub prefixes: u64,
    /// Length of a shared prefix.
    pub prefix_bytes: usize,
    /// Length of the unique end of a prompt.
    pub suffix_bytes: usize,
}

impl Source {
    /// Returns whether its callers are in `region`; always so where their region is not set.
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

/// Converts a number whose checked range fits into `usize`.
fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
