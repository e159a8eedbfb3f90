//! Has the group record the suspected requests that gateway instances report.
//!
//! Instances learn of these requests from each other within a tenth of a second, but forget them
//! when all of them restart. The group's record survives that, and operators can list and release
//! its entries.

use std::{cell::RefCell, time::Duration};

use actix::Recipient;
use indexmap::IndexMap;
use tokio::{sync::Notify, sync::watch, time};
use zinniastall_coord::quarantine::Suspicion;
use zinniastall_model::{
    change::{Body, Change},
    fingerprint::{Fingerprint, Suspect},
};
use zinniastall_wire::feed::Feed;

use crate::control::{Reply, Write};

/// Time during which reports are gathered, since several instances discover the same requests.
const GATHER_WINDOW: Duration = Duration::from_millis(50);
/// Requests that may wait to be recorded; instances repeat their reports of those that the group
/// has not recorded.
const MAX_REPORTED: usize = 256;

/// Reports that wait to be recorded.
#[derive(Debug, Default)]
pub(super) struct Recorder {
    reported: RefCell<IndexMap<Fingerprint, Suspicion>>,
    reports_waiting: Notify,
}

impl Recorder {
    /// Adds an instance's report.
    pub(super) fn report(&self, suspects: Vec<Suspect>) {
        let mut reported = self.reported.borrow_mut();
        for (request, suspicion) in suspects {
            if reported.len() < MAX_REPORTED || reported.contains_key(&request) {
                let held: &mut Suspicion = reported.entry(request).or_default();
                held.merge(&suspicion);
            }
        }
        self.reports_waiting.notify_one();
    }

    /// Has the group record the reported requests, forever.
    pub(super) async fn run(&self, group: Recipient<Write>, feed: watch::Receiver<Feed>) {
        loop {
            self.reports_waiting.notified().await;
            time::sleep(GATHER_WINDOW).await;
            let reported = self.reported.take();
            let state = std::sync::Arc::clone(feed.borrow().state());
            let mut suspects: Vec<Suspect> = reported.into_iter().collect();
            suspects.retain(|suspect| state.lacks(suspect));
            if suspects.is_empty() {
                continue;
            }
            let requests = suspects.len();
            match record(&group, suspects).await {
                Some(Reply::Done { revision, .. }) => {
                    tracing::info!(event = "suspects-kept", requests, revision);
                }
                // The leader receives the same reports, and instances repeat them until they are
                // recorded.
                reply => tracing::debug!(event = "suspects-not-kept", requests, reply = ?reply),
            }
        }
    }
}

async fn record(group: &Recipient<Write>, suspects: Vec<Suspect>) -> Option<Reply> {
    let change = Change {
        origin: None,
        expected: None,
        body: Body::Suspect(suspects),
    };
    let wait = Duration::ZERO;
    let deferred = group.send(Write { change, wait }).await.ok()?;
    deferred.await.ok()
}
