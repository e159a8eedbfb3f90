//! Entry point of the `zinniastall-ctl` binary.

use std::process::ExitCode;

use zinniastall_ctl::{
    arguments::{Action, HELP},
    exit, explain, run,
};

fn main() -> ExitCode {
    match Action::parse(std::env::args_os().skip(1)) {
        Ok(Action::Help) => print(HELP),
        Ok(Action::Version) => print(concat!("zinniastall-ctl ", env!("CARGO_PKG_VERSION"))),
        Ok(Action::Run(invocation)) => run::run(&invocation).into(),
        Ok(Action::Explain(query)) => explain::run(&query).into(),
        Err(error) => {
            eprintln!("zinniastall-ctl: {error}");
            eprintln!("Try 'zinniastall-ctl --help'.");
            exit::Status::Usage.into()
        }
    }
}

fn print(text: &str) -> ExitCode {
    println!("{text}");
    exit::Status::Accepted.into()
}
