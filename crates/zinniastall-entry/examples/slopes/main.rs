//! Measures what membership, spread and configuration cost, and writes the tables of
//! `docs/CAPACITY.md`.
//!
//! `cargo run --release -p zinniastall-entry --example slopes` runs every case in a process of its
//! own, so that one case's memory does not count for the next, and prints the tables;
//! `-- --write docs/CAPACITY.md` puts them into the page. `-- --case zone=25,targets=150` runs one
//! case and prints its figures as JSON. `-- --rows FILE` takes the cases that FILE has, as an earlier
//! run printed them on its standard error, and measures the others.

mod case;
mod node;
mod page;
mod state;
mod usage;

use std::{path::PathBuf, process::Command};

use lexopt::prelude::*;

use case::{Case, Figures};

fn main() -> eyre::Result<()> {
    let mut arguments = lexopt::Parser::from_env();
    let mut write = None;
    let mut rows = String::new();
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("case") => {
                let case: Case = arguments.value()?.parse()?;
                println!("{}", serde_json::to_string(&case.run()?)?);
                return Ok(());
            }
            Long("state") => {
                println!("{}", serde_json::to_string(&state::measure())?);
                return Ok(());
            }
            Long("rows") => rows = std::fs::read_to_string(arguments.value()?)?,
            Long("write") => write = Some(PathBuf::from(arguments.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let measured = page::Measured {
        state: serde_json::from_str(&own(&["--state"])?)?,
        rows: case::ALL
            .iter()
            .filter_map(|case| kept(&rows, case).or_else(|| measure(case).ok()))
            .collect(),
    };
    let tables = page::tables(&measured);
    println!("{tables}");
    if let Some(path) = write {
        page::replace(&path, &tables)?;
    }
    Ok(())
}

/// Finds a case among the rows of an earlier run.
fn kept(rows: &str, case: &str) -> Option<(Case, Figures)> {
    let mut rows = rows.lines().filter_map(|row| row.split_once(": "));
    let (case, figures) = rows.find(|row| row.0 == case)?;
    Some((case.parse().ok()?, serde_json::from_str(figures).ok()?))
}

/// Runs a case; one that fails is reported and left out of the tables.
fn measure(case: &str) -> eyre::Result<(Case, Figures)> {
    let output = own(&["--case", case]).inspect_err(|error| eprintln!("{case}: {error:#}"))?;
    eprintln!("{case}: {}", output.trim());
    Ok((case.parse()?, serde_json::from_str(&output)?))
}

/// Runs this program in a process of its own and returns what it prints.
fn own(arguments: &[&str]) -> eyre::Result<String> {
    let output = Command::new(std::env::current_exe()?)
        .args(arguments)
        .output()?;
    eyre::ensure!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    Ok(String::from_utf8(output.stdout)?)
}
