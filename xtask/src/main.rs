//! Chores of the workspace; `cargo xtask` lists them.

use std::{path::Path, process::ExitCode};

mod build;
mod codegen;
mod demo;

const USAGE: &str = "usage: cargo xtask CHORE

  demo     run the whole path with real processes
  codegen  generate the operators' calls from their schema file";

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
        _ => eyre::bail!("unknown chore: {}\n{USAGE}", chore.display()),
    }
    Ok(ExitCode::SUCCESS)
}
