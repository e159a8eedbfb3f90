//! The data folder: its lock, and files that are replaced as a whole.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use nix::errno::Errno;
use nix::fcntl::{Flock, FlockArg};

use crate::fault::{Context, Fault};

const LOCK_FILE: &str = "lock";
const TEMPORARY: &str = ".tmp";

/// An open data folder that no other process can open.
#[derive(Debug)]
pub(crate) struct Folder {
    path: PathBuf,
    _lock: Flock<File>,
}

impl Folder {
    /// Opens a folder, creating it if needed, and removes what an interrupted write left.
    pub(crate) fn open(path: &Path) -> Result<Self, Fault> {
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

    /// Returns the names that start with a prefix, in order.
    pub(crate) fn names(&self, prefix: &str) -> Result<Vec<String>, Fault> {
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

    /// Reads a whole file, if there is one.
    pub(crate) fn read(&self, name: &str) -> Result<Option<Vec<u8>>, Fault> {
        let path = self.file(name);
        if !path.try_exists().at("look for", &path)? {
            return Ok(None);
        }
        fs::read(&path).at("read", &path).map(Some)
    }

    /// Replaces a file as a whole.
    ///
    /// The bytes are synced under another name before they take the file's name. A process killed
    /// in between leaves the old file valid and the new one under a name that nobody reads.
    pub(crate) fn replace(&self, name: &str, bytes: &[u8]) -> Result<(), Fault> {
        let temporary = self.file(&format!("{name}{TEMPORARY}"));
        let mut file = File::create(&temporary).at("create", &temporary)?;
        file.write_all(bytes).at("write", &temporary)?;
        file.sync_all().at("sync", &temporary)?;
        let path = self.file(name);
        fs::rename(&temporary, &path).at("rename", &temporary)?;
        self.sync()
    }

    pub(crate) fn remove(&self, name: &str) -> Result<(), Fault> {
        let path = self.file(name);
        fs::remove_file(&path).at("remove", &path)
    }

    /// Syncs the names in the folder: a file whose name isn't synced is gone after a power cut.
    pub(crate) fn sync(&self) -> Result<(), Fault> {
        let folder = File::open(&self.path).at("open", &self.path)?;
        folder.sync_all().at("sync", &self.path)
    }
}

/// Locks against a second process.
///
/// Two processes on one folder would write over each other's log and vote twice under one id. The
/// system drops the lock with the process, so a kill leaves nothing to clear up.
fn lock(path: &Path) -> Result<Flock<File>, Fault> {
    let mut options = OpenOptions::new();
    let file = options
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)
        .at("open", path)?;
    match Flock::lock(file, FlockArg::LockExclusiveNonblock) {
        Ok(lock) => Ok(lock),
        Err((_, Errno::EWOULDBLOCK)) => Err(Fault::Locked {
            path: path.to_owned(),
        }),
        Err((_, errno)) => Err(errno.into()).at("lock", path),
    }
}
