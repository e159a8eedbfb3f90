//! Writes and syncs on a dedicated thread.
//!
//! A sync takes milliseconds, during which heartbeats must continue, so the store runs on its own
//! thread. Work that queues up during one sync is written with the next, so that one sync serves
//! many commands.

use std::{sync::mpsc, thread};

use actix::Recipient;
use tokio::sync::oneshot;
use zinniastall_coord::replica::{Ready, Restored, Snapshot};
use zinniastall_store::{Error, Store};

use crate::control;

/// Work for the disk thread.
#[derive(Debug)]
pub enum Work {
    /// Stores a batch of the replica.
    Save(Box<Ready>),
    /// Stores a snapshot of applied state.
    Snapshot(Box<Snapshot>),
    /// Founds a cluster.
    Found {
        /// Address of this replica's links.
        address: String,
        /// Receives the outcome for the operator.
        reply: oneshot::Sender<Result<control::Founded, control::BootstrapError>>,
    },
}

/// Outcome of founding a cluster.
#[derive(Debug)]
pub struct Founded {
    /// State that the replica starts from.
    pub outcome: Result<Restored, Error>,
    /// Receives the outcome for the operator.
    pub reply: oneshot::Sender<Result<control::Founded, control::BootstrapError>>,
}

/// Work that the disk thread has finished.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub enum Done {
    /// All batches up to this one are synced.
    Synced(u64),
    /// The snapshot is synced.
    Snapshot(Box<Snapshot>),
    /// Founding a cluster has ended.
    Founded(Box<Founded>),
    /// The disk failed; nothing may be acknowledged from here on.
    Failed(Error),
}

/// Queue of the disk thread.
#[derive(Debug)]
pub struct Disk {
    queue: mpsc::Sender<Work>,
}

impl Disk {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot create a thread.
    pub fn start(store: Store, done: Recipient<Done>) -> std::io::Result<Self> {
        let (queue, work) = mpsc::channel();
        thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run(store, &work, &done))?;
        Ok(Self { queue })
    }

    /// Submits work. After a disk failure the work is dropped: the failure has already been
    /// reported.
    pub fn submit(&self, work: Work) {
        drop(self.queue.send(work));
    }
}

fn run(mut store: Store, work: &mpsc::Receiver<Work>, done: &Recipient<Done>) {
    while let Ok(first) = work.recv() {
        if let Err(fault) = process_batch(&mut store, first, work, done) {
            done.do_send(Done::Failed(fault));
            return;
        }
    }
}

fn process_batch(
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
