//! Probes of targets that may not be reached from here, and questions to the other instances of the
//! zone about them.

use std::time::{Duration, Instant};

use actix::{Addr, Context, Handler, Message};
use tokio::time;
use zinniastall_coord::{
    pause::State,
    reach::{Probe, QUESTION_INTERVAL},
};
use zinniastall_http::probe::{answers, stays_open};
use zinniastall_model::{id, place::Place};
use zinniastall_wire::gossip;

use super::{actor::Spread, links::Handle};
use crate::{
    notices::{Notices, Standing},
    reach::Reach,
    view::Target,
};

/// Interval at which due probes are started.
const PROBE_TICK: Duration = Duration::from_millis(50);

impl Spread {
    /// Applies a message about paths; instances of other zones have no part in it.
    pub(super) fn apply_paths(&mut self, link: Handle, place: &Place, message: &gossip::Paths) {
        if place != self.dependencies.identity.place() {
            return;
        }
        let view = self.dependencies.shared_view.view();
        match message {
            gossip::Paths::Question(question) => {
                let answer = gossip::Paths::Answer(self.reach().answer(&view, question));
                self.links.send(link, gossip::Message::Paths(answer));
            }
            gossip::Paths::Answer(answer) => self.reach().apply(answer),
        }
    }

    /// Asks the other instances of the zone about the targets that this one does not reach.
    fn ask_paths(&mut self) {
        let view = self.dependencies.shared_view.view();
        if let Some(question) = self.reach().question(&view) {
            let message = gossip::Message::Paths(gossip::Paths::Question(question));
            let place = self.dependencies.identity.place().clone();
            self.links.send_within(&place, &message);
        }
    }

    /// Starts the probes that are due.
    fn probe_paths(&self) {
        let view = self.dependencies.shared_view.view();
        let now = Instant::now();
        self.reach().expire(&view, now);
        self.reach().lose_dark(&view, now);
        for target in self.reach().start_probes(now) {
            let known = view.targets.get(&target).cloned();
            let notices = self.dependencies.shared_view.notices().clone();
            actix::spawn(probe(self.reach().clone(), notices, target, known));
        }
    }

    pub(super) fn reach(&self) -> &Reach {
        self.dependencies.shared_view.paths()
    }
}

/// Probes the path to a target: asks for its health if it names a path for that, and otherwise opens a
/// connection only, since a target might run whatever else it is asked. One that wants no requests of this
/// instance now isn't asked either.
async fn probe(reach: Reach, notices: Notices, target: id::Target, known: Option<Target>) {
    let Some(known) = known else {
        reach.probed(&target, Probe::Failed, "the target is not known any more");
        return;
    };
    let report = &known.report;
    let standing = notices.standing(report, Instant::now());
    let is_paused = matches!(standing, Standing::Staying(State::Paused(_)));
    let probed = match report.health_path.as_ref().filter(|_| !is_paused) {
        Some(path) => answers(&report.address, path).await.map(|is_answered| {
            if is_answered {
                Probe::Answered
            } else {
                Probe::Silent
            }
        }),
        None => stays_open(&report.address).await.map(|()| Probe::Opened),
    };
    match probed {
        Ok(probe) => reach.probed(&target, probe, ""),
        Err(error) => reach.probed(&target, Probe::Failed, &error.to_string()),
    }
}

/// Probes and questions may be due.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct CheckPaths {
    asks: bool,
}

impl Handler<CheckPaths> for Spread {
    type Result = ();

    fn handle(&mut self, check: CheckPaths, _: &mut Context<Self>) {
        self.probe_paths();
        if check.asks {
            self.ask_paths();
        }
    }
}

/// Has the actor check when something has changed and at intervals, until it stops.
pub(super) async fn watch(reach: Reach, spread: Addr<Spread>) {
    let mut asked = Instant::now();
    loop {
        let asks = tokio::select! {
            () = reach.changed() => true,
            () = time::sleep(PROBE_TICK) => asked.elapsed() >= QUESTION_INTERVAL,
        };
        if asks {
            asked = Instant::now();
        }
        if spread.send(CheckPaths { asks }).await.is_err() {
            return;
        }
    }
}
