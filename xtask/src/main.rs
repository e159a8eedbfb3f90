//! Development tasks of the workspace; `cargo xtask` without arguments lists them.

use std::{ffi::OsString, path::Path, process::ExitCode};

use bench::Bench;
use lexopt::ValueExt;

mod bench;
mod build;
mod codegen;
mod demo;
mod measure;
mod soak;

const USAGE: &str = "usage: cargo xtask CHORE

  demo          run the whole path with real processes
  bench speed   measure what an entry instance costs
  bench path [steady|peaks|tenth|loss]
                measure how policies choose
  soak [--seconds N] [--seed S]
                break things at random and count broken promises
  explore [--runs N] [--seed S]
                drive the consensus core through random schedules of faults
  capacity      measure slopes and rewrite the tables of docs/CAPACITY.md
  control       measure what relays and calls cost the control group
  codegen       generate the operators' calls from their schema file";

fn main() -> eyre::Result<ExitCode> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .ok_or_else(|| eyre::eyre!("xtask has no parent folder"))?;
    let mut arguments = lexopt::Parser::from_env();
    let Some(lexopt::Arg::Value(chore)) = arguments.next()? else {
        eyre::bail!(USAGE);
    };
    match chore.to_str() {
        Some("codegen") => codegen::run(root)?,
        Some("demo") => demo::run(root)?,
        Some("bench") => {
            let words: Vec<OsString> = arguments.raw_args()?.collect();
            let word = |index: usize| words.get(index).and_then(|word| word.to_str());
            let what = Bench::parse(word(0).unwrap_or_default(), word(1));
            bench::run(root, what.ok_or_else(|| eyre::eyre!(USAGE))?)?;
        }
        Some("soak") => {
            let (seconds, seed) = options(&mut arguments, ("seconds", 60))?;
            soak::run(root, seconds, seed)?;
        }
        Some("explore") => {
            let (runs, seed) = options(&mut arguments, ("runs", 1_000))?;
            measure::explore(root, runs, seed)?;
        }
        Some("capacity") => measure::capacity(root)?,
        Some("control") => measure::control(root)?,
        _ => eyre::bail!("unknown chore: {}\n{USAGE}", chore.display()),
    }
    Ok(ExitCode::SUCCESS)
}

/// Parses `--NAME AMOUNT` and `--seed SEED`; returns the amount, or its default, and the seed.
fn options(
    arguments: &mut lexopt::Parser,
    (name, default): (&str, u64),
) -> eyre::Result<(u64, u64)> {
    let (mut amount, mut seed) = (default, 1);
    while let Some(argument) = arguments.next()? {
        match argument {
            lexopt::Arg::Long("seed") => seed = arguments.value()?.parse()?,
            lexopt::Arg::Long(option) if option == name => amount = arguments.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok((amount, seed))
}
