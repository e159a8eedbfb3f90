//! Deduplication of operators' commands: a resend gets the recorded answer and never runs twice.
//!
//! An operator whose answer was lost sends the same command id again. The [`Table`] is part of the
//! replicated state and of snapshots, so any leader finds the recorded answer, also after a
//! restart. The digest of the body tells a resend from another command under the same id.
//!
//! # Why eviction is safe
//!
//! The number of records is bounded per operator and in total; the oldest are evicted first. Each
//! command names the revision of the object that it expects. A command that ran moved its object to
//! a later revision, and revisions are never reused, so a resend that outlives its record is
//! refused as a conflict instead of running again. A command that was refused had no effect, so
//! running it late is its first run. This holds only if a deleted object keeps its last revision: a
//! command that creates must not find the object absent again after another command has deleted it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Digest of a command's body.
pub type Digest = [u8; blake3::OUT_LEN];

/// Returns the digest that identifies a command's body.
pub fn digest(body: &[u8]) -> Digest {
    blake3::hash(body).into()
}

/// The result of looking up a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome<'a, Answer> {
    /// The id is unknown: the command may run.
    New,
    /// The same command ran before and got this answer.
    Recorded(&'a Answer),
    /// The id was used for a command with another body.
    Reused,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record<Answer> {
    sequence: u64,
    digest: Digest,
    answer: Answer,
}

/// Recorded answers by operator and command id; the oldest are evicted first.
///
/// Replicas that record the same commands in the same order hold equal tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table<Answer> {
    per_operator: usize,
    whole: usize,
    sequence: u64,
    len: usize,
    operators: IndexMap<String, IndexMap<String, Record<Answer>>>,
}

impl<Answer> Table<Answer> {
    /// Creates an empty table that holds at most `per_operator` records per operator and `whole` in
    /// total.
    ///
    /// A limit of zero counts as one, so that a resend of the last command is always recognised.
    pub fn new(per_operator: usize, whole: usize) -> Self {
        Self {
            per_operator: per_operator.max(1),
            whole: whole.max(1),
            sequence: 0,
            len: 0,
            operators: IndexMap::new(),
        }
    }

    /// Returns the number of recorded answers.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing is recorded.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Looks up a command before it runs.
    pub fn look_up(&self, operator: &str, id: &str, digest: &Digest) -> Outcome<'_, Answer> {
        let Some(record) = self
            .operators
            .get(operator)
            .and_then(|records| records.get(id))
        else {
            return Outcome::New;
        };
        if record.digest == *digest {
            Outcome::Recorded(&record.answer)
        } else {
            Outcome::Reused
        }
    }

    /// Records the answer of a command for which [`look_up`](Self::look_up) returned
    /// [`Outcome::New`].
    ///
    /// An id that is already recorded keeps its first answer.
    pub fn record(&mut self, operator: &str, id: &str, digest: Digest, answer: Answer) {
        let records = self.operators.entry(operator.to_owned()).or_default();
        if records.contains_key(id) {
            return;
        }
        let sequence = self.sequence;
        records.insert(
            id.to_owned(),
            Record {
                sequence,
                digest,
                answer,
            },
        );
        self.sequence += 1;
        self.len += 1;
        if records.len() > self.per_operator {
            records.shift_remove_index(0);
            self.len -= 1;
        }
        if self.len > self.whole {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .operators
            .values()
            .enumerate()
            .filter_map(|(at, records)| Some((records.first()?.1.sequence, at)))
            .min();
        let Some((_, at)) = oldest else { return };
        let Some((_, records)) = self.operators.get_index_mut(at) else {
            return;
        };
        records.shift_remove_index(0);
        self.len -= 1;
        if records.is_empty() {
            self.operators.shift_remove_index(at);
        }
    }
}
