//! Founds a cluster, once.

use actix::{ActorFutureExt, AsyncContext, Context, Handler, Message, MessageResult, WrapFuture};
use futures_util::future::join_all;
use tokio::sync::oneshot;
use zinniastall_coord::{
    Replica,
    replica::{Limits, Restored},
};
use zinniastall_store::Error;
use zinniastall_wire::{hello::Hello, link};

use super::{Control, Later, hex, waiting::answer};
use crate::{disk::Work, peers};

/// What a founding instance says in place of its cluster, so that two that are told to found at
/// the same time both refuse instead of founding two clusters.
pub(crate) const FOUNDING: &str = "founding";

/// Founds a cluster on this replica.
#[derive(Debug, Message)]
#[rtype(result = "Later<Result<Founded, Refused>>")]
pub struct Bootstrap;

/// A founded cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Founded {
    /// Cluster id, as hex.
    pub cluster: String,
    /// Id of the founding replica, as hex.
    pub replica: String,
}

/// Why no cluster was founded.
#[derive(Debug, thiserror::Error)]
pub enum Refused {
    /// This replica belongs to a cluster.
    #[error("this replica belongs to a cluster already")]
    Belongs,
    /// Another replica of the settings belongs to a cluster.
    #[error("{0} belongs to a cluster already; admit this replica there")]
    Exists(String),
    /// Another replica of the settings cannot be asked.
    #[error("{address} cannot be asked whether it belongs to a cluster: {error}")]
    Silent {
        /// Its address.
        address: String,
        /// Why.
        error: link::Error,
    },
    /// It is being founded.
    #[error("a cluster is being founded")]
    Busy,
    /// The disk refused.
    #[error(transparent)]
    Disk(#[from] Error),
}

impl Handler<Bootstrap> for Control {
    type Result = MessageResult<Bootstrap>;

    fn handle(&mut self, _: Bootstrap, context: &mut Context<Self>) -> Self::Result {
        let (reply, later) = oneshot::channel();
        if self.founding {
            answer(reply, Err(Refused::Busy));
            return MessageResult(later);
        }
        if self
            .replica
            .status(std::time::Instant::now())
            .cluster
            .is_some()
        {
            answer(reply, Err(Refused::Belongs));
            return MessageResult(later);
        }
        self.founding = true;
        self.card.borrow_mut().cluster = Some(FOUNDING.to_owned());
        let hello = self.card.borrow().clone();
        let peers = self
            .settings
            .peers
            .iter()
            .map(ToString::to_string)
            .collect();
        let asked = ask_all(peers, hello).into_actor(self);
        context.spawn(asked.map(|verdict, control, _| control.found(verdict, reply)));
        MessageResult(later)
    }
}

impl Control {
    fn found(
        &mut self,
        verdict: Result<(), Refused>,
        reply: oneshot::Sender<Result<Founded, Refused>>,
    ) {
        match verdict {
            Ok(()) => self.disk.hand(Work::Found {
                address: self.card.borrow().links.clone(),
                reply,
            }),
            Err(refused) => {
                self.founding = false;
                self.meet();
                answer(reply, Err(refused));
            }
        }
    }

    /// Starts as the only voter of a new cluster.
    pub(super) fn founded(&mut self, founded: crate::disk::Founded) {
        self.founding = false;
        let outcome = founded.outcome.map_err(Refused::from);
        let answered = outcome.map(|restored| self.rebuild(restored));
        self.meet();
        answer(founded.reply, answered);
    }

    fn rebuild(&mut self, restored: Restored) -> Founded {
        let cluster = restored.cluster.map(hex).unwrap_or_default();
        let id = self.replica.id();
        // Nobody else can lead a cluster of one, so there is nothing to wait for.
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
        // The same timings built the replica before, so they fit.
        if let Ok(replica) = built {
            self.replica = replica;
            (self.handed, self.synced) = (0, 0);
        }
        tracing::info!(event = "cluster-founded", cluster);
        Founded {
            cluster,
            replica: format!("{id:016x}"),
        }
    }
}

/// Asks every other replica of the settings. One that can't be asked might belong to a cluster, and
/// founding a second one beside it would part the system for good.
async fn ask_all(addresses: Vec<String>, hello: Hello) -> Result<(), Refused> {
    let ask = async |address: String| {
        let answer = peers::ask_cluster(&address, hello.clone()).await;
        (address, answer)
    };
    for (address, answer) in join_all(addresses.into_iter().map(ask)).await {
        match answer {
            Ok(None) => {}
            Ok(Some(_)) => return Err(Refused::Exists(address)),
            Err(error) => return Err(Refused::Silent { address, error }),
        }
    }
    Ok(())
}
