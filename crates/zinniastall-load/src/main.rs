//! The `zinniastall-load` binary.

use std::process::ExitCode;

use zinniastall_load::{plot, report, run, settings::Experiment};
use zinniastall_settings::{
    cli::{Daemon, EXIT_FAILED, EXIT_OK},
    log,
};

const DAEMON: Daemon = Daemon {
    name: "zinniastall-load",
    about: "Open-loop load on zinniastall: runs an experiment and prints its report as JSON.",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    DAEMON.main::<Experiment>(|experiment| {
        let _log = log::start(&experiment.log);
        match run_experiment(&experiment) {
            Ok(true) => ExitCode::from(EXIT_OK),
            Ok(false) => ExitCode::from(EXIT_FAILED),
            Err(error) => {
                tracing::error!(event = "failed", error = format!("{error:#}"));
                ExitCode::from(EXIT_FAILED)
            }
        }
    })
}

/// Runs an experiment and writes its report; returns whether no audit found a violation.
fn run_experiment(experiment: &Experiment) -> eyre::Result<bool> {
    let report = run::run(experiment)?;
    let text = serde_json::to_string_pretty(&report)?;
    match &experiment.report {
        Some(path) => std::fs::write(path, &text)?,
        None => println!("{text}"),
    }
    if let Some(path) = &experiment.plot {
        plot::write(path, &report)?;
    }
    Ok(report.variants.iter().all(report::Variant::is_clean))
}
