//! Asks all instances for their configuration while a starting instance doesn't know which one is
//! in force.
//!
//! An instance that starts while control can't be reached might find a lagging control replica or
//! its own outdated file, and serve under it although a neighbor holds later changes. Accepted
//! changes would then be reverted here. All live instances are therefore asked, concurrently, since
//! those behind a silent partition take long to time out.

use std::time::Duration;

use actix::Addr;
use futures_util::future::join_all;
use tokio::time;
use zinniastall_wire::{
    feed,
    follow::Message,
    hello::Purpose,
    link::{Error, Link},
};

use super::{
    actor::{Follower, GetRevision, GroupReached, Incoming, SurveyDone},
    choice::{Choice, Source},
};
use crate::{links::Identity, view::Shared};

/// Maximum time that an instance may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of the only question asked on a link.
const QUESTION_ID: u64 = 1;
/// Pause between two surveys.
const SURVEY_INTERVAL: Duration = Duration::from_millis(200);

/// Surveys all instances until the follower has settled.
#[derive(Debug)]
pub(super) struct Survey {
    pub(super) identity: Identity,
    pub(super) shared_view: Shared,
    pub(super) control: Vec<String>,
    pub(super) follower: Addr<Follower>,
}

impl Survey {
    pub(super) async fn run(self) {
        loop {
            let began = std::time::Instant::now();
            join_all(self.sources().iter().map(|source| self.ask(source))).await;
            let settled = self.follower.send(SurveyDone { began }).await;
            if settled.unwrap_or(true) {
                return;
            }
            time::sleep(SURVEY_INTERVAL).await;
        }
    }

    fn sources(&self) -> Vec<Source> {
        let view = self.shared_view.view();
        let choice = Choice {
            instance: &view.instance,
            place: &view.place,
            peers: &view.peers,
            control: &self.control,
        };
        choice.all()
    }

    async fn ask(&self, source: &Source) {
        // An instance that doesn't answer in time counts as asked.
        let asked = time::timeout(ANSWER_TIMEOUT, self.fetch(source)).await;
        if let Ok(Err(error)) = asked {
            let address = source.address();
            tracing::debug!(event = "survey-failed", address, error = %error);
        }
    }

    async fn fetch(&self, source: &Source) -> Result<(), Error> {
        let link = self
            .identity
            .dial(source.address(), Purpose::Follow)
            .await?;
        let Some(link) = same_cluster(&self.identity, link) else {
            return Err(Error::Handshake);
        };
        let (mut sender, mut receiver) = link.split();
        let from = Message::From {
            revision: self.held_revision().await?,
            member: None,
        };
        feed::send(&mut sender, from).await?;
        let mut awaits_answer = source.is_control();
        if awaits_answer {
            feed::send(&mut sender, Message::ReadIndex { ask: QUESTION_ID }).await?;
        }
        loop {
            let message = feed::receive(&mut receiver).await?;
            match message {
                Message::Alive { revision, .. } => {
                    if !awaits_answer && revision <= self.held_revision().await? {
                        return Ok(());
                    }
                    continue;
                }
                Message::ReadIndexAnswer {
                    ask: QUESTION_ID,
                    revision,
                } => {
                    awaits_answer = false;
                    let notified = self.follower.send(GroupReached { revision }).await;
                    notified.map_err(|_| Error::Closed)?;
                    continue;
                }
                _ => {}
            }
            let incoming = Incoming {
                message,
                source: None,
            };
            self.follower
                .send(incoming)
                .await
                .map_err(|_| Error::Closed)?;
        }
    }

    async fn held_revision(&self) -> Result<u64, Error> {
        self.follower
            .send(GetRevision)
            .await
            .map_err(|_| Error::Closed)
    }
}

/// Joins the cluster of the other end if this instance has none yet, and drops links to other
/// clusters.
pub(super) fn same_cluster(identity: &Identity, link: Link) -> Option<Link> {
    let cluster = link.peer().cluster.clone();
    match (identity.cluster(), cluster) {
        (Some(own), Some(other)) if own != other => {
            tracing::error!(event = "cluster-differs", peer = link.peer().instance);
            None
        }
        (None, Some(cluster)) => {
            identity.set_cluster(cluster);
            Some(link)
        }
        _ => Some(link),
    }
}
