//! Errors of a data folder.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// Reason why a data folder can't be opened or written.
#[derive(Debug, Error)]
pub enum Error {
    /// A file operation failed.
    #[error("can't {action} {}: {source}", path.display())]
    Io {
        /// Operation, as a verb.
        action: &'static str,
        /// File or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process has the folder open.
    #[error("{} is held by another process", path.display())]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// A file is damaged.
    ///
    /// The replica must not continue: it may have lost a vote or an entry that others counted. Its
    /// disk has to be treated as lost and replaced.
    #[error("{} is damaged at byte {offset}: {damage}", path.display())]
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// Byte offset of the damage in the file.
        offset: u64,
        /// Kind of damage.
        damage: Damage,
    },
    /// A required file is missing.
    #[error("{} is missing", path.display())]
    Missing {
        /// Path of the file.
        path: PathBuf,
    },
    /// The folder already belongs to a cluster.
    #[error("the data folder belongs to a cluster already")]
    Founded,
    /// An earlier write or sync failed, so the content of the disk is unknown.
    #[error("an earlier write to the data folder failed")]
    Failed,
}

/// Kinds of damage in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Damage {
    /// The checksum doesn't match, or the record is incomplete.
    #[error("the checksum does not fit")]
    Checksum,
    /// The checksum matches, but the content can't be decoded.
    #[error("the content can't be read")]
    Content,
    /// Entries are missing between two records or files.
    #[error("entries are missing before it")]
    Gap,
}

impl Error {
    pub(crate) fn corrupt(path: &Path, offset: u64, damage: Damage) -> Self {
        Self::Corrupt {
            path: path.to_owned(),
            offset,
            damage,
        }
    }
}

/// Adds the operation and the path to an I/O error.
pub(crate) trait Context<T> {
    fn at(self, action: &'static str, path: &Path) -> Result<T, Error>;
}

impl<T> Context<T> for io::Result<T> {
    fn at(self, action: &'static str, path: &Path) -> Result<T, Error> {
        self.map_err(|source| Error::Io {
            action,
            path: path.to_owned(),
            source,
        })
    }
}
