//! Identity of the replica that a data folder belongs to.

use serde::{Deserialize, Serialize};
use zinniastall_coord::{Cluster, Id};

use crate::error::Error;
use crate::folder::Folder;
use crate::record;

pub(crate) const FILE_NAME: &str = "identity";
const SALT: u64 = 0;

/// Identity of a replica, generated at random when the folder is created.
///
/// After the loss of its disk, a replica gets a new id. With the old id, the other replicas would
/// rely on votes and entries that it no longer has, and a committed change could be reverted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub(crate) id: Id,
    pub(crate) cluster: Option<Cluster>,
}

impl Identity {
    pub(crate) fn random() -> Self {
        let id = std::iter::repeat_with(rand::random).find(|id| *id != 0);
        Self {
            id: id.unwrap_or(1),
            cluster: None,
        }
    }

    pub(crate) fn load(folder: &Folder) -> Result<Option<Self>, Error> {
        let Some(bytes) = folder.read(FILE_NAME)? else {
            return Ok(None);
        };
        let record = record::read(&bytes, 0, SALT);
        let record = record.map_err(|damage| Error::corrupt(&folder.file(FILE_NAME), 0, damage))?;
        Ok(Some(record.value))
    }

    pub(crate) fn save(&self, folder: &Folder) -> Result<(), Error> {
        let mut bytes = Vec::new();
        record::write(&mut bytes, SALT, self);
        folder.replace(FILE_NAME, &bytes)
    }
}
