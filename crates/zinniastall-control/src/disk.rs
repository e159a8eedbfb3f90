//! The thread that writes and syncs.
//!
//! A sync takes milliseconds, during which heartbeats must go on, so the store has a thread of its
//! own. Whatever queued up during one sync is written with the next: one sync serves many commands.

use std::{sync::mpsc, thread};

use actix::Recipient;
use tokio::sync::oneshot;
use zinniastall_coord::replica::{Ready, Restored, Snapshot};
use zinniastall_store::{Error, Store};

use crate::control;

/// Work for the disk.
#[derive(Debug)]
pub enum Work {
    /// Stores what a batch asks for.
    Save(Box<Ready>),
    /// Stores a snapshot of applied state.
    Snapshot(Box<Snapshot>),
    /// Founds a cluster.
    Found {
        /// Address of this replica's links.
        address: String,
        /// Where the operator's answer goes.
        reply: oneshot::Sender<Result<control::Founded, control::Refused>>,
    },
}

/// How a founding ended.
#[derive(Debug)]
pub struct Founded {
    /// What the replica starts from.
    pub outcome: Result<Restored, Error>,
    /// Where the operator's answer goes.
    pub reply: oneshot::Sender<Result<control::Founded, control::Refused>>,
}

/// What the disk has done.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub enum Done {
    /// Everything up to this batch is synced.
    Synced(u64),
    /// The snapshot is synced.
    Snapshot(Box<Snapshot>),
    /// A founding ended.
    Founded(Box<Founded>),
    /// The disk failed; nothing may be promised any more.
    Failed(Error),
}

/// The queue of the disk's thread.
#[derive(Debug)]
pub struct Disk {
    queue: mpsc::Sender<Work>,
}

impl Disk {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the system has no thread to give.
    pub fn start(store: Store, done: Recipient<Done>) -> std::io::Result<Self> {
        let (queue, work) = mpsc::channel();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run(store, &work, &done))?;
        Ok(Self { queue })
    }

    /// Hands work over. What a failed disk's thread no longer takes is dropped: the failure has
    /// been reported by then.
    pub fn hand(&self, work: Work) {
        drop(self.queue.send(work));
    }
}

fn run(mut store: Store, work: &mpsc::Receiver<Work>, done: &Recipient<Done>) {
    while let Ok(first) = work.recv() {
        if let Err(fault) = turn(&mut store, first, work, done) {
            done.do_send(Done::Failed(fault));
            return;
        }
    }
}

fn turn(
    store: &mut Store,
    first: Work,
    work: &mpsc::Receiver<Work>,
    done: &Recipient<Done>,
) -> Result<(), Error> {
    let mut synced = None;
    let mut snapshots = Vec::new();
    for work in std::iter::once(first).chain(work.try_iter()) {
        match work {
            Work::Save(ready) => synced = Some(save(store, *ready)?),
            Work::Snapshot(snapshot) => snapshots.push(snapshot),
            Work::Found { address, reply } => {
                let outcome = store.found(address);
                done.do_send(Done::Founded(Box::new(Founded { outcome, reply })));
            }
        }
    }
    store.sync()?;
    if let Some(batch) = synced {
        done.do_send(Done::Synced(batch));
    }
    for snapshot in snapshots {
        store.snapshot(&snapshot)?;
        done.do_send(Done::Snapshot(snapshot));
    }
    Ok(())
}

/// Stages a batch; one that joins a cluster or installs a snapshot is stored at once.
fn save(store: &mut Store, ready: Ready) -> Result<u64, Error> {
    if ready.cluster.is_some() || ready.install.is_some() {
        store.sync()?;
        store.save(&ready)?;
        return Ok(ready.batch);
    }
    store.append(ready.append);
    if let Some(hard) = ready.hard {
        store.set_hard_state(hard);
    }
    Ok(ready.batch)
}
