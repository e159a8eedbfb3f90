//! The store of one replica.

use std::path::Path;

use zinniastall_coord::log::{Entry, Position};
use zinniastall_coord::replica::{HardState, Ready, Restored, Snapshot};
use zinniastall_coord::{Cluster, Id};

use crate::fault::{Damage, Fault};
use crate::folder::Folder;
use crate::identity::{self, Identity};
use crate::journal::Journal;
use crate::snapshot;
use crate::tail::Batch;

/// Bytes after which a segment is full.
const DEFAULT_SEGMENT_BYTES: u64 = 8 << 20;

/// Settings of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Bytes after which a new segment begins.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: DEFAULT_SEGMENT_BYTES,
        }
    }
}

/// What a replica must not forget, in one data folder.
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
    /// Opens a data folder, creating it with a new random identity if there is none.
    ///
    /// # Errors
    ///
    /// [`Fault::Locked`] when another process has it open, [`Fault::Corrupt`] or
    /// [`Fault::Missing`] when it doesn't hold what was stored.
    pub fn open(path: impl AsRef<Path>) -> Result<(Self, Restored), Fault> {
        Self::open_with(path, Options::default())
    }

    /// Opens a data folder with settings of its own.
    ///
    /// # Errors
    ///
    /// As [`open`](Self::open).
    pub fn open_with(path: impl AsRef<Path>, options: Options) -> Result<(Self, Restored), Fault> {
        let folder = Folder::open(path.as_ref())?;
        match Identity::load(&folder)? {
            Some(identity) => Self::load(folder, identity, options),
            None => Self::create(folder, options),
        }
    }

    /// Creates the log before the identity: an identity without a log is a log that was lost.
    fn create(folder: Folder, options: Options) -> Result<(Self, Restored), Fault> {
        if holds_state(&folder, options)? {
            return Err(Fault::Missing {
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
    ) -> Result<(Self, Restored), Fault> {
        let snapshot = snapshot::load(&folder)?;
        let (mut journal, tail) = Journal::load(&folder, options.segment_bytes)?;
        let last = snapshot
            .as_ref()
            .map(|snapshot| snapshot.last)
            .unwrap_or_default();
        if !tail.starts_at_or_before(last) {
            return Err(Fault::corrupt(&journal.first_path(&folder), 0, Damage::Gap));
        }
        let hard = tail.hard;
        let entries = if let Some(entries) = tail.into_entries_after(last) {
            entries
        } else {
            // The process was killed between storing a leader's snapshot and the log's reset.
            journal.append(
                &folder,
                &Batch {
                    reset: Some(last),
                    ..Batch::default()
                },
            )?;
            Vec::new()
        };
        // Without a cluster the entries are those of a founding that was cut short.
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

    /// Returns the id of the folder's replica.
    pub const fn id(&self) -> Id {
        self.identity.id
    }

    /// Returns the cluster that the folder belongs to, if any.
    pub const fn cluster(&self) -> Option<Cluster> {
        self.identity.cluster
    }

    /// Returns how often batches were synced since the folder was opened.
    pub const fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Founds a cluster with this replica as its only voter.
    ///
    /// # Errors
    ///
    /// [`Fault::Founded`] when the folder belongs to a cluster already.
    pub fn found(&mut self, address: impl Into<String>) -> Result<Restored, Fault> {
        if self.identity.cluster.is_some() {
            return Err(Fault::Founded);
        }
        let restored = Restored::founding(rand::random(), self.identity.id, address);
        self.hard(restored.hard);
        self.append(restored.entries.clone());
        self.sync()?;
        self.join(restored.cluster)?;
        Ok(restored)
    }

    /// Stores all that a batch of the replica asks for, and syncs it once.
    ///
    /// # Errors
    ///
    /// [`Fault::Io`] when the system refuses; from then on [`Fault::Failed`].
    pub fn save(&mut self, ready: &Ready) -> Result<(), Fault> {
        if ready.cluster.is_some() {
            self.join(ready.cluster)?;
        }
        if let Some(snapshot) = &ready.install {
            // Entries staged before belong to the log that ends here, not to the one behind it.
            self.sync()?;
            self.install(snapshot)?;
        }
        self.append(ready.append.iter().cloned());
        if let Some(hard) = ready.hard {
            self.hard(hard);
        }
        self.sync()
    }

    /// Stages entries for the next [`sync`](Self::sync).
    ///
    /// An entry at a place already taken replaces it and all behind it.
    pub fn append(&mut self, entries: impl IntoIterator<Item = Entry>) {
        self.staged.entries.extend(entries);
    }

    /// Stages term and vote for the next [`sync`](Self::sync).
    pub const fn hard(&mut self, hard: HardState) {
        self.staged.hard = Some(hard);
    }

    /// Writes and syncs all that is staged as one record.
    ///
    /// # Errors
    ///
    /// As [`save`](Self::save).
    pub fn sync(&mut self) -> Result<(), Fault> {
        if self.staged.is_empty() {
            return Ok(());
        }
        let batch = std::mem::take(&mut self.staged);
        self.fail_stop(|store| store.journal.append(&store.folder, &batch))?;
        self.syncs += 1;
        Ok(())
    }

    /// Syncs what is staged, stores a snapshot of applied state, and drops segments that it covers.
    ///
    /// # Errors
    ///
    /// As [`save`](Self::save).
    pub fn snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Fault> {
        // The snapshot may cover staged entries that replace others, which it must not outrun.
        self.sync()?;
        self.fail_stop(|store| {
            snapshot::save(&store.folder, snapshot)?;
            store.journal.compact(&store.folder, snapshot.last.index)
        })
    }

    /// Stores a leader's snapshot, behind which the log begins anew.
    fn install(&mut self, snapshot: &Snapshot) -> Result<(), Fault> {
        self.staged.reset = Some(snapshot.last);
        self.fail_stop(|store| snapshot::save(&store.folder, snapshot))
    }

    fn join(&mut self, cluster: Option<Cluster>) -> Result<(), Fault> {
        let identity = Identity {
            cluster,
            ..self.identity
        };
        self.fail_stop(|store| identity.save(&store.folder))?;
        self.identity = identity;
        Ok(())
    }

    /// Runs a write and refuses all later ones if it fails.
    ///
    /// After a failed sync the system may drop the pages that it couldn't write and report success
    /// the next time. An acknowledgement after that would promise what is nowhere stored.
    fn fail_stop(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), Fault>,
    ) -> Result<(), Fault> {
        if self.failed {
            return Err(Fault::Failed);
        }
        self.failed = true;
        write(self)?;
        self.failed = false;
        Ok(())
    }
}

/// Tells whether a folder without an identity holds the state of a replica.
fn holds_state(folder: &Folder, options: Options) -> Result<bool, Fault> {
    if snapshot::load(folder)?.is_some() {
        return Ok(true);
    }
    if Journal::is_absent(folder)? {
        return Ok(false);
    }
    let (_, tail) = Journal::load(folder, options.segment_bytes)?;
    Ok(tail.hard != HardState::default() || tail.last() != Position::default())
}
