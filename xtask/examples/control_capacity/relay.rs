//! An emulated relay: a follow link that represents its own instance and its followers.

use std::{rc::Rc, time::Duration};

use indexmap::IndexSet;
use tokio::time;
use zinniastall_model::{change::Body, member::Member, place::Place};
use zinniastall_wire::{
    feed,
    follow::{Confirmation, Message},
    hello::{Hello, Purpose, VERSION},
    link::{Error, Link, Sender},
};

/// Time between two ticks, in each of which a relay handles updates; the same as in a real relay.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks between two heartbeats, and between two confirmations of all members.
const TICKS_PER_HEARTBEAT: u32 = 20;
const TICKS_PER_FULL_CONFIRMATION: u32 = 200;
/// Ticks between two presentations of instances that are not members yet.
const TICKS_PER_PRESENTATION: u32 = 10;

/// A relay and the instances that it represents.
#[derive(Debug)]
pub(crate) struct Relay {
    /// Represented instances, the relay's own first.
    members: Vec<Member>,
    known: IndexSet<String>,
    revision: u64,
}

impl Relay {
    /// Creates a relay in its own zone.
    pub(crate) fn new(number: usize, instances: usize) -> Self {
        let place = Place {
            region: format!("region-{}", number / 6),
            zone: format!("zone-{number}"),
        };
        let member = |instance: usize| Member {
            instance: format!("region-{}-zone-{number}-{instance}", number / 6),
            place: place.clone(),
            links: format!("10.{}.{}.{instance}:7000", number / 250, number % 250),
            callers: format!("10.{}.{}.{instance}:8000", number / 250, number % 250),
        };
        Self {
            members: (0..instances).map(member).collect(),
            known: IndexSet::new(),
            revision: 0,
        }
    }

    /// Follows a control replica until the link breaks.
    ///
    /// # Errors
    ///
    /// Returns the error that broke the link.
    pub(crate) async fn follow(mut self, address: Rc<str>) -> Result<(), Error> {
        let own = self.members[0].clone();
        let hello = Hello {
            version: VERSION,
            purpose: Purpose::Follow,
            cluster: None,
            instance: own.instance.clone(),
            incarnation: 1,
            place: own.place.clone(),
            links: own.links.clone(),
            service: own.callers.clone(),
        };
        let (mut sender, mut receiver) = Link::dial(&address, hello).await?.split();
        let member = Some(own);
        let from = Message::From {
            revision: 0,
            member,
        };
        feed::send(&mut sender, from).await?;
        let mut ticks = time::interval(POLL_INTERVAL);
        let mut confirmed = 0;
        for tick in 0_u32.. {
            loop {
                tokio::select! {
                    message = feed::receive(&mut receiver) => self.apply(message?),
                    _ = ticks.tick() => break,
                }
            }
            if tick % TICKS_PER_PRESENTATION == 0 {
                self.present(&mut sender).await?;
            }
            if self.revision > confirmed || tick % TICKS_PER_FULL_CONFIRMATION == 0 {
                confirmed = self.revision;
                self.confirm(&mut sender, self.members.len()).await?;
            } else if tick % TICKS_PER_HEARTBEAT == 0 {
                self.confirm(&mut sender, 1).await?;
            }
        }
        Ok(())
    }

    fn apply(&mut self, message: Message) {
        match message {
            Message::Snapshot(state) => {
                self.revision = state.revision;
                for name in state.members.keys() {
                    self.add_known(name);
                }
            }
            Message::Changes(changes) => {
                for (revision, change) in changes {
                    self.revision = revision;
                    if let Body::Join(member) = change.body {
                        self.add_known(&member.instance);
                    }
                }
            }
            _ => {}
        }
    }

    fn add_known(&mut self, name: &str) {
        if self.members.iter().any(|member| member.instance == name) {
            self.known.insert(name.to_owned());
        }
    }

    async fn present(&self, sender: &mut Sender) -> Result<(), Error> {
        let unknown = |member: &&Member| !self.known.contains(&member.instance);
        for member in self.members.iter().filter(unknown) {
            feed::send(sender, Message::Present(member.clone())).await?;
        }
        Ok(())
    }

    async fn confirm(&self, sender: &mut Sender, count: usize) -> Result<(), Error> {
        let members = self.members.iter().take(count);
        let confirmation = |member: &Member| Confirmation {
            instance: member.instance.clone(),
            incarnation: 1,
            revision: self.revision,
            draining: false,
        };
        feed::send(
            sender,
            Message::Confirm(members.map(confirmation).collect()),
        )
        .await
    }
}
