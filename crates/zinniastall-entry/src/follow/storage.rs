//! Keeps the last configuration in a folder, for a restart while cut off.
//!
//! Without it, a zone whose instances all restart during a partition would hold no configuration
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
/// Name under which the file is written before it takes the place of the last one.
const DRAFT_NAME: &str = "configuration.draft";

/// A configuration and the cluster that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Cluster, as hex.
    pub cluster: String,
    /// Configuration.
    pub state: Arc<State>,
}

/// Why a configuration can't be kept or found again.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system refused.
    #[error("{} cannot be used: {error}", path.display())]
    Io {
        /// On which file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The file does not hold what was written.
    #[error("{} is damaged", path.display())]
    Damaged {
        /// Which file.
        path: PathBuf,
    },
    /// The configuration can't be encoded.
    #[error("the configuration cannot be encoded: {0}")]
    Encode(#[from] ciborium::ser::Error<io::Error>),
}

/// Keeps a configuration; when this returns, it survives a power cut.
///
/// # Errors
///
/// [`Fault::Io`] when the system refuses; the configuration kept before is still there then.
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
    // The new name itself is only on disk once the folder has been synced.
    let opened = File::open(folder).and_then(|folder| folder.sync_all());
    opened.map_err(at(folder))
}

/// Finds the configuration that was kept, if any.
///
/// # Errors
///
/// [`Fault::Damaged`] when the checksum does not fit: a configuration that is half another one
/// could permit what none ever permitted.
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
