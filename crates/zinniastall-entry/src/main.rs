//! The `zinniastall-entry` binary.

use std::process::ExitCode;

use zinniastall_entry::{daemon, settings::Entry};
use zinniastall_settings::cli::Daemon;

const DAEMON: Daemon = Daemon {
    name: "zinniastall-entry",
    about: "Entry instance of zinniastall: serves callers, takes targets' announcements, routes.",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    DAEMON.main::<Entry>(daemon::run)
}
