//! Has the group agree on the software versions that targets of a service state.
//!
//! Instances report the versions that the group doesn't know to all replicas, since they don't know
//! which one leads. The leader announces such a version, and settles it once it has been announced for
//! [`SETTLE_TIME`].

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use actix::Recipient;
use indexmap::{IndexMap, IndexSet};
use tokio::{sync::Notify, sync::watch, time};
use zinniastall_coord::{confirmation::SETTLE_TIME, origin::Stage};
use zinniastall_model::{
    change::{Body, Change},
    id,
    state::State,
};
use zinniastall_wire::feed::Feed;

use crate::control::{Reply, Write};

/// Time during which reports are gathered, since all instances discover the same versions.
const GATHER_WINDOW: Duration = Duration::from_millis(10);
/// Interval at which versions are settled that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Versions that may wait to be announced; instances repeat their reports.
const MAX_REPORTED: usize = 256;

/// A software version of a service.
type Name = (id::Service, id::Version);

/// Versions that wait to be announced or settled.
#[derive(Debug, Default)]
pub(super) struct Announcer {
    reported: RefCell<IndexSet<Name>>,
    reports_waiting: Notify,
}

impl Announcer {
    /// Adds an instance's report.
    pub(super) fn hear(&self, stated: Vec<Name>) {
        let mut reported = self.reported.borrow_mut();
        let room = MAX_REPORTED.saturating_sub(reported.len());
        reported.extend(stated.into_iter().take(room));
        self.reports_waiting.notify_one();
    }

    /// Has the group announce and settle versions, forever.
    pub(super) async fn run(&self, group: Recipient<Write>, feed: watch::Receiver<Feed>) {
        let mut announced: IndexMap<Name, Instant> = IndexMap::new();
        loop {
            tokio::select! {
                () = self.reports_waiting.notified() => time::sleep(GATHER_WINDOW).await,
                () = time::sleep(CHECK_INTERVAL) => {}
            }
            let state = std::sync::Arc::clone(feed.borrow().state());
            let mut next = due(&state, &mut announced, Instant::now());
            next.extend(self.unknown(&state));
            if next.is_empty() {
                continue;
            }
            let versions = next.len();
            match advance(&group, next).await {
                Some(Reply::Done { revision, .. }) => {
                    tracing::info!(event = "versions-agreed", versions, revision);
                }
                // The leader receives the same reports, and they are repeated.
                reply => tracing::debug!(event = "versions-not-agreed", versions, reply = ?reply),
            }
        }
    }

    /// Takes the reported versions that the group doesn't know, of services in the routing table.
    fn unknown(&self, state: &State) -> Vec<(id::Service, id::Version, Stage)> {
        let reported = self.reported.take().into_iter();
        let table = state.routing.as_ref().map(|held| &held.table);
        let is_routed = |service: &str| table.is_some_and(|table| table.service(service).is_some());
        let unknown = reported.filter(|(service, version)| {
            is_routed(service) && state.lacks_version(service, version)
        });
        unknown
            .map(|(service, version)| (service, version, Stage::Announced))
            .collect()
    }
}

/// Returns the versions that have been announced for long enough; `announced` keeps since when this
/// replica has known of each.
fn due(
    state: &State,
    announced: &mut IndexMap<Name, Instant>,
    now: Instant,
) -> Vec<(id::Service, id::Version, Stage)> {
    let unsettled = state.versions.iter().flat_map(|(service, versions)| {
        let unsettled = versions.unsettled();
        unsettled.map(|version| (service.clone(), version.clone()))
    });
    let unsettled: IndexSet<Name> = unsettled.collect();
    announced.retain(|name, _| unsettled.contains(name));
    for name in unsettled {
        announced.entry(name).or_insert(now);
    }
    let is_due = |since: &Instant| now.saturating_duration_since(*since) >= SETTLE_TIME;
    let due = announced.iter().filter(|(_, since)| is_due(since));
    due.map(|((service, version), _)| (service.clone(), version.clone(), Stage::Settled))
        .collect()
}

async fn advance(
    group: &Recipient<Write>,
    versions: Vec<(id::Service, id::Version, Stage)>,
) -> Option<Reply> {
    let change = Change {
        origin: None,
        expected: None,
        body: Body::Versions(versions),
    };
    let wait = Duration::ZERO;
    let deferred = group.send(Write { change, wait }).await.ok()?;
    deferred.await.ok()
}
