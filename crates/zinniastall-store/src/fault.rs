//! What can go wrong with a data folder.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Why a data folder can't be opened or written.
#[derive(Debug, Error)]
pub enum Fault {
    /// The system refused an operation on a file.
    #[error("can't {action} {}: {source}", path.display())]
    Io {
        /// What was tried.
        action: &'static str,
        /// On which file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Another process has the folder open.
    #[error("{} is held by another process", path.display())]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// A file holds what was never written there.
    ///
    /// The replica must not go on: it may have forgotten a vote or an entry that others counted.
    /// Its disk is to be replaced as a lost one.
    #[error("{} is damaged at byte {offset}: {damage}", path.display())]
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// Byte from the start of the file at which the damage shows.
        offset: u64,
        /// How it shows.
        damage: Damage,
    },
    /// A file that must be there is not.
    #[error("{} is missing", path.display())]
    Missing {
        /// The missing file.
        path: PathBuf,
    },
    /// The folder belongs to a cluster already.
    #[error("the data folder belongs to a cluster already")]
    Founded,
    /// A write or a sync failed before, so what is on the disk is not known any more.
    #[error("an earlier write to the data folder failed")]
    Failed,
}

/// How damage in a file shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Damage {
    /// The checksum doesn't fit the bytes.
    #[error("the checksum does not fit")]
    Checksum,
    /// The checksum fits and the bytes have no meaning.
    #[error("the content can't be read")]
    Content,
    /// The entries don't follow those before.
    #[error("entries are missing before it")]
    Gap,
}

impl Fault {
    pub(crate) fn corrupt(path: &Path, offset: u64, damage: Damage) -> Self {
        Self::Corrupt {
            path: path.to_owned(),
            offset,
            damage,
        }
    }
}

/// Adds the file and the action to what the system said.
pub(crate) trait Context<T> {
    fn at(self, action: &'static str, path: &Path) -> Result<T, Fault>;
}

impl<T> Context<T> for io::Result<T> {
    fn at(self, action: &'static str, path: &Path) -> Result<T, Fault> {
        self.map_err(|source| Fault::Io {
            action,
            path: path.to_owned(),
            source,
        })
    }
}
