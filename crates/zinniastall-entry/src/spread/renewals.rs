//! Lease renewals of targets that announced to this instance, pending until the next heartbeat.

use std::time::Instant;

use indexmap::IndexMap;
use zinniastall_model::id;
use zinniastall_wire::gossip::{self, Load};

use crate::targets::{body::MAX_PREFIXES, table::Table};

/// Encoded size of a prefix.
const PREFIX_BYTES: u64 = 9;

/// Pending renewals, at most one per target; later ones replace earlier ones.
#[derive(Debug, Default)]
pub struct Renewals {
    pending: IndexMap<id::Target, Pending>,
}

#[derive(Debug, Default)]
struct Pending {
    renewed: bool,
    added: Vec<u64>,
}

impl Renewals {
    /// Adds a renewal and the prefixes that are new in it.
    pub fn add(&mut self, target: &str, added: &[u64]) {
        let pending = self.pending.entry(target.to_owned()).or_default();
        pending.renewed = true;
        pending.added.extend_from_slice(added);
        let excess = pending.added.len().saturating_sub(MAX_PREFIXES);
        pending.added.drain(..excess);
    }

    /// Removes a target's renewal, because its full report is sent instead.
    pub fn remove(&mut self, target: &str) {
        self.pending.swap_remove(target);
    }

    /// Removes and returns all renewals, with the remaining time of each lease.
    ///
    /// New prefixes are included as far as `bytes` allows. The rest wait, since a late cache update
    /// costs less than a lost lease.
    pub fn take(&mut self, table: &Table, bytes: u64, now: Instant) -> Vec<Load> {
        let mut left = bytes / PREFIX_BYTES;
        let mut loads = Vec::new();
        for (target, pending) in &mut self.pending {
            let count = pending
                .added
                .len()
                .min(usize::try_from(left).unwrap_or(usize::MAX));
            left -= count as u64;
            let added = pending.added.drain(..count).collect();
            let renewed = std::mem::take(&mut pending.renewed);
            if renewed || count > 0 {
                loads.extend(table.load(target, added, now));
            }
        }
        self.pending.retain(|_, pending| !pending.added.is_empty());
        loads
    }
}

/// Returns the prefixes that were appended to a target's list, or `None` if the list changed in
/// another way.
///
/// The list is bounded, with the newest prefix last, so appending may remove the oldest ones.
pub fn appended_prefixes<'a>(
    before: &gossip::Target,
    after: &'a gossip::Target,
) -> Option<&'a [u64]> {
    let (old, new) = (&before.prefixes, &after.prefixes);
    if old.is_empty() {
        return Some(new);
    }
    let shared = (1..=old.len().min(new.len()))
        .rev()
        .find(|shared| old.ends_with(&new[..*shared]))?;
    Some(&new[shared..])
}
