//! Queues of waiting requests, and requests forwarded to other places.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::sync::oneshot;
use zinniastall_model::{id, object::Subject, place::Place};
use zinniastall_route::{
    admit, hops,
    outcome::Refusal,
    policy::Policy,
    request::Request,
    spill::{self, Local},
};

use super::{
    InFlight,
    candidates::{self, Candidates},
    outstanding::Outstanding,
    subject_queue::SubjectQueue,
};
use crate::view::View;

/// How long a place receives no requests after one was lost there. After a partition, its digest
/// may look recent enough to be used for some time.
const LOST_PLACE_BACKOFF: Duration = Duration::from_secs(2);

/// Queues of waiting requests, and requests forwarded to other places.
#[derive(Debug, Default)]
pub(super) struct Queues {
    /// Waiting requests by model or service.
    pub(super) by_subject: IndexMap<Subject, SubjectQueue>,
    /// Requests in flight at other places.
    forwarded: IndexMap<Place, Outstanding>,
    /// Places that lost a request, and when.
    lost: IndexMap<Place, Instant>,
    last_id: admit::Id,
}

impl Queues {
    pub(super) fn has_waiting(&self, subject: &Subject) -> bool {
        let queue = self.by_subject.get(subject);
        queue.is_some_and(|queue| !queue.is_empty())
    }

    /// Returns the subjects that have waiting requests.
    pub(super) fn waiting_subjects(&self) -> Vec<Subject> {
        let waiting = self
            .by_subject
            .iter()
            .filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(subject, _)| subject.clone()).collect()
    }

    /// Decides whether to forward a request, which happens if that is cheaper than serving it here.
    ///
    /// If so, counts the request and returns the place, with the hops that include it.
    pub(super) fn spill(
        &mut self,
        policy: &Policy,
        view: &View,
        request: &Request,
        found: &Candidates<'_>,
        starts_now: bool,
        now: Instant,
    ) -> Option<(Place, Vec<Place>)> {
        if !policy.spill_enabled() || request.hops.len() != 1 {
            return None;
        }
        self.lost
            .retain(|_, lost| now.saturating_duration_since(*lost) < LOST_PLACE_BACKOFF);
        let mut remotes = candidates::remotes(view, &request.subject, &mut self.forwarded, now);
        remotes.retain(|remote| !self.lost.contains_key(&remote.place));
        let cold = policy.prefill(request.prefixes.len());
        let (here, regions) = (&view.place, &request.regions);
        let cheapest = spill::cheapest(
            policy,
            here,
            &remotes,
            regions,
            found.mean_service_time(),
            cold,
        );
        let queue = self.by_subject.entry(request.subject.clone()).or_default();
        let local = match found.cheapest(policy, &request.prefixes, now) {
            Local::Cost(cost) if !starts_now => {
                Local::Cost(cost + policy.wait_cost(queue.expected_wait(found.start_interval())))
            }
            local => local,
        };
        let random = &mut rand::rng();
        let place = queue.gate.decide(local, cheapest, now, random)?.clone();
        let hops = hops::check_next(&request.hops, &place).ok()?;
        self.forwarded.entry(place.clone()).or_default().start();
        Some((place, hops))
    }

    /// Adds a request to its queue.
    pub(super) fn enqueue(
        &mut self,
        policy: &Policy,
        waiter: admit::Waiter,
        request: &Request,
        tried: &[id::Target],
        found: &Candidates<'_>,
        now: Instant,
    ) -> Result<(admit::Id, oneshot::Receiver<InFlight>), Refusal> {
        self.last_id += 1;
        let id = self.last_id;
        let waiter = admit::Waiter { id, ..waiter };
        let queue = self.by_subject.entry(request.subject.clone()).or_default();
        let receiver =
            queue.enqueue(policy, waiter, request, tried, found.start_interval(), now)?;
        Ok((id, receiver))
    }

    /// Ends the count of a forwarded request; `lost` tells whether the place lost it.
    pub(super) fn forwarded_ended(&mut self, place: &Place, lost: bool) {
        if lost {
            self.lost.insert(place.clone(), Instant::now());
        }
        if let Some(outstanding) = self.forwarded.get_mut(place) {
            outstanding.end();
        }
    }
}
