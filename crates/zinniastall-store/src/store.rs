//! Durable state of one replica.

use std::path::Path;

use zinniastall_coord::log::{Entry, Position};
use zinniastall_coord::replica::{HardState, Ready, Restored, Snapshot};
use zinniastall_coord::{Cluster, Id};

use crate::error::{Damage, Error};
use crate::folder::Folder;
use crate::identity::{self, Identity};
use crate::journal::Journal;
use crate::snapshot;
use crate::tail::Batch;

/// Default of [`Options::segment_bytes`].
const DEFAULT_SEGMENT_BYTES: u64 = 8 << 20;

/// Options of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Size in bytes at which a segment is full; the next batch starts a new one.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: DEFAULT_SEGMENT_BYTES,
        }
    }
}

/// Stores the durable state of a replica in a data folder.
#[derive(Debug)]
pub struct Store {
    folder: Folder,
    identity: Identity,
    journal: Journal,
    staged: Batch,
    syncs: u64,
    failed: bool,
}

impl Store {
    /// Opens a data folder; a missing or empty one is initialised with a new random identity.
    ///
    /// # Errors
    ///
    /// [`Error::Locked`] if another process has the folder open, [`Error::Corrupt`] or
    /// [`Error::Missing`] if its content is damaged or incomplete, [`Error::Io`] if a file
    /// operation fails.
    pub fn open(path: impl AsRef<Path>) -> Result<(Self, Restored), Error> {
        Self::open_with(path, Options::default())
    }

    /// Opens a data folder with the given options.
    ///
    /// # Errors
    ///
    /// See [`open`](Self::open).
    pub fn open_with(path: impl AsRef<Path>, options: Options) -> Result<(Self, Restored), Error> {
        let folder = Folder::open(path.as_ref())?;
        match Identity::load(&folder)? {
            Some(identity) => Self::load(folder, identity, options),
            None => Self::create(folder, options),
        }
    }

    /// Initialises a folder. The log is created before the identity, so that an identity without a
    /// log means that the log was lost.
    fn create(folder: Folder, options: Options) -> Result<(Self, Restored), Error> {
        if holds_state(&folder, options)? {
            return Err(Error::Missing {
                path: folder.file(identity::FILE_NAME),
            });
        }
        let journal = Journal::create(&folder, options.segment_bytes)?;
        let identity = Identity::random();
        identity.save(&folder)?;
        Ok((Self::new(folder, identity, journal), Restored::default()))
    }

    fn load(
        folder: Folder,
        identity: Identity,
        options: Options,
    ) -> Result<(Self, Restored), Error> {
        let snapshot = snapshot::load(&folder)?;
        let (mut journal, tail) = Journal::load(&folder, options.segment_bytes)?;
        let last = snapshot
            .as_ref()
            .map(|snapshot| snapshot.last)
            .unwrap_or_default();
        if !tail.starts_at_or_before(last) {
            return Err(Error::corrupt(&journal.first_path(&folder), 0, Damage::Gap));
        }
        let hard = tail.hard;
        let entries = if let Some(entries) = tail.into_entries_after(last) {
            entries
        } else {
            // The process was killed after it had stored a leader's snapshot and before it had
            // reset the log.
            journal.append(
                &folder,
                &Batch {
                    reset: Some(last),
                    ..Batch::default()
                },
            )?;
            Vec::new()
        };
        // Without a cluster, the entries are left over from an interrupted `found`.
        let restored = match identity.cluster {
            Some(_) => Restored {
                cluster: identity.cluster,
                hard,
                snapshot,
                entries,
            },
            None => Restored::default(),
        };
        Ok((Self::new(folder, identity, journal), restored))
    }

    fn new(folder: Folder, identity: Identity, journal: Journal) -> Self {
        Self {
            folder,
            identity,
            journal,
            staged: Batch::default(),
            syncs: 0,
            failed: false,
        }
    }

    /// Returns the id of the replica.
    pub const fn id(&self) -> Id {
        self.identity.id
    }

    /// Returns the cluster that the folder belongs to, if any.
    pub const fn cluster(&self) -> Option<Cluster> {
        self.identity.cluster
    }

