//! Asks the group for its read index, the revision that it has reached, on behalf of all gateway
//! instances.
//!
//! The answer of a round holds for every question that arrived before the round began. So the group
//! is asked only a few times a second, however many instances ask.

use std::{cell::Cell, time::Duration};

use actix::Recipient;
use tokio::{
    sync::{Notify, watch},
    time,
};
use zinniastall_model::id;
use zinniastall_wire::hub::Stamp;

use crate::control::ReadIndex;

/// Minimum time between the starts of two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum duration of a round. If the group has no leader, the next round asks the next one.
const ROUND_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of a round of asking the group.
type Round = u64;

/// A question of a gateway instance, and the first round that answers it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Question {
    /// Stamp that is returned with the answer.
    pub(super) stamp: Stamp,
    /// First round that answers the question.
    pub(super) round: Round,
}

/// The group's latest answer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Answer {
    /// Round in which the group was asked.
    pub(super) round: Round,
    /// Revision that the group had reached.
    pub(super) revision: id::Revision,
}

/// Rounds of asking the group.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    begun: Cell<Round>,
    asked: Notify,
    answers: watch::Sender<Answer>,
}

impl Rounds {
    /// Requests a round; returns the number of the round that will answer.
    pub(super) fn ask(&self) -> Round {
        self.asked.notify_one();
        self.begun.get() + 1
    }

    /// Returns a receiver of the group's answers.
    pub(super) fn subscribe(&self) -> watch::Receiver<Answer> {
        self.answers.subscribe()
    }

    /// Runs a round whenever a question waits, forever.
    pub(super) async fn run(&self, group: Recipient<ReadIndex>) {
        let mut interval = time::interval(MIN_ROUND_INTERVAL);
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            self.asked.notified().await;
            interval.tick().await;
            let round = self.begun.get() + 1;
            self.begun.set(round);
            if let Ok(Some(revision)) = time::timeout(ROUND_TIMEOUT, reached(&group)).await {
                self.answers.send_replace(Answer { round, revision });
            } else {
                tracing::debug!(event = "group-silent", round);
                // The questions still wait, and possibly no instance asks again before they are
                // answered.
                self.asked.notify_one();
            }
        }
    }
}

async fn reached(group: &Recipient<ReadIndex>) -> Option<id::Revision> {
    group.send(ReadIndex).await.ok()?.await.ok()
}
