//! Segment files of the log.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use zinniastall_coord::Index;
use zinniastall_coord::log::Position;
use zinniastall_coord::replica::HardState;

use crate::error::{Context, Damage, Error};
use crate::folder::Folder;
use crate::record;
use crate::tail::Batch;

const PREFIX: &str = "log-";
const HEADER_SALT: u64 = 2;

/// First record of a segment, with the state needed from earlier segments.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Header {
    /// Random checksum salt of the records that follow.
    pub(crate) salt: u64,
    /// Last entry before the segment.
    pub(crate) base: Position,
    /// Term and vote at the start of the segment.
    pub(crate) hard: HardState,
}

/// The segment open for appending.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) number: u64,
    pub(crate) base: Position,
    /// Lowest index after which the segment writes entries. It may be below `base`, if entries of
    /// earlier segments are replaced.
    pub(crate) floor: Index,
    pub(crate) size: u64,
    salt: u64,
    path: PathBuf,
    file: File,
}

/// Decoded content of a segment.
#[derive(Debug)]
pub(crate) struct Content {
    pub(crate) header: Header,
    /// Batches, each with the byte offset of its record.
    pub(crate) batches: Vec<(u64, Batch)>,
    /// Lowest index after which the segment writes entries.
    pub(crate) floor: Index,
    /// Byte offset after the last complete record.
    pub(crate) end: u64,
}

impl Segment {
    /// Creates a segment and syncs its header and its name.
    pub(crate) fn create(folder: &Folder, number: u64, header: Header) -> Result<Self, Error> {
        let mut bytes = Vec::new();
        record::write(&mut bytes, HEADER_SALT, &header);
        folder.replace(&name(number), &bytes)?;
        let end = bytes.len() as u64;
        let content = Content {
            header,
            batches: Vec::new(),
            floor: header.base.index,
            end,
        };
        Self::open(folder, number, &content)
    }

    /// Opens a segment for appending and truncates it after the content that was read.
    pub(crate) fn open(folder: &Folder, number: u64, content: &Content) -> Result<Self, Error> {
        let path = folder.file(&name(number));
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .at("open", &path)?;
        let Content {
            header, floor, end, ..
        } = *content;
        if file.metadata().at("look at", &path)?.len() != end {
            file.set_len(end).at("cut", &path)?;
            file.sync_all().at("sync", &path)?;
        }
        let Header { base, salt, .. } = header;
        Ok(Self {
            number,
            base,
            floor,
            size: end,
            salt,
            path,
            file,
        })
    }

    /// Appends a batch and syncs it.
    pub(crate) fn append(&mut self, batch: &Batch) -> Result<(), Error> {
        let mut bytes = Vec::new();
        record::write(&mut bytes, self.salt, batch);
        self.file.write_all(&bytes).at("write", &self.path)?;
        self.file.sync_data().at("sync", &self.path)?;
        self.size += bytes.len() as u64;
        self.floor = self.floor.min(batch.floor());
        Ok(())
    }
}

/// Reads a segment up to its end or to a torn last record.
///
/// A record with a wrong checksum counts as torn only in the last segment and only if no complete
/// record follows. Batches are synced one at a time, so whatever precedes a complete record was
/// synced before it and has been damaged since.
pub(crate) fn read(path: &Path, bytes: &[u8], is_last: bool) -> Result<Content, Error> {
    let corrupt = |at: usize, damage| Error::corrupt(path, at as u64, damage);
    let head = record::read(bytes, 0, HEADER_SALT).map_err(|damage| corrupt(0, damage))?;
    let header: Header = head.value;
    let mut batches: Vec<(u64, Batch)> = Vec::new();
    let mut at = head.end;
    while at < bytes.len() {
        match record::read(bytes, at, header.salt) {
            Ok(record) => {
                batches.push((at as u64, record.value));
                at = record.end;
            }
            Err(Damage::Checksum) if is_last && !record::any_after(bytes, at, header.salt) => {
                break;
            }
            Err(damage) => return Err(corrupt(at, damage)),
        }
    }
    let floors = batches.iter().map(|(_, batch)| batch.floor());
    let floor = floors.min().unwrap_or(Index::MAX).min(header.base.index);
    Ok(Content {
        header,
        batches,
        floor,
        end: at as u64,
    })
}

pub(crate) fn name(number: u64) -> String {
    format!("{PREFIX}{number:020}")
}

/// Returns the numbers of all segments in a folder, in ascending order.
pub(crate) fn numbers(folder: &Folder) -> Result<Vec<u64>, Error> {
    let names = folder.names(PREFIX)?;
    Ok(names
        .iter()
        .filter_map(|name| name.strip_prefix(PREFIX)?.parse().ok())
        .collect())
}
