//! Whether the process behind a target's address is still the one that reported last.
//!
//! A target may start again under its name and address, with other software, and its first report
//! arrives a moment later. Its connections tell sooner: a process that ends closes all of them. So a
//! target is in doubt if a connection to it has ended, none that is older stays open, and it has not
//! reported since. Where those to all other targets have ended as well, the network is at fault.
//!
//! A single connection that is reset looks the same where it is the only one. So a stream goes on at a
//! target in doubt if no other is left, and rather at one that has an older connection open.

use std::{cell::RefCell, rc::Rc, time::Instant};

use indexmap::IndexMap;
use zinniastall_coord::rate::MAX_REPORT_DELAY;
use zinniastall_http::pool::Loss;

use super::Proxy;
use crate::view::Target;

/// What is known of the process behind a target's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Run {
    /// It is the one that reported last: a connection is open that is older than the report.
    Same,
    /// Nothing tells.
    Unseen,
    /// It may be another one.
    InDoubt,
}

/// Connections to targets with a request on them, and the last ones that ended too early.
#[derive(Debug, Default)]
pub(super) struct Runs(Rc<RefCell<IndexMap<String, Entry>>>);

#[derive(Debug, Default)]
struct Entry {
    /// When each connection in use was opened.
    opened: Vec<Instant>,
    lost: Option<Loss>,
}

/// Counts a connection in use until it is dropped.
#[derive(Debug)]
pub(super) struct Guard {
    entries: Rc<RefCell<IndexMap<String, Entry>>>,
    address: String,
    opened: Instant,
}

impl Runs {
    /// Records that a connection to an address is in use.
    pub(super) fn hold(&self, address: &str, opened: Instant) -> Guard {
        let mut entries = self.0.borrow_mut();
        let entry = entries.entry(address.to_owned()).or_default();
        entry.opened.push(opened);
        Guard {
            entries: Rc::clone(&self.0),
            address: address.to_owned(),
            opened,
        }
    }

    /// Records that a connection to an address ended too early.
    pub(super) fn lose(&self, address: &str) {
        let now = Instant::now();
        let loss = Loss {
            after: now,
            before: now,
        };
        self.add_loss(address, loss);
    }

    fn add_loss(&self, address: &str, loss: Loss) {
        let now = Instant::now();
        let mut entries = self.0.borrow_mut();
        entries.retain(|_, entry| !entry.opened.is_empty() || entry.has_recent_loss(now));
        let entry = entries.entry(address.to_owned()).or_default();
        entry.lost = Some(loss);
    }

    fn lost(&self, address: &str) -> Option<Loss> {
        self.0.borrow().get(address)?.lost
    }

    /// Returns whether a connection in use was opened before a time.
    fn has_older(&self, address: &str, than: Instant) -> bool {
        let entries = self.0.borrow();
        entries
            .get(address)
            .is_some_and(|entry| entry.has_older(than))
    }

    /// Returns whether a connection in use to any other address was opened before a time.
    fn has_older_elsewhere(&self, address: &str, than: Instant) -> bool {
        let entries = self.0.borrow();
        let mut others = entries.iter().filter(|(other, _)| *other != address);
        others.any(|(_, entry)| entry.has_older(than))
    }
}

impl Entry {
    fn has_older(&self, than: Instant) -> bool {
        self.opened.iter().any(|opened| *opened < than)
    }

    fn has_recent_loss(&self, now: Instant) -> bool {
        self.lost.is_some_and(|lost| !lost.is_old(now))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&self.address)
            && let Some(at) = entry
                .opened
                .iter()
                .position(|opened| *opened == self.opened)
        {
            entry.opened.swap_remove(at);
        }
    }
}

impl Proxy {
    /// Returns what is known of the process behind a target's address.
    pub(super) fn target_run(&self, target: &Target) -> Run {
        let address = target.report.address.as_str();
        if let Some(loss) = self.pool.take_loss(address) {
            self.runs.add_loss(address, loss);
        }
        let has_older =
            |than| self.runs.has_older(address, than) || self.pool.has_older(address, than);
        let reported = target.heard_at.checked_sub(MAX_REPORT_DELAY);
        if reported.is_some_and(has_older) {
            return Run::Same;
        }
        let Some(lost) = self.runs.lost(address) else {
            return Run::Unseen;
        };
        let has_reported = target.heard_at > lost.before + MAX_REPORT_DELAY;
        let is_alone = self.runs.has_older_elsewhere(address, lost.before)
            || self.pool.has_older_elsewhere(address, lost.before);
        if has_reported || has_older(lost.after) || !is_alone {
            return Run::Unseen;
        }
        Run::InDoubt
    }
}
