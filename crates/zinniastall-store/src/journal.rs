//! The log in its segments.

use std::collections::VecDeque;
use std::path::PathBuf;

use zinniastall_coord::Index;
use zinniastall_coord::log::Position;
use zinniastall_coord::replica::Hard;

use crate::fault::{Damage, Fault};
use crate::folder::Folder;
use crate::segment::{self, Content, Header, Segment};
use crate::tail::{Batch, Tail};

/// The segments of a log, the last one open for appending.
#[derive(Debug)]
pub(crate) struct Journal {
    /// Number and base of the segments that are only read.
    closed: VecDeque<(u64, Position)>,
    open: Segment,
    last: Position,
    hard: Hard,
    limit: u64,
}

impl Journal {
    /// Creates the first segment of a new folder.
    pub(crate) fn create(folder: &Folder, limit: u64) -> Result<Self, Fault> {
        let (last, hard) = (Position::default(), Hard::default());
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
            limit,
        })
    }

    pub(crate) fn is_absent(folder: &Folder) -> Result<bool, Fault> {
        Ok(segment::numbers(folder)?.is_empty())
    }

    /// Returns the file with which the log begins.
    pub(crate) fn first(&self, folder: &Folder) -> PathBuf {
        let number = self
            .closed
            .front()
            .map_or(self.open.number, |(number, _)| *number);
        folder.file(&segment::name(number))
    }

    /// Reads all segments and opens the last one.
    pub(crate) fn load(folder: &Folder, limit: u64) -> Result<(Self, Tail), Fault> {
        let numbers = segment::numbers(folder)?;
        let Some(newest) = numbers.last().copied() else {
            return Err(Fault::Missing {
                path: folder.file(&segment::name(1)),
            });
        };
        let mut tail: Option<Tail> = None;
        let mut closed = VecDeque::new();
        let mut expected = numbers.first().copied().unwrap_or(newest);
        loop {
            let path = folder.file(&segment::name(expected));
            let Some(bytes) = folder.read(&segment::name(expected))? else {
                return Err(Fault::Missing { path });
            };
            let content = segment::read(&path, &bytes, expected == newest)?;
            let header = content.header;
            let end = content.end;
            let so_far = tail
                .take()
                .unwrap_or_else(|| Tail::new(header.base, header.hard));
            let replayed = replay(so_far, content);
            let replayed = replayed.map_err(|(at, damage)| Fault::corrupt(&path, at, damage))?;
            if expected == newest {
                let open = Segment::open(folder, newest, &header, end)?;
                let (last, hard) = (replayed.last(), replayed.hard);
                return Ok((
                    Self {
                        closed,
                        open,
                        last,
                        hard,
                        limit,
                    },
                    replayed,
                ));
            }
            closed.push_back((expected, header.base));
            tail = Some(replayed);
            expected += 1;
        }
    }

    /// Appends a batch and syncs it, in a new segment if the present one is full.
    pub(crate) fn append(&mut self, folder: &Folder, batch: &Batch) -> Result<(), Fault> {
        if self.open.size >= self.limit {
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

    /// Removes the segments whose entries a snapshot covers, the oldest first.
    pub(crate) fn compact(&mut self, folder: &Folder, covered: Index) -> Result<(), Fault> {
        if self.open.base.index < covered && self.last.index <= covered {
            self.rotate(folder)?;
        }
        while self.next_base().is_some_and(|base| base.index <= covered) {
            let Some((number, _)) = self.closed.pop_front() else {
                break;
            };
            folder.remove(&segment::name(number))?;
        }
        Ok(())
    }

    /// Returns the last entry before the second segment.
    fn next_base(&self) -> Option<Position> {
        self.closed.front()?;
        Some(self.closed.get(1).map_or(self.open.base, |(_, base)| *base))
    }

    fn rotate(&mut self, folder: &Folder) -> Result<(), Fault> {
        let header = Header {
            salt: rand::random(),
            base: self.last,
            hard: self.hard,
        };
        let next = Segment::create(folder, self.open.number + 1, header)?;
        let full = std::mem::replace(&mut self.open, next);
        self.closed.push_back((full.number, full.base));
        Ok(())
    }
}

/// Applies a segment's batches to what came before it.
fn replay(mut tail: Tail, content: Content) -> Result<Tail, (u64, Damage)> {
    if tail.last() != content.header.base {
        return Err((0, Damage::Gap));
    }
    for (at, batch) in content.batches {
        tail.apply(batch).map_err(|damage| (at, damage))?;
    }
    Ok(tail)
}
