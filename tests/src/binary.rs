//! Finds the workspace's binaries.
//!
//! `cargo test --workspace` builds the binaries of every package that has an integration test,
//! before any test runs, and all of ours have one. They lie in the folder above `deps`, where test
//! executables lie; chores lie beside them.

use std::{path::PathBuf, sync::OnceLock};

use crate::error::{Error, Result};

static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Takes binaries from this folder, such as that of release builds; the first call counts.
pub fn use_folder(folder: PathBuf) {
    FOLDER.get_or_init(|| folder);
}

/// Returns the path of a binary of the workspace.
///
/// # Errors
///
/// [`Error::Binary`] when it is not built.
pub fn path(name: &str) -> Result<PathBuf> {
    let path = match FOLDER.get() {
        Some(folder) => folder.join(name),
        None => beside()?.join(name),
    };
    if path.is_file() {
        Ok(path)
    } else {
        Err(Error::Binary(path))
    }
}

fn beside() -> Result<PathBuf> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder)
}
