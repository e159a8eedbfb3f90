//! The `zinniastall-control` binary.

use std::process::ExitCode;

use zinniastall_control::{daemon, settings::Control};
use zinniastall_settings::cli::Daemon;

const DAEMON: Daemon = Daemon {
    name: "zinniastall-control",
    about: "Control instance of zinniastall: keeps the configuration and serves operators.",
    version: env!("CARGO_PKG_VERSION"),
};

fn main() -> ExitCode {
    DAEMON.main::<Control>(daemon::run)
}
