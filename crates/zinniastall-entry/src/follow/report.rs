//! Reports to the source: who follows this instance and what is in force.

use std::time::Instant;

use actix::{Context, Handler, Message, MessageResult};
use zinniastall_model::member::Member;
use zinniastall_wire::follow::{self, Confirmation};

use super::{actor::Follower, drift};

/// Maximum number of followers that wait to be introduced to control.
const MAX_PENDING_MEMBERS: usize = 256;

impl Follower {
    fn own_member(&self) -> Member {
        let addresses = self.identity.addresses();
        Member {
            instance: self.identity.instance().to_owned(),
            place: self.identity.place().clone(),
            links: addresses.links.clone(),
            callers: addresses.callers.clone(),
        }
    }

    fn confirmation(&self) -> Confirmation {
        Confirmation {
            instance: self.identity.instance().to_owned(),
            incarnation: self.identity.incarnation(),
            revision: self.activation.confirmed(),
            draining: self.shared_view.view().draining,
        }
    }
}

impl Follower {
    /// Returns the suspects that the control group lacks, once when they change and then whenever a
    /// report is due. Only followers of a control instance report them: suspects are known to all
    /// instances, and relays are among these.
    fn missing_suspects(&mut self, is_due: bool) -> Option<follow::Message> {
        let follows_control = self.source.is_some_and(|source| source.control);
        let missing = self.shared_view.quarantine().missing();
        let is_new = missing != self.reported_suspects;
        if !follows_control || missing.is_empty() || !(is_due || is_new) {
            return None;
        }
        self.reported_suspects.clone_from(&missing);
        Some(follow::Message::Suspects(missing))
    }
}

/// Something that a follower of this instance reported.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum FollowerEvent {
    /// The follower introduced itself.
    Member(Member),
    /// Revisions are in force.
    Confirmed(Vec<Confirmation>),
}

impl Handler<FollowerEvent> for Follower {
    type Result = ();

    fn handle(&mut self, event: FollowerEvent, _: &mut Context<Self>) {
        match event {
            FollowerEvent::Member(member) => {
                let known = self.held.members.get(&member.instance) == Some(&member);
                if !known && self.pending_members.len() < MAX_PENDING_MEMBERS {
                    self.pending_members.push(member);
                }
            }
            FollowerEvent::Confirmed(list) => {
                let now = Instant::now();
                for confirmation in list {
                    if self.held.members.contains_key(&confirmation.instance) {
                        self.confirmations.record(confirmation, now);
                    }
                }
            }
        }
    }
}

/// Requests the messages to send to the source.
#[derive(Debug, Message)]
#[rtype(result = "Vec<follow::Message>")]
pub struct Report {
    /// Whether the link is new, so that the source knows nothing yet.
    pub new_link: bool,
    /// Whether a keepalive is due even if there is nothing new.
    pub due: bool,
}

impl Handler<Report> for Follower {
    type Result = MessageResult<Report>;

    fn handle(&mut self, report: Report, _: &mut Context<Self>) -> Self::Result {
        let now = Instant::now();
        let own = self.own_member();
        let listed = self.held.members.get(&own.instance) == Some(&own);
        let mut messages = Vec::new();
        if report.new_link || (report.due && !listed) {
            messages.push(follow::Message::From {
                revision: self.held.revision,
                member: (!listed).then_some(own),
            });
        }
        let pending_members = self.pending_members.drain(..);
        messages.extend(pending_members.map(follow::Message::Present));
        self.confirmations.record(self.confirmation(), now);
        let mut list = self.confirmations.take(now, report.new_link);
        let own = self.confirmation();
        if report.due && !list.contains(&own) {
            list.push(own);
        }
        if !list.is_empty() {
            messages.push(follow::Message::Confirm(list));
        }
        if report.due && self.source.is_some_and(|source| source.control) {
            let named = self.shared_view.rates().all();
            if !named.is_empty() {
                messages.push(follow::Message::Limits(named));
            }
            let shared = &self.shared_view;
            let report = shared.paths().report(&shared.view(), shared.notices());
            messages.extend(report.map(follow::Message::Unreached));
            let drifted = drift::find(&self.held, &self.shared_view.view());
            if !drifted.is_empty() {
                messages.push(follow::Message::Drifted(drifted));
            }
        }
        messages.extend(self.missing_suspects(report.due));
        MessageResult(messages)
    }
}
