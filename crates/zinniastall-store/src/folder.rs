//! Data folder: its lock and atomic file replacement.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use nix::errno::Errno;
use nix::fcntl::{Flock, FlockArg};

use crate::error::{Context, Error};

const LOCK_FILE: &str = "lock";
const TEMPORARY: &str = ".tmp";

/// An open data folder, locked against other processes.
#[derive(Debug)]
pub(crate) struct Folder {
    path: PathBuf,
    _lock: Flock<File>,
}

impl Folder {
    /// Opens and locks a folder, creating it if needed, and removes temporary files left over from
    /// interrupted writes.
    pub(crate) fn open(path: &Path) -> Result<Self, Error> {
        fs::create_dir_all(path).at("create", path)?;
        let folder = Self {
            path: path.to_owned(),
            _lock: lock(&path.join(LOCK_FILE))?,
        };
        for name in folder.names("")? {
            if name.ends_with(TEMPORARY) {
                folder.remove(&name)?;
            }
        }
        Ok(folder)
    }

    pub(crate) fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Returns the file names that start with a prefix, sorted.
    pub(crate) fn names(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path).at("list", &self.path)? {
            let name = entry.at("list", &self.path)?.file_name();
            if let Some(name) = name.to_str().filter(|name| name.starts_with(prefix)) {
                names.push(name.to_owned());
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    /// Reads a file, or returns `None` if it doesn't exist.
    pub(crate) fn read(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let path = self.file(name);
        if !path.try_exists().at("look for", &path)? {
            return Ok(None);
        }
        fs::read(&path).at("read", &path).map(Some)
    }

    /// Creates or replaces a file atomically.
    ///
    /// The bytes are written and synced under a temporary name, which is then renamed. A process
    /// killed in between leaves the old file intact and a temporary file that is never read.
    pub(crate) fn replace(&self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        let temporary = self.file(&format!("{name}{TEMPORARY}"));
        let mut file = File::create(&temporary).at("create", &temporary)?;
        file.write_all(bytes).at("write", &temporary)?;
        file.sync_all().at("sync", &temporary)?;
        let path = self.file(name);
        fs::rename(&temporary, &path).at("rename", &temporary)?;
        self.sync()
    }

    pub(crate) fn remove(&self, name: &str) -> Result<(), Error> {
        let path = self.file(name);
        fs::remove_file(&path).at("remove", &path)
    }

    /// Syncs the folder itself; without that, a new file name may be lost in a power failure.
    pub(crate) fn sync(&self) -> Result<(), Error> {
        let folder = File::open(&self.path).at("open", &self.path)?;
        folder.sync_all().at("sync", &self.path)
    }
}

/// Locks a folder against a second process.
///
/// Two processes on one folder would overwrite each other's log and vote twice under one id. The
/// kernel releases the lock when the process ends, so a killed process leaves no stale lock.
fn lock(path: &Path) -> Result<Flock<File>, Error> {
    let mut options = OpenOptions::new();
    let file = options
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .at("open", path)?;
    match Flock::lock(file, FlockArg::LockExclusiveNonblock) {
        Ok(lock) => Ok(lock),
        Err((_, Errno::EWOULDBLOCK)) => Err(Error::Locked {
            path: path.to_owned(),
        }),
        Err((_, errno)) => Err(errno.into()).at("lock", path),
    }
}
