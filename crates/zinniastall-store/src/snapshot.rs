//! Snapshot files, written atomically.

use zinniastall_coord::Index;
use zinniastall_coord::replica::Snapshot;

use crate::error::Error;
use crate::folder::Folder;
use crate::record;

const PREFIX: &str = "snapshot-";
const SALT: u64 = 1;

/// Loads the latest snapshot.
///
/// If it is damaged, no older one is used instead: the log may no longer contain the entries
/// between the two.
pub(crate) fn load(folder: &Folder) -> Result<Option<Snapshot>, Error> {
    let Some(name) = folder.names(PREFIX)?.pop() else {
        return Ok(None);
    };
    let Some(bytes) = folder.read(&name)? else {
        return Ok(None);
    };
    let record = record::read(&bytes, 0, SALT);
    let record = record.map_err(|damage| Error::corrupt(&folder.file(&name), 0, damage))?;
    Ok(Some(record.value))
}

/// Stores a snapshot durably, then removes older ones.
pub(crate) fn save(folder: &Folder, snapshot: &Snapshot) -> Result<(), Error> {
    let mut bytes = Vec::with_capacity(snapshot.data.len());
    record::write(&mut bytes, SALT, snapshot);
    let name = name(snapshot.last.index);
    folder.replace(&name, &bytes)?;
    for older in folder.names(PREFIX)? {
        if older < name {
            folder.remove(&older)?;
        }
    }
    Ok(())
}

fn name(index: Index) -> String {
    format!("{PREFIX}{index:020}")
}
