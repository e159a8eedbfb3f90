//! News of targets that announced here, until the next heartbeat period sends them on.

use std::time::Instant;

use indexmap::IndexMap;
use zinniastall_model::id;
use zinniastall_wire::gossip::{self, Load};

use crate::targets::table::Table;

/// Renewals that wait to be sent; a later one of the same target takes the place of the earlier.
#[derive(Debug, Default)]
pub struct News {
    waiting: IndexMap<id::Target, Vec<u64>>,
}

impl News {
    /// Adds a renewal and the prefixes that are new in it.
    pub fn renewed(&mut self, target: &str, added: &[u64]) {
        let waiting = self.waiting.entry(target.to_owned()).or_default();
        waiting.extend_from_slice(added);
    }

    /// Takes all renewals, with each lease's time left as of now.
    pub fn take(&mut self, table: &Table, now: Instant) -> Vec<Load> {
        let load = |(target, added): (id::Target, Vec<u64>)| {
            let report = table.report(&target, now)?;
            Some(Load {
                tag: report.tag(),
                sequence: report.sequence,
                busy: report.busy,
                left_ms: report.left_ms,
                added,
            })
        };
        self.waiting.drain(..).filter_map(load).collect()
    }
}

/// Returns the prefixes by which a target's list grew, or `None` when it changed in another way.
///
/// The list is bounded and has the newest last, so growth may push out the oldest.
pub fn grown<'a>(before: &gossip::Target, after: &'a gossip::Target) -> Option<&'a [u64]> {
    let (old, new) = (&before.prefixes, &after.prefixes);
    if old.is_empty() {
        return Some(new);
    }
    let shared = (1..=old.len().min(new.len()))
        .rev()
        .find(|shared| old.ends_with(&new[..*shared]))?;
    Some(&new[shared..])
}
