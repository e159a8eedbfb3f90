//! Benchmarks with real processes of release builds on loopback.

mod load;
mod path;
mod speed;
mod table;

use std::path::Path;

use crate::build::{self, Profile};
use path::Scenario;

/// Directory of the reports, relative to the workspace root.
const REPORT_DIRECTORY: &str = "docs/measurements";

/// A benchmark.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Bench {
    /// Cost of an entry instance.
    Speed,
    /// Comparison of target selection policies.
    Path(Scenario),
}

impl Bench {
    /// Parses the arguments of the command line.
    pub(crate) fn parse(word: &str, scenario: Option<&str>) -> Option<Self> {
        match (word, scenario) {
            ("speed", None) => Some(Self::Speed),
            ("path", None) => Some(Self::Path(Scenario::Steady)),
            ("path", Some(scenario)) => Some(Self::Path(Scenario::parse(scenario)?)),
            _ => None,
        }
    }
}

/// Runs one benchmark and prints its tables.
///
/// # Errors
///
/// Fails if a process fails.
pub(crate) fn run(root: &Path, bench: Bench) -> eyre::Result<()> {
    build::run(root, Profile::Release)?;
    let reports = root.join(REPORT_DIRECTORY);
    std::fs::create_dir_all(&reports)?;
    println!("machine: {}", machine()?);
    actix_rt::System::new().block_on(async {
        match bench {
            Bench::Speed => speed::run(&reports).await,
            Bench::Path(scenario) => path::run(&reports, scenario).await,
        }
    })
}

/// Describes the machine and its load average, since other work distorts latencies.
fn machine() -> eyre::Result<String> {
    let processors = std::fs::read_to_string("/proc/cpuinfo")?;
    let model = processors
        .lines()
        .find_map(|line| line.strip_prefix("model name\t: "));
    let count = std::thread::available_parallelism()?;
    let load = std::fs::read_to_string("/proc/loadavg")?;
    let load = load.split(' ').next().unwrap_or_default();
    Ok(format!(
        "{count} x {}, load average {load}",
        model.unwrap_or("unknown")
    ))
}
