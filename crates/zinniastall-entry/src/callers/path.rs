//! The path of a request from choice to relay.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use zinniastall_route::{
    dispatch::{self, Next, Progress},
    outcome::{Reason, Refusal},
    residency,
};
use zinniastall_wire::gossip;

use super::{
    parcel::Parcel,
    relay,
    reply::{Body, Reply},
    target,
    traffic::Flight,
    worker::Worker,
};

/// An answer, and its body if that was gathered.
pub type Answer = (Reply, Option<Bytes>);

/// Serves a request by a target of this zone.
///
/// # Errors
///
/// The end of a request for which no whole answer arrived and nothing can be relayed.
pub async fn serve(worker: &Worker, parcel: &Parcel) -> Result<Answer, Refusal> {
    let view = worker.view();
    residency::check_place(&parcel.request.regions, &view.place).map_err(Refusal::not_run)?;
    let mut earlier: Option<Refusal> = None;
    let mut tried = Vec::new();
    while let Some(chosen) = choose(worker, parcel, &tried) {
        let refusal = match attempt(worker, parcel, &chosen).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        tried.push(chosen.target);
        let progress = Progress {
            attempts: u32::try_from(tried.len()).unwrap_or(u32::MAX),
            relayed: false,
            budget: true,
        };
        let next = dispatch::next(&parcel.request, &refusal, progress, Instant::now());
        earlier = Some(dispatch::merge(earlier, refusal));
        if next == Next::End {
            break;
        }
    }
    Err(earlier.unwrap_or_else(|| {
        let subject = parcel.request.subject.name().to_owned();
        Refusal::not_run(Reason::NoTarget(subject)).retry(Duration::from_secs(1))
    }))
}

fn choose(worker: &Worker, parcel: &Parcel, tried: &[String]) -> Option<gossip::Target> {
    let view = worker.view();
    let fits = |target: &&gossip::Target| {
        let serves = |serving: &gossip::Serving| serving.subject == parcel.request.subject;
        !target.leaving && !tried.contains(&target.target) && target.serves.iter().any(serves)
    };
    let targets = view.targets.values().map(|target| &target.report);
    let least = targets
        .filter(fits)
        .min_by_key(|target| worker.service.traffic.at(&target.target));
    least.cloned()
}

async fn attempt(
    worker: &Worker,
    parcel: &Parcel,
    chosen: &gossip::Target,
) -> Result<Answer, Refusal> {
    let flight = worker.service.traffic.start(&chosen.target);
    let mut reply = target::send(&worker.client, chosen, parcel, 0).await?;
    if reply.events && parcel.request.events {
        reply.body = relay::events(reply.body);
    }
    reply.body = holding(reply.body, flight);
    let whole = relay::gather(&mut reply).await?;
    Ok((reply, whole))
}

/// Keeps a request counted until its body has ended or is dropped.
fn holding(body: Body, flight: Flight) -> Body {
    let next = |(mut body, flight): (Body, Flight)| async move {
        let part = body.next().await?;
        Some((part, (body, flight)))
    };
    stream::unfold((body, flight), next).boxed_local()
}
