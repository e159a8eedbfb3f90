//! Exchange of suspicions against requests that crash targets.
//!
//! News is flooded over the gossip links at once, and forwarded by instances to which it is new. A
//! new link starts with the strong suspicions of both ends, which makes up for what either missed
//! while it was down, suspended or cut off.

use std::time::Instant;

use actix::{Addr, Context, Handler, Message};
use zinniastall_coord::{news::Scope, quarantine};
use zinniastall_model::{fingerprint::Suspect, place::Place};
use zinniastall_wire::gossip::{self, Delta};

use super::{actor::Spread, links::Handle};
use crate::{quarantine::Quarantine, view};

impl Spread {
    /// Merges suspicions from another instance, and acknowledges them.
    ///
    /// Instances of a zone hear of news from each other directly, so only those with a link to
    /// another zone forward what came from their own.
    pub(super) fn apply_suspects(
        &mut self,
        link: Handle,
        (peer, from): (&str, &Place),
        suspects: &gossip::Suspects,
    ) {
        if suspects.heard > 0 {
            self.acknowledged.insert(link, suspects.heard);
            self.publish_heard();
        }
        if suspects.version == 0 {
            return;
        }
        let own = self.dependencies.identity.place();
        let has_remote_links = || self.links.peers().iter().any(|(.., place)| place != own);
        let forwards = from != own || has_remote_links();
        let scope = forwards.then_some(Scope::All);
        self.quarantine().hear(peer, &suspects.list, scope);
        let heard = suspects.version;
        self.send_suspects(link, Vec::new(), 0, heard);
    }

    /// Sends the strong suspicions on a new link.
    pub(super) fn introduce_suspects(&mut self, link: Handle) {
        let (strong, version) = self.quarantine().strong();
        if version > 0 {
            self.send_suspects(link, strong, version, 0);
        }
    }

    /// Sends news of suspects on all links.
    pub(super) fn share_suspects(&mut self) {
        let (news, version) = self.quarantine().news();
        if !news.is_empty() {
            for (link, ..) in self.links.peers() {
                self.send_suspects(link, news.clone(), version, 0);
            }
        }
        self.publish_heard();
        let last_crashed_run = self.quarantine().last_crashed_run();
        if self.last_crashed_run != last_crashed_run {
            self.last_crashed_run = last_crashed_run;
            self.publish_targets(Instant::now());
        }
    }

    /// Returns whether a target is known to have crashed and has not announced itself since.
    ///
    /// An announcement from before the crash may arrive up to one interval later.
    pub(super) fn has_crashed(&self, target: &view::Target) -> bool {
        let run = quarantine::run(&target.report.target, target.report.incarnation);
        let crashed_at = self.quarantine().crashed_at(run);
        crashed_at.is_some_and(|at| target.heard <= at + self.settings.renewal_interval())
    }

    /// Publishes which version all other instances of the zone have.
    fn publish_heard(&mut self) {
        let own = self.dependencies.identity.place();
        let links = self.links.peers();
        let open = |link: &Handle| links.iter().any(|(handle, ..)| handle == link);
        self.acknowledged.retain(|link, _| open(link));
        let near = links.iter().filter(|(.., place)| place == own);
        let heard = near.map(|(link, ..)| self.acknowledged.get(link).copied().unwrap_or(0));
        self.quarantine().set_heard(heard.min().unwrap_or(u64::MAX));
    }

    /// Compares the suspects known here with those of the control group.
    pub(super) fn reconcile_suspects(&self) {
        let view = self.dependencies.shared_view.view();
        if let Some(configured) = &view.state {
            self.quarantine().reconcile(configured);
        }
    }

    fn send_suspects(&mut self, link: Handle, list: Vec<Suspect>, version: u64, heard: u64) {
        let delta = Delta {
            items: Vec::new(),
            renewals: Vec::new(),
            suspects: gossip::Suspects {
                list,
                version,
                heard,
            },
        };
        self.links.send(link, gossip::Message::Delta(delta));
    }

    fn quarantine(&self) -> &Quarantine {
        self.dependencies.shared_view.quarantine()
    }
}

/// There may be news of suspects.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct ShareSuspects;

impl Handler<ShareSuspects> for Spread {
    type Result = ();

    fn handle(&mut self, _: ShareSuspects, _: &mut Context<Self>) {
        self.share_suspects();
        self.reconcile_suspects();
    }
}

/// Has the actor share each change, until it stops.
pub(super) async fn watch(quarantine: Quarantine, spread: Addr<Spread>) {
    loop {
        quarantine.changed().await;
        if spread.send(ShareSuspects).await.is_err() {
            return;
        }
    }
}
