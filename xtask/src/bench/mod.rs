//! Benchmarks: real processes of release builds on loopback, reports under `docs/measurements`.

mod load;
mod path;
mod speed;
mod table;

use std::path::Path;

use crate::build::{self, Profile};
use path::Scenario;

/// Folder of the reports.
const REPORT_DIRECTORY: &str = "docs/measurements";

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Bench {
    /// What an entry instance costs.
    Speed,
    /// How policies choose.
    Path(Scenario),
}

impl Bench {
    /// Reads the words of the command line.
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
/// Fails when a process fails.
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

/// Describes the machine and how busy it was: other work spoils latencies.
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
