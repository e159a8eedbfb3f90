//! Chores of the workspace: `cargo xtask codegen`, `cargo xtask demo`.

use std::{path::Path, process::ExitCode};

mod codegen;

fn main() -> eyre::Result<ExitCode> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .ok_or_else(|| eyre::eyre!("xtask has no parent folder"))?;
    let mut arguments = lexopt::Parser::from_env();
    let Some(lexopt::Arg::Value(chore)) = arguments.next()? else {
        eyre::bail!("usage: cargo xtask codegen");
    };
    match chore.to_str() {
        Some("codegen") => codegen::run(root)?,
        _ => eyre::bail!("unknown chore: {}", chore.display()),
    }
    Ok(ExitCode::SUCCESS)
}
