//! The `zinniastall-ctl` binary.

use std::process::ExitCode;

use zinniastall_ctl::{
    arguments::{Action, HELP},
    explain, run,
    verdict::Verdict,
};

fn main() -> ExitCode {
    match Action::parse(std::env::args_os().skip(1)) {
        Ok(Action::Help) => print(HELP),
        Ok(Action::Version) => print(concat!("zinniastall-ctl ", env!("CARGO_PKG_VERSION"))),
        Ok(Action::Run(order)) => run::run(&order).into(),
        Ok(Action::Explain(question)) => explain::run(&question).into(),
        Err(error) => {
            eprintln!("zinniastall-ctl: {error}");
            eprintln!("Try 'zinniastall-ctl --help'.");
            Verdict::Usage.into()
        }
    }
}

fn print(text: &str) -> ExitCode {
    println!("{text}");
    Verdict::Accepted.into()
}
