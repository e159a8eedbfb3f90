//! Chores of the workspace; `cargo xtask` lists them.

use std::{ffi::OsStr, path::Path, process::ExitCode};

use bench::Bench;

mod bench;
mod build;
mod codegen;
mod demo;

const USAGE: &str = "usage: cargo xtask CHORE

  demo          run the whole path with real processes
  bench speed   measure what an entry instance costs
  bench path    measure how policies choose
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
            let what = arguments.value().ok();
            let what = what
                .as_deref()
                .and_then(OsStr::to_str)
                .and_then(Bench::parse);
            bench::run(root, what.ok_or_else(|| eyre::eyre!(USAGE))?)?;
        }
        _ => eyre::bail!("unknown chore: {}\n{USAGE}", chore.display()),
    }
    Ok(ExitCode::SUCCESS)
}
