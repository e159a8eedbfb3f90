//! Targets that said in an answer that they leave: the zone is told as if they had called `leave`.

use actix::{Addr, Context, Handler, Message};

use super::actor::Spread;
use crate::{notices::Notices, targets::body::Leave};

impl Spread {
    /// Tells the zone of the targets that said to this instance that they leave.
    pub(super) fn share_departures(&mut self) {
        let now = std::time::Instant::now();
        for (target, incarnation) in self.dependencies.shared_view.notices().departures() {
            let leave = Leave {
                target,
                incarnation,
            };
            // A later run than the one that said so is known.
            if let Err(problem) = self.leave(&leave, now) {
                tracing::info!(event = "departure-stale", target = leave.target, reason = %problem);
            }
        }
    }

    /// Forgets what has expired.
    pub(super) fn expire_notices(&self, now: std::time::Instant) {
        let view = self.dependencies.shared_view.view();
        self.dependencies.shared_view.notices().expire(&view, now);
    }
}

/// There may be targets of which the zone has to be told.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct ShareDepartures;

impl Handler<ShareDepartures> for Spread {
    type Result = ();

    fn handle(&mut self, _: ShareDepartures, _: &mut Context<Self>) {
        self.share_departures();
    }
}

/// Has the actor tell of each target, until it stops.
pub(super) async fn watch(notices: Notices, spread: Addr<Spread>) {
    loop {
        notices.changed().await;
        if spread.send(ShareDepartures).await.is_err() {
            return;
        }
    }
}
