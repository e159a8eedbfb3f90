//! Keeps a link to one source open.

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
    actor::{Follower, Incoming, Outcome, SourceLost},
    choice::{Choice, Source},
    report::Report,
    survey::same_cluster,
};
use crate::{links::Identity, view::Shared};

/// Interval between reports to the source.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reports while the configuration doesn't list this instance yet.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// How often new confirmations are sent to the source.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// First delay between rounds.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay between rounds.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which a source is left if it doesn't reach control or isn't one of the best.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Dials sources, best first, as long as the instance runs.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) identity: Identity,
    pub(super) shared_view: Shared,
    pub(super) control: Vec<String>,
    pub(super) follower: Addr<Follower>,
}

/// How a link ended.
#[derive(Debug)]
enum Ended {
    /// The link broke.
    Broken(Error),
    /// The source doesn't reach control, or a better one is available.
    Left,
}

impl Upstream {
    pub(super) async fn run(self) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let served = self.round().await;
            if served {
                backoff = INITIAL_BACKOFF;
            }
            let jittered = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
            time::sleep(jittered).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Tries each source once. Returns whether one of them was followed for a while.
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
            self.follower.do_send(SourceLost);
            match ended {
                Ended::Broken(error) => {
                    tracing::info!(event = "source-lost", address, error = %error);
                }
                Ended::Left => tracing::debug!(event = "source-left", address),
            }
            served |= since.elapsed() >= SOURCE_TIMEOUT;
        }
        served
    }

    fn sources(&self) -> Vec<Source> {
        let view = self.shared_view.view();
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
        let dialing = self.identity.dial(source.address(), Purpose::Follow);
        let link = time::timeout(feed::IDLE_TIMEOUT, dialing)
            .await
            .map_err(|_| Error::Closed)??;
        same_cluster(&self.identity, link).ok_or(Error::Handshake)
    }

    async fn follow(&self, link: Link, source: &Source) -> Ended {
        let (mut sender, mut receiver) = link.split();
        let mut reports = time::interval(POLL_INTERVAL);
        reports.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut session = Session::new();
        loop {
            let message = tokio::select! {
                message = feed::receive(&mut receiver) => match message {
                    Ok(message) => message,
                    Err(error) => return Ended::Broken(error),
                },
                _ = reports.tick() => {
                    if self.should_leave(source, &mut session) {
                        return Ended::Left;
                    }
                    if let Err(error) = self.report(&mut sender, &mut session).await {
                        return Ended::Broken(error);
                    }
                    continue;
                }
            };
            session.record(&message);
            let incoming = Incoming {
                message,
                source: Some(source.clone()),
            };
            let outcome = self.follower.send(incoming).await;
            match outcome {
                Ok(Outcome::Applied) => {}
                Ok(Outcome::Gap | Outcome::Mismatch) => session.new_link = true,
                Err(_) => return Ended::Left,
            }
        }
    }

    async fn report(&self, sender: &mut Sender, session: &mut Session) -> Result<(), Error> {
        let now = Instant::now();
        let listed = self.shared_view.view().state.is_some();
        let pause = if listed {
            REPORT_INTERVAL
        } else {
            JOIN_INTERVAL
        };
        let is_due = session.new_link || now >= session.last_report + pause;
        let report = Report {
            new_link: session.new_link,
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
        session.new_link = false;
        if is_due {
            session.last_report = now;
        }
        Ok(())
    }

    /// Returns whether to leave a source that has not reached control, or not been one of the best,
    /// for some time.
    ///
    /// A source that is cut off would otherwise keep its followers as long as the partition lasts,
    /// although another source may reach control.
    fn should_leave(&self, source: &Source, session: &mut Session) -> bool {
        let view = self.shared_view.view();
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
        session.mark_preferred(best.contains(&source));
        session.is_expired()
    }
}

/// State of a link to a source.
#[derive(Debug)]
struct Session {
    new_link: bool,
    last_report: Instant,
    last_connected: Option<Instant>,
    last_preferred: Instant,
    opened: Instant,
}

impl Session {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            new_link: true,
            last_report: now,
            last_connected: None,
            last_preferred: now,
            opened: now,
        }
    }

    fn record(&mut self, message: &Message) {
        if let Message::Alive {
            connected: true, ..
        } = message
        {
            self.last_connected = Some(Instant::now());
        }
    }

    fn mark_preferred(&mut self, preferred: bool) {
        if preferred {
            self.last_preferred = Instant::now();
        }
    }

    fn is_expired(&self) -> bool {
        let connected = self.last_connected.unwrap_or(self.opened);
        connected.elapsed() >= SOURCE_TIMEOUT || self.last_preferred.elapsed() >= SOURCE_TIMEOUT
    }
}
