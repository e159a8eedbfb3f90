//! Bootstraps a cluster, once.

use actix::{ActorFutureExt, AsyncContext, Context, Handler, Message, MessageResult, WrapFuture};
use futures_util::future::join_all;
use tokio::sync::oneshot;
use zinniastall_coord::{
    Replica,
    replica::{Limits, Restored},
};
use zinniastall_store::Error;
use zinniastall_wire::{hello::Hello, link};

use super::{Control, Deferred, hex, waiting::answer};
use crate::{disk::Work, peers};

/// Cluster id that an instance presents while it is founding a cluster. Two instances that are told
/// to found one at the same time both refuse, instead of founding two clusters.
pub(crate) const FOUNDING: &str = "founding";

/// Founds a cluster on this replica.
#[derive(Debug, Message)]
#[rtype(result = "Deferred<Result<Founded, BootstrapError>>")]
pub struct Bootstrap;

/// A newly founded cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Founded {
    /// Cluster id, as hex.
    pub cluster: String,
    /// Id of the founding replica, as hex.
    pub replica: String,
}

/// Why no cluster was founded.
#[derive(Debug, thiserror::Error)]
pub enum BootstrapError {
    /// This replica already belongs to a cluster.
    #[error("this replica belongs to a cluster already")]
    AlreadyMember,
    /// Another replica of the settings already belongs to a cluster.
    #[error("{0} belongs to a cluster already; admit this replica there")]
    PeerHasCluster(String),
    /// Another replica of the settings cannot be reached.
    #[error("{address} cannot be asked whether it belongs to a cluster: {error}")]
    PeerUnreachable {
        /// Address of that replica.
        address: String,
        /// Why it cannot be reached.
        error: link::Error,
    },
    /// Another bootstrap is in progress.
    #[error("a cluster is being founded")]
    InProgress,
    /// The cluster could not be stored on disk.
    #[error(transparent)]
    Disk(#[from] Error),
}

impl Handler<Bootstrap> for Control {
    type Result = MessageResult<Bootstrap>;

    fn handle(&mut self, _: Bootstrap, context: &mut Context<Self>) -> Self::Result {
        let (reply, deferred) = oneshot::channel();
        if self.founding {
            answer(reply, Err(BootstrapError::InProgress));
            return MessageResult(deferred);
        }
        if self
            .replica
            .status(std::time::Instant::now())
            .cluster
            .is_some()
        {
            answer(reply, Err(BootstrapError::AlreadyMember));
            return MessageResult(deferred);
        }
        self.founding = true;
        self.identity.borrow_mut().cluster = Some(FOUNDING.to_owned());
        let hello = self.identity.borrow().clone();
        let peers = self
            .settings
            .peers
            .iter()
            .map(ToString::to_string)
            .collect();
        let asked = ask_all(peers, hello).into_actor(self);
        context.spawn(asked.map(|result, control, _| control.found(result, reply)));
        MessageResult(deferred)
    }
}

impl Control {
    fn found(
        &mut self,
        result: Result<(), BootstrapError>,
        reply: oneshot::Sender<Result<Founded, BootstrapError>>,
    ) {
        match result {
            Ok(()) => self.disk.submit(Work::Found {
                address: self.identity.borrow().links.clone(),
                reply,
            }),
            Err(refused) => {
                self.founding = false;
                self.update_peers();
                answer(reply, Err(refused));
            }
        }
    }

    /// Starts as the only voter of a new cluster.
    pub(super) fn founded(&mut self, founded: crate::disk::Founded) {
        self.founding = false;
        let outcome = founded.outcome.map_err(BootstrapError::from);
        let answered = outcome.map(|restored| self.rebuild(restored));
        self.update_peers();
        answer(founded.reply, answered);
    }

    fn rebuild(&mut self, restored: Restored) -> Founded {
        let cluster = restored.cluster.map(hex).unwrap_or_default();
        let id = self.replica.id();
        // No other replica can lead a cluster of one, so there is no election timeout to wait for.
        let timing = self.settings.timing;
        let now = std::time::Instant::now();
        let waited = now.checked_sub(timing.election * 2).unwrap_or(now);
        let built = Replica::builder(id, timing)
            .restored(restored)
            .limits(Limits {
                retain: self.settings.limits.retain,
                ..Limits::default()
            })
            .build(waited);
        // The current replica was built with the same timing, so it is known to be valid.
        if let Ok(replica) = built {
            self.replica = replica;
            (self.submitted, self.synced) = (0, 0);
        }
        tracing::info!(event = "cluster-founded", cluster);
        Founded {
            cluster,
            replica: format!("{id:016x}"),
        }
    }
}

/// Asks every other replica of the settings whether it belongs to a cluster. One that cannot be
/// reached might belong to one, and a second cluster beside it would split the system for good.
async fn ask_all(addresses: Vec<String>, hello: Hello) -> Result<(), BootstrapError> {
    let ask = async |address: String| {
        let answer = peers::ask_cluster(&address, hello.clone()).await;
        (address, answer)
    };
    for (address, answer) in join_all(addresses.into_iter().map(ask)).await {
        match answer {
            Ok(None) => {}
            Ok(Some(_)) => return Err(BootstrapError::PeerHasCluster(address)),
            Err(error) => return Err(BootstrapError::PeerUnreachable { address, error }),
        }
    }
    Ok(())
}
