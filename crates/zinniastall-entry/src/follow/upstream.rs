//! Keeps one link to a source open.

use std::time::Duration;

use actix::Addr;
use rand::Rng;
use tokio::time::{self, Instant};
use zinniastall_wire::{
    feed,
    follow::Message,
    hello::Purpose,
    link::{Error, Link, Sender},
};

use super::{
    actor::{Follower, Lost, Taken, Took},
    choice::{Choice, Source},
    report::Report,
    survey::same_cluster,
};
use crate::{links::Identity, view::Board};

/// Time between two reports to the source.
const REPORT: Duration = Duration::from_secs(1);
/// Time between two reports of an instance that is not listed yet.
const JOIN: Duration = Duration::from_millis(200);
/// Longest time between a change in force and its report.
const NEWS: Duration = Duration::from_millis(50);
/// First wait after no source could be reached.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Longest wait between rounds.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Time after which a source is left that is not the best one or does not reach control.
const PATIENCE: Duration = Duration::from_secs(3);

/// Dials sources, best first, for as long as the instance runs.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) identity: Identity,
    pub(super) board: Board,
    pub(super) control: Vec<String>,
    pub(super) follower: Addr<Follower>,
}

/// How a link went.
#[derive(Debug)]
enum Ended {
    /// It broke.
    Broken(Error),
    /// Its source did not reach control, or a better one came up.
    Left,
}

impl Upstream {
    pub(super) async fn run(self) {
        let mut wait = FIRST_WAIT;
        loop {
            let served = self.round().await;
            if served {
                wait = FIRST_WAIT;
            }
            let jittered = wait.mul_f64(rand::rng().random_range(0.5..1.0));
            time::sleep(jittered).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }

    /// Tries every source once; tells whether one was followed for a while.
    async fn round(&self) -> bool {
        let mut served = false;
        for source in self.sources() {
            let Ok(link) = self.dial(&source).await else {
                continue;
            };
            let since = Instant::now();
            let (address, control) = (source.address(), source.is_control());
            tracing::info!(event = "source-found", address, control);
            let ended = self.follow(link, &source).await;
            self.follower.do_send(Lost);
            match ended {
                Ended::Broken(error) => {
                    tracing::info!(event = "source-lost", address, error = %error);
                }
                Ended::Left => tracing::debug!(event = "source-left", address),
            }
            served |= since.elapsed() >= PATIENCE;
        }
        served
    }

    fn sources(&self) -> Vec<Source> {
        let view = self.board.view();
        let choice = self.choice(&view);
        let mut sources = choice.sources();
        if !view.connected {
            sources.extend(choice.all());
        }
        let unique: indexmap::IndexSet<Source> = sources.into_iter().collect();
        unique.into_iter().collect()
    }

    fn choice<'a>(&'a self, view: &'a crate::view::View) -> Choice<'a> {
        Choice {
            instance: &view.instance,
            place: &view.place,
            peers: &view.peers,
            control: &self.control,
        }
    }

    async fn dial(&self, source: &Source) -> Result<Link, Error> {
        let dialled = self.identity.dial(source.address(), Purpose::Follow);
        let link = time::timeout(feed::IDLE_TIMEOUT, dialled)
            .await
            .map_err(|_| Error::Closed)??;
        same_cluster(&self.identity, link).ok_or(Error::Handshake)
    }

    async fn follow(&self, link: Link, source: &Source) -> Ended {
        let (mut sender, mut receiver) = link.split();
        let mut reports = time::interval(NEWS);
        reports.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut pace = Pace::new();
        loop {
            let message = tokio::select! {
                message = feed::receive(&mut receiver) => match message {
                    Ok(message) => message,
                    Err(error) => return Ended::Broken(error),
                },
                _ = reports.tick() => {
                    if self.should_leave(source, &mut pace) {
                        return Ended::Left;
                    }
                    if let Err(error) = self.report(&mut sender, &mut pace).await {
                        return Ended::Broken(error);
                    }
                    continue;
                }
            };
            pace.hear(&message);
            let took = Took {
                message,
                source: Some(source.clone()),
            };
            let taken = self.follower.send(took).await;
            match taken {
                Ok(Taken::Fine) => {}
                Ok(Taken::Gap | Taken::Misfit) => pace.fresh = true,
                Err(_) => return Ended::Left,
            }
        }
    }

    async fn report(&self, sender: &mut Sender, pace: &mut Pace) -> Result<(), Error> {
        let now = Instant::now();
        let listed = self.board.view().state.is_some();
        let pause = if listed { REPORT } else { JOIN };
        let is_due = pace.fresh || now >= pace.reported + pause;
        let report = Report {
            fresh: pace.fresh,
            due: is_due,
        };
        let messages = self
            .follower
            .send(report)
            .await
            .map_err(|_| Error::Closed)?;
        for message in messages {
            feed::send(sender, message).await?;
        }
        pace.fresh = false;
        if is_due {
            pace.reported = now;
        }
        Ok(())
    }

    /// Leaves a source that does not reach control, or is not among the best, after some time.
    ///
    /// A source that has been cut off would otherwise hold its followers for as long as the
    /// partition lasts, although another one may reach control.
    fn should_leave(&self, source: &Source, pace: &mut Pace) -> bool {
        let view = self.board.view();
        let choice = self.choice(&view);
        let sources = choice.sources();
        let best: Vec<&Source> = if choice.is_relay() {
            sources
                .iter()
                .filter(|source| source.is_control())
                .collect()
        } else {
            sources.iter().take(2).collect()
        };
        pace.good(best.contains(&source));
        pace.is_out_of_patience()
    }
}

/// Times on one link.
#[derive(Debug)]
struct Pace {
    fresh: bool,
    reported: Instant,
    connected: Option<Instant>,
    good: Instant,
    opened: Instant,
}

impl Pace {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            fresh: true,
            reported: now,
            connected: None,
            good: now,
            opened: now,
        }
    }

    fn hear(&mut self, message: &Message) {
        if let Message::Alive {
            connected: true, ..
        } = message
        {
            self.connected = Some(Instant::now());
        }
    }

    fn good(&mut self, good: bool) {
        if good {
            self.good = Instant::now();
        }
    }

    fn is_out_of_patience(&self) -> bool {
        let connected = self.connected.unwrap_or(self.opened);
        connected.elapsed() >= PATIENCE || self.good.elapsed() >= PATIENCE
    }
}
