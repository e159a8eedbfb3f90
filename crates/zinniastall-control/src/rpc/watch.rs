//! Watches: streams of the changes after a revision.

use tokio::sync::{OwnedSemaphorePermit, mpsc, watch};
use tonic::Status;
use zinniastall_api::operator::{Event, event};
use zinniastall_model::{
    change::{Body, Change},
    id,
    object::{Key, Kind},
    state::State,
};
use zinniastall_wire::feed::Feed;

use super::convert;

/// Events that may wait for a slow operator.
const QUEUE_CAPACITY: usize = 64;

/// Starts to send events; ends when the operator disconnects.
pub(super) fn start(
    feed: watch::Receiver<Feed>,
    kinds: Vec<Kind>,
    after: id::Revision,
    permit: OwnedSemaphorePermit,
) -> mpsc::Receiver<Result<Event, Status>> {
    let (queue, events) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(async move {
        run(feed, &kinds, after, &queue).await;
        drop(permit);
    });
    events
}

async fn run(
    mut feed: watch::Receiver<Feed>,
    kinds: &[Kind],
    mut after: id::Revision,
    queue: &mpsc::Sender<Result<Event, Status>>,
) {
    let wanted = |key: &Key| kinds.is_empty() || kinds.contains(&key.kind);
    loop {
        let (events, reached) = {
            let feed = feed.borrow_and_update();
            (events(&feed, after), feed.state().revision.max(after))
        };
        after = reached;
        for (_, event) in events.into_iter().filter(|(key, _)| wanted(key)) {
            if queue.send(Ok(event)).await.is_err() {
                return;
            }
        }
        tokio::select! {
            changed = feed.changed() => if changed.is_err() { return },
            () = queue.closed() => return,
        }
    }
}

/// Returns the events after a revision: each change if all are still kept, otherwise their combined
/// effect.
fn events(feed: &Feed, after: id::Revision) -> Vec<(Key, Event)> {
    match feed.changes_after(after) {
        Some(changes) => {
            let one =
                |(revision, change): &(_, std::sync::Arc<Change>)| change_event(*revision, change);
            changes.iter().filter_map(one).collect()
        }
        None => state_events(feed.state(), after),
    }
}

fn change_event(revision: id::Revision, change: &Change) -> Option<(Key, Event)> {
    let (key, change) = match &change.body {
        Body::Apply(object) => {
            let record = zinniastall_model::state::Record {
                revision,
                object: std::sync::Arc::new(object.clone()),
            };
            let applied = event::Change::Applied(convert::record(&record));
            (object.key(), applied)
        }
        Body::Delete(key) => (key.clone(), event::Change::Deleted(convert::removed(key))),
        Body::Join(_)
        | Body::Retire(_)
        | Body::Publish(_)
        | Body::Evacuate(_)
        | Body::Reopen(_)
        | Body::Suspect(_)
        | Body::Release(_)
        | Body::Versions(_) => return None,
    };
    Some((
        key,
        Event {
            revision,
            change: Some(change),
        },
    ))
}

fn state_events(state: &State, after: id::Revision) -> Vec<(Key, Event)> {
    let applied = state.objects.iter().map(|(key, record)| {
        let change = event::Change::Applied(convert::record(record));
        (key, record.revision, change)
    });
    let deleted = state.deleted.iter().map(|(key, revision)| {
        let change = event::Change::Deleted(convert::removed(key));
        (key, *revision, change)
    });
    let mut events: Vec<_> = applied
        .chain(deleted)
        .filter(|(_, revision, _)| *revision > after)
        .collect();
    events.sort_by_key(|(_, revision, _)| *revision);
    let event = |(key, revision, change): (&Key, _, _)| {
        let change = Some(change);
        (key.clone(), Event { revision, change })
    };
    events.into_iter().map(event).collect()
}
