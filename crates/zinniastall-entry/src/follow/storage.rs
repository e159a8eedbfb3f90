//! Stores the last configuration on disk, for a restart while cut off from control.
//!
//! Without it, a zone whose instances all restart during a partition would have no configuration
//! and could not serve until the partition heals.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use zinniastall_model::state::State;

/// Name of the file.
const FILE_NAME: &str = "configuration";
/// Name of the file while it is written, before it replaces the previous one.
const DRAFT_NAME: &str = "configuration.draft";

/// A configuration and the cluster that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Cluster, in hexadecimal.
    pub cluster: String,
    /// Configuration.
    pub state: Arc<State>,
}

/// Why a configuration can't be stored or loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file operation failed.
    #[error("cannot access {}: {error}", path.display())]
    Io {
        /// File or folder.
        path: PathBuf,
        /// Cause.
        error: io::Error,
    },
    /// The checksum or the format of the file is wrong.
    #[error("{} is damaged", path.display())]
    Damaged {
        /// File.
        path: PathBuf,
    },
    /// The configuration can't be encoded.
    #[error("the configuration cannot be encoded: {0}")]
    Encode(#[from] ciborium::ser::Error<io::Error>),
}

/// Stores a configuration durably: once this returns, it survives a power failure.
///
/// # Errors
///
/// Returns [`Error::Io`] if a file operation fails. The previous configuration is then still
/// stored, or the new one if only the last sync failed.
pub fn save(folder: &Path, snapshot: &Snapshot) -> Result<(), Error> {
    let mut body = Vec::new();
    ciborium::into_writer(snapshot, &mut body)?;
    let at = |path: &Path| {
        let path = path.to_owned();
        move |error| Error::Io { path, error }
    };
    fs::create_dir_all(folder).map_err(at(folder))?;
    let draft = folder.join(DRAFT_NAME);
    let mut file = File::create(&draft).map_err(at(&draft))?;
    file.write_all(blake3::hash(&body).as_bytes())
        .and_then(|()| file.write_all(&body))
        .and_then(|()| file.sync_all())
        .map_err(at(&draft))?;
    let target = folder.join(FILE_NAME);
    fs::rename(&draft, &target).map_err(at(&target))?;
    // The rename is durable only after the folder has been synced.
    let opened = File::open(folder).and_then(|folder| folder.sync_all());
    opened.map_err(at(folder))
}

/// Loads the stored configuration, if there is one.
///
/// # Errors
///
/// Returns [`Error::Damaged`] if the checksum doesn't match. A mixture of two configurations could
/// permit what none of them ever permitted.
pub fn load(folder: &Path) -> Result<Option<Snapshot>, Error> {
    let path = folder.join(FILE_NAME);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(Error::Io { path, error }),
    };
    let Some((digest, body)) = bytes.split_at_checked(blake3::OUT_LEN) else {
        return Err(Error::Damaged { path });
    };
    if blake3::hash(body).as_bytes() != digest {
        return Err(Error::Damaged { path });
    }
    let snapshot = ciborium::from_reader(body).map_err(|_| Error::Damaged { path })?;
    Ok(Some(snapshot))
}
