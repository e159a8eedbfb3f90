//! Who waits, and what has been sent to other places.

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
    Flight,
    candidates::{self, Candidates},
    line::Line,
    sent::Sent,
};
use crate::view::View;

/// How long a place gets no requests after one was lost on its way there. Its digest may be fresh
/// enough to look usable for some time after a partition.
const LOST: Duration = Duration::from_secs(2);

/// Who waits, and what has been sent to other places.
#[derive(Debug, Default)]
pub(super) struct Queues {
    /// Waiting requests by model or service.
    pub(super) lines: IndexMap<Subject, Line>,
    /// Requests in progress at other places.
    away: IndexMap<Place, Sent>,
    /// Places that a request did not come back from, and when.
    lost: IndexMap<Place, Instant>,
    last: admit::Id,
}

impl Queues {
    pub(super) fn anyone_waits(&self, subject: &Subject) -> bool {
        let line = self.lines.get(subject);
        line.is_some_and(|line| !line.is_empty())
    }

    /// Returns the subjects for which requests wait.
    pub(super) fn waiting(&self) -> Vec<Subject> {
        let lines = self.lines.iter().filter(|(_, line)| !line.is_empty());
        lines.map(|(subject, _)| subject.clone()).collect()
    }

    /// Decides whether a request is sent away, which is when that is cheaper than serving it here;
    /// counts it and returns the place with the hops that it will have made.
    pub(super) fn spill(
        &mut self,
        policy: &Policy,
        view: &View,
        request: &Request,
        found: &Candidates<'_>,
        direct: bool,
        now: Instant,
    ) -> Option<(Place, Vec<Place>)> {
        if !policy.spills() || request.hops.len() != 1 {
            return None;
        }
        self.lost
            .retain(|_, lost| now.saturating_duration_since(*lost) < LOST);
        let mut remotes = candidates::remotes(view, &request.subject, &mut self.away, now);
        remotes.retain(|remote| !self.lost.contains_key(&remote.place));
        let cold = policy.prefill(request.prefixes.len());
        let (here, regions) = (&view.place, &request.regions);
        let cheapest = spill::cheapest(policy, here, &remotes, regions, found.service(), cold);
        let line = self.lines.entry(request.subject.clone()).or_default();
        let local = match found.cheapest(policy, &request.prefixes, now) {
            Local::Cost(cost) if !direct => {
                Local::Cost(cost + policy.wait_cost(line.wait(found.pace())))
            }
            local => local,
        };
        let random = &mut rand::rng();
        let place = line.gate.decide(local, cheapest, now, random)?.clone();
        let hops = hops::check_next(&request.hops, &place).ok()?;
        self.away.entry(place.clone()).or_default().start();
        Some((place, hops))
    }

    /// Lets a request wait.
    pub(super) fn wait(
        &mut self,
        policy: &Policy,
        waiter: admit::Waiter,
        request: &Request,
        tried: &[id::Target],
        found: &Candidates<'_>,
        now: Instant,
    ) -> Result<(admit::Id, oneshot::Receiver<Flight>), Refusal> {
        self.last += 1;
        let id = self.last;
        let waiter = admit::Waiter { id, ..waiter };
        let line = self.lines.entry(request.subject.clone()).or_default();
        let receiver = line.arrive(policy, waiter, request, tried, found.pace(), now)?;
        Ok((id, receiver))
    }

    /// Ends the count of a request at another place, which may have been lost there.
    pub(super) fn back(&mut self, place: &Place, lost: bool) {
        if lost {
            self.lost.insert(place.clone(), Instant::now());
        }
        if let Some(sent) = self.away.get_mut(place) {
            sent.end();
        }
    }
}
