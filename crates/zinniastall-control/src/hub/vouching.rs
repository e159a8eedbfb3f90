//! Asks the group, for all gateway instances together, which revision it has reached.
//!
//! An answer holds for every question that came before the round in which the group was asked began. So however
//! many instances ask, the group is asked a few times a second.

use std::{cell::Cell, time::Duration};

use actix::Recipient;
use tokio::{
    sync::{Notify, watch},
    time,
};
use zinniastall_model::id;
use zinniastall_wire::hub::Stamp;

use crate::control::Vouch;

/// Least time between two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time that a round may take. Where the group has no leader, the next round asks the next one.
const ROUND_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of a round in which the group is asked.
type Round = u64;

/// A question of a gateway instance, and the first round that answers it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Question {
    /// Stamp that goes back with the answer.
    pub(super) stamp: Stamp,
    /// Round.
    pub(super) round: Round,
}

/// What the group said last.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Vouched {
    /// Round in which it was asked.
    pub(super) round: Round,
    /// Revision that it had reached.
    pub(super) revision: id::Revision,
}

/// Rounds of questions to the group.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    begun: Cell<Round>,
    asked: Notify,
    vouched: watch::Sender<Vouched>,
}

impl Rounds {
    /// Asks for a round; returns the number of the one that answers.
    pub(super) fn ask(&self) -> Round {
        self.asked.notify_one();
        self.begun.get() + 1
    }

    /// Returns what the group says from now on.
    pub(super) fn subscribe(&self) -> watch::Receiver<Vouched> {
        self.vouched.subscribe()
    }

    /// Asks the group whenever a question waits, for ever.
    pub(super) async fn run(&self, group: Recipient<Vouch>) {
        let mut pace = time::interval(MIN_ROUND_INTERVAL);
        pace.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            self.asked.notified().await;
            pace.tick().await;
            let round = self.begun.get() + 1;
            self.begun.set(round);
            if let Ok(Some(revision)) = time::timeout(ROUND_TIMEOUT, reached(&group)).await {
                self.vouched.send_replace(Vouched { round, revision });
            } else {
                tracing::debug!(event = "group-silent", round);
                // The questions still wait, and nobody may ask again before they are answered.
                self.asked.notify_one();
            }
        }
    }
}

async fn reached(group: &Recipient<Vouch>) -> Option<id::Revision> {
    group.send(Vouch).await.ok()?.await.ok()
}
