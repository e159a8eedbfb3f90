//! The log, stored as a sequence of segments.

use std::collections::VecDeque;
use std::path::PathBuf;

use zinniastall_coord::Index;
use zinniastall_coord::log::Position;
use zinniastall_coord::replica::HardState;

use crate::error::{Damage, Error};
use crate::folder::Folder;
use crate::segment::{self, Content, Header, Segment};
use crate::tail::{Batch, Tail};

/// A segment that is no longer written to.
#[derive(Debug, Clone, Copy)]
struct Closed {
    number: u64,
    base: Position,
    floor: Index,
}

/// The segments of a log; the last one is open for appending.
#[derive(Debug)]
pub(crate) struct Journal {
    closed: VecDeque<Closed>,
    open: Segment,
    last: Position,
    hard: HardState,
    segment_bytes: u64,
}

impl Journal {
    /// Creates the first segment of a new folder.
    pub(crate) fn create(folder: &Folder, segment_bytes: u64) -> Result<Self, Error> {
        let (last, hard) = (Position::default(), HardState::default());
        let open = Segment::create(
            folder,
            1,
            Header {
                salt: rand::random(),
                base: last,
                hard,
            },
        )?;
        Ok(Self {
            closed: VecDeque::new(),
            open,
            last,
            hard,
            segment_bytes,
        })
    }

    pub(crate) fn is_absent(folder: &Folder) -> Result<bool, Error> {
        Ok(segment::numbers(folder)?.is_empty())
    }

    /// Returns the path of the oldest segment.
    pub(crate) fn first_path(&self, folder: &Folder) -> PathBuf {
        let oldest = self.closed.front();
        let number = oldest.map_or(self.open.number, |closed| closed.number);
        folder.file(&segment::name(number))
    }

    /// Reads all segments and opens the last one for appending.
    pub(crate) fn load(folder: &Folder, segment_bytes: u64) -> Result<(Self, Tail), Error> {
        let numbers = segment::numbers(folder)?;
        let (Some(oldest), Some(newest)) = (numbers.first(), numbers.last()) else {
            return Err(Error::Missing {
                path: folder.file(&segment::name(1)),
            });
        };
        let mut closed = VecDeque::new();
        let mut before = None;
        for number in *oldest..*newest {
            let (tail, content) = replay(folder, number, before, false)?;
            closed.push_back(Closed {
                number,
                base: content.header.base,
                floor: content.floor,
            });
            before = Some(tail);
        }
        let (tail, content) = replay(folder, *newest, before, true)?;
        let open = Segment::open(folder, *newest, &content)?;
        let (last, hard) = (tail.last(), tail.hard);
        Ok((
            Self {
                closed,
                open,
                last,
                hard,
                segment_bytes,
            },
            tail,
        ))
    }

    /// Appends a batch and syncs it, in a new segment if the current one is full.
    pub(crate) fn append(&mut self, folder: &Folder, batch: &Batch) -> Result<(), Error> {
        if self.open.size >= self.segment_bytes {
            self.rotate(folder)?;
        }
        self.open.append(batch)?;
        self.hard = batch.hard.unwrap_or(self.hard);
        self.last = batch.reset.unwrap_or(self.last);
        if let Some(entry) = batch.entries.last() {
            self.last = entry.position();
        }
        Ok(())
    }

    /// Removes the segments that are not needed beside a snapshot up to index `covered`, oldest
    /// first.
    pub(crate) fn compact(&mut self, folder: &Folder, covered: Index) -> Result<(), Error> {
        if self.open.base.index < covered && self.last.index <= covered {
            self.rotate(folder)?;
        }
        let Some(first) = self.first_needed(covered) else {
            return Ok(());
        };
        while let Some(covered) = self.closed.pop_front_if(|closed| closed.number < first) {
            folder.remove(&segment::name(covered.number))?;
        }
        Ok(())
    }

    /// Returns the number of the latest segment that the log may start with.
    ///
    /// Entries of a former leader may end one segment and be replaced in the next. That next
    /// segment then writes below its own base, and without its predecessor the folder would be
    /// refused as damaged. A log may therefore start with a segment only if neither that segment
    /// nor any later one writes below the segment's base.
    fn first_needed(&self, covered: Index) -> Option<u64> {
        let open = Closed {
            number: self.open.number,
            base: self.open.base,
            floor: self.open.floor,
        };
        let mut floor = Index::MAX;
        let mut newest_first = std::iter::once(&open).chain(self.closed.iter().rev());
        let first = newest_first.find(|segment| {
            floor = floor.min(segment.floor);
            segment.base.index <= covered && segment.base.index <= floor
        });
        first.map(|segment| segment.number)
    }

    fn rotate(&mut self, folder: &Folder) -> Result<(), Error> {
        let header = Header {
            salt: rand::random(),
            base: self.last,
            hard: self.hard,
        };
        let next = Segment::create(folder, self.open.number + 1, header)?;
        let full = std::mem::replace(&mut self.open, next);
        self.closed.push_back(Closed {
            number: full.number,
            base: full.base,
            floor: full.floor,
        });
        Ok(())
    }
}

/// Reads a segment and applies its batches to the tail rebuilt from earlier segments.
fn replay(
    folder: &Folder,
    number: u64,
    before: Option<Tail>,
    is_last: bool,
) -> Result<(Tail, Content), Error> {
    let path = folder.file(&segment::name(number));
    let Some(bytes) = folder.read(&segment::name(number))? else {
        return Err(Error::Missing { path });
    };
    let mut content = segment::read(&path, &bytes, is_last)?;
    let Header { base, hard, .. } = content.header;
    let mut tail = before.unwrap_or_else(|| Tail::new(base, hard));
    if tail.last() != base {
        return Err(Error::corrupt(&path, 0, Damage::Gap));
    }
    for (at, batch) in content.batches.drain(..) {
        let applied = tail.apply(batch);
        applied.map_err(|damage| Error::corrupt(&path, at, damage))?;
    }
    Ok((tail, content))
}
