//! Locates the workspace's binaries.
//!
//! `cargo test --workspace` builds the binaries of every package that has integration tests before
//! it runs any test, and each package with a binary has such tests. Cargo places binaries, xtask
//! among them, in the parent of the `deps` directory, which contains the test executables.

use std::{
    path::{Path, PathBuf},
    sync::OnceLock,
};

use crate::error::{Error, Result};

static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Uses the binaries in this directory, such as that of release builds.
///
/// Only the first call has an effect.
pub fn use_folder(folder: PathBuf) {
    FOLDER.get_or_init(|| folder);
}

/// Returns the path of a binary of the workspace.
///
/// # Errors
///
/// Returns [`Error::NotBuilt`] if the binary does not exist and [`Error::Stale`] if a source file
/// is newer, since a test would then exercise outdated code.
pub fn path(name: &str) -> Result<PathBuf> {
    let path = match FOLDER.get() {
        Some(folder) => folder.join(name),
        None => target_directory()?.join(name),
    };
    if !path.is_file() {
        return Err(Error::NotBuilt(path));
    }
    match newer_source(&path)? {
        Some(changed) => Err(Error::Stale { path, changed }),
        None => Ok(path),
    }
}

/// Returns a source file that is newer than the binary, if any.
///
/// Sources are read from the dependency file that Cargo writes next to the binary.
fn newer_source(path: &Path) -> Result<Option<PathBuf>> {
    let built = path.metadata()?.modified()?;
    let Ok(list) = std::fs::read_to_string(path.with_extension("d")) else {
        return Ok(None);
    };
    let sources = list.split_whitespace().skip(1).map(PathBuf::from);
    let changed = |source: &PathBuf| {
        let modified = source.metadata().and_then(|metadata| metadata.modified());
        modified.is_ok_and(|modified| modified > built)
    };
    Ok(sources.into_iter().find(changed))
}

/// Returns the directory in which Cargo placed the binaries of the running build.
fn target_directory() -> Result<PathBuf> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder)
}