    /// Returns the number of batches synced since the folder was opened.
    pub const fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Founds a cluster with this replica as its only voter.
    ///
    /// # Errors
    ///
    /// [`Error::Founded`] if the folder already belongs to a cluster, otherwise as for
    /// [`save`](Self::save).
    pub fn found(&mut self, address: impl Into<String>) -> Result<Restored, Error> {
        if self.identity.cluster.is_some() {
            return Err(Error::Founded);
        }
        let restored = Restored::founding(rand::random(), self.identity.id, address);
        self.set_hard_state(restored.hard);
        self.append(restored.entries.clone());
        self.sync()?;
        self.join(restored.cluster)?;
        Ok(restored)
    }

    /// Stores everything that a [`Ready`] contains and syncs it.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if a write or sync fails, and [`Error::Failed`] on every call after that.
    pub fn save(&mut self, ready: &Ready) -> Result<(), Error> {
        if ready.cluster.is_some() {
            self.join(ready.cluster)?;
        }
        if let Some(snapshot) = &ready.install {
            // Entries staged earlier belong to the old log, not to the one that starts after the
            // snapshot.
            self.sync()?;
            self.install(snapshot)?;
        }
        self.append(ready.append.iter().cloned());
        if let Some(hard) = ready.hard {
            self.set_hard_state(hard);
        }
        self.sync()
    }

    /// Stages entries for the next [`sync`](Self::sync).
    ///
    /// An entry whose index is already in the log replaces that entry and all later ones.
    pub fn append(&mut self, entries: impl IntoIterator<Item = Entry>) {
        self.staged.entries.extend(entries);
    }

    /// Stages the term and vote for the next [`sync`](Self::sync).
    pub const fn set_hard_state(&mut self, hard: HardState) {
        self.staged.hard = Some(hard);
    }

    /// Writes everything staged as one record and syncs it.
    ///
    /// # Errors
    ///
    /// See [`save`](Self::save).
    pub fn sync(&mut self) -> Result<(), Error> {
        if self.staged.is_empty() {
            return Ok(());
        }
        let batch = std::mem::take(&mut self.staged);
        self.fail_stop(|store| store.journal.append(&store.folder, &batch))?;
        self.syncs += 1;
        Ok(())
    }

    /// Syncs what is staged, stores a snapshot of the applied state and removes the segments that
    /// it covers.
    ///
    /// # Errors
    ///
    /// See [`save`](Self::save).
    pub fn snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        // The snapshot may cover staged entries that replace older ones in the log, so these must
        // be durable before it.
        self.sync()?;
        self.fail_stop(|store| {
            snapshot::save(&store.folder, snapshot)?;
            store.journal.compact(&store.folder, snapshot.last.index)
        })
    }

    /// Stores a leader's snapshot and stages a reset of the log to start after it.
    fn install(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.staged.reset = Some(snapshot.last);
        self.fail_stop(|store| snapshot::save(&store.folder, snapshot))
    }

    fn join(&mut self, cluster: Option<Cluster>) -> Result<(), Error> {
        let identity = Identity {
            cluster,
            ..self.identity
        };
        self.fail_stop(|store| identity.save(&store.folder))?;
        self.identity = identity;
        Ok(())
    }

    /// Runs a write and, if it fails, refuses all later ones.
    ///
    /// After a failed sync, the kernel may drop the dirty pages and report success for the next
    /// sync, so a later acknowledgement could cover data that was never written.
    fn fail_stop(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), Error>,
    ) -> Result<(), Error> {
        if self.failed {
            return Err(Error::Failed);
        }
        self.failed = true;
        write(self)?;
        self.failed = false;
        Ok(())
    }
}

/// Returns whether a folder without an identity contains the state of a replica.
fn holds_state(folder: &Folder, options: Options) -> Result<bool, Error> {
    if snapshot::load(folder)?.is_some() {
        return Ok(true);
    }
    if Journal::is_absent(folder)? {
        return Ok(false);
    }
    let (_, tail) = Journal::load(folder, options.segment_bytes)?;
    Ok(tail.hard != HardState::default() || tail.last() != Position::default())
}
