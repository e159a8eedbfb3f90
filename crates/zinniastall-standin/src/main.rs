//! The `zinniastall-standin` binary.

use std::process::ExitCode;

use zinniastall_settings::cli::Daemon;
use zinniastall_standin::{daemon, settings::Standin};

const DAEMON: Daemon = Daemon {
    name: "zinniastall-standin",
    about: "Stand-in of zinniastall's tests: model engine, plain service, weight store or statsd sink.",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    DAEMON.main::<Standin>(daemon::run)
}
