//! Finds the workspace's binaries.
//!
//! `cargo test --workspace` builds the binaries of every package that has an integration test,
//! before any test runs, and all of ours have one. They lie in the folder above `deps`, where test
//! executables lie; chores lie beside them.

use std::{
    path::{Path, PathBuf},
    sync::OnceLock,
};

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
/// [`Error::NotBuilt`] when it is not built, [`Error::Stale`] when a source is newer than it: a test
/// would pass or fail by code that nobody has any more.
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

/// Returns a source that is newer than its binary, by the list that the build leaves beside it.
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

fn target_directory() -> Result<PathBuf> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder)
}
