//! Snapshot files, each written under another name and synced before it counts.

use zinniastall_coord::Index;
use zinniastall_coord::replica::Snapshot;

use crate::fault::Fault;
use crate::folder::Folder;
use crate::record;

const PREFIX: &str = "snapshot-";
const SALT: u64 = 1;

/// Loads the latest snapshot.
///
/// A damaged one is refused and no older one is taken: the entries that led to the latest may be
/// gone from the log.
pub(crate) fn load(folder: &Folder) -> Result<Option<Snapshot>, Fault> {
    let Some(name) = folder.names(PREFIX)?.pop() else {
        return Ok(None);
    };
    let Some(bytes) = folder.read(&name)? else {
        return Ok(None);
    };
    let record = record::read(&bytes, 0, SALT);
    let record = record.map_err(|damage| Fault::corrupt(&folder.file(&name), 0, damage))?;
    Ok(Some(record.value))
}

/// Stores a snapshot durably, then removes those before it.
pub(crate) fn save(folder: &Folder, snapshot: &Snapshot) -> Result<(), Fault> {
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
